package rattanplatform

import (
	"context"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// vmPrefix is where daemons register their VM, as an encoded rattanv1.VM.
const vmPrefix = "vm/"

// A vmEvent is a change of the VM list. An event without a VM removes it.
type vmEvent struct {
	at   time.Time
	name string
	vm   *rattanv1.VM
}

// recordVM keeps the changes under vmPrefix for the VM list. A value that is
// not an encoded VM counts as a VM of which only the name is known.
func (s *Server) recordVM(entry *rattanv1.KeyValue, at time.Time) {
	name, ok := strings.CutPrefix(entry.GetKey(), vmPrefix)
	if !ok {
		return
	}
	event := vmEvent{at: at, name: name}
	if !entry.GetDeleted() {
		event.vm = &rattanv1.VM{}
		if err := proto.Unmarshal(entry.GetValue(), event.vm); err != nil {
			event.vm = &rattanv1.VM{}
		}
		event.vm.Name = name
	}
	s.vmEvents = append(s.vmEvents, event)
}

// ListVMs returns the live and leaving VMs as they were before the lag, sorted
// by name, or the list that SetFault has set.
func (s *Server) ListVMs(ctx context.Context, _ *connect.Request[rattanv1.ListVMsRequest]) (*connect.Response[rattanv1.ListVMsResponse], error) {
	if err := s.begin(ctx, countRead); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	if len(s.faults.vms) > 0 {
		return connect.NewResponse(&rattanv1.ListVMsResponse{Vms: cloneVMs(s.faults.vms)}), nil
	}
	return connect.NewResponse(&rattanv1.ListVMsResponse{Vms: cloneVMs(s.laggingVMs())}), nil
}

// laggingVMs replays the events up to the lag and merges those that are no
// longer needed.
func (s *Server) laggingVMs() []*rattanv1.VM {
	until := s.clock.Now().Add(-s.vmLag)
	byName := make(map[string]vmEvent)
	later := slices.DeleteFunc(slices.Clone(s.vmEvents), func(event vmEvent) bool {
		if event.at.After(until) {
			return false
		}
		byName[event.name] = event
		return true
	})
	var kept []vmEvent
	for _, event := range byName {
		if event.vm != nil {
			kept = append(kept, event)
		}
	}
	slices.SortFunc(kept, func(a, b vmEvent) int { return strings.Compare(a.name, b.name) })
	s.vmEvents = append(slices.Clone(kept), later...)
	vms := make([]*rattanv1.VM, 0, len(kept))
	for _, event := range kept {
		vms = append(vms, event.vm)
	}
	return vms
}

func cloneVMs(vms []*rattanv1.VM) []*rattanv1.VM {
	cloned := make([]*rattanv1.VM, 0, len(vms))
	for _, vm := range vms {
		cloned = append(cloned, proto.CloneOf(vm))
	}
	return cloned
}
