package rattangroups

import (
	"context"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/peer/rattangossip"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	// pauseTime is the longest time for which a planned switch holds writes back.
	pauseTime = time.Second
	// pauseSpread is how long the coordinator waits until the other daemons hold
	// their writes back too: a push reaches all of a small fleet in one step.
	pauseSpread = 50 * time.Millisecond
)

// A pause holds new writes of a group back while a planned switch ends a term.
type pause struct {
	term  uint64
	until time.Time
}

// pauseWrites tells all daemons to hold new writes of the group back, so that
// the target of a planned switch can catch up under load.
func (g *Groups) pauseWrites(ctx context.Context, group string) (resume func()) {
	now := g.clock.Now()
	g.gossip.Merge(rattangossip.Record{
		Kind:    rattanv1.RecordKind_RECORD_KIND_SWITCH,
		Name:    group,
		Epoch:   g.tracker.View(group).Term,
		Version: uint64(now.UnixMilli()),
	})
	select {
	case <-ctx.Done():
	case <-g.clock.After(pauseSpread):
	}
	return func() {
		g.mutex.Lock()
		delete(g.paused, group)
		g.mutex.Unlock()
		g.notify(group)
	}
}

func (g *Groups) switchesBegun(records []rattangossip.Record) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, record := range records {
		g.paused[record.Name] = pause{term: record.Epoch, until: g.clock.Now().Add(pauseTime)}
	}
}

// withPause returns the view with its primary out of service while a planned
// switch holds writes back.
func (g *Groups) withPause(view rattanmodel.GroupView) rattanmodel.GroupView {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	paused, ok := g.paused[view.Group]
	if !ok {
		return view
	}
	if paused.term != view.Term || !g.clock.Now().Before(paused.until) {
		delete(g.paused, view.Group)
		return view
	}
	for i := range view.Endpoints {
		if view.Endpoints[i].Name == view.Primary {
			view.Endpoints[i].Drained = true
		}
	}
	return view
}
