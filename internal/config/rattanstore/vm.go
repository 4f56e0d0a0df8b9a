package rattanstore

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	vmPrefix = "vm/"
	// defaultVMLease is long against a platform's slow periods, so that a VM
	// leaves the list only when it is gone.
	defaultVMLease = 15 * time.Second
	// keepAlivesPerLease lets two of three renewals fail.
	keepAlivesPerLease = 3
)

// A VM is one entry VM in the platform's list.
type VM struct {
	Name          string
	FailureDomain string
	CallerAddress string
	PeerAddress   string
	Leaving       bool
}

// ListVMs reads the platform's lagging list of live and leaving VMs. The error
// is an *UnavailableError.
func (s *Store) ListVMs(ctx context.Context) ([]VM, error) {
	response, err := call(ctx, s, &s.reads, s.callTimeout, &rattanv1.ListVMsRequest{}, s.platform.ListVMs)
	if err != nil {
		return nil, newReadError("VM list", err)
	}
	vms := make([]VM, 0, len(response.GetVms()))
	for _, vm := range response.GetVms() {
		vms = append(vms, VM{
			Name: vm.GetName(), FailureDomain: vm.GetFailureDomain(),
			CallerAddress: vm.GetCallerAddress(), PeerAddress: vm.GetPeerAddress(), Leaving: vm.GetLeaving(),
		})
	}
	return vms, nil
}

// A Registration keeps the daemon's VM in the platform's list by a lease.
type Registration struct {
	store *Store
	lease time.Duration

	mu      sync.Mutex
	vm      VM
	changed chan struct{}

	// leaseID, revision and put belong to Run alone; put is the VM last stored.
	leaseID  uint64
	revision uint64
	put      VM
}

// NewRegistration returns a Registration that is not yet running. A lease of 0
// means 15 s.
func (s *Store) NewRegistration(vm VM, lease time.Duration) *Registration {
	if lease == 0 {
		lease = defaultVMLease
	}
	return &Registration{store: s, lease: lease, vm: vm, changed: make(chan struct{}, 1)}
}

// SetLeaving marks the VM as leaving.
func (r *Registration) SetLeaving() {
	r.mu.Lock()
	r.vm.Leaving = true
	r.mu.Unlock()
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

func (r *Registration) wanted() VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.vm
}

// Run registers the VM and renews the lease until ctx ends. It calls interrupt
// with the error of each failed attempt, and goes on after a pause. Afterwards
// the registration ends with the lease, or with Remove.
func (r *Registration) Run(ctx context.Context, interrupt func(error)) error {
	pause := r.store.newBackoff()
	for {
		err := r.renew(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			interrupt(err)
			if err := pause.wait(ctx); err != nil {
				return err
			}
			continue
		}
		pause.reset()
		select {
		case <-r.store.clock.After(r.lease / keepAlivesPerLease):
		case <-r.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (r *Registration) renew(ctx context.Context) error {
	s := r.store
	if r.leaseID != 0 {
		_, err := call(ctx, s, &s.writes, s.callTimeout, &rattanv1.KeepAliveRequest{Lease: r.leaseID}, s.platform.KeepAlive)
		if connect.CodeOf(err) == connect.CodeNotFound && err != nil {
			r.leaseID = 0
		} else if err != nil {
			return errors.Wrap(err, "renew the VM's lease")
		}
	}
	if r.leaseID == 0 {
		request := &rattanv1.GrantLeaseRequest{TtlMs: uint32(r.lease.Milliseconds())}
		response, err := call(ctx, s, &s.writes, s.callTimeout, request, s.platform.GrantLease)
		if err != nil {
			return errors.Wrap(err, "get a lease for the VM")
		}
		r.leaseID, r.revision = response.GetLease(), 0
	}
	if vm := r.wanted(); r.revision == 0 || vm != r.put {
		return r.store.putVM(ctx, r, vm)
	}
	return nil
}

// putVM replaces whatever the key holds: an earlier incarnation's value is void.
func (s *Store) putVM(ctx context.Context, r *Registration, vm VM) error {
	key := vmPrefix + vm.Name
	value, err := proto.Marshal(&rattanv1.VM{
		Name: vm.Name, FailureDomain: vm.FailureDomain,
		CallerAddress: vm.CallerAddress, PeerAddress: vm.PeerAddress, Leaving: vm.Leaving,
	})
	if err != nil {
		return errors.Wrap(err, "encode the VM")
	}
	r.revision = 0
	current, err := s.getVM(ctx, key)
	if err != nil {
		return err
	}
	revision, err := s.put(ctx, &rattanv1.PutRequest{
		Key: key, Value: value, ExpectedRevision: current, Lease: r.leaseID,
	})
	if err != nil {
		return errors.Wrap(err, "register the VM")
	}
	r.revision, r.put = revision, vm
	return nil
}

// getVM reads the key's revision, 0 when it does not exist. Unlike documents a
// VM's key vanishes with its lease, so a lower revision is no stale read.
func (s *Store) getVM(ctx context.Context, key string) (uint64, error) {
	response, err := call(ctx, s, &s.reads, s.callTimeout, &rattanv1.GetRequest{Key: key}, s.platform.Get)
	if err != nil {
		return 0, newReadError(key, err)
	}
	return response.GetEntry().GetRevision(), nil
}

// Remove deletes the VM's key when it is still this registration's. It must not
// run together with Run.
func (r *Registration) Remove(ctx context.Context) error {
	if r.revision == 0 {
		return nil
	}
	request := &rattanv1.PutRequest{Key: vmPrefix + r.put.Name, ExpectedRevision: r.revision, Delete: true}
	if _, err := r.store.put(ctx, request); err != nil && !isAborted(err) {
		return errors.Wrap(err, "remove the VM's registration")
	}
	r.revision = 0
	return nil
}
