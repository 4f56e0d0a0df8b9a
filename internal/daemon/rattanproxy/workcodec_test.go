package rattanproxy

import (
	"testing"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// signedKinds are the kinds of requests whose success has a signature of the endpoint.
var signedKinds = []rattanv1.WorkKind{
	rattanv1.WorkKind_WORK_KIND_READ, rattanv1.WorkKind_WORK_KIND_WRITE, rattanv1.WorkKind_WORK_KIND_BEGIN,
	rattanv1.WorkKind_WORK_KIND_RUN, rattanv1.WorkKind_WORK_KIND_COMMIT,
}

// unsignedKinds are the kinds of requests whose success has none.
var unsignedKinds = []rattanv1.WorkKind{rattanv1.WorkKind_WORK_KIND_ROLLBACK, rattanv1.WorkKind_WORK_KIND_ABORT}

// assertMissing checks that a response does not count as an answer, and leaves open whether
// the request has run.
func assertMissing(t *testing.T, kind rattanv1.WorkKind, response *rattanv1.WorkResponse) {
	t.Helper()
	result, err := decodeWorkResponse(kind, response)
	var callErr *ownerCallError
	if !errors.As(err, &callErr) || callErr.isNotRun {
		t.Errorf("%s: got %+v, %v, want an answer that is missing", kind, result, err)
	}
}

// TestResponseIsNoAnswer guards against a success without the signature of the endpoint
// that another daemon has told (MIXED).
func TestResponseIsNoAnswer(t *testing.T) {
	for _, test := range []struct {
		name     string
		kinds    []rattanv1.WorkKind
		response *rattanv1.WorkResponse
	}{
		{"no response", signedKinds, nil},
		{"empty", signedKinds, &rattanv1.WorkResponse{}},
		{"rows without a signature", signedKinds, &rattanv1.WorkResponse{Rows: []string{"a"}}},
		{"unknown failure", signedKinds, &rattanv1.WorkResponse{Failure: 99, Proof: "1"}},
		{"negative failure", signedKinds, &rattanv1.WorkResponse{Failure: -1, Proof: "1"}},
		{"unknown code", signedKinds, &rattanv1.WorkResponse{Code: 99}},
		{"code that is no number of one", signedKinds, &rattanv1.WorkResponse{Code: 1 << 31}},
		{"signature and error", signedKinds, &rattanv1.WorkResponse{Code: uint32(rattanstatement.Busy), Proof: "1"}},
		{"signature and failure", signedKinds, &rattanv1.WorkResponse{Failure: rattanv1.WorkFailure_WORK_FAILURE_NO_GRANT, Proof: "1"}},
		{"signature of an end", unsignedKinds, &rattanv1.WorkResponse{Proof: "1"}},
		{"rows of an end", unsignedKinds, &rattanv1.WorkResponse{Rows: []string{"a"}}},
		{"no response to an end", unsignedKinds, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, kind := range test.kinds {
				assertMissing(t, kind, test.response)
			}
		})
	}
}

// TestResponseIsAnswer guards against an answer that is taken for a missing one.
func TestResponseIsAnswer(t *testing.T) {
	for _, kind := range signedKinds {
		result, err := decodeWorkResponse(kind, encodeWorkResponse(rattanstatement.Result{Rows: []string{"a\nb"}, Signature: "1"}, nil))
		if err != nil || result.Signature != "1" || len(result.Rows) != 1 || result.Rows[0] != "a\nb" {
			t.Errorf("%s: got %+v, %v", kind, result, err)
		}
		for code := rattanstatement.Busy; code <= rattanstatement.InDoubt; code++ {
			result, err := decodeWorkResponse(kind, encodeWorkResponse(rattanstatement.Refuse(code, "i-1"), nil))
			if err != nil || result.Code != code || result.Detail != "i-1" {
				t.Errorf("%s: got %+v, %v, want the code %s", kind, result, err, code)
			}
		}
		for _, known := range workFailures {
			if _, err := decodeWorkResponse(kind, encodeWorkResponse(rattanstatement.Result{}, known.err)); err == nil {
				t.Errorf("%s: %v is decoded as a success", kind, known.err)
			}
		}
		if _, err := decodeWorkResponse(kind, encodeWorkResponse(rattanstatement.Result{}, rattanupstream.ErrNoGrant)); !errors.Is(err, rattanupstream.ErrNoGrant) {
			t.Errorf("%s: got %v, want %v", kind, err, rattanupstream.ErrNoGrant)
		}
	}
	for _, kind := range unsignedKinds {
		if result, err := decodeWorkResponse(kind, &rattanv1.WorkResponse{}); err != nil || !result.OK() {
			t.Errorf("%s: got %+v, %v, want a success", kind, result, err)
		}
	}
}
