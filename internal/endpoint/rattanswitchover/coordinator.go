package rattanswitchover

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattangrant"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattansuccessor"
)

const (
	// catchUpTimeout limits the wait in a planned switchover until a successor holds
	// all that the old primary holds.
	catchUpTimeout = 800 * time.Millisecond
	// promotionTimeout limits the wait until the promoted endpoint is the primary.
	promotionTimeout = 4 * time.Second
	// callTimeout limits one call to the store or the platform.
	callTimeout = 700 * time.Millisecond
	// promoteAttempts is the maximum number of calls to promote one endpoint.
	promoteAttempts = 5
	// expelTimeout is how long a daemon may take to confirm that it stopped before
	// its lease is revoked. expelTimeoutPerVM is added for each daemon to notify,
	// since one daemon notifies all.
	expelTimeout      = 220 * time.Millisecond
	expelTimeoutPerVM = 4 * time.Millisecond
	// notifyInterval is the time between two notifications to a daemon that has not
	// confirmed: its response to the first may be lost.
	notifyInterval = 500 * time.Millisecond
	// pollInterval is the time between two checks of the same state.
	pollInterval = 30 * time.Millisecond
	// lifetimeMargin is added to the lifetime of grants, for operations that were
	// sent just before its end.
	lifetimeMargin = 100 * time.Millisecond
)

// Errors of a switchover.
var (
	// ErrLeadershipLost says that the daemon is no longer the failover leader.
	ErrLeadershipLost = errors.New("the daemon is no longer the failover leader")
	// ErrPromotionRefused says that the platform does not promote the endpoint, because
	// the endpoint does not run or is not known to it.
	ErrPromotionRefused = errors.New("the platform refused to promote the endpoint")
	// ErrNoSuccessor says that no endpoint could be promoted.
	ErrNoSuccessor = errors.New("no endpoint of the group can be promoted")
)

// A Promoter makes an endpoint the primary of its group at the platform.
type Promoter interface {
	Promote(ctx context.Context, group, endpoint, leader string, token int64) error
}

// ActiveDaemons are the daemons that may still send primary operations of a group.
type ActiveDaemons struct {
	// Registered are in the store and have not confirmed that they stopped.
	Registered []string
	// Unregistered are not in the store and may still hold grants for a while: they
	// were registered until recently, a quorum may have extended their grants, or
	// this daemon has not been synced long enough to know of them.
	Unregistered []string
}

// Daemons tracks which daemons have stopped primary operations.
type Daemons interface {
	// Active returns the daemons that have not confirmed that they stopped for the
	// switchover with the given record version, and those whose entry disappeared
	// after since. It returns an error until this daemon knows the store up to the
	// revision of the switching record.
	Active(group string, version int64, revision rattankv.Revision, since time.Time) (ActiveDaemons, error)
	// Notify notifies the known daemons that have not confirmed directly that a
	// switchover has begun. It does not wait for them; Active no longer returns those
	// that confirm.
	Notify(ctx context.Context, group string, version int64)
	// Expel revokes the leases of registered daemons.
	Expel(ctx context.Context, vms []string) error
}

// A Leadership says whether the daemon is the failover leader.
type Leadership interface {
	// Token returns the fencing token while the daemon is the failover leader.
	Token() (int64, bool)
	// Holder is the name under which the daemon holds the failover leadership.
	Holder() string
}

// A Report says what a switchover did, for the log.
type Report struct {
	From, To string
	// Unconfirmed are the daemons that were still active at the last check before all
	// had stopped.
	Unconfirmed []string
	// StoppedAfter, ChosenAfter and PromotedAfter are the times from the start of the
	// switchover until all primary operations had stopped, until a successor could be
	// chosen and until it was promoted.
	StoppedAfter, ChosenAfter, PromotedAfter time.Duration
	Position                                 rattanmodel.Position
	// Term is the one that the new primary leads.
	Term uint64
	// Answers are what the endpoints that may hold a part of the log have said, Silent those
	// that have not answered.
	Answers []rattansuccessor.Status
	Silent  []string
}

// A Coordinator runs switchovers.
type Coordinator struct {
	clock      rattanclock.Clock
	store      rattankv.Store
	control    EndpointControl
	promoter   Promoter
	daemons    Daemons
	leadership Leadership
	lifetime   time.Duration
}

// New returns a Coordinator; lifetime is that of the daemons' grants.
func New(clock rattanclock.Clock, store rattankv.Store, control EndpointControl, promoter Promoter, daemons Daemons, leadership Leadership, lifetime time.Duration) *Coordinator {
	return &Coordinator{clock: clock, store: store, control: control, promoter: promoter, daemons: daemons, leadership: leadership, lifetime: lifetime}
}

// Run runs a switchover to its end. After an error the switching record stays in the
// store, and the next run, by this or another daemon, resumes the switchover.
func (c *Coordinator) Run(ctx context.Context, request Request) (Report, error) {
	report := Report{From: request.Record.Primary}
	start := c.clock.Now()
	if request.Reason == ReasonInitial {
		return c.recordInitialPrimary(ctx, request)
	}
	record, revision, err := c.begin(ctx, request)
	if err != nil {
		return report, errors.Wrap(err, "write the switching record")
	}
	report.Unconfirmed, err = c.awaitStopped(ctx, request.Group, record.Version, revision)
	if err != nil {
		return report, errors.Wrap(err, "wait until primary operations have stopped")
	}
	report.StoppedAfter = c.clock.Now().Sub(start)
	view := c.handOver(request)
	report.ChosenAfter = c.clock.Now().Sub(start)
	report.Answers, report.Silent = view.Statuses(), view.Silent()
	successor, err := c.promote(ctx, request, view)
	if errors.Is(err, rattansuccessor.ErrLogsMissing) {
		return report, c.recordAwaited(ctx, request, record, revision, view)
	}
	if err != nil {
		return report, err
	}
	report.To, report.Position, report.Term = successor.Endpoint.ID, successor.Received, successor.Term
	report.PromotedAfter = c.clock.Now().Sub(start)
	record.Primary, record.Term, record.IsSwitching = successor.Endpoint.ID, successor.Term, false
	if isNewTerm := request.Reason == ReasonResume || !view.IsLeader(successor); isNewTerm {
		record.TermHistory = rattansuccessor.ExtendHistory(record.TermHistory, successor)
		record.Holders = record.Holders.BeginTerm(request.present(view), request.Record.Term, successor.Term)
	}
	record.Version = rattankv.NextNumber(record.Version, request.Era)
	_, err = c.write(ctx, request.Key, record, revision)
	return report, errors.Wrap(err, "record the new primary")
}

// recordInitialPrimary records the endpoint that leads the group already, or promotes
// one when all endpoints have answered and none does.
func (c *Coordinator) recordInitialPrimary(ctx context.Context, request Request) (Report, error) {
	view := c.view(request, false)
	leader, ok := view.Leader()
	if !ok {
		if !view.IsComplete() {
			return Report{}, ErrNoSuccessor
		}
		var err error
		if leader, err = c.promote(ctx, request, view); err != nil {
			return Report{}, err
		}
	}
	record := rattangrant.PrimaryRecord{
		Primary: leader.Endpoint.ID, Term: leader.Term, Version: rattankv.NextNumber(request.Record.Version, request.Era),
		Holders: request.Holders.BeginTerm(request.present(view), 0, leader.Term), SyncReplicas: request.SyncReplicas,
	}
	if !ok {
		record.TermHistory = rattansuccessor.ExtendHistory(nil, leader)
	}
	_, err := c.write(ctx, request.Key, record, request.Revision)
	return Report{To: record.Primary, Term: record.Term, Answers: view.Statuses(), Silent: view.Silent()}, errors.Wrap(err, "record the initial primary")
}

// begin writes the switching record. Daemons that have read it hold no grant for the
// group until the switchover ends.
func (c *Coordinator) begin(ctx context.Context, request Request) (rattangrant.PrimaryRecord, rattankv.Revision, error) {
	record := request.Record
	record.IsSwitching, record.IsPlanned = true, request.Reason != ReasonUnreachable
	record.Holders, record.SyncReplicas, record.Awaited = request.Holders, request.confirmedReplicas(), nil
	record.Version = rattankv.NextNumber(record.Version, request.Era)
	revision, err := c.write(ctx, request.Key, record, request.Revision)
	return record, revision, err
}

// write writes a primary record with the fencing token, if its revision in the store
// is still the given one.
func (c *Coordinator) write(ctx context.Context, key string, record rattangrant.PrimaryRecord, revision rattankv.Revision) (rattankv.Revision, error) {
	var txn rattankv.Txn
	if err := c.addRecord(&txn, key, record, revision); err != nil {
		return 0, err
	}
	return c.commit(ctx, txn)
}

// addRecord adds a write of a primary record with the fencing token to a transaction.
func (c *Coordinator) addRecord(txn *rattankv.Txn, key string, record rattangrant.PrimaryRecord, revision rattankv.Revision) error {
	token, ok := c.leadership.Token()
	if !ok {
		return ErrLeadershipLost
	}
	record.FencingToken = token
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	txn.Expect = append(txn.Expect, rattankv.Expectation{Key: key, Revision: revision})
	txn.Writes = append(txn.Writes, rattankv.Item{Key: key, Value: value})
	return nil
}

func (c *Coordinator) commit(ctx context.Context, txn rattankv.Txn) (rattankv.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.store.Commit(ctx, txn)
}

// awaitStopped waits until every daemon has confirmed that it sends no more primary
// operations. It revokes the leases of those that do not confirm. They can then not
// renew their grants, which have ended when the lifetime has passed. It returns the
// daemons that were still active at the last check before the end.
func (c *Coordinator) awaitStopped(ctx context.Context, group string, version int64, revision rattankv.Revision) ([]string, error) {
	var expelAfter, notifyAfter time.Time
	var unconfirmed []string
	for {
		if _, ok := c.leadership.Token(); !ok {
			return unconfirmed, ErrLeadershipLost
		}
		now := c.clock.Now()
		active, err := c.daemons.Active(group, version, revision, now.Add(-c.lifetime-lifetimeMargin))
		if err == nil && len(active.Registered)+len(active.Unregistered) == 0 {
			return unconfirmed, nil
		}
		unconfirmed = append(active.Registered, active.Unregistered...)
		if err == nil && expelAfter.IsZero() {
			expelAfter = now.Add(expelTimeout + time.Duration(len(active.Registered))*expelTimeoutPerVM)
		}
		if err == nil && now.After(notifyAfter) {
			notifyAfter = now.Add(notifyInterval)
			c.daemons.Notify(ctx, group, version)
		}
		if err == nil && len(active.Registered) > 0 && now.After(expelAfter) {
			expelAfter = now.Add(expelTimeout)
			if err := c.daemons.Expel(ctx, active.Registered); err != nil {
				return unconfirmed, errors.Wrap(err, "revoke the leases of daemons that have not confirmed")
			}
		}
		select {
		case <-ctx.Done():
			return unconfirmed, ctx.Err()
		case <-c.clock.After(pollInterval):
		}
	}
}

// handOver returns the view of the endpoints after the old primary, if it answers, has
// stepped down. Before that it waits a limited time until another endpoint holds all that
// the old primary holds. A leader that is not the recorded primary stays, unless it goes out
// of service.
func (c *Coordinator) handOver(request Request) rattansuccessor.View {
	view := c.view(request, request.Reason == ReasonUnreachable)
	oldPrimary, ok := view.Leader()
	if !ok || oldPrimary.Endpoint.ID != request.Record.Primary && !view.IsLeaving(oldPrimary) {
		return view
	}
	until := c.clock.Now().Add(catchUpTimeout)
	for !view.HasCaughtUp(oldPrimary) && c.clock.Now().Before(until) {
		<-c.clock.After(pollInterval)
		view = c.view(request, false)
	}
	if request.SyncReplicas > 0 && !view.HasCaughtUp(oldPrimary) {
		// It may be the only one that holds all acknowledged commits.
		return view
	}
	if err := c.control.StepDown(oldPrimary.Endpoint, view.NewestTerm()+1, statusTimeout); err != nil {
		// The grants have ended, so no daemon uses it as the primary any more.
		return view
	}
	return view.WithoutPrimary(oldPrimary.Endpoint.ID)
}

// View returns what the endpoints of a request say of themselves.
func (c *Coordinator) View(request Request) rattansuccessor.View { return c.view(request, false) }

// view returns the view of the endpoints that answer a status query.
func (c *Coordinator) view(request Request, isPrimaryUnreachable bool) rattansuccessor.View {
	statuses := Query(c.clock, c.control, request.endpoints(), request.doubtful(isPrimaryUnreachable))
	return rattansuccessor.New(request.group(), statuses)
}

// promote promotes the best candidate that the platform does not refuse and waits
// until it leads the group.
func (c *Coordinator) promote(ctx context.Context, request Request, view rattansuccessor.View) (rattansuccessor.Status, error) {
	candidates, err := view.Candidates()
	if err != nil {
		return rattansuccessor.Status{}, err
	}
	lastErr := error(ErrNoSuccessor)
	for _, candidate := range candidates {
		token, ok := c.leadership.Token()
		if !ok {
			return rattansuccessor.Status{}, ErrLeadershipLost
		}
		err := c.callPromote(ctx, request.Group, candidate.Endpoint.ID, token)
		if err == nil {
			return c.awaitPrimary(ctx, view, candidate.Endpoint)
		}
		lastErr = errors.Wrapf(err, "promote %s", candidate.Endpoint.ID)
		if !errors.Is(err, ErrPromotionRefused) {
			// The call may still take effect, so no other endpoint is promoted now.
			return rattansuccessor.Status{}, lastErr
		}
	}
	return rattansuccessor.Status{}, lastErr
}

// callPromote calls the platform and repeats a call that failed without a refusal.
// Repeating it is safe: a further call changes nothing when an earlier one has taken
// effect.
func (c *Coordinator) callPromote(ctx context.Context, group, id string, token int64) error {
	var err error
	for range promoteAttempts {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err = c.promoter.Promote(call, group, id, c.leadership.Holder(), token)
		cancel()
		if err == nil || errors.Is(err, ErrPromotionRefused) {
			return err
		}
		if _, ok := c.leadership.Token(); !ok {
			return ErrLeadershipLost
		}
		<-c.clock.After(pollInterval)
	}
	return err
}

// awaitPrimary waits until an endpoint, for which the platform has accepted a promote, leads
// the group by its status. An endpoint that calls itself the primary at the end of
// promotionTimeout leads it as well: no promote takes that long, so the platform had
// nothing to change, for example because the endpoint was started again with an empty log.
func (c *Coordinator) awaitPrimary(ctx context.Context, view rattansuccessor.View, endpoint rattancatalog.Endpoint) (rattansuccessor.Status, error) {
	var status rattansuccessor.Status
	var err error
	until := c.clock.Now().Add(promotionTimeout)
	for c.clock.Now().Before(until) {
		if status, err = c.control.Status(endpoint, statusTimeout); err == nil && view.HasTakenOver(status) {
			return status, nil
		}
		select {
		case <-ctx.Done():
			return rattansuccessor.Status{}, ctx.Err()
		case <-c.clock.After(pollInterval):
		}
	}
	if err == nil && status.IsPrimary {
		return status, nil
	}
	return rattansuccessor.Status{}, errors.Errorf("endpoint %s was promoted and did not become the primary in time", endpoint.ID)
}
