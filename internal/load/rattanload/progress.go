package rattanload

import (
	"context"
	"fmt"
	"time"
)

// progress writes a line for every interval until ctx ends.
func (g *generator) progress(ctx context.Context) {
	if g.config.Progress == nil {
		return
	}
	var sent, served int
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.config.Clock.After(g.config.ProgressInterval):
		}
		nowSent, nowServed := g.counts()
		fmt.Fprintf(g.config.Progress, "%6s  answered %6d  served %6d  refused %6d  in flight %4d\n",
			g.since().Round(100*time.Millisecond), nowSent-sent, nowServed-served, nowSent-sent-(nowServed-served), len(g.slots))
		sent, served = nowSent, nowServed
	}
}

func (g *generator) counts() (answered, served int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, s := range g.samples {
		if s.served {
			served++
		}
	}
	return len(g.samples), served
}
