package rattanendpoint

import (
	"context"
	"slices"
)

// slots admits a fixed number of calls; the others wait first in, first out.
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
	turn := make(chan struct{})
	i.slots.waiting = append(i.slots.waiting, turn)
	i.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if at := slices.Index(i.slots.waiting, turn); at >= 0 {
		i.slots.waiting = slices.Delete(i.slots.waiting, at, at+1)
	} else {
		i.passSlot()
	}
	return ctx.Err()
}

func (i *Instance) releaseSlot() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.passSlot()
}

// passSlot gives a slot to the first that waits. The caller holds mu.
func (i *Instance) passSlot() {
	if len(i.slots.waiting) == 0 {
		i.slots.free++
		return
	}
	close(i.slots.waiting[0])
	i.slots.waiting = i.slots.waiting[1:]
}
