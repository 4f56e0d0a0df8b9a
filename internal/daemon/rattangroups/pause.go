package rattangroups

import (
	"context"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/peer/rattangossip"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	// maxPause is the longest time for which a planned switchover holds writes back.
	maxPause = time.Second
	// pausePropagation is how long the coordinator waits until the other daemons hold
	// their writes back too: a gossip push reaches all of a small fleet in one step.
	pausePropagation = 50 * time.Millisecond
)

// A pause holds new writes of a group back while a planned switchover ends a
// term. It ends with the term, and at the latest at until.
type pause struct {
	term  uint64
	until time.Time
}

// pauseWrites tells all daemons by gossip to hold new writes of the group back, so
// that the target of a planned switchover can catch up under load. resume ends the
// pause on this daemon only.
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
	case <-g.clock.After(pausePropagation):
	}
	return func() {
		g.mutex.Lock()
		delete(g.paused, group)
		g.mutex.Unlock()
		g.notify(group)
	}
}

// beginPauses holds back new writes of the groups whose switchover has begun.
func (g *Groups) beginPauses(records []rattangossip.Record) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, record := range records {
		g.paused[record.Name] = pause{term: record.Epoch, until: g.clock.Now().Add(maxPause)}
	}
}

// withPause returns the view with its primary marked as drained while a planned
// switchover holds writes back, and removes a pause that has ended.
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
