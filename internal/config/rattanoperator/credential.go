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

// A credential is "rst_<team>_<64 hexadecimal digits>". Its secret is behind a
// function, so that no formatting shows it.
const credentialPrefix = "rst_"

var (
	errUnauthenticated = errors.New("credential is missing or not valid; accepted: Authorization: Bearer rst_<team>_<secret>")
	errPermission      = errors.New("the credential's team may not use this; accepted: the team's own document, or team root's credential")
)

// An operator is who a credential belongs to.
type operator struct {
	team        string
	isBootstrap bool
	secret      func() string
}

// author returns the operator's name in the history.
func (o operator) author() string {
	if o.isBootstrap {
		return "bootstrap"
	}
	return o.team
}

func (o operator) isRoot() bool { return o.team == rattansettings.RootTeam }

func (o operator) may(team string) bool { return o.isRoot() || o.team == team }

// authenticate returns the operator of a request. The error is a Connect error.
func (s *Service) authenticate(ctx context.Context, header http.Header) (operator, error) {
	bearer, hasBearer := strings.CutPrefix(header.Get("Authorization"), "Bearer ")
	rest, hasPrefix := strings.CutPrefix(bearer, credentialPrefix)
	team, secret, hasSecret := strings.Cut(rest, "_")
	if !hasBearer || !hasPrefix || !hasSecret || !rattansettings.IsName(team) || !rattankey.IsSecret(secret) {
		return operator{}, connect.NewError(connect.CodeUnauthenticated, errUnauthenticated)
	}
	who := operator{team: team, secret: func() string { return secret }}
	// An unknown team is compared with the zero Hash, which takes as long.
	known, found := s.settings.Snapshot().Team(team)
	switch matches := known.Credential().Matches(secret); {
	case matches:
		return who, nil
	case found || !who.isRoot() || !s.bootstrap.Matches(secret):
		return operator{}, connect.NewError(connect.CodeUnauthenticated, errUnauthenticated)
	}
	return s.authenticateBootstrap(ctx, who)
}

// authenticateBootstrap asks the platform whether team root has a credential
// yet. A daemon that has just started does not know by itself.
func (s *Service) authenticateBootstrap(ctx context.Context, who operator) (operator, error) {
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
	who.isBootstrap = true
	return who, nil
}

// authorize is authenticate for a request that concerns one team's document.
func (s *Service) authorize(ctx context.Context, header http.Header, team string) (operator, error) {
	who, err := s.authenticate(ctx, header)
	if err != nil {
		return operator{}, err
	}
	if !rattansettings.IsName(team) {
		return operator{}, connect.NewError(connect.CodeInvalidArgument, errors.New("the team's name is missing or not valid"))
	}
	if !who.may(team) {
		return operator{}, connect.NewError(connect.CodePermissionDenied, errPermission)
	}
	return who, nil
}

// confirmCredential checks the credential again with the documents as stored,
// so that a daemon with old settings accepts no change by a replaced credential.
func confirmCredential(who operator, stored *rattansettings.Snapshot) error {
	team, found := stored.Team(who.team)
	if who.isBootstrap && !found {
		return nil
	}
	if !found || !team.Credential().Matches(who.secret()) {
		return connect.NewError(connect.CodeUnauthenticated, errUnauthenticated)
	}
	return nil
}

// storedSnapshot reads all documents from the platform. Of each team it takes the
// document in force here when the platform's answer is older or cannot be read.
func (s *Service) storedSnapshot(ctx context.Context) (*rattansettings.Snapshot, error) {
	stored, _, err := s.store.List(ctx)
	if err != nil {
		return nil, err
	}
	documents := s.settings.Snapshot().Documents()
	for _, one := range stored {
		if document, err := one.Parse(); err == nil {
			documents = append(documents, document)
		}
	}
	return rattansettings.NewSnapshot(documents...), nil
}
