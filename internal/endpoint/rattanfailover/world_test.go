package rattanfailover

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/standin/rattanendpoint"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

const (
	group    = "shop/orders"
	hopDelay = time.Millisecond
)

var domains = []string{"a", "b", "c"}

// world is a group of three endpoints, one in each failure domain, and two
// daemons in each, in the memory of a synctest bubble. An endpoint is named
// after its failure domain, a daemon "a1" or "a2".
type world struct {
	endpoints map[string]*rattanendpoint.Instance
	daemons   map[string]*daemon
	running   sync.WaitGroup
	stop      context.CancelFunc

	mu      sync.Mutex
	blocked map[[2]string]bool
	acks    []ack
	// onCall is told of every call of a coordinator before it is sent and after
	// its answer; it may stop the daemon.
	onCall func(caller *daemon, method string, after bool)
}

// daemon is the part of a daemon that takes part in failover.
type daemon struct {
	Daemon
	*world
	tracker     *Tracker
	detector    *Detector
	coordinator *Coordinator
	monitor     *Monitor
	dead        context.Context
	die         context.CancelFunc
	connections map[string]string
}

func newWorld() *world {
	w := &world{
		endpoints: map[string]*rattanendpoint.Instance{},
		daemons:   map[string]*daemon{},
		blocked:   map[[2]string]bool{},
		onCall:    func(*daemon, string, bool) {},
	}
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	var live []Daemon
	for _, domain := range domains {
		w.endpoints[domain] = rattanendpoint.New(rattanendpoint.Config{
			Name: domain, Group: group, FailureDomain: domain, InitialPrimary: "a", Connections: 10000,
			Peers: slices.DeleteFunc(slices.Clone(domains), func(d string) bool { return d == domain }),
			Dial:  func(peer string) rattanv1connect.EndpointServiceClient { return w.endpoints[peer].Client(domain) },
		}, rattanclock.System())
		for _, number := range []string{"1", "2"} {
			live = append(live, Daemon{Name: domain + number, Incarnation: 1, FailureDomain: domain})
		}
	}
	for _, self := range live {
		w.addDaemon(ctx, self, Monitors(group, domains, live, MonitorsPerDomain))
	}
	for _, endpoint := range w.endpoints {
		w.running.Go(func() { endpoint.Run(ctx) })
	}
	for _, d := range w.daemons {
		w.running.Go(func() { d.monitor.Run(d.dead) })
		w.running.Go(d.heartbeat)
		w.running.Go(d.write)
	}
	return w
}

func (w *world) addDaemon(ctx context.Context, self Daemon, monitors []Daemon) {
	clock := rattanclock.System()
	d := &daemon{Daemon: self, world: w, tracker: NewTracker(clock), detector: NewDetector(group, self, clock), connections: map[string]string{}}
	d.dead, d.die = context.WithCancel(ctx)
	d.setMembers()
	d.detector.SetMonitors(domains, monitors)
	d.coordinator = NewCoordinator(self, d.tracker, d.endpoint, clock)
	d.monitor = NewMonitor(d.detector, d.coordinator, WithPublish(d.publish))
	w.daemons[self.Name] = d
}

func (d *daemon) setMembers() {
	var members []Member
	for _, domain := range domains {
		members = append(members, Member{Name: domain, FailureDomain: domain})
	}
	d.tracker.SetGroup(group, members...)
}

// send runs deliver for every other daemon that the message reaches.
func (d *daemon) send(deliver func(to *daemon)) {
	for _, to := range d.daemons {
		if to != d {
			time.AfterFunc(hopDelay, func() {
				d.mu.Lock()
				cut := d.blocked[[2]string{d.Name, to.Name}]
				d.mu.Unlock()
				if !cut && to.dead.Err() == nil {
					deliver(to)
				}
			})
		}
	}
}

func (d *daemon) publish(s Suspicion) {
	d.send(func(to *daemon) {
		if record, err := s.Record(); err == nil {
			if received, err := SuspicionFromRecord(record); err == nil {
				to.detector.ObserveSuspicion(received)
			}
		}
	})
}

func (d *daemon) heartbeat() {
	for d.dead.Err() == nil {
		view := d.tracker.View(group)
		d.send(func(to *daemon) {
			to.detector.ObserveHeartbeat(d.Name)
			to.tracker.Merge(view)
		})
		d.sleep(200 * time.Millisecond)
	}
}

func (d *daemon) sleep(duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-d.dead.Done():
	}
}

// cut drops all messages from one of the nodes to another.
func (w *world) cut(from, to []string) { w.setCut(from, to, true) }

func (w *world) setCut(from, to []string, cut bool) {
	for _, f := range from {
		for _, t := range to {
			if f == t {
				continue
			}
			w.mu.Lock()
			w.blocked[[2]string{f, t}] = cut
			w.mu.Unlock()
			if endpoint := w.endpoints[f]; endpoint != nil {
				endpoint.Adjust(func(c *rattanendpoint.Controls) { c.CutTo = withName(c.CutTo, t, cut) })
			}
			if endpoint := w.endpoints[t]; endpoint != nil {
				endpoint.Adjust(func(c *rattanendpoint.Controls) { c.CutFrom = withName(c.CutFrom, f, cut) })
			}
		}
	}
}

func withName(list []string, name string, present bool) []string {
	list = slices.DeleteFunc(slices.Clone(list), func(n string) bool { return n == name })
	if present {
		return append(list, name)
	}
	return list
}

// others returns all nodes but the given ones.
func (w *world) others(nodes ...string) []string {
	var others []string
	for _, domain := range domains {
		for _, node := range []string{domain, domain + "1", domain + "2"} {
			if !slices.Contains(nodes, node) {
				others = append(others, node)
			}
		}
	}
	return others
}

// heal ends all faults of endpoints and links.
func (w *world) heal() {
	for _, endpoint := range w.endpoints {
		endpoint.SetControls(rattanendpoint.Controls{})
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.blocked)
}

// finish heals the world, waits until the group works again, stops everything
// and returns what is wrong.
func (w *world) finish() string {
	w.heal()
	healed := time.Now()
	time.Sleep(time.Second)
	for !w.settled(healed) && time.Since(healed) < maxGap {
		time.Sleep(100 * time.Millisecond)
	}
	settled := w.settled(healed)
	for _, d := range w.daemons {
		d.die()
	}
	time.Sleep(writeTimeout)
	problem := w.check()
	w.stop()
	w.running.Wait()
	time.Sleep(time.Second)
	if problem == "" && !settled {
		return fmt.Sprintf("group does not work %s after healing", maxGap)
	}
	return problem
}

// settled reports whether all endpoints are in one term and a write that began
// after since was acknowledged.
func (w *world) settled(since time.Time) bool {
	var terms []uint64
	for _, endpoint := range w.endpoints {
		terms = append(terms, endpoint.Status().GetTerm())
	}
	_, acknowledged := w.firstAck(since)
	return acknowledged && slices.Min(terms) == slices.Max(terms)
}

// check returns the first broken promise: an acknowledged write that is not in
// the final log of every endpoint, or overlapping primaries.
func (w *world) check() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	held := map[string]int{}
	for _, endpoint := range w.endpoints {
		for _, entry := range endpoint.Stop().Log {
			held[entry.GetRequestId()]++
		}
	}
	var latest ack
	for _, acknowledged := range w.acks {
		if held[acknowledged.id] < len(domains) {
			return fmt.Sprintf("write %s, acknowledged in term %d, is in %d of %d final logs", acknowledged.id, acknowledged.term, held[acknowledged.id], len(domains))
		}
		if latest.ended.Before(acknowledged.started) && acknowledged.term < latest.term && latest.id != "" {
			return fmt.Sprintf("write %s was acknowledged in term %d, begun after term %d had acknowledged", acknowledged.id, acknowledged.term, latest.term)
		}
		if acknowledged.term > latest.term {
			latest = acknowledged
		}
	}
	return ""
}

// firstAck returns the first acknowledged write that began after since.
func (w *world) firstAck(since time.Time) (ack, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := slices.IndexFunc(w.acks, func(a ack) bool { return a.started.After(since) })
	if at < 0 {
		return ack{}, false
	}
	return w.acks[at], true
}

// gap waits for the first acknowledged write that began after a failure and
// returns the time from the failure to its end. It is at most maxGap.
func (w *world) gap(t *testing.T, failed time.Time) time.Duration {
	t.Helper()
	for time.Since(failed) < maxGap+writeTimeout {
		if first, ok := w.firstAck(failed); ok {
			gap := first.ended.Sub(failed)
			if gap > maxGap {
				t.Errorf("gap %s, want at most %s", gap, maxGap)
			}
			return gap
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Errorf("no write was acknowledged within %s", time.Since(failed))
	return 0
}
