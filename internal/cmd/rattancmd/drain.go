package rattancmd

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// drainProgress is the work that a daemon still has on what was taken out.
type drainProgress struct {
	running uint32
	// started counts requests of the last second; it is 0 where it is not known.
	started uint32
}

// A progressFunc returns the progress of draining what has the local name.
type progressFunc func(ctx context.Context, name string) (drainProgress, error)

// waitDrained reports the progress until nothing runs, and fails after wait.
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
