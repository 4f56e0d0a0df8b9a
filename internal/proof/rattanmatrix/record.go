package rattanmatrix

import (
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
)

// A kind is what a caller asked for.
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

// An event is one request of a caller with its answer.
type event struct {
	kind    kind
	session int
	account string
	vm      string
	// id is the request identifier of an insert or a commit.
	id string
	// endpoint served the request, when the answer says so.
	endpoint   string
	start, end time.Time
	ok         bool
	// state is the run state of a refusal; lost answers are unknown.
	state rattanerr.RunState
	err   error
	// lost is true when the caller got no answer to its first attempt, at lostAt.
	lost   bool
	lostAt time.Time
	// whole is true when the answer has everything that was asked for.
	whole bool
	// ids are the identifiers that a read returned, sum the result of a sum.
	ids []string
	sum int64
	// acknowledged has the session's acknowledged inserts when a read began.
	acknowledged int
}

// A record collects the events of a run.
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
