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
	// defaultVMLease is much longer than the platform's slow periods, so that a VM
	// leaves the list only when it has stopped.
	defaultVMLease = 15 * time.Second
	// keepAlivesPerLease is the number of renewals in the time of a lease; two of
	// three may fail.
	keepAlivesPerLease = 3
)

// A VM is an entry VM, one that runs a daemon and accepts callers, as the
// platform lists it.
type VM struct {
	Name          string
	FailureDomain string
	CallerAddress string
	PeerAddress   string
	Leaving       bool
}

// ListVMs reads the platform's list of live and leaving VMs, which may lag behind.
// The error is an *UnavailableError.
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

// A Registration keeps the daemon's VM in the platform's list by renewing a lease.
type Registration struct {
	store *Store
	lease time.Duration

	mu sync.Mutex
	vm VM
	// changed makes Run store vm before the next renewal is due.
	changed chan struct{}

	// leaseID, revision and stored are used by Run and Remove only. stored is the VM
	// last stored and revision its key's revision, 0 when it must be stored again.
	leaseID  uint64
	revision uint64
	stored   VM
}

// NewRegistration returns a Registration that is not yet running. lease is the
// time to live of its lease; 0 means 15 s.
func (s *Store) NewRegistration(vm VM, lease time.Duration) *Registration {
	if lease == 0 {
		lease = defaultVMLease
	}
	return &Registration{store: s, lease: lease, vm: vm, changed: make(chan struct{}, 1)}
}

// SetLeaving marks the VM as leaving; Run stores this at once.
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

// Run registers the VM and renews the lease until ctx ends. It calls interrupt with
// the error of each failed attempt and retries after a backoff. After Run has
// returned, the registration lasts until the lease expires or Remove is called.
func (r *Registration) Run(ctx context.Context, interrupt func(error)) error {
	retry := r.store.newBackoff()
	for {
		err := r.renew(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			interrupt(err)
			if err := retry.wait(ctx); err != nil {
				return err
			}
			continue
		}
		retry.reset()
		select {
		case <-r.store.clock.After(r.lease / keepAlivesPerLease):
		case <-r.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// renew renews the lease, or gets a new one when there is none or the platform no
// longer has it. It then stores the VM when its stored value is missing or differs.
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
	if vm := r.wanted(); r.revision == 0 || vm != r.stored {
		return r.store.putVM(ctx, r, vm)
	}
	return nil
}

// putVM stores the VM in place of whatever value its key has, because the value of
// an earlier incarnation is no longer valid.
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
	current, err := s.vmRevision(ctx, key)
	if err != nil {
		return err
	}
	revision, err := s.put(ctx, &rattanv1.PutRequest{
		Key: key, Value: value, ExpectedRevision: current, Lease: r.leaseID,
	})
	if err != nil {
		return errors.Wrap(err, "register the VM")
	}
	r.revision, r.stored = revision, vm
	return nil
}

// vmRevision reads the revision of a VM's key, 0 when the key does not exist. Unlike
// a document, a VM's key is deleted with its lease, so a lower revision than before
// does not mean a stale read.
func (s *Store) vmRevision(ctx context.Context, key string) (uint64, error) {
	response, err := call(ctx, s, &s.reads, s.callTimeout, &rattanv1.GetRequest{Key: key}, s.platform.Get)
	if err != nil {
		return 0, newReadError(key, err)
	}
	return response.GetEntry().GetRevision(), nil
}

// Remove deletes the VM's key if this registration stored its present value. It
// must not be called while Run runs.
func (r *Registration) Remove(ctx context.Context) error {
	if r.revision == 0 {
		return nil
	}
	request := &rattanv1.PutRequest{Key: vmPrefix + r.stored.Name, ExpectedRevision: r.revision, Delete: true}
	if _, err := r.store.put(ctx, request); err != nil && !isAborted(err) {
		return errors.Wrap(err, "remove the VM's registration")
	}
	r.revision = 0
	return nil
}
