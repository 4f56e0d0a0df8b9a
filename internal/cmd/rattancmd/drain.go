package rattancmd

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// drainProgress counts the requests on a failure domain or endpoint that was taken
// out: those of all daemons for a failure domain, and those of the daemon that the
// command talks to for an endpoint.
type drainProgress struct {
	running uint32
	// started counts requests that began in the last second. It is always 0 for an
	// endpoint, where it is not known.
	started uint32
}

// A progressFunc returns the drain progress of the failure domain or endpoint with
// the given name, which is without its team.
type progressFunc func(ctx context.Context, name string) (drainProgress, error)

// waitDrained prints the progress until no request runs or starts any more. It
// returns a pendingError if requests still run after wait.
func (c *config) waitDrained(ctx context.Context, what string, wait time.Duration, progress func(context.Context) (drainProgress, error)) error {
	const interval = 500 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	last := drainProgress{}
	for {
		current, err := progress(ctx)
		switch {
		case err != nil && ctx.Err() == nil:
			return err
		case err == nil:
			last = current
			fmt.Fprintf(c.stderr, "%s: %d running, %d started in the last second\n", what, last.running, last.started)
			if last == (drainProgress{}) {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return pendingError{fmt.Sprintf("%s is taken out; after %s %d requests still run there", what, wait, last.running)}
		case <-time.After(interval):
		}
	}
}

func (c *config) domainProgress(ctx context.Context, name string) (drainProgress, error) {
	client, err := c.operator.client()
	if err != nil {
		return drainProgress{}, err
	}
	response, err := client.GetFleet(ctx, connect.NewRequest(&rattanv1.GetFleetRequest{}))
	if err != nil {
		return drainProgress{}, err
	}
	for _, domain := range response.Msg.GetFailureDomains() {
		if domain.GetName() == name {
			return drainProgress{running: domain.GetRunning(), started: domain.GetStarted()}, nil
		}
	}
	return drainProgress{}, nil
}

func (c *config) endpointProgress(ctx context.Context, name string) (drainProgress, error) {
	client, err := c.operator.client()
	if err != nil {
		return drainProgress{}, err
	}
	response, err := client.GetGroups(ctx, connect.NewRequest(&rattanv1.GetGroupsRequest{}))
	if err != nil {
		return drainProgress{}, err
	}
	for _, group := range response.Msg.GetGroups() {
		for _, endpoint := range group.GetEndpoints() {
			if endpoint.GetName() == c.operator.team+"/"+name {
				return drainProgress{running: endpoint.GetRunning()}, nil
			}
		}
	}
	return drainProgress{}, nil
}
