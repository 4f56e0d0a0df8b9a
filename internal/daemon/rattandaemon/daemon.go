// Package rattandaemon assembles the daemon: it connects the components for
// settings, peers, shares, keys, endpoints and callers, and runs them in a
// supervisor tree.
package rattandaemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"connectrpc.com/grpchealth"
	"github.com/charmbracelet/log"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/caller/rattanservice"
	"github.com/rattanstream/rattanstream/internal/caller/rattansession"
	"github.com/rattanstream/rattanstream/internal/caller/rattantransaction"
	"github.com/rattanstream/rattanstream/internal/config/rattankey"
	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
	"github.com/rattanstream/rattanstream/internal/config/rattanstore"
	"github.com/rattanstream/rattanstream/internal/daemon/rattanendpoints"
	"github.com/rattanstream/rattanstream/internal/daemon/rattangroups"
	"github.com/rattanstream/rattanstream/internal/daemon/rattanlisten"
	"github.com/rattanstream/rattanstream/internal/daemon/rattanroster"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadapter"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanexecutor"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanfailover"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanpool"
	"github.com/rattanstream/rattanstream/internal/limit/rattanshare"
	"github.com/rattanstream/rattanstream/internal/peer/rattangossip"
	"github.com/rattanstream/rattanstream/internal/peer/rattanlink"
	"github.com/rattanstream/rattanstream/internal/peer/rattanmember"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

// batchStatements is the largest number of statements in a batch.
const batchStatements = 100

// A Daemon is one daemon on an entry VM.
type Daemon struct {
	process *rattansettings.ProcessSettings
	clock   rattanclock.Clock
	logger  *log.Logger
	options options

	self     rattanmember.Identity
	stopping atomic.Bool

	replaced    chan struct{}
	replaceOnce sync.Once

	catalog       *catalog
	configuration *configuration
	gossip        *rattangossip.Store
	gossipRunner  *rattangossip.Runner
	members       *rattanmember.Registry
	keyring       *rattankey.Keyring
	store         *rattanstore.Store
	roster        *rattanroster.Controller
	peers         *peerLink
	endpoints     *rattanendpoints.Set
	groups        *rattangroups.Groups
	executor      *rattanexecutor.Executor
	transactions  *rattantransaction.Registry
	callers       *rattanservice.Service
	registration  *rattanstore.Registration

	peerServer   PeerServer
	peerListener net.Listener
	servers      []*rattanlisten.Server
	health       *grpchealth.StaticChecker
}

// options are what the Options of New set: baselines for measurements, and
// replacements for parts such as the network.
type options struct {
	pool     []rattanpool.Option
	executor []rattanexecutor.Option
	shares   []rattanshare.Option
	network  Network
	security *security

	peerClient PeerClient
	peerServer PeerServer
}

// An Option changes a Daemon.
type Option func(*options)

// WithFIFOQueues serves client accounts in the order of arrival instead of fairly.
// It is a baseline for measurements.
func WithFIFOQueues() Option {
	return func(o *options) { o.pool = append(o.pool, rattanpool.WithFIFO()) }
}

// WithPrimaryReads sends every read to the primary. It is a baseline for
// measurements.
func WithPrimaryReads() Option {
	return func(o *options) { o.executor = append(o.executor, rattanexecutor.WithPrimaryReads()) }
}

// WithFixedShares gives every daemon a fixed part of each rate, without loans. It
// is a baseline for measurements.
func WithFixedShares() Option {
	return func(o *options) { o.shares = append(o.shares, rattanshare.WithFixedShares()) }
}

// New returns a Daemon that already listens on its addresses. The error names
// the setting that cannot be used.
func New(process *rattansettings.ProcessSettings, clock rattanclock.Clock, logger *log.Logger, opts ...Option) (*Daemon, error) {
	d := &Daemon{process: process, clock: clock, logger: logger, replaced: make(chan struct{})}
	d.options.network = &tcp{}
	for _, option := range opts {
		option(&d.options)
	}
	if d.options.security == nil {
		security, err := loadSecurity(process.TLS())
		if err != nil {
			return nil, err
		}
		d.options.security = security
	}
	sealer, err := newSealer(process.Session())
	if err != nil {
		return nil, err
	}
	listeners, err := listen(d.options.network, process.Daemon())
	if err != nil {
		return nil, err
	}
	d.setIdentity(listeners)
	d.newState(d.options.security)
	d.newShares()
	d.newEndpoints()
	d.newCallers(sealer)
	d.newServers(listeners, d.options.security)
	return d, nil
}

// setIdentity sets this daemon's identity. The incarnation, the time of the start,
// rises with every start as long as the VM's clock does not go back between them.
func (d *Daemon) setIdentity(listeners *listeners) {
	settings := d.process.Daemon()
	d.self = rattanmember.Identity{
		VM:            settings.VM(),
		Incarnation:   uint64(d.clock.Now().UnixMilli()),
		FailureDomain: settings.FailureDomain(),
		Addresses: rattanmember.Addresses{
			Caller:   listeners.caller.Addr().String(),
			Operator: listeners.operator.Addr().String(),
			Peer:     listeners.peer.Addr().String(),
		},
	}
}

// newState creates settings, keyring, membership, gossip and the platform's store.
func (d *Daemon) newState(security *security) {
	d.gossip = rattangossip.NewStore(d.clock)
	d.catalog = newCatalog()
	d.configuration = newConfiguration(d.logger, d.catalog, d.gossip)
	// The keyring calls its observers without holding its lock, since merging the
	// record leads back to the keyring's Withdraw.
	d.keyring = rattankey.New(d.clock, d.self.FailureDomain, rattankey.WithObserver(d.publishWithdrawal))
	d.gossip.Subscribe(rattanv1.RecordKind_RECORD_KIND_WITHDRAWAL, d.applyWithdrawals)
	d.members = rattanmember.New(d.self, d.gossip, d.clock,
		rattanmember.WithRunning(d.running),
		rattanmember.WithSeeds(d.process.Daemon().SeedPeers()...))
	d.newLinks(security)
	d.gossipRunner = d.newGossipRunner()
	httpClient := &http.Client{Transport: &http.Transport{DialContext: d.options.network.DialContext}}
	platform := rattanv1connect.NewPlatformServiceClient(httpClient, "http://"+d.process.Daemon().PlatformAddress())
	d.store = rattanstore.New(platform, d.clock)
	d.registration = d.store.NewRegistration(rattanstore.VM{
		Name:          d.self.VM,
		FailureDomain: d.self.FailureDomain,
		CallerAddress: d.self.Addresses.Caller,
		PeerAddress:   d.self.Addresses.Peer,
	}, 0)
}

// newLinks creates client and server of the links between daemons.
func (d *Daemon) newLinks(security *security) {
	client, server := d.options.peerClient, d.options.peerServer
	if client == nil {
		options := append(security.linkOptions(), rattanlink.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
			return d.options.network.DialContext(ctx, "tcp", address)
		}))
		client, server = rattanlink.NewClient(options...), rattanlink.NewServer(options...)
	}
	d.peers = &peerLink{client: client, members: d.members}
	d.peerServer = server
}

func (d *Daemon) newGossipRunner() *rattangossip.Runner {
	self := rattangossip.Peer{
		VM:            d.self.VM,
		Incarnation:   d.self.Incarnation,
		FailureDomain: d.self.FailureDomain,
		Address:       d.self.Addresses.Peer,
	}
	exchange := rattangossip.NewExchange(self, d.gossip,
		rattangossip.WithVolatile(d.members),
		rattangossip.WithFreshness(d.keyring.Freshness().Age),
		rattangossip.WithExchangeObserver(d.observeExchange))
	selector := rattangossip.NewPeerSelector(self.FailureDomain, d.members, d.clock, newRandom())
	return rattangossip.NewRunner(exchange, selector, d.peers.client, d.clock, newRandom())
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// observeExchange records a completed exchange with a peer. Only a peer in sync
// counts for isolation and freshness.
func (d *Daemon) observeExchange(result rattangossip.ExchangeResult) {
	d.members.ObserveExchange(result)
	if !result.InSync {
		return // the peer may have withdrawals that this daemon does not have yet
	}
	d.roster.ObservePeer(result.VM)
	d.keyring.Freshness().ObservePeer(result.FailureDomain, result.SentAt, result.FreshAge, result.FreshKnown)
}

// publishWithdrawal publishes the withdrawal of a key by gossip.
func (d *Daemon) publishWithdrawal(keyID string) {
	d.gossip.Merge(rattangossip.Record{Kind: rattanv1.RecordKind_RECORD_KIND_WITHDRAWAL, Name: keyID, Version: 1})
}

// applyWithdrawals withdraws the keys whose withdrawals were received by gossip.
func (d *Daemon) applyWithdrawals(records []rattangossip.Record) {
	names := make([]string, 0, len(records))
	for _, record := range records {
		names = append(names, record.Name)
	}
	d.keyring.Withdraw(names...)
}

// running returns the number of callers' requests and open transactions. It is
// zero until newCallers has run.
func (d *Daemon) running() uint32 {
	if d.callers == nil {
		return 0
	}
	return uint32(d.callers.Running()) + uint32(d.transactions.Len())
}

func (d *Daemon) newShares() {
	d.roster = rattanroster.New(rattanroster.Dependencies{
		Clock:     d.clock,
		Logger:    d.logger,
		Self:      d.self,
		Manager:   rattanshare.New(d.clock, d.self.VM, d.self.Incarnation, d.self.FailureDomain, d.peers, d.options.shares...),
		Gossip:    d.gossip,
		Store:     d.store,
		Members:   d.members,
		Freshness: d.keyring.Freshness(),
	})
}

func (d *Daemon) newEndpoints() {
	d.endpoints = rattanendpoints.New(d.clock, rattanendpoints.Config{
		HTTPClient:   rattanadapter.NewHTTPClient(d.options.network.DialContext),
		Daemon:       d.name(),
		MessageBytes: d.process.Limits().MessageBytes(),
		Share:        d.roster.ConnectionLimit,
		PoolOptions:  d.options.pool,
	})
	d.groups = rattangroups.New(rattangroups.Dependencies{
		Clock:  d.clock,
		Logger: d.logger,
		Self: rattanfailover.Daemon{
			Name:          d.self.VM,
			Incarnation:   d.self.Incarnation,
			FailureDomain: d.self.FailureDomain,
		},
		Gossip:    d.gossip,
		Endpoints: d.endpoints,
		Members:   d.members,
	})
	d.executor = rattanexecutor.New(d.clock, d.groups, d.endpoints, d.self.FailureDomain, d.options.executor...)
	d.configuration.listen(func(snapshot *rattansettings.Snapshot) {
		d.keyring.Update(snapshot)
		d.roster.Apply(snapshot)
		d.endpoints.Apply(snapshot)
		d.groups.Apply(snapshot)
	})
}

// name returns the name, VM/INCARNATION, that the daemon gives to endpoints for
// their logs. The names that it has as coordinator begin with it.
func (d *Daemon) name() string { return fmt.Sprintf("%s/%d", d.self.VM, d.self.Incarnation) }

func (d *Daemon) newCallers(sealer *rattansession.Sealer) {
	limits := d.process.Limits()
	d.transactions = rattantransaction.New(d.clock, d.self.VM, d.self.Incarnation, rattantransaction.Limits{
		MaxOpen:     limits.OpenTransactions(),
		IdleTimeout: limits.TransactionIdleTimeout(),
	})
	d.callers = rattanservice.New(rattanservice.Dependencies{
		Keyring:      &refusingKeyring{keyring: d.keyring},
		Catalog:      d.catalog,
		Admitter:     d.roster,
		Executor:     d.executor,
		Sessions:     &sessions{clock: d.clock, sealer: sealer},
		Transactions: d.transactions,
		Forwarder:    d.peers,
		Limits:       rattanservice.Limits{StatementTime: limits.StatementTime(), BatchStatements: batchStatements},
	})
	d.registerHandlers(d.peerServer)
}

// Addresses returns the addresses that the daemon listens on.
func (d *Daemon) Addresses() rattanmember.Addresses { return d.self.Addresses }

// Revision returns the revision of the team's settings in force.
func (d *Daemon) Revision(team string) uint64 { return d.configuration.snapshot().Revision(team) }
