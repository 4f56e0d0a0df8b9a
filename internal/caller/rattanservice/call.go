package rattanservice

import (
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// maxRequestIDLength is the longest request identifier in bytes that a caller may
// choose.
const maxRequestIDLength = 64

// A call is one authenticated request of a caller.
type call struct {
	identity Identity
	route    Route
	session  Session
	// ctx is the context of the request. It also ends when the key is withdrawn and
	// when the service ends, with a *rattanerr.Refusal as its cause.
	ctx    context.Context
	cancel context.CancelFunc
}

// end releases ctx and stops tracking the key. Each call must be ended.
func (c *call) end() { c.cancel() }

// refuse returns the refusal that ended the call, if one did, and err otherwise. The
// refusal keeps the run state and the request identifier of
// err, so that it still says whether the request ran.
func (c *call) refuse(err error) error {
	cause, isEnded := rattanerr.AsRefusal(context.Cause(c.ctx))
	if !isEnded {
		return err
	}
	ended := *cause
	ended.RunState = rattanerr.Unknown
	if refusal, ok := rattanerr.AsRefusal(err); ok {
		ended.RunState = refusal.RunState
		ended.RequestID = refusal.RequestID
	}
	return &ended
}

// authenticate returns the call of a request after checking its key, route and
// session token. On an open route, a request whose key is missing, invalid or not
// allowed to use the service runs for the client account of the route.
func (s *Service) authenticate(ctx context.Context, header http.Header, service, route string) (*call, error) {
	if s.stopping.Load() {
		return nil, errShuttingDown()
	}
	key := bearer(header)
	if key == "" {
		return s.openCall(ctx, header, service, route)
	}
	identity, err := s.keyring.Authenticate(key)
	if err != nil {
		if open, openErr := s.openCall(ctx, header, service, route); openErr == nil {
			return open, nil
		}
		return nil, err
	}
	found, ok := s.catalog.Route(identity.ClientAccount, service, route)
	if !ok {
		return nil, errNoRoute(service, route)
	}
	if !found.Open && !s.catalog.MayUse(identity.ClientAccount, found.Service) {
		return nil, rattanerr.NewNotRun(rattanv1.Reason_REASON_UNAUTHENTICATED, 0,
			"client account %s may not use service %s", identity.ClientAccount, found.Service)
	}
	if found.Open && !s.catalog.MayUse(identity.ClientAccount, found.Service) {
		identity = Identity{ClientAccount: found.ClientAccount}
	}
	return s.newCall(ctx, header, identity, found)
}

// openCall returns the call of a request without a valid key, which only open
// routes accept.
func (s *Service) openCall(ctx context.Context, header http.Header, service, route string) (*call, error) {
	found, ok := s.catalog.Route("", service, route)
	if !ok || !found.Open {
		return nil, rattanerr.NewNotRun(rattanv1.Reason_REASON_UNAUTHENTICATED, 0,
			"service %q route %q needs a key in the header Authorization: Bearer rsk_...", service, route)
	}
	return s.newCall(ctx, header, Identity{ClientAccount: found.ClientAccount}, found)
}

func (s *Service) newCall(ctx context.Context, header http.Header, identity Identity, route Route) (*call, error) {
	session, err := s.sessions.Open(header.Values(SessionHeader), identity.ClientAccount)
	if err != nil {
		return nil, err
	}
	c := &call{identity: identity, route: route, session: session}
	c.ctx, c.cancel = s.withLifetime(ctx)
	if identity.KeyID != "" {
		tracked, cancelTrack := s.keyring.Track(c.ctx, identity.KeyID)
		cancelLifetime := c.cancel
		c.ctx = tracked
		c.cancel = func() {
			cancelTrack()
			cancelLifetime()
		}
	}
	if _, ok := c.ctx.Deadline(); !ok {
		timed, cancelTimed := context.WithTimeout(c.ctx, s.limits.StatementTime)
		cancelTrack := c.cancel
		c.ctx = timed
		c.cancel = func() {
			cancelTimed()
			cancelTrack()
		}
	}
	return c, nil
}

// requestID returns given as the request identifier of a write, or a new random one
// when the caller gave none.
func requestID(given string) (string, error) {
	if len(given) > maxRequestIDLength {
		return "", rattanerr.NewNotRun(rattanv1.Reason_REASON_BAD_REQUEST, 0,
			"request identifier has %d bytes, at most %d are accepted", len(given), maxRequestIDLength)
	}
	if given == "" {
		return rand.Text(), nil
	}
	return given, nil
}

func checkStatement(statement *rattanv1.Statement) error {
	if statement.GetText() == "" {
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_BAD_REQUEST, 0, "statement text is empty")
	}
	return nil
}

func errNoRoute(service, route string) error {
	return rattanerr.NewNotRun(rattanv1.Reason_REASON_BAD_REQUEST, 0, "the settings in force have no service %q with route %q", service, route)
}

func errShuttingDown() error {
	const retryAfter = 100 * time.Millisecond // by then the load balancer sends requests to another VM
	return rattanerr.NewNotRun(rattanv1.Reason_REASON_SHUTTING_DOWN, retryAfter, "daemon is shutting down")
}
