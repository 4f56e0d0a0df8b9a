package rattancapacity

import (
	"context"
	"time"

	"github.com/rattanstream/rattanstream/internal/load/rattancluster"
)

// Names of the figures of endpoints with fewer connections than daemons.
const (
	figureOpenCalls = "open_connection_calls_per_s_per_daemon_and_endpoint"
	figureReady     = "every_daemon_serves"
)

const (
	// scarceSettle is longer than the pools' backoff needs to reach its maximum.
	scarceSettle = 8 * time.Second
	scarceWindow = 10 * time.Second
	scarceSlots  = 3
)

// MeasureScarceConnections measures how often daemons try to open connections to
// endpoints when each endpoint allows the whole fleet at most this number of connections,
// and whether every daemon can serve a write to every group.
func MeasureScarceConnections(ctx context.Context, size Size, connections int) (Figures, error) {
	scenario := size.scenario()
	scenario.Slots, scenario.Connections = scarceSlots, connections
	counter := newCallCounter()
	ctx, cancel := context.WithTimeout(ctx, scarceSettle+scarceWindow+time.Second)
	defer cancel()
	figures := Figures{figureReady: 1}
	done := make(chan error, 1)
	go func() {
		cluster, err := rattancluster.Start(ctx, scenario,
			rattancluster.WithNetwork(newTrafficCounter()),
			rattancluster.WithCallObserver(counter.observe))
		if err != nil && ctx.Err() != nil {
			figures[figureReady] = 0
			err = nil // some daemon could not serve before the start timed out
		}
		if cluster != nil {
			<-ctx.Done()
			cluster.Stop()
		}
		done <- err
	}()
	wait(ctx, scarceSettle)
	before := counter.toEndpointsFromAll("OpenConnection")
	wait(ctx, scarceWindow)
	calls := counter.toEndpointsFromAll("OpenConnection") - before
	if err := <-done; err != nil {
		return nil, err
	}
	pairs := float64(size.Daemons * len(scenario.Services) * endpointsPerGroup)
	figures[figureOpenCalls] = float64(calls) / scarceWindow.Seconds() / pairs
	return figures, nil
}
