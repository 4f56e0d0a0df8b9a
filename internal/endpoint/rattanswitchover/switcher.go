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
	// ErrDutyLost says that the daemon no longer holds the failover duty.
	ErrDutyLost = errors.New("the daemon no longer holds the failover duty")
	// ErrRefused says that the platform does not promote the endpoint: it does
	// not run, or is not known.
	ErrRefused = errors.New("the platform refused to promote the endpoint")
	// ErrNoSuccessor says that no endpoint could be promoted.
	ErrNoSuccessor = errors.New("no endpoint of the group can be promoted")
)

// Control asks and orders one endpoint.
type Control interface {
	Survey(endpoint rattancatalog.Endpoint, timeout time.Duration) (Survey, error)
	StepDown(endpoint rattancatalog.Endpoint, term uint64, timeout time.Duration) error
}

// A Promoter makes an endpoint the primary of its group at the platform.
type Promoter interface {
	Promote(ctx context.Context, group, endpoint, holder string, token int64) error
}

// Running is the daemons that may still send primary work of a group.
type Running struct {
	// Listed are in the store and have not confirmed that they stopped.
	Listed []string
	// Gone are not listed and may still act for a while: they were listed until
	// lately, or this daemon may be unknown to them.
	Gone []string
}

// Members says which daemons have stopped primary work.
type Members interface {
	// Running returns the daemons that have not confirmed that they stopped for
	// the switch of that number, and those whose entry disappeared after a time. Everything up to
	// the revision of the mark must be known, else it returns an error.
	Running(group string, number, revision int64, since time.Time) (Running, error)
	// Tell tells the known daemons that have not confirmed directly that a switch
	// has begun. It does not wait; those that confirm no longer count as running.
	Tell(ctx context.Context, group string, number int64)
	// Expel revokes the leases of listed daemons.
	Expel(ctx context.Context, vms []string) error
}

// A Duty says whether the daemon holds the failover duty.
type Duty interface {
	// Token returns the fencing token while the duty is held.
	Token() (int64, bool)
	// Holder is the name under which the duty is held.
	Holder() string
}

// A Switch is one change of a group's primary.
type Switch struct {
	Group     string
	Key       string
	Reason    Reason
	Record    rattangrant.Record
	Revision  int64
	Endpoints []rattancatalog.Endpoint
	Evacuated map[string]bool
}

// A Report says what a switch did, for the log.
type Report struct {
	From, To string
	// Missing are the daemons that did not confirm in time.
	Missing []string
	// Stopped, Chosen and Promoted are how long after its start the switch had
	// stopped all primary work, chosen a successor and promoted it.
	Stopped, Chosen, Promoted time.Duration
	Position                  rattanmodel.Position
}

// A Switcher runs switches.
type Switcher struct {
	clock    rattanclock.Clock
	store    rattankv.Store
	control  Control
	promoter Promoter
	members  Members
	duty     Duty
	lifetime time.Duration
}

// New returns a Switcher; lifetime is that of the daemons' grants.
func New(clock rattanclock.Clock, store rattankv.Store, control Control, promoter Promoter, members Members, duty Duty, lifetime time.Duration) *Switcher {
	return &Switcher{clock: clock, store: store, control: control, promoter: promoter, members: members, duty: duty, lifetime: lifetime}
}

// Run runs a switch to its end. After an error the record stays marked, and the
// next run, by this or another daemon, resumes it.
func (s *Switcher) Run(ctx context.Context, sw Switch) (Report, error) {
	report := Report{From: sw.Record.Primary}
	start := s.clock.Now()
	if sw.Reason == ReasonFirst {
		return s.first(ctx, sw)
	}
	record, revision, err := s.mark(ctx, sw)
	if err != nil {
		return report, errors.Wrap(err, "mark the switch")
	}
	report.Missing, err = s.awaitStopped(ctx, sw.Group, record.Number, revision)
	if err != nil {
		return report, errors.Wrap(err, "wait until primary work has stopped")
	}
	report.Stopped = s.clock.Now().Sub(start)
	surveys := s.settle(sw)
	report.Chosen = s.clock.Now().Sub(start)
	successor, err := s.promote(ctx, sw, surveys)
	if err != nil {
		return report, err
	}
	report.To, report.Position = successor.Endpoint.ID, successor.Received
	report.Promoted = s.clock.Now().Sub(start)
	record.Primary, record.IsSwitching = successor.Endpoint.ID, false
	record.Number++
	_, err = s.write(ctx, sw.Key, record, revision)
	return report, errors.Wrap(err, "publish the new primary")
}

// first records the endpoint that leads already, or promotes one.
func (s *Switcher) first(ctx context.Context, sw Switch) (Report, error) {
	surveys := s.survey(sw.Endpoints, "")
	record := rattangrant.Record{Number: sw.Record.Number + 1}
	for _, survey := range surveys {
		if survey.IsPrimary {
			record.Primary = survey.Endpoint.ID
		}
	}
	if record.Primary == "" {
		if len(surveys) < len(sw.Endpoints) || len(surveys) == 0 {
			return Report{}, ErrNoSuccessor
		}
		successor, err := s.promote(ctx, sw, surveys)
		if err != nil {
			return Report{}, err
		}
		record.Primary = successor.Endpoint.ID
	}
	_, err := s.write(ctx, sw.Key, record, sw.Revision)
	return Report{To: record.Primary}, errors.Wrap(err, "record the primary")
}

// mark announces the switch: from the store's answer on, no daemon renews its grant.
func (s *Switcher) mark(ctx context.Context, sw Switch) (rattangrant.Record, int64, error) {
	record := sw.Record
	record.IsSwitching, record.IsPlanned = true, sw.Reason != ReasonUnreachable
	record.Number++
	revision, err := s.write(ctx, sw.Key, record, sw.Revision)
	return record, revision, err
}

func (s *Switcher) write(ctx context.Context, key string, record rattangrant.Record, revision int64) (int64, error) {
	token, ok := s.duty.Token()
	if !ok {
		return 0, ErrDutyLost
	}
	record.Generation = token
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
func (s *Switcher) awaitStopped(ctx context.Context, group string, number, revision int64) ([]string, error) {
	var expelAfter, tellAfter time.Time
	var missing []string
	for {
		if _, ok := s.duty.Token(); !ok {
			return missing, ErrDutyLost
		}
		now := s.clock.Now()
		running, err := s.members.Running(group, number, revision, now.Add(-s.lifetime-marginOfLifetime))
		if err == nil && len(running.Listed)+len(running.Gone) == 0 {
			return missing, nil
		}
		missing = append(running.Listed, running.Gone...)
		if err == nil && expelAfter.IsZero() {
			expelAfter = now.Add(expelPatience + time.Duration(len(running.Listed))*expelPatiencePerVM)
		}
		if err == nil && now.After(tellAfter) {
			tellAfter = now.Add(tellInterval)
			s.members.Tell(ctx, group, number)
		}
		if err == nil && len(running.Listed) > 0 && now.After(expelAfter) {
			expelAfter = now.Add(expelPatience)
			if err := s.members.Expel(ctx, running.Listed); err != nil {
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
func (s *Switcher) settle(sw Switch) []Survey {
	lost := ""
	if sw.Reason == ReasonUnreachable {
		lost = sw.Record.Primary
	}
	surveys := s.survey(sw.Endpoints, lost)
	old, ok := find(surveys, sw.Record.Primary)
	if !ok || !old.IsPrimary {
		return surveys
	}
	until := s.clock.Now().Add(catchUpTimeout)
	for !hasCaughtUp(surveys, old) && s.clock.Now().Before(until) {
		<-s.clock.After(pollInterval)
		surveys = s.survey(sw.Endpoints, "")
	}
	if err := s.control.StepDown(old.Endpoint, newestTerm(surveys)+1, surveyTimeout); err != nil {
		// The grants have ended, so nothing reaches it as a primary any more.
		return surveys
	}
	return surveys
}

// hasCaughtUp reports whether an endpoint other than the old primary, one that
// stays, holds all that the old primary holds.
func hasCaughtUp(surveys []Survey, old Survey) bool {
	for _, s := range surveys {
		if s.Endpoint.ID != old.Endpoint.ID && !s.Endpoint.IsDraining && s.Received.Compare(old.Received) >= 0 {
			return true
		}
	}
	return false
}

func newestTerm(surveys []Survey) uint64 {
	var term uint64
	for _, s := range surveys {
		term = max(term, s.Term, s.Received.Term)
	}
	return term
}

func find(surveys []Survey, id string) (Survey, bool) {
	for _, s := range surveys {
		if s.Endpoint.ID == id {
			return s, true
		}
	}
	return Survey{}, false
}

// survey asks all endpoints at once and returns those that answered. It does not
// wait long for one that is thought to be lost when the others have answered.
func (s *Switcher) survey(endpoints []rattancatalog.Endpoint, lost string) []Survey {
	answers := make(chan *Survey, len(endpoints))
	waited := 0
	for _, endpoint := range endpoints {
		if endpoint.ID != lost {
			waited++
		}
		go func() {
			survey, err := s.control.Survey(endpoint, surveyTimeout)
			if err != nil {
				answers <- nil
				return
			}
			answers <- &survey
		}()
	}
	var surveys []Survey
	var grace <-chan time.Time
	for received := range endpoints {
		if received >= waited && grace == nil {
			grace = s.clock.After(lostGrace)
		}
		select {
		case answer := <-answers:
			if answer != nil {
				surveys = append(surveys, *answer)
			}
		case <-grace:
			return surveys
		}
	}
	return surveys
}

// promote promotes the best endpoint that the platform accepts and waits until
// it leads.
func (s *Switcher) promote(ctx context.Context, sw Switch, surveys []Survey) (Survey, error) {
	failed := error(ErrNoSuccessor)
	for _, candidate := range Choose(surveys, sw.Evacuated) {
		token, ok := s.duty.Token()
		if !ok {
			return Survey{}, ErrDutyLost
		}
		err := s.callPromote(ctx, sw.Group, candidate.Endpoint.ID, token)
		if err == nil {
			return s.awaitLeader(ctx, candidate)
		}
		failed = errors.Wrapf(err, "promote %s", candidate.Endpoint.ID)
		if !errors.Is(err, ErrRefused) {
			// The call may still take effect, so no other endpoint is promoted now.
			return Survey{}, failed
		}
	}
	return Survey{}, failed
}

// callPromote repeats a call without an answer, which changes nothing when the
// first one has taken effect.
func (s *Switcher) callPromote(ctx context.Context, group, id string, token int64) error {
	var err error
	for range promoteAttempts {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err = s.promoter.Promote(call, group, id, s.duty.Holder(), token)
		cancel()
		if err == nil || errors.Is(err, ErrRefused) {
			return err
		}
		if _, ok := s.duty.Token(); !ok {
			return ErrDutyLost
		}
		<-s.clock.After(pollInterval)
	}
	return err
}

// awaitLeader waits until the promoted endpoint leads.
func (s *Switcher) awaitLeader(ctx context.Context, candidate Survey) (Survey, error) {
	until := s.clock.Now().Add(takeOverTimeout)
	for s.clock.Now().Before(until) {
		survey, err := s.control.Survey(candidate.Endpoint, surveyTimeout)
		if err == nil && survey.IsPrimary {
			return survey, nil
		}
		select {
		case <-ctx.Done():
			return Survey{}, ctx.Err()
		case <-s.clock.After(pollInterval):
		}
	}
	return Survey{}, errors.Errorf("endpoint %s was promoted and does not lead", candidate.Endpoint.ID)
}
