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

// cluster is a group of three endpoints, one in each failure domain, and two
// daemons in each failure domain, all in one synctest bubble. An endpoint is named
// after its failure domain; the daemons of failure domain a are a1 and a2.
type cluster struct {
	endpoints map[string]*rattanendpoint.Instance
	daemons   map[string]*daemon
	running   sync.WaitGroup
	stop      context.CancelFunc

	mu      sync.Mutex
	blocked map[[2]string]bool
	acks    []ack
	// onCall is called for every call to an endpoint, before it is sent and after
	// its response; it may terminate the calling daemon.
	onCall func(caller *daemon, method string, after bool)
}

// daemon has the parts of a daemon that failover needs.
type daemon struct {
	Daemon
	*cluster
	tracker     *Tracker
	detector    *Detector
	coordinator *Coordinator
	monitor     *Monitor
	lifetime    context.Context
	terminate   context.CancelFunc
	connections map[string]string
}

func newCluster() *cluster {
	cl := &cluster{
		endpoints: map[string]*rattanendpoint.Instance{},
		daemons:   map[string]*daemon{},
		blocked:   map[[2]string]bool{},
		onCall:    func(*daemon, string, bool) {},
	}
	ctx, stop := context.WithCancel(context.Background())
	cl.stop = stop
	var live []Daemon
	for _, domain := range domains {
		cl.endpoints[domain] = rattanendpoint.New(rattanendpoint.Config{
			Name: domain, Group: group, FailureDomain: domain, InitialPrimary: "a", Connections: 10000,
			Peers: slices.DeleteFunc(slices.Clone(domains), func(d string) bool { return d == domain }),
			Dial:  func(peer string) rattanv1connect.EndpointServiceClient { return cl.endpoints[peer].Client(domain) },
		}, rattanclock.System())
		for _, number := range []string{"1", "2"} {
			live = append(live, Daemon{Name: domain + number, Incarnation: 1, FailureDomain: domain})
		}
	}
	for _, self := range live {
		cl.addDaemon(ctx, self, Monitors(group, domains, live, MonitorsPerDomain))
	}
	for _, endpoint := range cl.endpoints {
		cl.running.Go(func() { endpoint.Run(ctx) })
	}
	for _, d := range cl.daemons {
		cl.running.Go(func() { d.monitor.Run(d.lifetime) })
		cl.running.Go(d.heartbeat)
		cl.running.Go(d.write)
	}
	return cl
}

func (cl *cluster) addDaemon(ctx context.Context, self Daemon, monitors []Daemon) {
	clock := rattanclock.System()
	d := &daemon{Daemon: self, cluster: cl, tracker: NewTracker(clock), detector: NewDetector(group, self, clock), connections: map[string]string{}}
	d.lifetime, d.terminate = context.WithCancel(ctx)
	d.setMembers()
	d.detector.SetMonitors(domains, monitors)
	d.coordinator = NewCoordinator(self, d.tracker, d.endpoint, clock)
	d.monitor = NewMonitor(d.detector, d.coordinator, WithPublish(d.publish))
	cl.daemons[self.Name] = d
}

func (d *daemon) setMembers() {
	var members []Member
	for _, domain := range domains {
		members = append(members, Member{Name: domain, FailureDomain: domain})
	}
	d.tracker.SetGroup(group, members...)
}

// send runs deliver for every other daemon that the message reaches, after
// hopDelay.
func (d *daemon) send(deliver func(to *daemon)) {
	for _, to := range d.daemons {
		if to != d {
			time.AfterFunc(hopDelay, func() {
				d.mu.Lock()
				cut := d.blocked[[2]string{d.Name, to.Name}]
				d.mu.Unlock()
				if !cut && to.lifetime.Err() == nil {
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
	for d.lifetime.Err() == nil {
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
	case <-d.lifetime.Done():
	}
}

// cut drops all messages from the nodes in from to the nodes in to.
func (cl *cluster) cut(from, to []string) { cl.setCut(from, to, true) }

func (cl *cluster) setCut(from, to []string, cut bool) {
	for _, f := range from {
		for _, t := range to {
			if f == t {
				continue
			}
			cl.mu.Lock()
			cl.blocked[[2]string{f, t}] = cut
			cl.mu.Unlock()
			if endpoint := cl.endpoints[f]; endpoint != nil {
				endpoint.Adjust(func(c *rattanendpoint.Controls) { c.CutTo = withName(c.CutTo, t, cut) })
			}
			if endpoint := cl.endpoints[t]; endpoint != nil {
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

// others returns all endpoints and daemons except the given ones.
func (cl *cluster) others(nodes ...string) []string {
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

// heal ends all faults of endpoints and network links. Terminated daemons stay so.
func (cl *cluster) heal() {
	for _, endpoint := range cl.endpoints {
		endpoint.SetControls(rattanendpoint.Controls{})
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	clear(cl.blocked)
}

// healAndCheck ends all faults, waits until the group has recovered, stops the
// cluster and returns the first problem found, or an empty string.
func (cl *cluster) healAndCheck() string {
	cl.heal()
	healed := time.Now()
	time.Sleep(time.Second)
	for !cl.recovered(healed) && time.Since(healed) < maxGap {
		time.Sleep(100 * time.Millisecond)
	}
	recovered := cl.recovered(healed)
	for _, d := range cl.daemons {
		d.terminate()
	}
	time.Sleep(writeTimeout)
	problem := cl.check()
	cl.stop()
	cl.running.Wait()
	time.Sleep(time.Second)
	if problem == "" && !recovered {
		return fmt.Sprintf("group has not recovered %s after the end of the faults", maxGap)
	}
	return problem
}

// recovered reports whether all endpoints are in one term and a write that began
// after since was acknowledged.
func (cl *cluster) recovered(since time.Time) bool {
	var terms []uint64
	for _, endpoint := range cl.endpoints {
		terms = append(terms, endpoint.Status().GetTerm())
	}
	_, acknowledged := cl.firstAck(since)
	return acknowledged && slices.Min(terms) == slices.Max(terms)
}

// check returns the first violation: an acknowledged write that is missing from the
// final log of an endpoint, or a write acknowledged in an older term although it
// began after a newer term had acknowledged one.
func (cl *cluster) check() string {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	held := map[string]int{}
	for _, endpoint := range cl.endpoints {
		for _, entry := range endpoint.Stop().Log {
			held[entry.GetRequestId()]++
		}
	}
	var latest ack
	for _, acknowledged := range cl.acks {
		if held[acknowledged.id] < len(domains) {
			return fmt.Sprintf("write %s, acknowledged in term %d, is in %d of %d final logs", acknowledged.id, acknowledged.term, held[acknowledged.id], len(domains))
		}
		if latest.ended.Before(acknowledged.started) && acknowledged.term < latest.term && latest.id != "" {
			return fmt.Sprintf("write %s was acknowledged in term %d but began after a write was acknowledged in term %d", acknowledged.id, acknowledged.term, latest.term)
		}
		if acknowledged.term > latest.term {
			latest = acknowledged
		}
	}
	return ""
}

// firstAck returns the first acknowledged write that began after since.
func (cl *cluster) firstAck(since time.Time) (ack, bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	at := slices.IndexFunc(cl.acks, func(a ack) bool { return a.started.After(since) })
	if at < 0 {
		return ack{}, false
	}
	return cl.acks[at], true
}

// gap waits for the first acknowledged write that began after a failure and
// returns the time from the failure to the acknowledgement. The test fails if this
// exceeds maxGap.
func (cl *cluster) gap(t *testing.T, failed time.Time) time.Duration {
	t.Helper()
	for time.Since(failed) < maxGap+writeTimeout {
		if first, ok := cl.firstAck(failed); ok {
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
