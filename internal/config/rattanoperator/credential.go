package rattanoperator

import (
	"context"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/config/rattankey"
	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
)

// credentialPrefix begins each credential: "rst_<team>_<64 hexadecimal digits>".
const credentialPrefix = "rst_"

var (
	errUnauthenticated = errors.New("credential is missing or not valid; accepted: Authorization: Bearer rst_<team>_<secret>")
	errPermission      = errors.New("permission denied for the credential's team; accepted: the team's own document, or team root's credential")
)

// An operator is the sender of a request, identified by its credential.
type operator struct {
	team string
	// isBootstrap is true for the bootstrap credential, which acts as team root.
	isBootstrap bool
	// secret is a function so that formatting an operator cannot show it.
	secret func() string
}

// author returns the operator's name in the history.
func (o operator) author() string {
	if o.isBootstrap {
		return "bootstrap"
	}
	return o.team
}

func (o operator) isRoot() bool { return o.team == rattansettings.RootTeam }

// mayAccess reports whether the operator may read and change a team's document.
func (o operator) mayAccess(team string) bool { return o.isRoot() || o.team == team }

// authenticate returns the operator that a request's credential belongs to. The
// error is a Connect error.
func (s *Service) authenticate(ctx context.Context, header http.Header) (operator, error) {
	bearer, hasBearer := strings.CutPrefix(header.Get("Authorization"), "Bearer ")
	rest, hasPrefix := strings.CutPrefix(bearer, credentialPrefix)
	team, secret, hasSecret := strings.Cut(rest, "_")
	if !hasBearer || !hasPrefix || !hasSecret || !rattansettings.IsName(team) || !rattankey.IsSecret(secret) {
		return operator{}, connect.NewError(connect.CodeUnauthenticated, errUnauthenticated)
	}
	op := operator{team: team, secret: func() string { return secret }}
	// The secret for an unknown team is compared with the zero Hash, which takes as
	// long as for a known team and never matches.
	known, found := s.settings.Snapshot().Team(team)
	switch matches := known.Credential().Matches(secret); {
	case matches:
		return op, nil
	case found || !op.isRoot() || !s.bootstrap.Matches(secret):
		return operator{}, connect.NewError(connect.CodeUnauthenticated, errUnauthenticated)
	}
	return s.authenticateBootstrap(ctx, op)
}

// authenticateBootstrap accepts the bootstrap credential if team root has no
// credential in the platform yet. It reads the platform because the settings of a
// daemon that has just started may still be empty.
func (s *Service) authenticateBootstrap(ctx context.Context, op operator) (operator, error) {
	ctx, cancel := context.WithTimeout(ctx, s.changeTimeout)
	defer cancel()
	stored, err := s.store.Load(ctx, rattansettings.RootTeam)
	if err != nil {
		return operator{}, wireError(err)
	}
	document, err := stored.Parse()
	if err != nil {
		return operator{}, wireError(err)
	}
	if _, found := rattansettings.NewSnapshot(document).Team(rattansettings.RootTeam); found {
		return operator{}, connect.NewError(connect.CodeUnauthenticated, errUnauthenticated)
	}
	op.isBootstrap = true
	return op, nil
}

// authorize authenticates a request and checks that its operator may access the
// team's document. The error is a Connect error.
func (s *Service) authorize(ctx context.Context, header http.Header, team string) (operator, error) {
	op, err := s.authenticate(ctx, header)
	if err != nil {
		return operator{}, err
	}
	if !rattansettings.IsName(team) {
		return operator{}, connect.NewError(connect.CodeInvalidArgument, errors.New("the team's name is missing or not valid"))
	}
	if !op.mayAccess(team) {
		return operator{}, connect.NewError(connect.CodePermissionDenied, errPermission)
	}
	return op, nil
}

// recheckCredential checks the credential again against the stored documents, so
// that a daemon with old settings accepts no change under a replaced credential.
func recheckCredential(op operator, stored *rattansettings.Snapshot) error {
	team, found := stored.Team(op.team)
	if op.isBootstrap && !found {
		return nil
	}
	if !found || !team.Credential().Matches(op.secret()) {
		return connect.NewError(connect.CodeUnauthenticated, errUnauthenticated)
	}
	return nil
}

// storedSnapshot reads all documents from the platform. For each team it uses the
// document in force in this daemon instead when the one read is older or invalid.
func (s *Service) storedSnapshot(ctx context.Context) (*rattansettings.Snapshot, error) {
	stored, _, err := s.store.List(ctx)
	if err != nil {
		return nil, err
	}
	documents := s.settings.Snapshot().Documents()
	for _, entry := range stored {
		if document, err := entry.Parse(); err == nil {
			documents = append(documents, document)
		}
	}
	return rattansettings.NewSnapshot(documents...), nil
}
