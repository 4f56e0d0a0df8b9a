package rattancluster

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"path"
	"sync"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
	"github.com/rattanstream/rattanstream/internal/config/rattanstore"
	"github.com/rattanstream/rattanstream/internal/daemon/rattandaemon"
	"github.com/rattanstream/rattanstream/internal/daemon/rattanlisten"
	"github.com/rattanstream/rattanstream/internal/standin/rattanendpoint"
	"github.com/rattanstream/rattanstream/internal/standin/rattanplatform"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

// A Cluster is a running deployment.
type Cluster struct {
	scenario Scenario
	network  Network
	hosts    *hosts
	clock    func(vm string) rattanclock.Clock
	observe  CallObserver
	logger   *log.Logger
	logLevel string
	options  []rattandaemon.Option

	hostOptions func(host string) []rattandaemon.Option
	useTLS      bool

	credentialSecret  string
	sealKey           string
	keys              map[string]string
	platform          *rattanplatform.Server
	platformAddress   string
	endpoints         map[string]*rattanendpoint.Instance
	endpointAddresses map[string]string
	vms               []*VM

	// authority is nil while links are plain TCP.
	authority *authority

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// An Option changes a Cluster.
type Option func(*Cluster)

// WithLog writes the daemons' logs to w from the given level on.
func WithLog(w io.Writer, level log.Level) Option {
	return func(c *Cluster) {
		c.logger = log.NewWithOptions(w, log.Options{Formatter: log.JSONFormatter, Level: level, ReportTimestamp: true})
		c.logLevel = level.String()
	}
}

// WithDaemonOptions sets options of all daemons, such as baselines.
func WithDaemonOptions(options ...rattandaemon.Option) Option {
	return func(c *Cluster) { c.options = append(c.options, options...) }
}

// WithHostOptions sets options of each daemon by the address of its VM.
func WithHostOptions(options func(host string) []rattandaemon.Option) Option {
	return func(c *Cluster) { c.hostOptions = options }
}

// WithNetwork replaces TCP on loopback addresses.
func WithNetwork(network Network) Option {
	return func(c *Cluster) { c.network = network }
}

// A Call is a call to a stand-in.
type Call struct {
	// Server is "platform" or the full name of an endpoint.
	Server string
	// From is the caller's address without a port.
	From      string
	Procedure string
	// Handled is false before the call is handled and true after.
	Handled bool
}

// A CallObserver is told of every call to a stand-in, before it is handled and after.
type CallObserver func(call Call)

// WithCallObserver sets the observer of calls to stand-ins.
func WithCallObserver(observe CallObserver) Option {
	return func(c *Cluster) { c.observe = observe }
}

// WithTLS makes callers, operators and daemons use TLS, with certificates of an
// authority that the cluster makes in memory.
func WithTLS() Option {
	return func(c *Cluster) { c.useTLS = true }
}

// WithClock sets the clock of each VM's daemon.
func WithClock(clock func(vm string) rattanclock.Clock) Option {
	return func(c *Cluster) { c.clock = clock }
}

// Start starts all parts of the scenario and returns when every daemon has the
// settings in force and knows all primaries, or when ctx ends.
func Start(ctx context.Context, scenario Scenario, options ...Option) (*Cluster, error) {
	c := &Cluster{
		scenario:          scenario,
		network:           loopback{},
		clock:             func(string) rattanclock.Clock { return rattanclock.System() },
		logger:            log.New(io.Discard),
		logLevel:          "info",
		hostOptions:       func(string) []rattandaemon.Option { return nil },
		credentialSecret:  randomHex(),
		sealKey:           randomHex(),
		keys:              make(map[string]string),
		endpoints:         make(map[string]*rattanendpoint.Instance),
		endpointAddresses: make(map[string]string),
	}
	for _, option := range options {
		option(c)
	}
	var err error
	if c.hosts, err = newHosts(c.network); err != nil {
		return nil, err
	}
	if c.useTLS {
		if c.authority, err = newAuthority(); err != nil {
			return nil, err
		}
	}
	c.ctx, c.cancel = context.WithCancel(context.WithoutCancel(ctx))
	if err := c.start(ctx); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

// randomHex returns 256 random bits as 64 hexadecimal digits.
func randomHex() string {
	var secret [32]byte
	_, _ = rand.Read(secret[:]) // crypto/rand.Read never returns an error
	return hex.EncodeToString(secret[:])
}

func (c *Cluster) start(ctx context.Context) error {
	if err := c.startPlatform(); err != nil {
		return err
	}
	if err := c.startEndpoints(); err != nil {
		return err
	}
	if err := c.storeDocuments(ctx); err != nil {
		return err
	}
	for i, count := range c.scenario.VMs {
		domain := c.scenario.Domains()[i]
		for n := range count {
			c.vms = append(c.vms, &VM{cluster: c, name: vmName(domain, n), domain: domain, host: c.hosts.host()})
		}
	}
	for _, vm := range c.vms {
		if err := vm.Start(); err != nil {
			return err
		}
	}
	if err := c.awaitReady(ctx); err != nil {
		return err
	}
	return c.awaitReplicas(ctx)
}

// httpClient returns an HTTP client of a machine.
func (c *Cluster) httpClient(host string) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: c.network.Dialer(host), MaxIdleConnsPerHost: idleConnections}}
}

// idleConnections is how many connections a machine keeps to another.
const idleConnections = 64

// serve serves handler on a new machine until the cluster stops.
func (c *Cluster) serve(name, host string, handler http.Handler) (string, error) {
	listener, err := c.network.Listen(address(host, serverPort))
	if err != nil {
		return "", errors.Wrapf(err, "listen for %s", name)
	}
	server := rattanlisten.New(name, listener, c.observed(name, handler))
	c.running.Go(func() { _ = server.Serve(c.ctx) })
	return listener.Addr().String(), nil
}

// observed tells the observer of the calls that handler gets.
func (c *Cluster) observed(name string, handler http.Handler) http.Handler {
	if c.observe == nil {
		return handler
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := Call{Server: name, From: hostOf(r.RemoteAddr), Procedure: path.Base(r.URL.Path)}
		c.observe(call)
		handler.ServeHTTP(w, r)
		call.Handled = true
		c.observe(call)
	})
}

func (c *Cluster) startPlatform() error {
	c.platform = rattanplatform.New(rattanclock.System())
	mux := http.NewServeMux()
	mux.Handle(c.platform.Handler())
	var err error
	c.platformAddress, err = c.serve("platform", c.hosts.host(), mux)
	return err
}

func (c *Cluster) startEndpoints() error {
	for i, service := range c.scenario.Services {
		var names []string
		for n := range endpointsPerGroup {
			names = append(names, Team+"/"+endpointName(service, c.scenario.endpointDomain(i, n)))
		}
		for n, name := range names {
			if err := c.startEndpoint(service, name, c.scenario.endpointDomain(i, n), names); err != nil {
				return err
			}
		}
	}
	// Replication starts when the addresses of all endpoints are known.
	for _, instance := range c.endpoints {
		c.running.Go(func() { instance.Run(c.ctx) })
	}
	return nil
}

func (c *Cluster) startEndpoint(service, name, domain string, group []string) error {
	host := c.hosts.host()
	client := c.httpClient(host)
	var peers []string
	for _, other := range group {
		if other != name {
			peers = append(peers, other)
		}
	}
	instance := rattanendpoint.New(rattanendpoint.Config{
		Name:           name,
		Group:          Team + "/" + service,
		FailureDomain:  domain,
		Peers:          peers,
		InitialPrimary: group[0],
		Slots:          c.scenario.Slots,
		Connections:    c.scenario.Connections,
		ServiceTime:    c.scenario.ServiceTime,
		Dial: func(peer string) rattanv1connect.EndpointServiceClient {
			return rattanv1connect.NewEndpointServiceClient(client, "http://"+c.endpointAddresses[peer], withSender(name))
		},
	}, rattanclock.System())
	instance.Adjust(func(controls *rattanendpoint.Controls) { controls.ReplicationLag = c.scenario.Lag })
	endpointAddress, err := c.serve(name, host, instance.Handler())
	if err != nil {
		return err
	}
	c.endpoints[name] = instance
	c.endpointAddresses[name] = endpointAddress
	return nil
}

// withSender names the sender of an instance's calls, for cuts between two of them.
func withSender(name string) connect.ClientOption {
	return connect.WithInterceptors(connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			request.Header().Set(rattanendpoint.PeerHeader, name)
			return next(ctx, request)
		}
	}))
}

func (c *Cluster) storeDocuments(ctx context.Context) error {
	store := rattanstore.New(c.platform, rattanclock.System())
	for _, document := range []struct{ team, text string }{
		{rattansettings.RootTeam, c.rootDocument()},
		{Team, c.teamDocument()},
	} {
		if _, err := rattansettings.ParseDocument(document.team, document.text); err != nil {
			return err
		}
		change := rattanstore.Change{
			Team:   document.team,
			ID:     "setup-" + document.team,
			Author: "setup",
			Update: func(rattanstore.StoredDocument) (string, error) { return document.text, nil },
		}
		if _, err := store.Change(ctx, change); err != nil {
			return err
		}
	}
	return nil
}

// Caller returns a caller's client of a VM.
func (c *Cluster) Caller(vm *VM) rattanv1connect.CallerServiceClient {
	return rattanv1connect.NewCallerServiceClient(vm.httpClient(), vm.CallerURL())
}

// Key returns a key of a client account.
func (c *Cluster) Key(account string) string { return c.keys[account] }

// Credential returns the operators' credential of a team of the cluster.
func (c *Cluster) Credential(team string) string { return "rst_" + team + "_" + c.credentialSecret }

// VMs returns the VMs in the order of their failure domains.
func (c *Cluster) VMs() []*VM { return c.vms }

// Scenario returns the scenario of the cluster.
func (c *Cluster) Scenario() Scenario { return c.scenario }

// PlatformHost returns the platform's address without a port.
func (c *Cluster) PlatformHost() string { return hostOf(c.platformAddress) }

// EndpointHost returns an endpoint's address without a port, by its full name.
func (c *Cluster) EndpointHost(name string) string { return hostOf(c.endpointAddresses[name]) }

// Operator returns an operator's client of a VM, with a team's credential.
func (c *Cluster) Operator(vm *VM, team string) rattanv1connect.OperatorServiceClient {
	credential := c.Credential(team)
	authorize := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			request.Header().Set("Authorization", "Bearer "+credential)
			return next(ctx, request)
		}
	})
	return rattanv1connect.NewOperatorServiceClient(vm.httpClient(), vm.OperatorURL(), connect.WithInterceptors(authorize))
}

// Platform returns the stand-in of the platform.
func (c *Cluster) Platform() *rattanplatform.Server { return c.platform }

// Endpoint returns the stand-in of an endpoint by its full name.
func (c *Cluster) Endpoint(name string) *rattanendpoint.Instance { return c.endpoints[name] }

// Endpoints returns the stand-ins of all endpoints by full name.
func (c *Cluster) Endpoints() map[string]*rattanendpoint.Instance { return c.endpoints }

// Stop stops all daemons gracefully, then the stand-ins.
func (c *Cluster) Stop() {
	var stopping sync.WaitGroup
	for _, vm := range c.vms {
		stopping.Go(vm.Stop)
	}
	stopping.Wait()
	c.cancel()
	c.running.Wait()
}
