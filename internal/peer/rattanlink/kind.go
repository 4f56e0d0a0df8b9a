package rattanlink

import "github.com/rattanstream/rattanstream/internal/wire/rattanv1"

// A Kind is the kind of a request frame.
type Kind int

// The kinds of request frames. KindUnknown stands for responses and for frames
// without a body; no handler can be registered for it.
const (
	KindUnknown Kind = iota
	KindSync
	KindBorrow
	KindReturnLoan
	KindForward
	KindLoad
	KindToken
	KindWork
	KindKnowledge
	KindStop
	KindPromise
	KindStoreWatch
	KindUsage
)

// String returns the snake case name of k.
func (k Kind) String() string {
	switch k {
	case KindSync:
		return "sync"
	case KindBorrow:
		return "borrow"
	case KindReturnLoan:
		return "return_loan"
	case KindForward:
		return "forward"
	case KindLoad:
		return "load"
	case KindToken:
		return "token"
	case KindWork:
		return "work"
	case KindKnowledge:
		return "knowledge"
	case KindStop:
		return "stop"
	case KindPromise:
		return "promise"
	case KindStoreWatch:
		return "store_watch"
	case KindUsage:
		return "usage"
	default:
		return "unknown"
	}
}

// KindOf returns the kind of a request frame.
func KindOf(frame *rattanv1.PeerFrame) Kind {
	switch frame.GetBody().(type) {
	case *rattanv1.PeerFrame_SyncRequest:
		return KindSync
	case *rattanv1.PeerFrame_BorrowRequest:
		return KindBorrow
	case *rattanv1.PeerFrame_ReturnLoanRequest:
		return KindReturnLoan
	case *rattanv1.PeerFrame_ForwardRequest:
		return KindForward
	case *rattanv1.PeerFrame_LoadRequest:
		return KindLoad
	case *rattanv1.PeerFrame_TokenRequest:
		return KindToken
	case *rattanv1.PeerFrame_WorkRequest:
		return KindWork
	case *rattanv1.PeerFrame_KnowledgeRequest:
		return KindKnowledge
	case *rattanv1.PeerFrame_StopRequest:
		return KindStop
	case *rattanv1.PeerFrame_PromiseRequest:
		return KindPromise
	case *rattanv1.PeerFrame_StoreWatchRequest:
		return KindStoreWatch
	case *rattanv1.PeerFrame_UsageRequest:
		return KindUsage
	default:
		return KindUnknown
	}
}

// responseKind returns the kind of the requests that a frame is the response to, or
// KindUnknown when it is none or has no content.
func responseKind(frame *rattanv1.PeerFrame) Kind {
	switch {
	case frame.GetSyncResponse() != nil:
		return KindSync
	case frame.GetBorrowResponse() != nil:
		return KindBorrow
	case frame.GetReturnLoanResponse() != nil:
		return KindReturnLoan
	case frame.GetForwardResponse() != nil:
		return KindForward
	case frame.GetLoadResponse() != nil:
		return KindLoad
	case frame.GetTokenResponse() != nil:
		return KindToken
	case frame.GetWorkResponse() != nil:
		return KindWork
	case frame.GetKnowledgeResponse() != nil:
		return KindKnowledge
	case frame.GetStopResponse() != nil:
		return KindStop
	case frame.GetPromiseResponse() != nil:
		return KindPromise
	case frame.GetStoreWatchResponse() != nil:
		return KindStoreWatch
	case frame.GetUsageResponse() != nil:
		return KindUsage
	default:
		return KindUnknown
	}
}
