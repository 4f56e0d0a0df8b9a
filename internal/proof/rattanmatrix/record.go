package rattanmatrix

import (
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
)

// A kind is the kind of a request of a caller.
type kind string

const (
	kindInsert   kind = "insert"
	kindRead     kind = "read"
	kindTransfer kind = "transfer"
	kindSum      kind = "sum"
	kindFlood    kind = "flood"
	kindWithdraw kind = "withdraw"
	kindBusy     kind = "busy"
	kindIntrude  kind = "intrude"
)

// An event is one request of a caller with its result.
type event struct {
	kind    kind
	session int
	account string
	vm      string
	// id is the request identifier of an insert or a commit.
	id string
	// endpoint is the endpoint that served the request, if the response names it.
	endpoint   string
	start, end time.Time
	ok         bool
	// state is the run state of a failed request, unknown if the response was lost.
	state rattanerr.RunState
	err   error
	// lost is true if the caller got no response to its first attempt, which failed at
	// lostAt.
	lost   bool
	lostAt time.Time
	// whole is true if the response is complete.
	whole bool
	// ids are the identifiers that a read returned, and sum is the result of a sum.
	ids []string
	sum int64
	// acknowledged is the number of the session's inserts that were acknowledged when
	// the request began.
	acknowledged int
}

// A record collects the events of all callers of a run.
type record struct {
	mutex  sync.Mutex
	events []event
}

func (r *record) add(e event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.events = append(r.events, e)
}

func (r *record) all() []event {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]event(nil), r.events...)
}
