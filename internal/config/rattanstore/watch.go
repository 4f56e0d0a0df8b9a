package rattanstore

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// An Entry is one key of the platform with its value.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
}

// An Observer receives the results of Watch. Its methods are called one at a time.
type Observer interface {
	// Deliver receives each change; the revisions of a key only increase.
	Deliver(entry Entry)
	// Progress reports that everything stored before asOf has been delivered.
	Progress(asOf time.Time)
	// Interrupt reports the error of a failed call. The watch continues after a
	// backoff.
	Interrupt(err error)
}

// A watcher is the state of one Watch.
type watcher struct {
	store    *Store
	prefix   string
	observer Observer
	// after is the store's revision up to which everything was delivered.
	after uint64
	// isListed is true once the first full read has succeeded.
	isListed bool
	// delivered holds the last delivered revision of each key.
	delivered map[string]uint64
}

// Watch delivers all keys under prefix, then their changes, until ctx ends. It
// returns the context's error.
func (s *Store) Watch(ctx context.Context, prefix string, observer Observer) error {
	w := watcher{store: s, prefix: prefix, observer: observer, delivered: make(map[string]uint64)}
	retry := s.newBackoff()
	for {
		err := w.step(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil {
			retry.reset()
			continue
		}
		observer.Interrupt(err)
		if err := retry.wait(ctx); err != nil {
			return err
		}
	}
}

// step makes the calls of one round: a full read at first, then a watch, and a
// check when the watch returned nothing.
func (w *watcher) step(ctx context.Context) error {
	if !w.isListed {
		return w.list(ctx)
	}
	found, err := w.watch(ctx)
	if err != nil || found {
		return err
	}
	return w.verify(ctx)
}

// list reads and delivers all keys under the prefix.
func (w *watcher) list(ctx context.Context) error {
	sent := w.store.clock.Now()
	s := w.store
	response, err := call(ctx, s, &s.reads, s.callTimeout, &rattanv1.ListRequest{Prefix: w.prefix}, s.platform.List)
	if err != nil {
		return newReadError(w.prefix, err)
	}
	if response.GetRevision() < w.after {
		return &StaleReadError{Key: w.prefix}
	}
	w.deliver(response.GetEntries())
	w.after, w.isListed = response.GetRevision(), true
	w.observer.Progress(sent)
	return nil
}

// watch waits for changes and reports whether there were any.
func (w *watcher) watch(ctx context.Context) (bool, error) {
	sent := w.store.clock.Now()
	s := w.store
	request := &rattanv1.WatchRequest{
		Prefix: w.prefix, AfterRevision: w.after, MaxWaitMs: uint32(s.watchWait.Milliseconds()),
	}
	response, err := call(ctx, s, &s.watches, s.watchWait+s.callTimeout, request, s.platform.Watch)
	if err != nil {
		return false, newReadError(w.prefix, err)
	}
	if len(response.GetEntries()) == 0 {
		return false, nil
	}
	w.deliver(response.GetEntries())
	w.after = max(w.after, response.GetRevision())
	w.observer.Progress(sent)
	return true, nil
}

// verify reads the store's revision after a watch that returned no changes. A
// stalled watch returns the same as one without changes, and only another kind of
// call can tell them apart.
func (w *watcher) verify(ctx context.Context) error {
	sent := w.store.clock.Now()
	s := w.store
	response, err := call(ctx, s, &s.reads, s.callTimeout, &rattanv1.GetRequest{Key: w.prefix}, s.platform.Get)
	if err != nil {
		return newReadError(w.prefix, err)
	}
	switch {
	case response.GetRevision() < w.after:
		return &StaleReadError{Key: w.prefix}
	case response.GetRevision() > w.after:
		return w.list(ctx)
	}
	w.observer.Progress(sent)
	return nil
}

// deliver passes entries to the observer in the order of their revisions. It skips
// those that were delivered before or that are older than a revision already seen.
func (w *watcher) deliver(entries []*rattanv1.KeyValue) {
	entries = slices.Clone(entries)
	slices.SortFunc(entries, func(a, b *rattanv1.KeyValue) int {
		return cmp.Compare(a.GetRevision(), b.GetRevision())
	})
	for _, entry := range entries {
		if entry.GetRevision() <= w.delivered[entry.GetKey()] {
			continue
		}
		w.delivered[entry.GetKey()] = entry.GetRevision()
		if !entry.GetDeleted() && !w.store.observe(entry.GetKey(), entry.GetRevision()) {
			continue
		}
		w.observer.Deliver(Entry{
			Key: entry.GetKey(), Value: entry.GetValue(),
			Revision: entry.GetRevision(), Deleted: entry.GetDeleted(),
		})
	}
}
