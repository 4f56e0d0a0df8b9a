package rattanendpoint

import (
	"context"
	"slices"
)

// slots admits a fixed number of calls; the others wait in order of arrival.
type slots struct {
	free    int
	waiting []chan struct{}
}

// takeSlot waits for a slot until ctx ends.
func (i *Instance) takeSlot(ctx context.Context) error {
	i.mu.Lock()
	if i.slots.free > 0 {
		i.slots.free--
		i.mu.Unlock()
		return nil
	}
	ready := make(chan struct{})
	i.slots.waiting = append(i.slots.waiting, ready)
	i.mu.Unlock()
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if at := slices.Index(i.slots.waiting, ready); at >= 0 {
		i.slots.waiting = slices.Delete(i.slots.waiting, at, at+1)
	} else {
		// The call was given a slot in the meantime, which it cannot use.
		i.freeSlot()
	}
	return ctx.Err()
}

func (i *Instance) releaseSlot() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.freeSlot()
}

// freeSlot gives a slot to the call that has waited longest, or adds it to the free
// ones. The caller holds mu.
func (i *Instance) freeSlot() {
	if len(i.slots.waiting) == 0 {
		i.slots.free++
		return
	}
	close(i.slots.waiting[0])
	i.slots.waiting = i.slots.waiting[1:]
}
