package rattanendpoint

import (
	"bytes"
	"context"
	"crypto/sha256"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

type recordKey struct{ account, request string }

// A record is the outcome of a request. It is part of the request's log entry
// and so is replicated and truncated with the effect.
type record struct {
	index     uint64
	digest    []byte
	results   []*rattanv1.Result
	cancelled bool
}

// keepRecord stores the record of an entry, if it has one. The caller holds mu.
func (i *Instance) keepRecord(entry *rattanv1.LogEntry) {
	if entry.GetRequestId() == "" {
		return
	}
	kept := record{index: entry.GetPosition().GetIndex(), cancelled: entry.GetCancelled()}
	if outcome := entry.GetOutcome(); len(outcome) >= sha256.Size {
		var response rattanv1.RunStatementsResponse
		_ = proto.Unmarshal(outcome[sha256.Size:], &response)
		kept.digest, kept.results = outcome[:sha256.Size], response.GetResults()
	}
	i.records[recordKey{entry.GetClientAccount(), entry.GetRequestId()}] = kept
}

// encodeOutcome returns the outcome of an entry: the digest of the request's
// statements followed by its results.
func encodeOutcome(digest []byte, results []*rattanv1.Result) []byte {
	return append(bytes.Clone(digest), marshal(&rattanv1.RunStatementsResponse{Results: results})...)
}

// digest returns the SHA-256 over the statements in order.
func digest(statements []*rattanv1.Statement) []byte {
	sum := sha256.Sum256(marshal(&rattanv1.RunStatementsRequest{Statements: statements}))
	return sum[:]
}

// recorded looks the record of a request up. The error is a fault when the
// request was cancelled or the identifier was used for other statements. wanted
// is nil when the caller does not know the statements. The caller holds mu.
func (i *Instance) recorded(request *rattanv1.RunStatementsRequest, wanted []byte) (record, bool, error) {
	if request.GetRequestId() == "" {
		return record{}, false, nil
	}
	found, ok := i.records[recordKey{request.GetClientAccount(), request.GetRequestId()}]
	switch {
	case !ok:
		return record{}, false, nil
	case found.cancelled:
		return record{}, false, i.fault(rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_CANCELLED, "request %q was cancelled", request.GetRequestId())
	case wanted != nil && !bytes.Equal(wanted, found.digest):
		return record{}, false, i.fault(rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_CONFLICT, "request %q was used for other statements", request.GetRequestId())
	}
	return found, true, nil
}

// FindOutcome implements EndpointService.
func (i *Instance) FindOutcome(_ context.Context, request *connect.Request[rattanv1.FindOutcomeRequest]) (*connect.Response[rattanv1.FindOutcomeResponse], error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if err := i.checkPrimary(request.Msg.GetTerm()); err != nil {
		return nil, err
	}
	key := recordKey{request.Msg.GetClientAccount(), request.Msg.GetRequestId()}
	found, ok := i.records[key]
	if !ok {
		i.append(&rattanv1.LogEntry{ClientAccount: key.account, RequestId: key.request, Cancelled: true})
		found = i.records[key]
	}
	response := &rattanv1.FindOutcomeResponse{
		RunState: rattanv1.RunState_RUN_STATE_RAN,
		Results:  found.results,
		Position: i.confirmable(found.index),
	}
	if found.cancelled {
		response.RunState = rattanv1.RunState_RUN_STATE_NOT_RUN
	}
	return connect.NewResponse(response), nil
}

// confirmable returns the position that a majority must hold before the entry
// at index is safe. An entry of an ended term is safe only together with an
// entry of the current term: a majority that holds just the old entry can still
// lose it to a later primary with entries of a term in between.
func (i *Instance) confirmable(index uint64) *rattanv1.Position {
	termHistory := i.state.termHistory()
	start := termHistory[len(termHistory)-1].GetStartIndex()
	return &rattanv1.Position{Term: i.state.Term, Index: max(index, start)}
}

// checkPrimary returns a fault unless the instance is primary of term. The
// caller holds mu.
func (i *Instance) checkPrimary(term uint64) error {
	if i.state.Primary && i.state.Term == term {
		return nil
	}
	return i.fault(wrongTerm, "instance %s in term %d (promised %d) is not the primary of term %d", i.config.Name, i.state.Term, i.state.PromisedTerm, term)
}
