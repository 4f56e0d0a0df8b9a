// Package rattanproxy is the daemon of an entry VM on the users' platform: it
// serves callers' sessions, forwards their statements to the endpoints, and takes
// part in the failover that maintains one primary per group.
package rattanproxy

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
	"github.com/rattanstream/rattanstream/internal/daemon/rattanstop"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattandispatch"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattangrant"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanplacement"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanswitchover"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
	"github.com/rattanstream/rattanstream/internal/peer/rattanlink"
)

// grantLifetime is how long a daemon relies on a renewal of its lease. It bounds
// how long a switchover waits for a daemon that does not answer.
const grantLifetime = 1000 * time.Millisecond

// A CallerConn is the connection of one caller.
type CallerConn interface {
	ReadStart() (database, key string, err error)
	ReadStatement() (rattanstatement.Statement, error)
	// AwaitMessage waits for a message of the caller and consumes nothing.
	AwaitMessage() error
	// HasArrived reports whether a message has arrived that was not read yet.
	HasArrived() bool
	WriteGreeting() error
	WriteRefusal(code rattanstatement.Code, detail string) error
	WriteResult(result rattanstatement.Result) error
	SetReadDeadline(t time.Time) error
	SetWriteDeadline(t time.Time) error
	Close() error
}

// A Platform connects the daemon to the systems around it.
type Platform struct {
	// Store is the shared store.
	Store rattankv.Store
	// Decoder decodes what operators and endpoints write to the store.
	Decoder rattancache.Decoder
	// Promoter makes endpoints primary.
	Promoter rattanswitchover.Promoter
	// UsageReporter reports the usage of client accounts.
	UsageReporter UsageReporter
	// ObserveDates sets what gets the date that another system names in a response, cut to
	// whole seconds, with the time that the response took.
	ObserveDates func(observe func(date time.Time, took time.Duration))
	// Dial connects to endpoints.
	Dial rattanupstream.DialFunc
	// Caller returns the caller's side of an accepted connection.
	Caller func(net.Conn) CallerConn
	// ParseCallerError returns what is wrong with a message, or false for other
	// errors.
	ParseCallerError func(error) (ProtocolError, bool)
	// IsTerminated reports whether the caller ended its session.
	IsTerminated func(error) bool
	// Readiness answers the load balancer's health checks.
	Readiness func(ready func() bool) http.Handler
}

// A ProtocolError is a caller's message that violates the protocol.
type ProtocolError struct {
	ID      string
	Code    rattanstatement.Code
	Problem string
	IsFatal bool
}

// A Proxy is one daemon.
type Proxy struct {
	settings *rattansettings.ProxySettings
	reload   Reload
	clock    rattanclock.Clock
	// boot also counts the time that the VM is suspended; leases and grants age by it.
	boot          rattanclock.Clock
	logger        *log.Logger
	platform      Platform
	cache         *rattancache.Cache
	grants        *rattangrant.Grants
	switchovers   *rattangrant.SwitchoverEstimator
	configuration *configuration
	endpoints     *endpointSet
	owners        *owners
	loads         *loads
	egress        *egress
	// forwarded holds the transactions of other daemons on this one's connections.
	forwarded  *forwardedWork
	metrics    *metrics
	relay      *relay
	follower   *follower
	juries     *juries
	leadership *leadership
	// usage is nil unless the settings ask for usage reports.
	usage        *usage
	extension    *extension
	terms        *termObserver
	isolation    isolation
	dispatch     *rattandispatch.Dispatcher
	registration *registration
	admission    *admission
	peers        *rattanlink.Client
	peerServer   *rattanlink.Server
	sessions     sessions
	// knowsRecords is true while the daemon has held grants without a gap: it then knows
	// of every switchover that has ended.
	knowsRecords atomic.Bool
	// stopSchedule is nil until the daemon is told to stop.
	stopSchedule atomic.Pointer[rattanstop.Schedule]
}

// New returns a daemon that Run starts. Reload reads its settings again. The boot
// clock must count the time that the VM is suspended.
func New(settings *rattansettings.ProxySettings, reload Reload, clock, boot rattanclock.Clock, logger *log.Logger, platform Platform) *Proxy {
	p := &Proxy{
		settings:    settings,
		reload:      reload,
		clock:       clock,
		boot:        boot,
		logger:      logger,
		platform:    platform,
		cache:       rattancache.New(boot, platform.Decoder),
		grants:      rattangrant.New(boot, grantLifetime),
		switchovers: rattangrant.NewSwitchoverEstimator(clock),
	}
	p.configuration = &configuration{proxy: p}
	p.isolation.isIsolated.Store(true)
	p.leadership = &leadership{proxy: p}
	p.usage = newUsage(p)
	p.endpoints = newEndpointSet(p)
	p.owners = newOwners(p)
	p.loads = newLoads(p)
	p.egress = newEgress(p)
	p.forwarded = newForwardedWork(p)
	p.metrics = newMetrics()
	p.relay = newRelay(p)
	p.follower = newFollower(p)
	p.juries = &juries{proxy: p}
	p.extension = newExtension(p)
	p.terms = &termObserver{proxy: p}
	p.dispatch = rattandispatch.New(clock, p.endpoints, p.owners, p.grants, p.switchovers,
		rattanplacement.New(p.egress, rand.Float64), p.logOutlier)
	p.registration = newRegistration(p)
	p.admission = newAdmission(p)
	p.peerServer = p.newPeerServer()
	p.peers = rattanlink.NewClient(rattanlink.WithDial(dialPeer),
		rattanlink.WithMaxBackoff(peerBackoff), rattanlink.WithStreamOpenTimeout(peerAckTimeout),
		rattanlink.WithExchangeObserver(p.egress.observeExchange),
		rattanlink.WithMismatchObserver(p.observeMismatch))
	return p
}

// Run serves until ctx ends and then stops gracefully.
func (p *Proxy) Run(ctx context.Context) error {
	p.logger.Info("daemon_start", "failure_domain", p.settings.FailureDomain(), "incarnation", p.registration.incarnation)
	callers, err := net.Listen("tcp", p.settings.CallerAddress())
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	tree := suture.New("rattanproxy", suture.Spec{EventHook: p.logEvent})
	tree.Add(newService("store_sync", p.syncStore))
	tree.Add(newService("grant_baseline", p.runInitialSyncs))
	tree.Add(newService("register", p.registration.untilWithdrawn(p.registration.run)))
	tree.Add(newService("failover", p.registration.untilWithdrawn(p.runLeadership)))
	tree.Add(newService("endpoints", p.endpoints.run))
	tree.Add(newService("connections_ahead", p.endpoints.openAhead))
	tree.Add(newService("readiness", p.serveReadiness))
	tree.Add(newService("peers", p.servePeers))
	tree.Add(newService("kept_work", p.forwarded.endIdle))
	tree.Add(newService("metrics", p.serveMetrics))
	tree.Add(newService("relay", p.relay.run))
	tree.Add(newService("seek", p.follower.runSeek))
	tree.Add(newService("isolation", p.watchIsolation))
	tree.Add(newService("token_pools", p.admission.watchOwners))
	tree.Add(newService("settings", p.watchSettings))
	if p.usage != nil {
		tree.Add(newService("usage", p.usage.run))
		tree.Add(newService("usage_reports", p.usage.runReports))
	}
	tree.Add(newService("callers", func(ctx context.Context) error { return p.accept(ctx, callers) }))
	var finished sync.WaitGroup
	finished.Go(func() { _ = tree.Serve(running) })
	<-ctx.Done()
	p.stop(callers)
	cancel()
	finished.Wait()
	if err := p.peers.Close(); err != nil {
		p.logger.Warn("peers_close_failed", "error", err)
	}
	p.logCutWork()
	p.logger.Info("daemon_stop")
	return nil
}

func (p *Proxy) logEvent(event suture.Event) {
	p.logger.Error("service_failed", "event", event.String())
}

// A service is a part of the daemon that the supervisor restarts when it fails.
type service struct {
	name string
	run  func(ctx context.Context) error
}

func newService(name string, run func(ctx context.Context) error) *service {
	return &service{name: name, run: run}
}

// Serve implements suture.Service.
func (s *service) Serve(ctx context.Context) error { return s.run(ctx) }

// String implements fmt.Stringer.
func (s *service) String() string { return s.name }

// isReady reports whether the daemon accepts new sessions.
func (p *Proxy) isReady() bool {
	snapshot := p.cache.Snapshot()
	return !p.isStopping() && !p.isolation.isIsolated.Load() && snapshot.Catalog != nil && len(snapshot.Endpoints) > 0
}

func (p *Proxy) serveReadiness(ctx context.Context) error {
	server := &http.Server{
		Addr:              p.settings.ReadinessAddress(),
		Handler:           p.platform.Readiness(p.isReady),
		ReadHeaderTimeout: 5 * time.Second,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve readiness")
	}
	return nil
}

// sleep waits for d or until ctx ends; it returns false when ctx has ended.
func (p *Proxy) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-p.clock.After(d):
		return true
	}
}
