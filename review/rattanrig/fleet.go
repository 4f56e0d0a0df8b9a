package rattanrig

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the daemon's binary, as the deploy file builds it.
const program = "target/rattanstream"

// running are the processes that this program has started and that have not ended.
var running processes

// processes is a set of processes.
type processes struct {
	mu  sync.Mutex
	set map[*os.Process]struct{}
}

func (p *processes) add(process *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.set == nil {
		p.set = make(map[*os.Process]struct{})
	}
	p.set[process] = struct{}{}
}

func (p *processes) remove(process *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.set, process)
}

// KillAll kills the processes that this program has started.
func KillAll() {
	running.mu.Lock()
	defer running.mu.Unlock()
	for process := range running.set {
		_ = process.Kill()
	}
}

// A Fleet is the daemons of a script, as processes with the command of the deploy file.
type Fleet struct {
	record    *Record
	directory string
	daemons   []*Daemon
}

// A Daemon is one daemon. Its addresses stay the same over restarts.
type Daemon struct {
	Name, Zone               string
	callers, readiness, peer string
	config                   string
	record                   *Record

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// NewFleet starts a daemon in each of the zones, which may repeat.
func NewFleet(platform *Platform, zones []string, record *Record) (*Fleet, error) {
	directory, err := os.MkdirTemp("", "rattanreview")
	if err != nil {
		return nil, err
	}
	f := &Fleet{record: record, directory: directory}
	numbers := make(map[string]int)
	for _, zone := range zones {
		numbers[zone]++
		d := &Daemon{Name: fmt.Sprintf("front-%s-%d", zone, numbers[zone]), Zone: zone, record: record}
		for _, address := range []*string{&d.callers, &d.readiness, &d.peer} {
			if *address, err = freeAddress(); err != nil {
				return nil, err
			}
		}
		f.daemons = append(f.daemons, d)
	}
	for _, d := range f.daemons {
		if err := d.configure(directory, platform.Address(), f.seeds()); err != nil {
			return nil, err
		}
		if err := d.Start(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// seeds returns the peer addresses of the first daemons.
func (f *Fleet) seeds() string {
	const seeds = 3
	var addresses []string
	for _, d := range f.daemons[:min(seeds, len(f.daemons))] {
		addresses = append(addresses, d.peer)
	}
	return strings.Join(addresses, ", ")
}

// The ports of the daemons are below those that the kernel gives to outgoing connections.
const (
	firstPort = 15000
	lastPort  = 30000
)

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() (string, error) {
	const attempts = 100
	var err error
	for range attempts {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		var listener net.Listener
		if listener, err = net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", err
}

// Daemons returns the daemons.
func (f *Fleet) Daemons() []*Daemon { return f.daemons }

// configure writes the settings that the template of the deploy file renders.
func (d *Daemon) configure(directory, platform, seeds string) error {
	d.config = filepath.Join(directory, d.Name+".ini")
	text := fmt.Sprintf("[proxy]\nvm = %s\nfailure_domain = %s\ncaller_address = %s\nreadiness_address = %s\npeer_address = %s\n"+
		"store_address = %s\nduty_address = %s\nseed_peers = %s\nstop_timeout = 6s\nprocessor_cores = 0.4\nrate_window = 5s\n"+
		"drain_limit = 7000ms\nevacuation_limit = 5000ms\n",
		d.Name, d.Zone, d.callers, d.readiness, d.peer, platform, platform, seeds)
	return os.WriteFile(d.config, []byte(text), 0o600)
}

// Start starts the daemon's process.
func (d *Daemon) Start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	log, err := os.OpenFile(d.config+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	process := exec.Command(program, "proxy", "--config", d.config)
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return err
	}
	running.add(process.Process)
	ended := make(chan struct{})
	d.process, d.ended = process, ended
	d.record.Line("daemon %s starts, process %d", d.Name, process.Process.Pid)
	go func() {
		defer close(ended)
		err := process.Wait()
		running.remove(process.Process)
		d.record.Line("daemon %s has ended: %v", d.Name, err)
	}()
	return nil
}

// Signal sends a signal to the daemon's process.
func (d *Daemon) Signal(signal syscall.Signal) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record.Line("daemon %s gets %s", d.Name, signal)
	return d.process.Process.Signal(signal)
}

// Wait waits until the process has ended.
func (d *Daemon) Wait() {
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	<-ended
}

// IsReady asks the daemon whether it is ready.
func (d *Daemon) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + d.readiness + "/readiness")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until all daemons are ready. It returns false after a time limit.
func (f *Fleet) AwaitReady(limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for _, d := range f.daemons {
		for !d.IsReady() {
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// Close ends all daemons by their process ids, and removes their files.
func (f *Fleet) Close() {
	for _, d := range f.daemons {
		if d.process != nil {
			_ = d.process.Process.Kill()
			d.Wait()
		}
	}
	_ = os.RemoveAll(f.directory)
}

// Memory returns the process's memory in bytes that is not backed by a file.
func (d *Daemon) Memory() int {
	d.mu.Lock()
	pid := d.process.Process.Pid
	d.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		var kb int
		if _, err := fmt.Sscanf(line, "RssAnon: %d kB", &kb); err == nil {
			return kb << 10
		}
	}
	return 0
}
