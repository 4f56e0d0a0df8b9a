package rattancapacity

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadapter"
	"github.com/rattanstream/rattanstream/internal/load/rattancluster"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

// oneDaemon is a deployment with a single daemon. Its endpoints answer at once.
var oneDaemon = Size{Daemons: 1, Domains: 3, Groups: 1, Accounts: 1}

// Names of the figures of requests.
const (
	figureDaemonCPU  = "daemon_cpu_us_per_request"
	figurePerCore    = "requests_per_s_per_daemon_core"
	figureProcessCPU = "process_cpu_us_per_request"
	figureAllocs     = "process_allocs_per_request"
	figureAllocBytes = "process_alloc_bytes_per_request"
	figureRate       = "requests_per_s"
	figureLatency    = "mean_latency_us"
)

// A Request has the cost of one kind of request with a number of callers.
type Request struct {
	Kind    string
	Callers int
	Runs    []Figures
}

// A sender sends one request of its kind. n is unique within a measurement.
type sender func(ctx context.Context, n uint64) error

// MeasureRequests measures reads and writes through one daemon, and reads at an endpoint
// without a daemon. The latter show which part of the figures per process is not the
// daemon's.
func MeasureRequests(ctx context.Context, callers []int, plan Plan) ([]Request, error) {
	f, err := startFleet(ctx, oneDaemon)
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	transport := f.NewCallerTransport()
	defer transport.CloseIdleConnections()
	client := rattanv1connect.NewCallerServiceClient(&http.Client{Transport: transport}, f.VMs()[0].CallerURL())
	service := f.Scenario().Services[0]
	var requests []Request
	for _, count := range callers {
		for _, kind := range []struct {
			name string
			send sender
		}{
			{"read", func(ctx context.Context, _ uint64) error {
				_, err := client.Execute(ctx, f.newRead(service))
				return err
			}},
			{"write", func(ctx context.Context, n uint64) error {
				_, err := client.Execute(ctx, f.newWrite(service, fmt.Sprintf("write-%d-%d", count, n)))
				return err
			}},
		} {
			measured, err := measureSender(ctx, kind.name, count, plan, func(int) sender { return kind.send })
			if err != nil {
				return nil, err
			}
			requests = append(requests, measured)
		}
		direct, err := f.measureDirect(ctx, count, plan)
		if err != nil {
			return nil, err
		}
		requests = append(requests, direct)
	}
	return requests, nil
}

// measureDirect measures reads that are sent to an endpoint without a daemon.
func (f *fleet) measureDirect(ctx context.Context, callers int, plan Plan) (Request, error) {
	transport := f.NewCallerTransport()
	defer transport.CloseIdleConnections()
	name := f.Primary(f.Scenario().Services[0])
	address := fmt.Sprintf("%s:%d", f.EndpointHost(name), standinPort)
	endpoint := rattanadapter.Dial(&http.Client{Transport: transport}, address, "capacity", maxResponseBytes)
	conns := make([]*rattanadapter.Conn, callers)
	for i := range conns {
		var err error
		if conns[i], err = endpoint.Open(ctx); err != nil {
			return Request{}, errors.Wrap(err, "open a connection to an endpoint")
		}
	}
	defer func() {
		for _, conn := range conns {
			_ = conn.Close(ctx) // no need to report it: the endpoint ends with the deployment
		}
	}()
	return measureSender(ctx, "direct_read", callers, plan, func(i int) sender {
		return func(ctx context.Context, _ uint64) error {
			_, err := conns[i].Run(ctx, &rattanv1.RunStatementsRequest{
				ClientAccount: rattancluster.Team + "/account0",
				Statements:    []*rattanv1.Statement{{Text: readText}},
				ReadOnly:      true,
			})
			return err
		}
	})
}

const maxResponseBytes = 1 << 20

// measureSender measures requests of a number of callers. Each caller sends its next
// request when the last is answered. The first window only opens connections and is not
// counted.
func measureSender(ctx context.Context, kind string, callers int, plan Plan, senders func(caller int) sender) (Request, error) {
	request := Request{Kind: kind, Callers: callers}
	var sequence atomic.Uint64
	for run := range plan.Windows + 1 {
		figures, err := sendWindow(ctx, kind, callers, plan, &sequence, senders)
		if err != nil {
			return request, errors.Wrapf(err, "measure %s with %d callers", kind, callers)
		}
		if run > 0 {
			request.Runs = append(request.Runs, figures)
		}
	}
	return request, nil
}

func sendWindow(ctx context.Context, kind string, callers int, plan Plan, sequence *atomic.Uint64, senders func(caller int) sender) (Figures, error) {
	cpu, err := startCPU()
	if err != nil {
		return nil, err
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	usedBefore, begin := processCPU(), time.Now()
	count, err := sendAll(ctx, callers, plan.Window, sequence, senders)
	seconds := time.Since(begin).Seconds()
	process := processCPU() - usedBefore
	runtime.ReadMemStats(&after)
	used, cpuErr := cpu.stop()
	if err != nil {
		return nil, err
	}
	if cpuErr != nil {
		return nil, cpuErr
	}
	if err := cpu.save(plan.Profile, fmt.Sprintf("%s %d callers", kind, callers)); err != nil {
		return nil, err
	}
	requests := float64(count)
	figures := Figures{
		figureProcessCPU: float64(process.Microseconds()) / requests,
		figureAllocs:     float64(after.Mallocs-before.Mallocs) / requests,
		figureAllocBytes: float64(after.TotalAlloc-before.TotalAlloc) / requests,
		figureRate:       requests / seconds,
		figureLatency:    seconds * 1e6 * float64(callers) / requests,
	}
	if daemon := used[roleDaemon]; daemon > 0 {
		figures[figureDaemonCPU] = float64(daemon.Microseconds()) / requests
		figures[figurePerCore] = requests / daemon.Seconds()
	}
	return figures, nil
}

// sendAll sends requests for a time span and returns how many were served.
func sendAll(ctx context.Context, callers int, span time.Duration, sequence *atomic.Uint64, senders func(caller int) sender) (uint64, error) {
	var count atomic.Uint64
	end := time.Now().Add(span)
	err := withRole(roleCaller, func() error {
		var running sync.WaitGroup
		failed := make(chan error, callers)
		for i := range callers {
			send := senders(i)
			running.Go(func() {
				for time.Now().Before(end) {
					if err := send(ctx, sequence.Add(1)); err != nil {
						failed <- err
						return
					}
					count.Add(1)
				}
			})
		}
		running.Wait()
		close(failed)
		return <-failed
	})
	return count.Load(), err
}
