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

// vmPrefix is the prefix of the keys under which daemons register their VM. The
// value is an encoded rattanv1.VM.
const vmPrefix = "vm/"

// A vmEvent is a change of the VM list.
type vmEvent struct {
	at   time.Time
	name string
	// vm is nil when the VM was removed.
	vm *rattanv1.VM
}

// recordVM records a change under vmPrefix for the VM list. A value that is not an
// encoded VM counts as a VM of which only the name is known.
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

// ListVMs returns the VMs that were registered one lag ago, sorted by name, or the
// list that SetFault has set. VMs that are leaving are included.
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

// laggingVMs returns the VM list as it was one lag ago. It replaces the events up to
// then with one for each VM in the list.
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
	var current []vmEvent
	for _, event := range byName {
		if event.vm != nil {
			current = append(current, event)
		}
	}
	slices.SortFunc(current, func(a, b vmEvent) int { return strings.Compare(a.name, b.name) })
	s.vmEvents = append(slices.Clone(current), later...)
	vms := make([]*rattanv1.VM, 0, len(current))
	for _, event := range current {
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
