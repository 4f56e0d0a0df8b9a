package rattancluster

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/standin/rattanendpoint"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// awaitReady waits until every daemon has served a write to every service.
func (c *Cluster) awaitReady(ctx context.Context) error {
	for _, vm := range c.vms {
		client := c.Caller(vm)
		for _, service := range c.scenario.Services {
			for {
				request := connect.NewRequest(&rattanv1.ExecuteRequest{
					Service:   Team + "/" + service,
					Statement: &rattanv1.Statement{Text: "CREATE TABLE IF NOT EXISTS items (id TEXT, amount INTEGER)"},
					RequestId: "setup",
				})
				request.Header().Set("Authorization", "Bearer "+c.keys[c.scenario.Accounts[0].Name])
				_, err := client.Execute(ctx, request)
				if err == nil {
					break
				}
				if ctx.Err() != nil {
					return errors.Wrapf(err, "daemon of %s is not ready", vm.name)
				}
				time.Sleep(readyPollInterval)
			}
		}
	}
	return nil
}

// awaitReplicas waits until every endpoint has what its group had written when the wait
// began: a replica without the table would refuse reads.
func (c *Cluster) awaitReplicas(ctx context.Context) error {
	written := make(map[string]rattanmodel.Position)
	for name, instance := range c.endpoints {
		status, err := endpointStatus(ctx, instance)
		if err != nil {
			return errors.Wrapf(err, "read status of %s", name)
		}
		written[status.GetGroup()] = rattanmodel.PositionFromWire(status.GetPosition()).Max(written[status.GetGroup()])
	}
	for name, instance := range c.endpoints {
		for {
			status, err := endpointStatus(ctx, instance)
			if err != nil {
				return errors.Wrapf(err, "wait until %s has caught up", name)
			}
			if rattanmodel.PositionFromWire(status.GetPosition()).Compare(written[status.GetGroup()]) >= 0 {
				break
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

func endpointStatus(ctx context.Context, instance *rattanendpoint.Instance) (*rattanv1.EndpointStatus, error) {
	response, err := instance.Client(setupSender).GetStatus(ctx, connect.NewRequest(&rattanv1.GetStatusRequest{}))
	if err != nil {
		return nil, err
	}
	return response.Msg.GetStatus(), nil
}

const (
	// setupSender names the sender of the cluster's own calls to endpoints.
	setupSender = "setup"
	// readyPollInterval is the pause between two checks of what is not ready yet.
	readyPollInterval = 20 * time.Millisecond
)
