package rattanendpoint

import (
	"bytes"
	"context"
	"crypto/sha256"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

type requestKey struct{ account, request string }

// A requestRecord is the outcome of a request. It is part of the request's log
// entry and so is replicated and truncated together with the changes.
type requestRecord struct {
	index     uint64
	digest    []byte
	results   []*rattanv1.Result
	cancelled bool
}

// storeRecord stores the request record of an entry, if the entry has one. The
// caller holds mu.
func (i *Instance) storeRecord(entry *rattanv1.LogEntry) {
	if entry.GetRequestId() == "" {
		return
	}
	stored := requestRecord{index: entry.GetPosition().GetIndex(), cancelled: entry.GetCancelled()}
	if outcome := entry.GetOutcome(); len(outcome) >= sha256.Size {
		var response rattanv1.RunStatementsResponse
		_ = proto.Unmarshal(outcome[sha256.Size:], &response)
		stored.digest, stored.results = outcome[:sha256.Size], response.GetResults()
	}
	i.records[requestKey{entry.GetClientAccount(), entry.GetRequestId()}] = stored
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

// findRecord returns the record of a request. The error is an EndpointFault when
// the request was cancelled or its identifier was used for other statements.
// wantedDigest is the digest of the request's statements, nil while they are not
// all known. The caller holds mu.
func (i *Instance) findRecord(request *rattanv1.RunStatementsRequest, wantedDigest []byte) (requestRecord, bool, error) {
	if request.GetRequestId() == "" {
		return requestRecord{}, false, nil
	}
	found, ok := i.records[requestKey{request.GetClientAccount(), request.GetRequestId()}]
	switch {
	case !ok:
		return requestRecord{}, false, nil
	case found.cancelled:
		return requestRecord{}, false, i.endpointFaultLocked(rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_CANCELLED, "request %q was cancelled", request.GetRequestId())
	case wantedDigest != nil && !bytes.Equal(wantedDigest, found.digest):
		return requestRecord{}, false, i.endpointFaultLocked(rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_CONFLICT, "request %q was used for other statements", request.GetRequestId())
	}
	return found, true, nil
}

// FindOutcome implements EndpointService. It cancels a request without a record,
// so that the request cannot run after its outcome was reported as not run.
func (i *Instance) FindOutcome(_ context.Context, request *connect.Request[rattanv1.FindOutcomeRequest]) (*connect.Response[rattanv1.FindOutcomeResponse], error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if err := i.checkPrimary(request.Msg.GetTerm()); err != nil {
		return nil, err
	}
	key := requestKey{request.Msg.GetClientAccount(), request.Msg.GetRequestId()}
	found, ok := i.records[key]
	if !ok {
		i.append(&rattanv1.LogEntry{ClientAccount: key.account, RequestId: key.request, Cancelled: true})
		found = i.records[key]
	}
	response := &rattanv1.FindOutcomeResponse{
		RunState: rattanv1.RunState_RUN_STATE_RAN,
		Results:  found.results,
		Position: i.confirmablePosition(found.index),
	}
	if found.cancelled {
		response.RunState = rattanv1.RunState_RUN_STATE_NOT_RUN
	}
	return connect.NewResponse(response), nil
}

// confirmablePosition returns the position that a majority must hold before the entry
// at index is safe. An entry of an ended term is safe only together with an
// entry of the current term: a majority that holds just the old entry can still
// lose it to a later primary with entries of a term in between.
func (i *Instance) confirmablePosition(index uint64) *rattanv1.Position {
	history := i.state.termHistory()
	start := history[len(history)-1].GetStartIndex()
	return &rattanv1.Position{Term: i.state.Term, Index: max(index, start)}
}

// checkPrimary returns an EndpointFault unless the instance is the primary of
// term. The caller holds mu.
func (i *Instance) checkPrimary(term uint64) error {
	if i.state.Primary && i.state.Term == term {
		return nil
	}
	return i.endpointFaultLocked(wrongTerm, "instance %s in term %d (promised %d) is not the primary of term %d", i.config.Name, i.state.Term, i.state.PromisedTerm, term)
}
