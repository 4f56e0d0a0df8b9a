package rattanoperator

import (
	"context"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/config/rattankey"
	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
	"github.com/rattanstream/rattanstream/internal/config/rattanstore"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// GiveKey generates a key for a client account. The response is the only place that
// shows it. It is sent when all live daemons accept the key, or after confirmWait.
func (s *Service) GiveKey(ctx context.Context, request *connect.Request[rattanv1.GiveKeyRequest]) (*connect.Response[rattanv1.GiveKeyResponse], error) {
	team, account := request.Msg.GetTeam(), request.Msg.GetClientAccount()
	op, err := s.authorize(ctx, request.Header(), team)
	if err != nil {
		return nil, err
	}
	if !rattansettings.IsName(account) {
		return nil, connect.NewError(connect.CodeInvalidArgument,
			errors.New("the client account's name is missing or not valid; accepted: the name without the team"))
	}
	key := rattankey.Generate()
	applied, err := s.apply(ctx, proposal{
		op: op, team: team, id: request.Msg.GetChangeId(), request: "give_key\n" + account, anyRevision: true,
		makeText: func(current string) (string, error) {
			return rattansettings.EditText(current, rattansettings.AddKeyEdits(key.ID(), account, key.Hash())...)
		},
	})
	if err != nil {
		return nil, wireError(err)
	}
	if applied.AlreadyApplied {
		return nil, connect.NewError(connect.CodeAlreadyExists, errors.Errorf(
			"this change has already generated key %s, whose secret cannot be shown again; accepted: withdraw it and repeat with a new change id",
			addedKeyID(applied.Diff)))
	}
	s.awaitAll(ctx, team, applied.Revision)
	return connect.NewResponse(&rattanv1.GiveKeyResponse{
		KeyId: key.ID(), Key: key.Reveal(), Revision: applied.Revision,
	}), nil
}

// addedKeyID returns the id of the key that a change's diff adds.
func addedKeyID(diff []string) string {
	for _, line := range diff {
		if id, ok := strings.CutPrefix(line, "+[key."); ok {
			return strings.TrimSuffix(id, "]")
		}
	}
	return "(unknown)"
}

// ListKeys returns the keys of a team, or of one of its client accounts, given by
// its name without the team.
func (s *Service) ListKeys(ctx context.Context, request *connect.Request[rattanv1.ListKeysRequest]) (*connect.Response[rattanv1.ListKeysResponse], error) {
	team, account := request.Msg.GetTeam(), request.Msg.GetClientAccount()
	if _, err := s.authorize(ctx, request.Header(), team); err != nil {
		return nil, err
	}
	stored, err := s.load(ctx, team)
	if err != nil {
		return nil, wireError(err)
	}
	document, err := stored.Parse()
	if err != nil {
		return nil, wireError(err)
	}
	response := &rattanv1.ListKeysResponse{}
	for _, key := range document.Keys() {
		if account != "" && key.ClientAccount() != team+"/"+account {
			continue
		}
		response.Keys = append(response.Keys, &rattanv1.Key{
			KeyId: key.ID(), Team: team, ClientAccount: strings.TrimPrefix(key.ClientAccount(), team+"/"),
			Withdrawn: key.Withdrawn() || s.keys.IsWithdrawn(key.Name()),
		})
	}
	return connect.NewResponse(response), nil
}

// errAlreadyWithdrawn ends the change of a withdrawal without storing anything,
// because the stored document has the key as withdrawn.
var errAlreadyWithdrawn = errors.New("the key is already withdrawn")

// WithdrawKey withdraws a key permanently. It may be repeated to find out whether
// the withdrawal has been accepted in the meantime.
func (s *Service) WithdrawKey(ctx context.Context, request *connect.Request[rattanv1.WithdrawKeyRequest]) (*connect.Response[rattanv1.WithdrawKeyResponse], error) {
	team, id := request.Msg.GetTeam(), request.Msg.GetKeyId()
	op, err := s.authorize(ctx, request.Header(), team)
	if err != nil {
		return nil, err
	}
	var revision uint64
	applied, err := s.apply(ctx, proposal{
		op: op, team: team, id: request.Msg.GetChangeId(), request: "withdraw_key\n" + id, anyRevision: true,
		makeText: func(current string) (string, error) { return withdrawnText(team, current, id) },
	})
	switch {
	case err == nil:
		revision = applied.Revision
	case errors.Is(err, errAlreadyWithdrawn):
		if revision, err = s.storedRevision(ctx, team); err != nil {
			return nil, wireError(err)
		}
	default:
		return nil, wireError(err)
	}
	s.keys.Withdraw(team + "/" + id)
	return s.withdrawalResponse(ctx, request.Msg, revision), nil
}

// withdrawnText returns the document's text with the key withdrawn.
func withdrawnText(team, current, id string) (string, error) {
	document, err := rattansettings.ParseDocument(team, current)
	if err != nil {
		return "", err
	}
	for _, key := range document.Keys() {
		switch {
		case key.ID() != id:
		case key.Withdrawn():
			return "", errAlreadyWithdrawn
		default:
			return rattansettings.EditText(current, rattansettings.WithdrawKeyEdit(id))
		}
	}
	return "", connect.NewError(connect.CodeNotFound, errors.New("the team has no such key; accepted: the key's identifier, without the secret"))
}

// storedRevision returns the revision of the stored document. WithdrawKey uses it
// when the document already contains the withdrawal.
func (s *Service) storedRevision(ctx context.Context, team string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.changeTimeout)
	defer cancel()
	stored, err := s.store.Load(ctx, team)
	return stored.Revision, err
}

var _ Store = (*rattanstore.Store)(nil)

// withdrawalResponse waits until all live daemons have the withdrawal in force, at
// most for the time in the request. The withdrawal is accepted when a majority of
// the failure domains has it in force.
func (s *Service) withdrawalResponse(ctx context.Context, request *rattanv1.WithdrawKeyRequest, revision uint64) *connect.Response[rattanv1.WithdrawKeyResponse] {
	response := &rattanv1.WithdrawKeyResponse{Revision: revision}
	s.poll(ctx, time.Duration(request.GetMaxWaitMs())*time.Millisecond, func() bool {
		confirmed := s.confirmation(request.GetTeam(), revision)
		response.Accepted = s.isMajority(confirmed)
		response.Confirmed, response.Daemons, response.Missing = confirmed.count, confirmed.daemons, confirmed.missing
		return response.Accepted && len(confirmed.missing) == 0
	})
	return connect.NewResponse(response)
}
