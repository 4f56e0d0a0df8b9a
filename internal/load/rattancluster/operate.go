package rattancluster

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
	"github.com/rattanstream/rattanstream/internal/standin/rattanendpoint"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// CallerURLs returns the base URLs of all VMs for callers.
func (c *Cluster) CallerURLs() []string {
	urls := make([]string, 0, len(c.vms))
	for _, vm := range c.vms {
		urls = append(urls, vm.CallerURL())
	}
	return urls
}

// NewCallerTransport returns an HTTP transport that sends from CallerHost. Whoever
// gets it closes its idle connections after use.
func (c *Cluster) NewCallerTransport() *http.Transport {
	transport := &http.Transport{DialContext: c.network.Dialer(CallerHost), MaxIdleConnsPerHost: idleConnections}
	if c.authority != nil {
		transport.TLSClientConfig = c.authority.clientConfig()
		transport.ForceAttemptHTTP2 = true
	}
	return transport
}

// Primary returns the full name of the primary with the highest term of a
// service's group, "" when it has none.
func (c *Cluster) Primary(service string) string {
	var name string
	var term uint64
	for candidate, instance := range c.endpoints {
		status := instance.Status()
		if status.GetGroup() == Team+"/"+service && status.GetRole() == rattanv1.EndpointRole_ENDPOINT_ROLE_PRIMARY && status.GetTerm() > term {
			name, term = candidate, status.GetTerm()
		}
	}
	return name
}

// SetKilled simulates that the process of an endpoint ends, or that it starts again.
// The endpoint is given by its full name.
func (c *Cluster) SetKilled(endpoint string, killed bool) {
	c.endpoints[endpoint].Adjust(func(controls *rattanendpoint.Controls) { controls.Killed = killed })
}

// SetRate changes the rate, in requests per second, and the burst of a client
// account through the operators' service.
func (c *Cluster) SetRate(ctx context.Context, account string, rate, burst int) (*rattanv1.ApplySettingsResponse, error) {
	section := "client_account." + account
	return c.editSettings(ctx, Team,
		&rattanv1.SettingsEdit{Section: section, Key: "rate", Value: strconv.Itoa(rate)},
		&rattanv1.SettingsEdit{Section: section, Key: "burst", Value: strconv.Itoa(burst)})
}

// SetDrained drains a failure domain or returns it to service, through the operators'
// service.
func (c *Cluster) SetDrained(ctx context.Context, domain string, drained bool) (*rattanv1.ApplySettingsResponse, error) {
	return c.editSettings(ctx, rattansettings.RootTeam,
		&rattanv1.SettingsEdit{Section: "failure_domain." + domain, Key: "drained", Value: strconv.FormatBool(drained)})
}

const (
	// changeTimeout limits the attempts at one change of the settings. It allows for a
	// busy machine, on which single calls to the platform time out.
	changeTimeout = time.Minute
	// changeRetry separates two attempts.
	changeRetry = 500 * time.Millisecond
)

// editSettings changes settings through the last VM, which a Script leaves in service.
// While the platform is unavailable it repeats the change with the same change id, so
// that an attempt that was applied without an answer is not applied twice.
func (c *Cluster) editSettings(ctx context.Context, team string, edits ...*rattanv1.SettingsEdit) (*rattanv1.ApplySettingsResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	operator := c.Operator(c.vms[len(c.vms)-1], team)
	change := &rattanv1.EditSettingsRequest{Team: team, Edits: edits, ChangeId: randomHex()}
	for {
		response, err := operator.EditSettings(ctx, connect.NewRequest(change))
		if err == nil {
			return response.Msg, nil
		}
		if code := connect.CodeOf(err); code != connect.CodeUnavailable && code != connect.CodeDeadlineExceeded {
			return nil, errors.Wrapf(err, "change settings of team %s", team)
		}
		select {
		case <-ctx.Done():
			return nil, errors.Wrapf(err, "change settings of team %s", team)
		case <-time.After(changeRetry):
		}
	}
}
