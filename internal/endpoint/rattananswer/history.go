// Package rattananswer decides whether an answer on a connection to an endpoint belongs
// to the request that was sent last. An endpoint may repeat an answer at any later time,
// so an answer that arrives first is not always that of the request.
package rattananswer

import (
	"slices"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
)

const (
	// keptSigned, keptUnsigned and keptErrors are how many answers with a signature, without
	// one, and errors a history keeps to recognise their repeats.
	keptSigned, keptUnsigned, keptErrors = 256, 256, 16
)

// A History holds the answers on one connection. Requests are answered in the order in
// which they were sent. It is not safe for concurrent use.
type History struct {
	// status is the transaction status after the last answer.
	status rattanstatement.TransactionStatus
	// greeting is the position in the answer that opened the session.
	greeting rattanmodel.Position
	// signed has the answers with a signature, unsigned those without one, and errors the
	// errors.
	signed, unsigned, errors ring
	// isTentative is true while the last answer may not be that to the last request: it has no
	// signature, and it or one before it equals an earlier one. The next answer that can belong
	// to no earlier request proves that none was a repeat.
	isTentative bool
}

// New returns the history of a connection whose session was opened with an answer.
func New(opened rattanstatement.Result) *History {
	return &History{status: opened.TransactionStatus, greeting: opened.Position}
}

// IsTentative reports whether the last answer may not be that to the last request.
func (h *History) IsTentative() bool { return h.isTentative }

// HasErrors reports whether a request was answered with an error. Nothing tells a repeat of
// an error from an error of the same kind.
func (h *History) HasErrors() bool { return len(h.errors.entries) > 0 }

// Judge decides about the next answer after a request was sent.
func (h *History) Judge(request rattanstatement.Request, result rattanstatement.Result) Judgement {
	judgement := h.judge(request, result)
	if judgement.Verdict == Own {
		h.status = result.TransactionStatus
	}
	return judgement
}

func (h *History) judge(request rattanstatement.Request, result rattanstatement.Result) Judgement {
	switch {
	case result.IsPartial:
		return h.judgePart(result)
	case !result.OK():
		return h.judgeError(request, result)
	case result.Signature != "":
		return h.judgeSigned(request, result)
	default:
		return h.judgeUnsigned(request, result)
	}
}

// judgePart decides about an answer that says neither success nor error, as the one does
// that opens the session.
func (h *History) judgePart(result rattanstatement.Result) Judgement {
	if len(result.Rows) == 0 && result.TransactionStatus == rattanstatement.Idle && result.Position == h.greeting {
		return Judgement{Verdict: Repeated, Reason: ReasonRepeated}
	}
	return Judgement{Verdict: Invalid, Reason: ReasonIncomplete}
}

// judgeSigned decides about a success with a signature. Each signature comes once.
func (h *History) judgeSigned(request rattanstatement.Request, result rattanstatement.Result) Judgement {
	entry := entryOf(signatureDigest(result), answerDigest(result))
	known, ok := h.signed.find(entry.key)
	switch {
	case ok && known.whole == entry.whole:
		return Judgement{Verdict: Repeated, Reason: ReasonRepeated}
	case ok:
		return Judgement{Verdict: Invalid, Reason: ReasonMixed}
	case !isSigned(request.Kind):
		return Judgement{Verdict: Invalid, Reason: ReasonSignature}
	case !h.fitsStatus(request.Kind, result.TransactionStatus):
		return Judgement{Verdict: Invalid, Reason: ReasonStatus}
	}
	h.signed.add(entry, keptSigned)
	h.isTentative = false
	return Judgement{Verdict: Own}
}

// judgeUnsigned decides about a success without a signature.
func (h *History) judgeUnsigned(request rattanstatement.Request, result rattanstatement.Result) Judgement {
	digest := answerDigest(result)
	_, isKnown := h.unsigned.find(digest)
	if reason := h.mismatch(request.Kind, result); reason != "" {
		if isKnown {
			return Judgement{Verdict: Repeated, Reason: ReasonRepeated}
		}
		return Judgement{Verdict: Invalid, Reason: reason}
	}
	h.unsigned.add(entryOf(digest, digest), keptUnsigned)
	// Unless it changes the status, a new one may be the own answer of the request before.
	h.isTentative = isKnown || h.isTentative && result.TransactionStatus == h.status
	return Judgement{Verdict: Own}
}

// mismatch returns why a success without a signature is no answer to a request of a kind,
// empty if it may be one.
func (h *History) mismatch(kind rattanstatement.Kind, result rattanstatement.Result) Reason {
	switch {
	case isSigned(kind):
		return ReasonNoSignature
	case len(result.Rows) != rows(kind):
		return ReasonRows
	case !h.fitsStatus(kind, result.TransactionStatus):
		return ReasonStatus
	default:
		return ""
	}
}

// judgeError decides about an error.
func (h *History) judgeError(request rattanstatement.Request, result rattanstatement.Result) Judgement {
	digest := errorDigest(result)
	_, isKnown := h.errors.find(digest)
	switch {
	case isKnown:
		return Judgement{Verdict: Uncertain, Reason: ReasonRepeatedError}
	case !answers(request, result.Code):
		return Judgement{Verdict: Uncertain, Reason: ReasonCode}
	case h.isTentative && !isOnlyOf(request, result.Code):
		return Judgement{Verdict: Uncertain, Reason: ReasonTentative}
	}
	h.errors.add(entryOf(digest, digest), keptErrors)
	h.isTentative = false
	return Judgement{Verdict: Own}
}

// fitsStatus reports whether a success of a request of a kind leaves the session in a
// transaction status.
func (h *History) fitsStatus(kind rattanstatement.Kind, status rattanstatement.TransactionStatus) bool {
	switch kind {
	case rattanstatement.Begin, rattanstatement.BeginRead:
		return status == rattanstatement.InTransaction
	case rattanstatement.Commit, rattanstatement.Rollback:
		return status == rattanstatement.Idle
	default:
		return status == h.status
	}
}

// An entry is one answer: key is what a repeat is recognised by, whole stands for all of it.
type entry struct{ key, whole uint64 }

func entryOf(key, whole uint64) entry { return entry{key: key, whole: whole} }

// A ring holds the newest of the entries that were added.
type ring struct {
	entries []entry
	next    int
}

func (r *ring) find(key uint64) (entry, bool) {
	i := slices.IndexFunc(r.entries, func(e entry) bool { return e.key == key })
	if i < 0 {
		return entry{}, false
	}
	return r.entries[i], true
}

// add adds an entry unless there is one with its key. The oldest one of size entries is
// replaced.
func (r *ring) add(e entry, size int) {
	if _, ok := r.find(e.key); ok {
		return
	}
	if len(r.entries) < size {
		r.entries = append(r.entries, e)
		return
	}
	r.entries[r.next] = e
	r.next = (r.next + 1) % size
}
