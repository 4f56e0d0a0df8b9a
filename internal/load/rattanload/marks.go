package rattanload

import (
	"sync"
	"time"
)

// A MarkKind says what was done to the deployment.
type MarkKind string

// The kinds of marks that measures look at.
const (
	PrimaryKilled  MarkKind = "primary_killed"
	DomainOut      MarkKind = "failure_domain_out"
	DomainReturned MarkKind = "failure_domain_returned"
	RateChanged    MarkKind = "rate_changed"
)

// A mark is something done to the deployment at a time.
type mark struct {
	kind    MarkKind
	subject string
	at      time.Time
}

// Marks collects what is done to the deployment during a run.
type Marks struct {
	mutex sync.Mutex
	marks []mark
}

// Add notes that something is done at a time. The subject is the service of a
// killed primary, the name of a failure domain, or the name of a client account.
func (m *Marks) Add(at time.Time, kind MarkKind, subject string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.marks = append(m.marks, mark{kind, subject, at})
}

func (m *Marks) all() []mark {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return append([]mark(nil), m.marks...)
}
