// Package rattancapacity measures what daemons cost: control work as a function of the
// size of the fleet, requests, and connections. The figures of docs/CAPACITY.md are
// derived from its measurements.
package rattancapacity

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/daemon/rattandaemon"
	"github.com/rattanstream/rattanstream/internal/load/rattancluster"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

// A Size is the size of a measured deployment.
type Size struct {
	// Domains is the number of failure domains, Groups that of endpoint groups with three
	// endpoints each, and Accounts that of client accounts.
	Daemons  int
	Domains  int
	Groups   int
	Accounts int
}

// String returns the size as a table shows it.
func (s Size) String() string {
	return fmt.Sprintf("%d daemons, %d domains, %d groups, %d accounts", s.Daemons, s.Domains, s.Groups, s.Accounts)
}

// The rate and burst of every client account are so high that no request of a
// measurement is refused.
const (
	accountRate  = 1_000_000
	accountBurst = 10_000_000
)

// scenario returns a deployment of the size. Its endpoints answer at once.
func (s Size) scenario() rattancluster.Scenario {
	scenario := rattancluster.Scenario{
		Name:        s.String(),
		VMs:         make([]int, s.Domains),
		Slots:       256,
		Connections: 1024,
	}
	for i := range s.Daemons {
		scenario.VMs[i%s.Domains]++
	}
	for i := range s.Groups {
		scenario.Services = append(scenario.Services, fmt.Sprintf("group%d", i))
	}
	for i := range s.Accounts {
		scenario.Accounts = append(scenario.Accounts, rattancluster.Account{
			Name: fmt.Sprintf("account%d", i), Rate: accountRate, Burst: accountBurst, Weight: 1,
		})
	}
	return scenario
}

// A fleet is a running deployment with counters of its traffic and calls.
type fleet struct {
	*rattancluster.Cluster
	size    Size
	traffic *trafficCounter
	calls   *callCounter
	// startDuration is the time from the start of the first part until the last daemon
	// is ready.
	startDuration time.Duration
}

// startTimeout bounds the start, which may never finish on an overloaded machine: calls
// that time out are repeated.
const startTimeout = 5 * time.Minute

func startFleet(ctx context.Context, size Size) (*fleet, error) {
	f := &fleet{size: size, traffic: newTrafficCounter(), calls: newCallCounter()}
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	err := withRole(roleStandin, func() error {
		var err error
		f.Cluster, err = rattancluster.Start(ctx, size.scenario(),
			rattancluster.WithNetwork(f.traffic),
			rattancluster.WithCallObserver(f.calls.observe),
			// The cluster calls this just before it starts the goroutines of a host's daemon,
			// which inherit the label.
			rattancluster.WithHostOptions(func(string) []rattandaemon.Option {
				setRole(roleDaemon)
				return nil
			}))
		return err
	})
	f.startDuration = time.Since(begin)
	return f, err
}

// hosts returns the addresses of the VMs.
func (f *fleet) hosts() []string {
	hosts := make([]string, 0, len(f.VMs()))
	for _, vm := range f.VMs() {
		hosts = append(hosts, vm.Host())
	}
	return hosts
}

// readEveryGroup sends one read to every group through every daemon, after which the
// daemons count the groups as in use.
func (f *fleet) readEveryGroup(ctx context.Context) error {
	return withRole(roleCaller, func() error {
		for _, vm := range f.VMs() {
			client := f.Caller(vm)
			for _, service := range f.Scenario().Services {
				if err := f.readUntilServed(ctx, client, service); err != nil {
					return err
				}
			}
		}
		return nil
	})
}

// serveTimeout bounds the time in which a daemon refuses reads: one that has just started
// has no share of the client accounts' rates yet.
const serveTimeout = 20 * time.Second

// readUntilServed repeats a read until it is served.
func (f *fleet) readUntilServed(ctx context.Context, client rattanv1connect.CallerServiceClient, service string) error {
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	for {
		_, err := client.Execute(ctx, f.newRead(service))
		if err == nil || ctx.Err() != nil {
			return errors.Wrapf(err, "read of service %s", service)
		}
		wait(ctx, pollInterval)
	}
}

// readText is a statement that costs an endpoint little, since the table is empty.
const readText = "SELECT COUNT(*) FROM items"

func (f *fleet) newRead(service string) *connect.Request[rattanv1.ExecuteRequest] {
	request := connect.NewRequest(&rattanv1.ExecuteRequest{
		Service:   rattancluster.Team + "/" + service,
		Statement: &rattanv1.Statement{Text: readText},
		ReadOnly:  true,
	})
	request.Header().Set("Authorization", "Bearer "+f.Key(f.Scenario().Accounts[0].Name))
	return request
}

func (f *fleet) newWrite(service, id string) *connect.Request[rattanv1.ExecuteRequest] {
	request := connect.NewRequest(&rattanv1.ExecuteRequest{
		Service: rattancluster.Team + "/" + service,
		Statement: &rattanv1.Statement{
			Text:      "UPDATE items SET amount = ? WHERE id = 'x'",
			Arguments: []*rattanv1.Value{{Kind: &rattanv1.Value_Integer{Integer: 1}}},
		},
		RequestId: id,
	})
	request.Header().Set("Authorization", "Bearer "+f.Key(f.Scenario().Accounts[0].Name))
	return request
}

// usedMemory returns the bytes of live heap and of stacks after a garbage collection.
func usedMemory() (heap, stack uint64) {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc, stats.StackInuse
}
