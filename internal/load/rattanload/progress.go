package rattanload

import (
	"context"
	"fmt"
	"time"
)

// reportProgress writes a line to Config.Progress at every interval until ctx ends.
func (g *generator) reportProgress(ctx context.Context) {
	if g.config.Progress == nil {
		return
	}
	var answered, served int
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.config.Clock.After(g.config.ProgressInterval):
		}
		nowAnswered, nowServed := g.countSamples()
		fmt.Fprintf(g.config.Progress, "%6s  answered %6d  served %6d  refused %6d  in flight %4d\n",
			g.elapsed().Round(100*time.Millisecond), nowAnswered-answered, nowServed-served, nowAnswered-answered-(nowServed-served), len(g.inFlight))
		answered, served = nowAnswered, nowServed
	}
}

func (g *generator) countSamples() (answered, served int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, s := range g.samples {
		if s.served {
			served++
		}
	}
	return len(g.samples), served
}
