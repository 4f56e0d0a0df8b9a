package rattanload

import (
	"sync"
	"time"
)

// A MarkKind is the kind of a fault or change in a mark.
type MarkKind string

// Kinds of marks. The measures use all but RateChanged.
const (
	PrimaryKilled  MarkKind = "primary_killed"
	DomainOut      MarkKind = "failure_domain_out"
	DomainReturned MarkKind = "failure_domain_returned"
	RateChanged    MarkKind = "rate_changed"
)

// A mark is a fault or change made to the deployment at a time.
type mark struct {
	kind    MarkKind
	subject string
	at      time.Time
}

// Marks collects the faults and changes made to the deployment during a run.
type Marks struct {
	mutex sync.Mutex
	marks []mark
}

// Add records a fault or change. The subject is the service of a killed primary, the
// name of a failure domain, or the name of a client account.
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
