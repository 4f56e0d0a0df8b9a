package rattananswer

// A Verdict says what an answer is.
type Verdict int

// The verdicts.
const (
	// Own is the answer to the request.
	Own Verdict = iota + 1
	// Repeated is an earlier answer once more; the request's own one is still to come.
	Repeated
	// Uncertain may be the answer to the request or an earlier one once more. Nothing more
	// can be learned from the connection.
	Uncertain
	// Invalid is no whole answer to the request. Nothing more can be learned from the
	// connection.
	Invalid
)

// A Reason is why an answer is not taken, in logs and in the names of counters.
type Reason string

// The reasons.
const (
	// ReasonRepeated: the answer has come before.
	ReasonRepeated Reason = "repeated"
	// ReasonRepeatedError: the same error has come before.
	ReasonRepeatedError Reason = "repeated_error"
	// ReasonTentative: the error may answer the request before, whose answer may be a repeat.
	ReasonTentative Reason = "error_after_tentative"
	// ReasonCode: the request cannot end with this error.
	ReasonCode Reason = "unexpected_error"
	// ReasonIncomplete: the answer says neither success nor error.
	ReasonIncomplete Reason = "incomplete"
	// ReasonMixed: the signature has come before, with other rows.
	ReasonMixed Reason = "mixed"
	// ReasonSignature: the answer has a signature, and the request gets none.
	ReasonSignature Reason = "unexpected_signature"
	// ReasonNoSignature: the answer lacks the signature.
	ReasonNoSignature Reason = "no_signature"
	// ReasonRows: the answer has too many or too few rows.
	ReasonRows Reason = "wrong_rows"
	// ReasonStatus: the answer does not leave the session in or outside a transaction, as the
	// request does.
	ReasonStatus Reason = "wrong_status"
	// ReasonSurplus: data arrived while no request was sent.
	ReasonSurplus Reason = "surplus"
	// ReasonMalformed: the endpoint sent what the protocol does not allow.
	ReasonMalformed Reason = "malformed"
)

// A Judgement is what an answer is and, unless it is the request's own one, why.
type Judgement struct {
	Verdict Verdict
	Reason  Reason
}
