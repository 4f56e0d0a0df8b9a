package rattanfailover

import (
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// TestDecide guards against a failover that no majority of the failure domains
// supports, that rests on unresponsive monitors or expired suspicions, or that
// monitors of all ranks start at the same time.
func TestDecide(t *testing.T) {
	for _, tc := range []struct {
		name       string
		responsive []string
		suspecting []string
		term       uint64
		wait       time.Duration
		want       bool
	}{
		{"nobody suspects", []string{"a2", "b1", "b2", "c1", "c2"}, nil, 1, 0, false},
		{"one failure domain", []string{"a2", "b1", "b2", "c1", "c2"}, []string{"b1", "b2"}, 1, 0, false},
		{"half of each failure domain", []string{"a2", "b1", "b2", "c1", "c2"}, []string{"b1", "c1"}, 1, 0, false},
		{"two failure domains", []string{"a2", "b1", "b2", "c1", "c2"}, []string{"b1", "b2", "c1", "c2"}, 1, 0, true},
		{"unresponsive monitors do not count", []string{"b1", "c1"}, []string{"b1", "c1"}, 1, 0, true},
		{"suspicions of unresponsive monitors do not count", []string{"b1"}, []string{"b1", "c1", "c2"}, 1, 0, false},
		{"suspicions of another term", []string{"b1", "c1"}, []string{"b1", "c1"}, 2, 0, false},
		{"expired suspicions", []string{"b1", "c1"}, []string{"b1", "c1"}, 1, suspicionTTL, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			var monitors []Daemon
			for i, name := range []string{"a1", "a2", "b1", "b2", "c1", "c2"} {
				monitors = append(monitors, Daemon{Name: name, Incarnation: 1, FailureDomain: domains[i/2]})
			}
			d := NewDetector(group, monitors[0], clock)
			d.SetMonitors(domains, monitors)
			d.SetTerm(1)
			for _, name := range tc.responsive {
				d.ObserveHeartbeat(name)
			}
			for _, name := range tc.suspecting {
				d.ObserveSuspicion(Suspicion{Group: group, Monitor: Daemon{Name: name, Incarnation: 1}, Sequence: 1, Term: tc.term, Suspected: true})
			}
			clock.Advance(tc.wait)
			rank := Rank(group, 1, d.liveMonitors(clock.Now()), "a1")
			if early := d.Decide(); early.Failover && rank > 0 {
				t.Errorf("monitor of rank %d starts without its stagger delay", rank)
			}
			clock.Advance(time.Duration(rank) * rankDelay)
			if got := d.Decide(); got.Failover != tc.want {
				t.Errorf("decision %+v, want failover %t", got, tc.want)
			}
		})
	}
}

// TestRendezvous guards against a choice of monitors in which more than one changes
// when one daemon leaves.
func TestRendezvous(t *testing.T) {
	var live []Daemon
	for i := range 30 {
		live = append(live, Daemon{Name: "vm" + strconv.Itoa(i), FailureDomain: domains[i%3]})
	}
	before := Monitors(group, domains, live, MonitorsPerDomain)
	after := Monitors(group, domains, live[1:], MonitorsPerDomain)
	unchanged := 0
	for _, monitor := range before {
		if Rank(group, 1, after, monitor.Name) >= 0 {
			unchanged++
		}
	}
	if len(before) != 6 || unchanged < 5 {
		t.Errorf("%d of %d monitors unchanged, want at least 5 of 6", unchanged, len(before))
	}
}

// TestTracker guards against a view that goes back to a lower term.
func TestTracker(t *testing.T) {
	status := func(role rattanv1.EndpointRole, term uint64) *rattanv1.EndpointStatus {
		return &rattanv1.EndpointStatus{Role: role, Term: term, PromisedTerm: term, Position: &rattanv1.Position{Term: term, Index: 1}}
	}
	primary, replica := rattanv1.EndpointRole_ENDPOINT_ROLE_PRIMARY, rattanv1.EndpointRole_ENDPOINT_ROLE_REPLICA
	for _, tc := range []struct {
		name    string
		observe func(tracker *Tracker)
		term    uint64
		primary string
	}{
		{"older primary", func(tr *Tracker) { tr.Observe("b", status(primary, 2)) }, 3, "a"},
		{"delayed response of the same endpoint", func(tr *Tracker) { tr.Observe("a", status(replica, 2)) }, 3, "a"},
		{"fenced primary", func(tr *Tracker) { tr.Observe("a", status(replica, 3)) }, 3, ""},
		{"replica of a newer term", func(tr *Tracker) { tr.Observe("b", status(replica, 4)) }, 4, ""},
		{"newer primary", func(tr *Tracker) { tr.Observe("b", status(primary, 4)) }, 4, "b"},
		{"older view", func(tr *Tracker) { tr.Merge(rattanmodel.GroupView{Group: group, Term: 2, Primary: "b"}) }, 3, "a"},
		{"newer view", func(tr *Tracker) { tr.Merge(rattanmodel.GroupView{Group: group, Term: 4, Primary: "b"}) }, 4, "b"},
		{"newer view of an unknown primary", func(tr *Tracker) { tr.Merge(rattanmodel.GroupView{Group: group, Term: 4, Primary: "x"}) }, 4, ""},
		{"unknown endpoint", func(tr *Tracker) { tr.Observe("x", status(primary, 9)) }, 3, "a"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tracker := NewTracker(clockwork.NewFakeClock())
			tracker.SetGroup(group, Member{Name: "a"}, Member{Name: "b"}, Member{Name: "c"})
			tracker.Observe("a", status(primary, 3))
			tc.observe(tracker)
			if view := tracker.View(group); view.Term != tc.term || view.Primary != tc.primary {
				t.Errorf("primary %q of term %d, want %q of term %d", view.Primary, view.Term, tc.primary, tc.term)
			}
		})
	}
}

// TestHigherPromiseDuration guards against a needless second promotion: when a new
// term, received from another daemon, exceeds the promise that made a replica
// refuse the primary, the duration must start from zero again.
func TestHigherPromiseDuration(t *testing.T) {
	clock := clockwork.NewFakeClock()
	tracker := NewTracker(clock)
	tracker.SetGroup(group, Member{Name: "a"}, Member{Name: "b"})
	tracker.Observe("a", &rattanv1.EndpointStatus{Role: rattanv1.EndpointRole_ENDPOINT_ROLE_PRIMARY, Term: 1, PromisedTerm: 1})
	tracker.Observe("b", &rattanv1.EndpointStatus{Term: 1, PromisedTerm: 9})
	clock.Advance(time.Second)
	if got := tracker.HigherPromiseDuration(group); got != time.Second {
		t.Errorf("higher promise for %s, want 1s", got)
	}
	tracker.Merge(rattanmodel.GroupView{Group: group, Term: 10, Primary: "a"})
	if got := tracker.HigherPromiseDuration(group); got != 0 {
		t.Errorf("higher promise for %s in the new term, want 0s", got)
	}
}
