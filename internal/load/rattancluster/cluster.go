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

// A Cluster is a running deployment: stand-ins of the platform and of the endpoints,
// and VMs with daemons.
type Cluster struct {
	scenario Scenario
	network  Network
	hosts    *hostBlock
	clock    func(vm string) rattanclock.Clock
	observe  CallObserver
	logger   *log.Logger
	logLevel string
	options  []rattandaemon.Option

	hostOptions func(host string) []rattandaemon.Option
	useTLS      bool

	credentialSecret string
	sealKey          string
	// keys has the key that callers send, by client account.
	keys            map[string]string
	platform        *rattanplatform.Server
	platformAddress string
	// endpoints and endpointAddresses are by full name, such as shop/orders-a.
	endpoints         map[string]*rattanendpoint.Instance
	endpointAddresses map[string]string
	vms               []*VM

	// authority is nil when the cluster runs without TLS.
	authority *certificateAuthority

	// ctx ends when the cluster stops; running has the goroutines of the stand-ins.
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// An Option configures a Cluster.
type Option func(*Cluster)

// WithLog writes the daemons' log entries of the level and above to w.
func WithLog(w io.Writer, level log.Level) Option {
	return func(c *Cluster) {
		c.logger = log.NewWithOptions(w, log.Options{Formatter: log.JSONFormatter, Level: level, ReportTimestamp: true})
		c.logLevel = level.String()
	}
}

// WithDaemonOptions adds options for all daemons, for example to run one of the
// baselines that the design is compared with.
func WithDaemonOptions(options ...rattandaemon.Option) Option {
	return func(c *Cluster) { c.options = append(c.options, options...) }
}

// WithHostOptions adds options for single daemons. The function gets the address of a
// VM and is called before each start of its daemon, on the goroutine that starts it.
func WithHostOptions(options func(host string) []rattandaemon.Option) Option {
	return func(c *Cluster) { c.hostOptions = options }
}

// WithNetwork replaces the default network, TCP on loopback addresses.
func WithNetwork(network Network) Option {
	return func(c *Cluster) { c.network = network }
}

// A Call is an RPC to a stand-in.
type Call struct {
	// Server is "platform" or the full name of an endpoint.
	Server string
	// From is the sender's address without a port.
	From      string
	Procedure string
	// Handled is false before the call is handled and true after.
	Handled bool
}

// A CallObserver is called for every RPC to a stand-in, before it is handled and after.
type CallObserver func(call Call)

// WithCallObserver sets the observer of RPCs to stand-ins.
func WithCallObserver(observe CallObserver) Option {
	return func(c *Cluster) { c.observe = observe }
}

// WithTLS makes callers, operators and daemons use TLS. The cluster creates a
// certificate authority in memory that signs the certificates.
func WithTLS() Option {
	return func(c *Cluster) { c.useTLS = true }
}

// WithClock sets the clock of each VM's daemon.
func WithClock(clock func(vm string) rattanclock.Clock) Option {
	return func(c *Cluster) { c.clock = clock }
}

// Start starts the stand-ins and daemons of the scenario. It returns when every daemon
// serves writes to every service and the replicas have caught up, or with an error
// when ctx ends before.
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
	if c.hosts, err = newHostBlock(c.network); err != nil {
		return nil, err
	}
	if c.useTLS {
		if c.authority, err = newCertificateAuthority(); err != nil {
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
			c.vms = append(c.vms, &VM{cluster: c, name: vmName(domain, n), domain: domain, host: c.hosts.nextHost()})
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

// httpClient returns an HTTP client with which the machine at an address sends.
func (c *Cluster) httpClient(host string) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: c.network.Dialer(host), MaxIdleConnsPerHost: idleConnections}}
}

// idleConnections is how many idle HTTP connections a machine keeps to another.
const idleConnections = 64

// serve serves handler at the address of a new machine until the cluster stops. It
// returns the address with the port.
func (c *Cluster) serve(name, host string, handler http.Handler) (string, error) {
	listener, err := c.network.Listen(address(host, standinPort))
	if err != nil {
		return "", errors.Wrapf(err, "listen for %s", name)
	}
	server := rattanlisten.New(name, listener, c.withObserver(name, handler))
	c.running.Go(func() { _ = server.Serve(c.ctx) })
	return listener.Addr().String(), nil
}

// withObserver returns a handler that calls the observer before and after each request.
func (c *Cluster) withObserver(name string, handler http.Handler) http.Handler {
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
	c.platformAddress, err = c.serve("platform", c.hosts.nextHost(), mux)
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
	host := c.hosts.nextHost()
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

// withSender names the sending endpoint in every call, so that a test can partition two
// endpoints from each other.
func withSender(name string) connect.ClientOption {
	return connect.WithInterceptors(connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			request.Header().Set(rattanendpoint.PeerHeader, name)
			return next(ctx, request)
		}
	}))
}

// storeDocuments stores the settings of team root and of Team.
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

// Caller returns a client of the caller service of a VM's daemon.
func (c *Cluster) Caller(vm *VM) rattanv1connect.CallerServiceClient {
	return rattanv1connect.NewCallerServiceClient(vm.httpClient(), vm.CallerURL())
}

// Key returns the key that callers of a client account send.
func (c *Cluster) Key(account string) string { return c.keys[account] }

// Credential returns the credential that operators of a team send.
func (c *Cluster) Credential(team string) string { return "rst_" + team + "_" + c.credentialSecret }

// VMs returns the VMs in the order of their failure domains.
func (c *Cluster) VMs() []*VM { return c.vms }

// Scenario returns the scenario of the cluster.
func (c *Cluster) Scenario() Scenario { return c.scenario }

// PlatformHost returns the platform's address without a port.
func (c *Cluster) PlatformHost() string { return hostOf(c.platformAddress) }

// EndpointHost returns an endpoint's address without a port, by its full name.
func (c *Cluster) EndpointHost(name string) string { return hostOf(c.endpointAddresses[name]) }

// Operator returns a client of the operator service of a VM's daemon, with a team's
// credential.
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
