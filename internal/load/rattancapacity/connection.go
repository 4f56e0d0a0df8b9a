package rattancapacity

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/load/rattancluster"
	"github.com/rattanstream/rattanstream/internal/standin/rattanendpoint"
)

// Names of the figures of connections. They include the caller's end of a connection,
// which is in the same process; it is a bare TCP connection without goroutine or buffer.
const (
	figureIdleHeap  = "idle_heap_bytes_per_connection"
	figureIdleStack = "idle_stack_bytes_per_connection"
	figureBusyHeap  = "busy_heap_bytes_per_connection"
	figureBusyStack = "busy_stack_bytes_per_connection"
	figureBusy      = "busy_requests"
)

// MeasureConnections measures the memory of callers' connections to one daemon: idle
// ones after one request, and busy ones, whose request waits for an endpoint. The
// connections use HTTP/1.1 without TLS.
func MeasureConnections(ctx context.Context, idle, busy int, plan Plan) ([]Figures, error) {
	f, err := startFleet(ctx, oneDaemon)
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	var runs []Figures
	for run := range plan.Windows {
		if run > 0 {
			if err := f.awaitPools(ctx); err != nil {
				return nil, err
			}
		}
		figures := make(Figures)
		if err := f.idleConnections(ctx, idle, figures); err != nil {
			return nil, err
		}
		if err := f.busyConnections(ctx, busy, figures); err != nil {
			return nil, err
		}
		runs = append(runs, figures)
	}
	return runs, nil
}

// awaitPools waits until the daemon's connection pools have recovered from the frozen
// endpoints: the calls that hung have opened circuit breakers, and a pool is slow for
// 5 s after its breaker closes.
func (f *fleet) awaitPools(ctx context.Context) error {
	if err := f.readEveryGroup(ctx); err != nil {
		return err
	}
	wait(ctx, poolRecoveryTime)
	return nil
}

// idleConnections measures connections that have had one response each.
func (f *fleet) idleConnections(ctx context.Context, count int, figures Figures) error {
	conns, err := f.dialCallers(ctx, count)
	defer closeAll(conns)
	if err != nil {
		return err
	}
	// The first request on a connection allocates its server goroutine, so the
	// connections are measured against the state after all of them are closed.
	for _, conn := range conns {
		if err := f.sendRead(conn); err != nil {
			return err
		}
		if err := readResponse(conn); err != nil {
			return err
		}
	}
	heap, stack := usedMemory()
	closeAll(conns)
	wait(ctx, closeDelay)
	heapAfter, stackAfter := usedMemory()
	figures[figureIdleHeap] = (float64(heap) - float64(heapAfter)) / float64(count)
	figures[figureIdleStack] = (float64(stack) - float64(stackAfter)) / float64(count)
	return nil
}

// poolRecoveryTime is longer than a pool's slow start.
const poolRecoveryTime = 6 * time.Second

// closeDelay is long enough for the daemon to notice that connections have closed. It is
// also how long busy connections wait before they are measured.
const closeDelay = time.Second

// busyConnections measures connections with a request that waits, while all endpoints
// are frozen.
func (f *fleet) busyConnections(ctx context.Context, count int, figures Figures) error {
	f.setFrozen(true)
	defer f.setFrozen(false)
	heapBefore, stackBefore := usedMemory()
	conns, err := f.dialCallers(ctx, count)
	defer closeAll(conns)
	if err != nil {
		return err
	}
	for _, conn := range conns {
		if err := f.sendRead(conn); err != nil {
			return err
		}
	}
	wait(ctx, closeDelay)
	running, err := f.runningRequests()
	if err != nil {
		return err
	}
	heap, stack := usedMemory()
	figures[figureBusy] = running
	figures[figureBusyHeap] = (float64(heap) - float64(heapBefore)) / float64(count)
	figures[figureBusyStack] = (float64(stack) - float64(stackBefore)) / float64(count)
	return nil
}

func (f *fleet) setFrozen(frozen bool) {
	for _, endpoint := range f.Endpoints() {
		endpoint.Adjust(func(controls *rattanendpoint.Controls) { controls.Frozen = frozen })
	}
}

// runningRequests returns how many requests run in the first daemon.
func (f *fleet) runningRequests() (float64, error) {
	response, err := http.Get(f.VMs()[0].DebugURL() + "/debug/vars")
	if err != nil {
		return 0, errors.Wrap(err, "read metrics")
	}
	defer func() { _ = response.Body.Close() }()
	var metrics struct {
		Daemon struct {
			Running float64 `json:"running"`
		} `json:"daemon"`
	}
	if err := json.NewDecoder(response.Body).Decode(&metrics); err != nil {
		return 0, errors.Wrap(err, "read metrics")
	}
	return metrics.Daemon.Running, nil
}

func (f *fleet) dialCallers(ctx context.Context, count int) ([]net.Conn, error) {
	target, err := url.Parse(f.VMs()[0].CallerURL())
	if err != nil {
		return nil, errors.Wrap(err, "parse the daemon's address")
	}
	conns := make([]net.Conn, 0, count)
	for range count {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", target.Host)
		if err != nil {
			return conns, errors.Wrap(err, "connect to the daemon")
		}
		conns = append(conns, conn)
	}
	return conns, nil
}

// sendRead sends a read without waiting for the response.
func (f *fleet) sendRead(conn net.Conn) error {
	body := fmt.Sprintf(`{"service": %q, "statement": {"text": %q}, "readOnly": true}`,
		rattancluster.Team+"/"+f.Scenario().Services[0], readText)
	_, err := fmt.Fprintf(conn, "POST /rattanstream.v1.CallerService/Execute HTTP/1.1\r\nHost: daemon\r\n"+
		"Content-Type: application/json\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		f.Key(f.Scenario().Accounts[0].Name), len(body), body)
	return errors.Wrap(err, "send request")
}

func readResponse(conn net.Conn) error {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("response has status %s: %s", response.Status, body)
	}
	return nil
}

func closeAll(conns []net.Conn) {
	for _, conn := range conns {
		_ = conn.Close()
	}
}
