package rattancache

import "github.com/rattanstream/rattanstream/internal/config/rattankv"

// changeLogSize is the number of events that a daemon keeps for others.
const changeLogSize = 2000

// A changeLog holds the latest events of the store. Those of one response of the store
// may be in any order.
type changeLog struct {
	// base is the revision after which the log holds every event.
	base   rattankv.Revision
	events []rattankv.Event
}

// reset empties the log; it then holds every event after a revision.
func (l *changeLog) reset(revision rattankv.Revision) {
	l.base, l.events = revision, nil
}

func (l *changeLog) add(events []rattankv.Event) {
	l.events = append(l.events, events...)
	if surplus := len(l.events) - changeLogSize; surplus > 0 {
		for _, dropped := range l.events[:surplus] {
			l.base = max(l.base, dropped.Revision)
		}
		l.events = append([]rattankv.Event(nil), l.events[surplus:]...)
	}
}

// after returns the events after a revision, or false when some of them are gone.
func (l *changeLog) after(revision rattankv.Revision) ([]rattankv.Event, bool) {
	if revision < l.base {
		return nil, false
	}
	var events []rattankv.Event
	for _, event := range l.events {
		if event.Revision > revision {
			events = append(events, event)
		}
	}
	return events, true
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
