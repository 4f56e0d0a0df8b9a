package rattandaemon

import (
	"context"
	"time"

	"connectrpc.com/grpchealth"
	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
	"github.com/rattanstream/rattanstream/internal/peer/rattanmember"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

const (
	// revisionInterval is how often the daemon checks whether its settings in force
	// have changed, to tell its peers, and updates its health status.
	revisionInterval = 50 * time.Millisecond
	// connectionInterval is how often the pools are set to the connection shares,
	// which change with rosters and settings only.
	connectionInterval = 2 * time.Second
	// balancerDelay is how long a stopping daemon still accepts new requests after
	// it reports NOT_SERVING, so that the platform's load balancer notices first.
	balancerDelay = 500 * time.Millisecond
	// lateTimeout is how long requests that run at the end of stop_timeout may still
	// run, such as a commit that has just arrived.
	lateTimeout = 500 * time.Millisecond
	// answerTimeout bounds the wait for the answers to the requests that the stop
	// has ended.
	answerTimeout = time.Second
	// leaveTimeout bounds the change of the roster at the stop.
	leaveTimeout = 2 * time.Second
)

// ErrReplaced is returned by Run when a daemon with a higher incarnation runs
// under the same VM name.
var ErrReplaced = errors.New("a newer daemon runs on this VM")

// Run serves until ctx ends and then stops gracefully: it reports NOT_SERVING,
// refuses new requests, finishes running requests and transactions within the
// stop_timeout of the settings, and gives its shares back. The error is nil after
// a graceful stop, or ErrReplaced when a newer daemon was the cause of the stop.
func (d *Daemon) Run(ctx context.Context) error {
	treeCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ended := d.supervisor().ServeBackground(treeCtx)
	d.logger.Info("daemon is running", "incarnation", d.self.Incarnation, "failure_domain", d.self.FailureDomain,
		"caller_address", d.self.Addresses.Caller, "operator_address", d.self.Addresses.Operator, "peer_address", d.self.Addresses.Peer)
	var result error
	select {
	case <-ctx.Done():
	case <-d.replaced:
		result = ErrReplaced
	case err := <-ended:
		return errors.Wrap(err, "supervisor ended")
	}
	d.stop()
	cancel()
	<-ended
	_ = d.peers.client.Close() // nothing is left to send, so an error does not matter
	d.logger.Info("daemon has stopped")
	return result
}

// replace stops this daemon because a newer one runs on its VM.
func (d *Daemon) replace() {
	d.replaceOnce.Do(func() { close(d.replaced) })
}

// supervisor returns the tree of services. A service that fails is restarted with
// backoff. Each part has its own supervisor, so that failures in one part do not
// affect the others.
func (d *Daemon) supervisor() *suture.Supervisor {
	spec := suture.Spec{EventHook: d.logEvent}
	root := suture.New("daemon", spec)
	d.addPart(root, spec, "callers", d.serverServices()...)
	d.addPart(root, spec, "peers",
		service{"peer server", func(ctx context.Context) error { return d.peerServer.Serve(ctx, d.peerListener) }},
		service{"gossip", d.gossipRunner.Run},
		service{"members", d.members.Run},
		service{"revisions", d.publishRevisions})
	d.addPart(root, spec, "platform",
		service{"registration", func(ctx context.Context) error { return d.registration.Run(ctx, d.registrationFailed) }},
		service{"settings watch", d.newWatcher(settingsPrefix).run},
		service{"roster watch", d.newWatcher(rosterPrefix).run})
	d.addPart(root, spec, "shares",
		service{"share manager", d.roster.Manager().Run},
		service{"share confirmation", d.roster.PublishConfirmations},
		service{"roster", d.roster.Reconcile},
		service{"connection shares", d.updateConnections})
	d.addPart(root, spec, "groups", service{"group monitors", d.groups.Run})
	return root
}

// addPart adds a supervisor with the given services to root.
func (d *Daemon) addPart(root *suture.Supervisor, spec suture.Spec, name string, services ...suture.Service) {
	part := suture.New(name, spec)
	for _, service := range services {
		part.Add(service)
	}
	root.Add(part)
}

func (d *Daemon) serverServices() []suture.Service {
	services := make([]suture.Service, 0, len(d.servers))
	for _, server := range d.servers {
		services = append(services, server)
	}
	return services
}

func (d *Daemon) newWatcher(prefix string) *watcher {
	return &watcher{
		clock:     d.clock,
		logger:    d.logger,
		prefix:    prefix,
		members:   d.members,
		store:     d.store,
		gossip:    d.gossip,
		freshness: d.keyring.Freshness(),
	}
}

// logEvent logs an event of the supervisors, except during the stop, which ends
// all services.
func (d *Daemon) logEvent(event suture.Event) {
	if d.stopping.Load() {
		return
	}
	d.logger.Warn("supervisor event", "event", event.String())
}

func (d *Daemon) registrationFailed(err error) {
	d.logger.Warn("VM is not registered in the platform", "error", err)
}

// publishRevisions publishes which settings are in force on this daemon, updates
// the health status for the load balancer, and stops the daemon when a newer one
// runs on its VM.
func (d *Daemon) publishRevisions(ctx context.Context) error {
	var published rattanmember.Revisions
	for {
		snapshot := d.configuration.snapshot()
		revisions := rattanmember.Revisions{Settings: snapshot.MaxRevision(), Digest: snapshot.Digest()}
		if revisions != published {
			d.members.SetRevisions(revisions)
			published = revisions
		}
		if d.members.Replaced() {
			d.replace()
		}
		d.setHealth(snapshot)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.clock.After(revisionInterval):
		}
	}
}

// updateConnections applies this daemon's connection shares to the pools until ctx
// ends.
func (d *Daemon) updateConnections(ctx context.Context) error {
	for {
		d.endpoints.UpdateShares()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.clock.After(connectionInterval):
		}
	}
}

// setHealth publishes the daemon's state to its peers and sets the health status,
// which is NOT_SERVING while the daemon stops or its failure domain is drained.
func (d *Daemon) setHealth(snapshot *rattansettings.Snapshot) {
	domain, ok := snapshot.FailureDomain(d.self.FailureDomain)
	status := grpchealth.StatusServing
	if d.stopping.Load() || ok && domain.Drained() {
		status = grpchealth.StatusNotServing
	}
	d.members.SetState(d.ownState(ok && domain.Drained()))
	d.health.SetStatus(rattanv1connect.CallerServiceName, status)
	d.health.SetStatus("", status)
}

func (d *Daemon) ownState(drained bool) rattanmember.State {
	switch {
	case d.stopping.Load():
		return rattanmember.Leaving
	case drained:
		return rattanmember.Draining
	default:
		return rattanmember.Serving
	}
}

// stop performs the steps of a graceful stop. Each step has a time limit.
func (d *Daemon) stop() {
	d.logger.Info("daemon is stopping", "running", d.callers.Running(), "transactions", d.transactions.Len())
	d.stopping.Store(true)
	d.setHealth(d.configuration.snapshot())
	d.registration.SetLeaving()
	ctx, cancel := context.WithTimeout(context.Background(), d.process.Daemon().StopTimeout())
	defer cancel()
	d.wait(ctx, balancerDelay)
	d.callers.StopAccepting()
	if ended := d.transactions.Drain(ctx); ended > 0 {
		d.logger.Warn("transactions were rolled back at the stop", "transactions", ended)
	}
	d.callers.StopTransactions()
	d.waitRunning(ctx)
	d.endRequests()
	leaveCtx, cancelLeave := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLeave()
	if err := d.roster.Leave(leaveCtx); err != nil {
		d.logger.Warn("shares were not given back; they stay unused until the VM is removed from the roster", "error", err)
	}
}

// endRequests ends the requests that still run after lateTimeout, waits for their
// answers and closes the connections to the endpoints.
func (d *Daemon) endRequests() {
	lateCtx, cancelLate := context.WithTimeout(context.Background(), lateTimeout)
	defer cancelLate()
	d.waitRunning(lateCtx)
	if running := d.callers.Running(); running > 0 {
		d.logger.Warn("requests were ended at the stop", "requests", running)
	}
	d.callers.End()
	answerCtx, cancelAnswer := context.WithTimeout(context.Background(), answerTimeout)
	defer cancelAnswer()
	d.waitRunning(answerCtx)
	d.endpoints.Close(answerCtx)
}

// waitRunning waits until no request of a caller runs, at most until ctx ends.
func (d *Daemon) waitRunning(ctx context.Context) {
	const pollInterval = 10 * time.Millisecond
	for d.callers.Running() > 0 && ctx.Err() == nil {
		d.wait(ctx, pollInterval)
	}
}

func (d *Daemon) wait(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-d.clock.After(duration):
	}
}
