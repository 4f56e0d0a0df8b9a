package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rattanstream/rattanstream/internal/standin/rattankvserver"
	"github.com/rattanstream/rattanstream/platform/platformtest"
)

const (
	// readyTimeout is how long the daemons may take until they are ready.
	readyTimeout = 10 * time.Second
	// pageSize is the largest number of items in a response of the store.
	pageSize = 500
	// firstPort and ports are the range of the daemons' ports, below those that the kernel
	// gives to outgoing connections.
	firstPort, ports = 20_000, 5_000
	// key and tenant are those of all clients.
	key, tenant = "u3f1", "lepu"
	// service is the service of the configuration that platformtest builds, primaryDatabase
	// the database of its route to the primary.
	service, primaryDatabase = "orders", "checkout"
	// usualRate is the rate of a tenant that stays within it.
	usualRate = 1000
	// The terms of the routes.
	routeTimeout, routeObjective, routeStaleness = time.Second, 200 * time.Millisecond, 1500 * time.Millisecond
)

// A stage holds the stand-ins and the processes of one case.
type stage struct {
	program, directory string
	// host is a loopback address that no other case has at the same time, lastPort the last
	// of its ports that a daemon has got.
	host     string
	lastPort int
	// hasTrouble is false when the case is played without its disruption.
	hasTrouble bool
	// rate is that of the tenant, and its burst.
	rate       float64
	started    time.Time
	store      *rattankvserver.Server
	platform   *http.Server
	address    string
	groups     []*group
	daemons    []*daemon
	closing    context.Context
	beginClose context.CancelFunc

	recordMu sync.Mutex
	file     io.Writer
}

// A daemon is a process of the program under review.
type daemon struct {
	name, zone                string
	front, readiness, control string
	settings                  string
	process                   *exec.Cmd
	// ends is how often the process was killed because of its memory.
	ends int
}

func newStage(program, directory string, file io.Writer, hasTrouble bool) *stage {
	s := &stage{program: program, directory: directory, file: file, hasTrouble: hasTrouble, rate: usualRate, started: time.Now(), lastPort: firstPort + rand.IntN(ports)}
	s.host = fmt.Sprintf("127.%d.%d.%d", 16+os.Getpid()>>16&63, os.Getpid()>>8&255, os.Getpid()&255)
	s.closing, s.beginClose = context.WithCancel(context.Background())
	return s
}

// record writes a line with the time since the start.
func (s *stage) record(format string, values ...any) {
	s.recordMu.Lock()
	defer s.recordMu.Unlock()
	_, _ = fmt.Fprintf(s.file, "%8.3f %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, values...))
}

// sleep returns false when the stage closes meanwhile.
func (s *stage) sleep(d time.Duration) bool {
	select {
	case <-s.closing.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// open starts the platform, a service with an instance in each of the given zones, of which
// the first one is the primary, and six daemons in three zones.
func (s *stage) open(syncReplicas int, zones ...string) (*group, error) {
	if err := s.openPlatform(); err != nil {
		return nil, err
	}
	g := newGroup(s, service, syncReplicas)
	s.groups = append(s.groups, g)
	for n, zone := range zones {
		if _, err := g.add(fmt.Sprintf("i-%d-%s", n+1, zone), zone); err != nil {
			return nil, err
		}
	}
	go g.replicate()
	go g.beat()
	s.configure(1, g)
	for n, zone := range []string{"vl-a", "vl-b", "vl-c", "vl-a", "vl-b", "vl-c"} {
		if err := s.addDaemon(fmt.Sprintf("front-%s-%d", zone, n/3+1), zone); err != nil {
			return nil, err
		}
	}
	return g, s.awaitReady(readyTimeout)
}

// openPlatform starts the store and the interface for promotes.
func (s *stage) openPlatform() error {
	s.store = rattankvserver.New(s.promote)
	s.store.SetPageSize(pageSize)
	listener, err := net.Listen("tcp", s.host+":0")
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	s.platform = &http.Server{Handler: s.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.platform.Serve(listener) }()
	return nil
}

func (s *stage) promote(service, id string) bool {
	for _, g := range s.groups {
		if g.name == service {
			return g.promote(id)
		}
	}
	return false
}

func (s *stage) put(key string, value any) {
	if err := s.store.Put(key, value); err != nil {
		s.record("put %s: %s", key, err)
	}
}

// unlist removes the entry of an instance, if there is one. The caller holds the group's
// mutex.
func (s *stage) unlist(i *instance) {
	if _, ok := s.store.Value("servers/" + i.id); ok {
		s.record("the store removes the entry of %s", i.id)
		s.store.Delete("servers/" + i.id)
	}
}

// configure writes the configuration of the service, with a route of each kind.
func (s *stage) configure(version int, g *group) {
	config := platformtest.Config{
		Version: version, Account: tenant, Keys: []string{key}, Rate: s.rate, Connections: maxConnections,
		Timeout: routeTimeout, Objective: routeObjective, Staleness: routeStaleness,
	}.Entry()
	config["services"] = []any{map[string]any{"name": g.name, "max_conns": maxConnections, "sync_replicas": g.syncReplicas}}
	s.record("operator: configuration %d: %v", version, config)
	s.put(platformtest.ConfigKey, config)
}

// addDaemon starts a daemon on a VM of a zone.
func (s *stage) addDaemon(name, zone string) error {
	d := &daemon{name: name, zone: zone}
	var metrics string
	for _, address := range []*string{&d.front, &d.readiness, &d.control, &metrics} {
		var err error
		if *address, err = s.freeAddress(); err != nil {
			return err
		}
	}
	seeds := []string{d.control}
	for _, other := range s.daemons[:min(len(s.daemons), 2)] {
		seeds = append(seeds, other.control)
	}
	settings := fmt.Sprintf("[proxy]\nvm = %s\nfailure_domain = %s\ncaller_address = %s\nreadiness_address = %s\npeer_address = %s\n"+
		"store_address = %s\nduty_address = %s\nseed_peers = %s\nstop_timeout = 6s\nprocessor_cores = 0.4\nrate_window = 5s\n"+
		"drain_limit = 7000ms\nevacuation_limit = 5000ms\nmetrics_address = %s\n",
		name, zone, d.front, d.readiness, d.control, s.address, s.address, strings.Join(seeds, ","), metrics)
	path := filepath.Join(s.directory, name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	d.settings = path
	if err := s.startDaemon(d); err != nil {
		return err
	}
	s.daemons = append(s.daemons, d)
	return nil
}

// startDaemon starts the process of a daemon.
func (s *stage) startDaemon(d *daemon) error {
	log, err := os.OpenFile(filepath.Join(s.directory, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.process = exec.Command(s.program, "proxy", "--config", d.settings)
	d.process.Stdout, d.process.Stderr = log, log
	return d.process.Start()
}

// freeAddress returns an address that no other daemon of the case has and on which nothing
// listens.
func (s *stage) freeAddress() (string, error) {
	for range ports {
		s.lastPort++
		address := fmt.Sprintf("%s:%d", s.host, s.lastPort)
		if listener, err := net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", fmt.Errorf("no free port from %d", firstPort)
}

// awaitReady waits until all daemons report themselves ready.
func (s *stage) awaitReady(timeout time.Duration) error {
	until := time.Now().Add(timeout)
	for _, d := range s.daemons {
		for {
			response, err := http.Get("http://" + d.readiness + "/readiness")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// endOnSignal ends the case, with all of its processes, when it is told to stop.
func (s *stage) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	received := <-signals
	s.record("not run: %s", received)
	s.close()
	_ = os.RemoveAll(s.directory)
	os.Exit(exitNotRun)
}

// close ends the daemons, each by its own process, and copies what they logged of
// switchovers into the record.
func (s *stage) close() {
	s.beginClose()
	for _, d := range s.daemons {
		_ = d.process.Process.Kill()
		_ = d.process.Wait()
		s.recordLog(d)
	}
	if s.platform != nil {
		_ = s.platform.Close()
	}
	for _, g := range s.groups {
		for _, i := range g.instances {
			_ = i.listener.Close()
		}
	}
}

// recordLog copies the lines of a daemon's log that tell of switchovers.
func (s *stage) recordLog(d *daemon) {
	content, err := os.ReadFile(filepath.Join(s.directory, d.name+".log"))
	if err != nil {
		return
	}
	for line := range strings.Lines(string(content)) {
		var entry struct {
			Msg string `json:"msg"`
		}
		if json.Unmarshal([]byte(line), &entry) != nil {
			continue
		}
		switch entry.Msg {
		case "switch_begin", "switch_end", "switch_failed", "duty_taken", "endpoint_gone":
			s.record("log of %s: %s", d.name, strings.TrimSpace(line))
		}
	}
}
