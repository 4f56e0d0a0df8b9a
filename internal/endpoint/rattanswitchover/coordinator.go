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
)

const (
	// surveyTimeout limits the answer of one endpoint about its log.
	surveyTimeout = 400 * time.Millisecond
	// lostGrace is how long a survey waits for a primary that is thought to be
	// lost after the others have answered.
	lostGrace = 60 * time.Millisecond
	// catchUpTimeout limits the wait in a planned switch until the successor
	// holds what the old primary holds.
	catchUpTimeout = 800 * time.Millisecond
	// takeOverTimeout limits the wait until the promoted endpoint leads.
	takeOverTimeout = 4 * time.Second
	// callTimeout limits one call to the store or the platform.
	callTimeout = 700 * time.Millisecond
	// promoteAttempts limits the calls to promote one endpoint.
	promoteAttempts = 5
	// expelPatience is how long a daemon may take to confirm that it stopped
	// before its lease is revoked; expelPatiencePerVM is added for each daemon that
	// is told, since one daemon tells all.
	expelPatience      = 220 * time.Millisecond
	expelPatiencePerVM = 4 * time.Millisecond
	// tellInterval separates two messages to a daemon that has not confirmed: its
	// answer to the first may be lost.
	tellInterval = 500 * time.Millisecond
	// pollInterval separates two looks at the same state.
	pollInterval = 30 * time.Millisecond
	// marginOfLifetime is added to the lifetime of grants for work that was sent
	// just before its end.
	marginOfLifetime = 100 * time.Millisecond
)

// Errors of a switch.
var (
	// ErrLeadershipLost says that the daemon no longer holds the failover duty.
	ErrLeadershipLost = errors.New("the daemon no longer holds the failover duty")
	// ErrPromotionRefused says that the platform does not promote the endpoint: it does
	// not run, or is not known.
	ErrPromotionRefused = errors.New("the platform refused to promote the endpoint")
	// ErrNoSuccessor says that no endpoint could be promoted.
	ErrNoSuccessor = errors.New("no endpoint of the group can be promoted")
)

// EndpointControl asks and orders one endpoint.
type EndpointControl interface {
	Status(endpoint rattancatalog.Endpoint, timeout time.Duration) (Status, error)
	StepDown(endpoint rattancatalog.Endpoint, term uint64, timeout time.Duration) error
}

// A Promoter makes an endpoint the primary of its group at the platform.
type Promoter interface {
	Promote(ctx context.Context, group, endpoint, holder string, token int64) error
}

// ActiveDaemons is the daemons that may still send primary work of a group.
type ActiveDaemons struct {
	// Registered are in the store and have not confirmed that they stopped.
	Registered []string
	// Unregistered are not listed and may still act for a while: they were listed until
	// lately, or this daemon may be unknown to them.
	Unregistered []string
}

// Daemons says which daemons have stopped primary work.
type Daemons interface {
	// Active returns the daemons that have not confirmed that they stopped for
	// the switch of that number, and those whose entry disappeared after a time. Everything up to
	// the revision of the mark must be known, else it returns an error.
	Active(group string, number, revision int64, since time.Time) (ActiveDaemons, error)
	// Notify tells the known daemons that have not confirmed directly that a switch
	// has begun. It does not wait; those that confirm no longer count as running.
	Notify(ctx context.Context, group string, number int64)
	// Expel revokes the leases of listed daemons.
	Expel(ctx context.Context, vms []string) error
}

// A Leadership says whether the daemon holds the failover duty.
type Leadership interface {
	// Token returns the fencing token while the duty is held.
	Token() (int64, bool)
	// Holder is the name under which the duty is held.
	Holder() string
}

// A Request is one change of a group's primary.
type Request struct {
	Group     string
	Key       string
	Reason    Reason
	Record    rattangrant.PrimaryRecord
	Revision  int64
	Endpoints []rattancatalog.Endpoint
	Evacuated map[string]bool
}

// A Report says what a switch did, for the log.
type Report struct {
	From, To string
	// Unconfirmed are the daemons that did not confirm in time.
	Unconfirmed []string
	// StoppedAfter, ChosenAfter and PromotedAfter are how long after its start the switch had
	// stopped all primary work, chosen a successor and promoted it.
	StoppedAfter, ChosenAfter, PromotedAfter time.Duration
	Position                                 rattanmodel.Position
}

// A Coordinator runs switches.
type Coordinator struct {
	clock      rattanclock.Clock
	store      rattankv.Store
	control    EndpointControl
	promoter   Promoter
	members    Daemons
	leadership Leadership
	lifetime   time.Duration
}

// New returns a Coordinator; lifetime is that of the daemons' grants.
func New(clock rattanclock.Clock, store rattankv.Store, control EndpointControl, promoter Promoter, members Daemons, leadership Leadership, lifetime time.Duration) *Coordinator {
	return &Coordinator{clock: clock, store: store, control: control, promoter: promoter, members: members, leadership: leadership, lifetime: lifetime}
}

// Run runs a switch to its end. After an error the record stays marked, and the
// next run, by this or another daemon, resumes it.
func (s *Coordinator) Run(ctx context.Context, sw Request) (Report, error) {
	report := Report{From: sw.Record.Primary}
	start := s.clock.Now()
	if sw.Reason == ReasonInitial {
		return s.first(ctx, sw)
	}
	record, revision, err := s.mark(ctx, sw)
	if err != nil {
		return report, errors.Wrap(err, "mark the switch")
	}
	report.Unconfirmed, err = s.awaitStopped(ctx, sw.Group, record.Version, revision)
	if err != nil {
		return report, errors.Wrap(err, "wait until primary work has stopped")
	}
	report.StoppedAfter = s.clock.Now().Sub(start)
	statuses := s.settle(sw)
	report.ChosenAfter = s.clock.Now().Sub(start)
	successor, err := s.promote(ctx, sw, statuses)
	if err != nil {
		return report, err
	}
	report.To, report.Position = successor.Endpoint.ID, successor.Received
	report.PromotedAfter = s.clock.Now().Sub(start)
	record.Primary, record.IsSwitching = successor.Endpoint.ID, false
	record.Version++
	_, err = s.write(ctx, sw.Key, record, revision)
	return report, errors.Wrap(err, "publish the new primary")
}

// first records the endpoint that leads already, or promotes one.
func (s *Coordinator) first(ctx context.Context, sw Request) (Report, error) {
	statuses := s.status(sw.Endpoints, "")
	record := rattangrant.PrimaryRecord{Version: sw.Record.Version + 1}
	for _, status := range statuses {
		if status.IsPrimary {
			record.Primary = status.Endpoint.ID
		}
	}
	if record.Primary == "" {
		if len(statuses) < len(sw.Endpoints) || len(statuses) == 0 {
			return Report{}, ErrNoSuccessor
		}
		successor, err := s.promote(ctx, sw, statuses)
		if err != nil {
			return Report{}, err
		}
		record.Primary = successor.Endpoint.ID
	}
	_, err := s.write(ctx, sw.Key, record, sw.Revision)
	return Report{To: record.Primary}, errors.Wrap(err, "record the primary")
}

// mark announces the switch: from the store's answer on, no daemon renews its grant.
func (s *Coordinator) mark(ctx context.Context, sw Request) (rattangrant.PrimaryRecord, int64, error) {
	record := sw.Record
	record.IsSwitching, record.IsPlanned = true, sw.Reason != ReasonUnreachable
	record.Version++
	revision, err := s.write(ctx, sw.Key, record, sw.Revision)
	return record, revision, err
}

func (s *Coordinator) write(ctx context.Context, key string, record rattangrant.PrimaryRecord, revision int64) (int64, error) {
	token, ok := s.leadership.Token()
	if !ok {
		return 0, ErrLeadershipLost
	}
	record.FencingToken = token
	value, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.store.Commit(ctx, rattankv.Txn{
		Expect: []rattankv.Expectation{{Key: key, Revision: revision}},
		Writes: []rattankv.Item{{Key: key, Value: value}},
	})
}

// awaitStopped waits until every daemon has confirmed that it sends no primary
// work any more. The leases of those that do not confirm are revoked, after which
// they cannot renew their grants; these have ended when the lifetime has passed.
// It returns the daemons that did not confirm.
func (s *Coordinator) awaitStopped(ctx context.Context, group string, number, revision int64) ([]string, error) {
	var expelAfter, tellAfter time.Time
	var missing []string
	for {
		if _, ok := s.leadership.Token(); !ok {
			return missing, ErrLeadershipLost
		}
		now := s.clock.Now()
		running, err := s.members.Active(group, number, revision, now.Add(-s.lifetime-marginOfLifetime))
		if err == nil && len(running.Registered)+len(running.Unregistered) == 0 {
			return missing, nil
		}
		missing = append(running.Registered, running.Unregistered...)
		if err == nil && expelAfter.IsZero() {
			expelAfter = now.Add(expelPatience + time.Duration(len(running.Registered))*expelPatiencePerVM)
		}
		if err == nil && now.After(tellAfter) {
			tellAfter = now.Add(tellInterval)
			s.members.Notify(ctx, group, number)
		}
		if err == nil && len(running.Registered) > 0 && now.After(expelAfter) {
			expelAfter = now.Add(expelPatience)
			if err := s.members.Expel(ctx, running.Registered); err != nil {
				return missing, errors.Wrap(err, "revoke the leases of daemons that do not confirm")
			}
		}
		select {
		case <-ctx.Done():
			return missing, ctx.Err()
		case <-s.clock.After(pollInterval):
		}
	}
}

// settle returns the state of the endpoints once the old primary, if it answers,
// has handed over what it can and has stepped down.
func (s *Coordinator) settle(sw Request) []Status {
	lost := ""
	if sw.Reason == ReasonUnreachable {
		lost = sw.Record.Primary
	}
	statuses := s.status(sw.Endpoints, lost)
	old, ok := find(statuses, sw.Record.Primary)
	if !ok || !old.IsPrimary {
		return statuses
	}
	until := s.clock.Now().Add(catchUpTimeout)
	for !hasCaughtUp(statuses, old) && s.clock.Now().Before(until) {
		<-s.clock.After(pollInterval)
		statuses = s.status(sw.Endpoints, "")
	}
	if err := s.control.StepDown(old.Endpoint, newestTerm(statuses)+1, surveyTimeout); err != nil {
		// The grants have ended, so nothing reaches it as a primary any more.
		return statuses
	}
	return statuses
}

// hasCaughtUp reports whether an endpoint other than the old primary, one that
// stays, holds all that the old primary holds.
func hasCaughtUp(statuses []Status, old Status) bool {
	for _, s := range statuses {
		if s.Endpoint.ID != old.Endpoint.ID && !s.Endpoint.IsDraining && s.Received.Compare(old.Received) >= 0 {
			return true
		}
	}
	return false
}

func newestTerm(statuses []Status) uint64 {
	var term uint64
	for _, s := range statuses {
		term = max(term, s.Term, s.Received.Term)
	}
	return term
}

func find(statuses []Status, id string) (Status, bool) {
	for _, s := range statuses {
		if s.Endpoint.ID == id {
			return s, true
		}
	}
	return Status{}, false
}

// status asks all endpoints at once and returns those that answered. It does not
// wait long for one that is thought to be lost when the others have answered.
func (s *Coordinator) status(endpoints []rattancatalog.Endpoint, lost string) []Status {
	answers := make(chan *Status, len(endpoints))
	waited := 0
	for _, endpoint := range endpoints {
		if endpoint.ID != lost {
			waited++
		}
		go func() {
			status, err := s.control.Status(endpoint, surveyTimeout)
			if err != nil {
				answers <- nil
				return
			}
			answers <- &status
		}()
	}
	var statuses []Status
	var grace <-chan time.Time
	for received := range endpoints {
		if received >= waited && grace == nil {
			grace = s.clock.After(lostGrace)
		}
		select {
		case answer := <-answers:
			if answer != nil {
				statuses = append(statuses, *answer)
			}
		case <-grace:
			return statuses
		}
	}
	return statuses
}

// promote promotes the best endpoint that the platform accepts and waits until
// it leads.
func (s *Coordinator) promote(ctx context.Context, sw Request, statuses []Status) (Status, error) {
	failed := error(ErrNoSuccessor)
	for _, candidate := range RankCandidates(statuses, sw.Evacuated) {
		token, ok := s.leadership.Token()
		if !ok {
			return Status{}, ErrLeadershipLost
		}
		err := s.callPromote(ctx, sw.Group, candidate.Endpoint.ID, token)
		if err == nil {
			return s.awaitLeader(ctx, candidate)
		}
		failed = errors.Wrapf(err, "promote %s", candidate.Endpoint.ID)
		if !errors.Is(err, ErrPromotionRefused) {
			// The call may still take effect, so no other endpoint is promoted now.
			return Status{}, failed
		}
	}
	return Status{}, failed
}

// callPromote repeats a call without an answer, which changes nothing when the
// first one has taken effect.
func (s *Coordinator) callPromote(ctx context.Context, group, id string, token int64) error {
	var err error
	for range promoteAttempts {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err = s.promoter.Promote(call, group, id, s.leadership.Holder(), token)
		cancel()
		if err == nil || errors.Is(err, ErrPromotionRefused) {
			return err
		}
		if _, ok := s.leadership.Token(); !ok {
			return ErrLeadershipLost
		}
		<-s.clock.After(pollInterval)
	}
	return err
}

// awaitLeader waits until the promoted endpoint leads.
func (s *Coordinator) awaitLeader(ctx context.Context, candidate Status) (Status, error) {
	until := s.clock.Now().Add(takeOverTimeout)
	for s.clock.Now().Before(until) {
		status, err := s.control.Status(candidate.Endpoint, surveyTimeout)
		if err == nil && status.IsPrimary {
			return status, nil
		}
		select {
		case <-ctx.Done():
			return Status{}, ctx.Err()
		case <-s.clock.After(pollInterval):
		}
	}
	return Status{}, errors.Errorf("endpoint %s was promoted and does not lead", candidate.Endpoint.ID)
}
