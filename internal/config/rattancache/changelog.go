package rattancache

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rattanstream/rattanstream/internal/config/rattankv"
)

// changeLogSize is the number of keys whose changes a daemon keeps for others.
const changeLogSize = 2000

// A changeLog holds the newest event of each key that has changed lately. Earlier ones are
// of no use to a daemon that lacks them, and a burst of versions would be sent in full.
type changeLog struct {
	// base is the revision after which the log holds the newest event of every key.
	base   rattankv.Revision
	newest map[string]rattankv.Event
}

// reset empties the log; it then holds every event after a revision.
func (l *changeLog) reset(revision rattankv.Revision) {
	l.base, l.newest = revision, nil
}

// add adds the events of one response of the store, which may be in any order.
func (l *changeLog) add(events []rattankv.Event) {
	if l.newest == nil {
		l.newest = make(map[string]rattankv.Event)
	}
	for _, event := range events {
		if event.Revision >= l.newest[event.Key].Revision {
			l.newest[event.Key] = event
		}
	}
	l.trim()
}

// trim drops the oldest events above changeLogSize.
func (l *changeLog) trim() {
	surplus := len(l.newest) - changeLogSize
	if surplus <= 0 {
		return
	}
	for _, dropped := range byRevision(slices.Collect(maps.Values(l.newest)))[:surplus] {
		l.base = max(l.base, dropped.Revision)
		delete(l.newest, dropped.Key)
	}
}

// after returns the newest event of each key that has changed after a revision, in the order
// of their revisions, or false when some of them are gone.
func (l *changeLog) after(revision rattankv.Revision) ([]rattankv.Event, bool) {
	if revision < l.base {
		return nil, false
	}
	var events []rattankv.Event
	for _, event := range l.newest {
		if event.Revision > revision {
			events = append(events, event)
		}
	}
	return byRevision(events), true
}

func byRevision(events []rattankv.Event) []rattankv.Event {
	slices.SortFunc(events, func(a, b rattankv.Event) int { return cmp.Compare(a.Revision, b.Revision) })
	return events
}

// ChangesSince returns the changes of the store after a revision and true, or all
// items and false when the daemon no longer holds these changes. It includes records
// of groups that were received outside of the order of revisions.
func (c *Cache) ChangesSince(revision rattankv.Revision) (rattankv.Changes, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changes := rattankv.Changes{AsOf: c.revision}
	if events, ok := c.log.after(revision); ok {
		changes.Events = append(events, c.groupEventsAfter(max(revision, c.revision))...)
		return changes, true
	}
	for _, item := range c.items {
		changes.Events = append(changes.Events, rattankv.Event{Item: item})
	}
	return changes, false
}

// groupEventsAfter returns the records of groups that are newer than a revision.
func (c *Cache) groupEventsAfter(revision rattankv.Revision) []rattankv.Event {
	var events []rattankv.Event
	for name, entry := range c.snapshot.Groups {
		if entry.Revision > revision {
			events = append(events, rattankv.Event{Item: c.items[GroupPrefix+name]})
		}
	}
	return events
}
