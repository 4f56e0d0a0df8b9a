package rattansoak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/standin/rattankvserver"
	"github.com/rattanstream/rattanstream/internal/standin/rattanlineserver"
	"github.com/rattanstream/rattanstream/platform/platformtest"
)

const (
	// key is the key of all callers, and account the client account to which it
	// belongs.
	key     = "soak-key"
	account = "soak-account"
	// replicationLag is the delay with which replicas apply writes.
	replicationLag = 30 * time.Millisecond
	// maxStaleness is the staleness limit of the route for stale reads.
	maxStaleness = 1500 * time.Millisecond
	// stopTimeout is the stop_timeout of the daemons, that of the deployments.
	stopTimeout = 6 * time.Second
	// routeTimeout is the timeout of the routes.
	routeTimeout = time.Second
)

// A Fleet is a set of daemon processes in front of one group of endpoints. Each
// daemon reaches the store through a link of its own, and all daemons reach each
// endpoint through the endpoint's link.
type Fleet struct {
	program   string
	directory string
	store     *rattankvserver.Server
	server    *httptest.Server
	group     *rattanlineserver.Group
	endpoints map[string]*rattanlineserver.Endpoint
	links     map[string]*Link
	daemons   []*Daemon
	version   int
	// suspended are the times in which a daemon could not run; the last one may have
	// no end yet.
	suspended []interval
	journal   journal
	judge     judge

	mu sync.Mutex
	// draining holds the endpoints that drain, starts how often each has started, and
	// evacuated the failure domains that are out of service.
	draining  map[string]bool
	starts    map[string]int
	evacuated map[string]bool
	// unlisted are the endpoints whose entry has expired.
	unlisted map[string]bool
	// syncReplicas is how many replicas receive a commit before it is acknowledged.
	syncReplicas int
	// answerFaults are the wrong answers of each endpoint.
	answerFaults map[string]rattanlineserver.AnswerFaults
}

// domains are the failure domains of the endpoints.
var domains = map[string]string{"e1": "a", "e2": "b", "e3": "c"}

// A Daemon is a daemon process that can be restarted. Its addresses stay the same
// over restarts.
type Daemon struct {
	name string
	// callers is the address for callers, config the path of the settings file.
	callers string
	config  string
	store   *Link
	fleet   *Fleet

	mu      sync.Mutex
	process *exec.Cmd
	// ended is closed when the process has exited.
	ended chan struct{}
	// isEnding is true once the process has got a signal to end.
	isEnding bool
	log      bytes.Buffer
}

// NewFleet starts a fleet of daemons that run program, a binary of rattanstream.
// Settings files are written to directory.
func NewFleet(program, directory string, daemons int) (*Fleet, error) {
	f := &Fleet{
		program: program, directory: directory, group: rattanlineserver.NewGroup("orders", replicationLag),
		endpoints: make(map[string]*rattanlineserver.Endpoint), links: make(map[string]*Link),
		draining: make(map[string]bool), starts: make(map[string]int), evacuated: make(map[string]bool), unlisted: make(map[string]bool),
		answerFaults: make(map[string]rattanlineserver.AnswerFaults),
	}
	f.store = rattankvserver.New(func(_, id string) bool {
		ok := f.group.Promote(id)
		return ok && f.register() == nil
	})
	f.server = httptest.NewServer(f.store)
	for _, id := range []string{"e1", "e2", "e3"} {
		endpoint, err := f.group.Add(id, 40)
		if err != nil {
			return nil, err
		}
		link, err := NewLink(endpoint.Address())
		if err != nil {
			return nil, err
		}
		f.endpoints[id], f.links[id] = endpoint, link
	}
	if err := f.register(); err != nil {
		return nil, err
	}
	if err := f.configure(); err != nil {
		return nil, err
	}
	for i := range daemons {
		if err := f.add(fmt.Sprintf("vm-%d", i+1), domainOf(i)); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// domainOf returns the failure domain of the daemon with an index.
func domainOf(index int) string { return string(rune('a' + index%3)) }

// register writes the entries of the endpoints to the store, with the addresses of
// their links.
func (f *Fleet) register() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, endpoint := range f.endpoints {
		if f.unlisted[id] {
			continue
		}
		state := "ready"
		if f.draining[id] {
			state = "draining"
		}
		entry := endpoint.Entry(domains[id], state)
		entry["address"], entry["born"] = f.links[id].Address(), endpoint.StartedUnixMS()+int64(f.starts[id])
		if err := f.store.Put("servers/"+endpoint.ID(), entry); err != nil {
			return err
		}
	}
	return nil
}

// configure writes the next version of the configuration to the store.
func (f *Fleet) configure() error {
	f.mu.Lock()
	f.version++
	version := f.version
	f.mu.Unlock()
	config := platformtest.Config{
		Version: version, Account: account, Keys: []string{key}, Rate: 5000, Connections: 40,
		Timeout: routeTimeout, Objective: 200 * time.Millisecond, Staleness: maxStaleness,
		SyncReplicas: f.syncReplicas,
	}
	return f.store.Put(platformtest.ConfigKey, config.Entry())
}

// firstPort and ports define a range below the kernel's ephemeral ports, so that no
// outgoing connection takes the address of a daemon that is not running, and apart from that
// of rattanproxy's tests.
const (
	firstPort = 10_000
	ports     = 10_000
)

// givenAddresses are the addresses that freeAddress has returned: the daemon that got one
// may not listen on it yet.
var givenAddresses sync.Map

// freeAddress returns an address on which nothing listens and that no other daemon has got.
func freeAddress() (string, error) {
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))
		if _, isGiven := givenAddresses.LoadOrStore(address, true); isGiven {
			continue
		}
		if listener, err := net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", errors.New("no free port")
}

func (f *Fleet) add(name, domain string) error {
	store, err := NewLink(strings.TrimPrefix(f.server.URL, "http://"))
	if err != nil {
		return err
	}
	var addresses [3]string
	for i := range addresses {
		if addresses[i], err = freeAddress(); err != nil {
			return err
		}
	}
	d := &Daemon{name: name, callers: addresses[0], store: store, fleet: f, config: filepath.Join(f.directory, name+".ini")}
	text := fmt.Sprintf("[proxy]\nvm = %s\nfailure_domain = %s\ncaller_address = %s\nreadiness_address = %s\npeer_address = %s\n"+
		"store_address = %s\nduty_address = %s\nstop_timeout = %s\ndrain_limit = %s\nevacuation_limit = %s\n"+
		"usage_window = 1s\nusage_delay = 5s\nusage_handover = 2s\n",
		name, domain, addresses[0], addresses[1], addresses[2], store.Address(), store.Address(), stopTimeout, leavingLimit, leavingLimit)
	if err := os.WriteFile(d.config, []byte(text), 0o600); err != nil {
		return err
	}
	f.daemons = append(f.daemons, d)
	return d.Start()
}

// Start starts the daemon's process unless it is running. A process that has exited
// by itself is started again, as the platform would do.
func (d *Daemon) Start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil && !d.hasEnded() {
		return nil
	}
	logged := d.log.Len()
	process := exec.Command(d.fleet.program, "proxy", "--config", d.config)
	process.Stdout, process.Stderr = &d.log, &d.log
	if err := process.Start(); err != nil {
		return errors.Wrapf(err, "start %s", d.name)
	}
	ended := make(chan struct{})
	d.process, d.ended, d.isEnding = process, ended, false
	go func() {
		defer close(ended)
		// An exit by a signal is expected, so the error is ignored.
		_ = process.Wait()
		d.mu.Lock()
		defer d.mu.Unlock()
		// No program can handle a SIGHUP that comes before its first steps.
		isEarly := d.log.Len() == logged && process.ProcessState.String() == "signal: hangup"
		if !d.isEnding && !isEarly {
			fmt.Fprintf(&d.log, "{\"msg\":%q,\"state\":%q}\n", selfEnd, process.ProcessState)
		}
	}()
	return nil
}

func (d *Daemon) hasEnded() bool {
	select {
	case <-d.ended:
		return true
	default:
		return false
	}
}

// Signal sends a signal to the daemon's process, if there is one.
func (d *Daemon) Signal(signal syscall.Signal) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.signal(signal)
}

// signal is Signal. The caller holds d.mu.
func (d *Daemon) signal(signal syscall.Signal) error {
	if d.process == nil || d.hasEnded() {
		return nil
	}
	if signal == syscall.SIGTERM {
		d.fleet.journal.recordStop(d.name)
	}
	d.isEnding = d.isEnding || signal == syscall.SIGTERM || signal == syscall.SIGKILL
	if err := d.process.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return errors.Wrapf(err, "signal %s", d.name)
	}
	return nil
}

// End sends a signal and waits until the process has exited. A suspended process is
// resumed, so that it handles the signal. Other signals may be sent meanwhile.
func (d *Daemon) End(signal syscall.Signal) error {
	ended, err := d.beginEnd(signal)
	if err == nil && ended != nil {
		<-ended
	}
	return err
}

func (d *Daemon) beginEnd(signal syscall.Signal) (ended <-chan struct{}, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range []syscall.Signal{signal, syscall.SIGCONT} {
		if err := d.signal(s); err != nil {
			return nil, err
		}
	}
	return d.ended, nil
}

// Log returns the output of the daemon so upstream, which is complete only after End.
func (d *Daemon) Log() string { return d.log.String() }

// Close ends all processes of the fleet, each by its process id, and the stand-ins.
func (f *Fleet) Close() error {
	var closeErr error
	for _, d := range f.daemons {
		if err := d.End(syscall.SIGKILL); err != nil {
			closeErr = err
		}
		d.store.Close()
	}
	for id, endpoint := range f.endpoints {
		f.links[id].Close()
		endpoint.Crash()
	}
	f.server.CloseClientConnections()
	f.server.Close()
	return closeErr
}
