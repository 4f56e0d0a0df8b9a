package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// A daemon is one process of the product, started by the command of the deploy file.
type daemon struct {
	name, zone string
	callers    string
	peers      string
	program    string
	config     string
	log        *os.File
	process    *exec.Cmd
	ended      chan struct{}
	record     *recorder
}

// settings are those that the template of the deploy file gives for a small site.
const settings = `[proxy]
vm = %s
failure_domain = %s
caller_address = %s
readiness_address = %s
peer_address = %s
store_address = %s
duty_address = %s
seed_peers = %s
stop_timeout = 6s
processor_cores = 0.4
rate_window = 5s
drain_limit = 7000ms
evacuation_limit = 5000ms
metrics_address = %s
`

// firstPort and ports are a range below the ports that the kernel gives to connections.
const (
	firstPort = 21_000
	ports     = 9_000
)

// givenAddresses are those that freeAddress has returned.
var givenAddresses = make(map[string]bool)

// host is the loopback address of all processes and stand-ins of this play. Plays that run at
// the same time have different ones, so that no daemon takes that of another play for a peer.
var host = fmt.Sprintf("127.%d.%d.%d", 16+rand.IntN(16), rand.IntN(256), 1+rand.IntN(254))

// freeAddress returns an address of the host on which nothing listens and that was not
// returned before.
func freeAddress() (string, error) {
	for range 200 {
		address := fmt.Sprintf("%s:%d", host, firstPort+rand.IntN(ports))
		if givenAddresses[address] {
			continue
		}
		givenAddresses[address] = true
		if listener, err := net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", errors.New("no free port")
}

// newDaemon writes the settings of a daemon. An empty peers address is replaced by a free one.
func newDaemon(record *recorder, directory, program, name, zone, peers, store, duty, seeds string) (*daemon, error) {
	var free [4]string
	for i := range free {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		free[i] = address
	}
	if peers == "" {
		peers = free[3]
	}
	d := &daemon{
		name: name, zone: zone, callers: free[0], peers: peers, program: program, record: record,
		config: filepath.Join(directory, name+".ini"),
	}
	text := fmt.Sprintf(settings, name, zone, free[0], free[1], peers, store, duty, seeds, free[2])
	if err := os.WriteFile(d.config, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(directory, name+".log"))
	d.log = log
	return d, err
}

func (d *daemon) start() error {
	process := exec.Command(d.program, "proxy", "--config", d.config)
	process.Stdout, process.Stderr = d.log, d.log
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.process, d.ended = process, ended
	d.record.add("daemon_start", d.name)
	go func() {
		// An end by a signal is expected.
		_ = process.Wait()
		close(ended)
	}()
	return nil
}

func (d *daemon) signal(signal syscall.Signal) {
	d.record.add("signal", d.name, "signal", signal.String())
	// The process may have ended.
	_ = d.process.Process.Signal(signal)
}

// kill ends the process, also a stopped one, and waits for its end.
func (d *daemon) kill() {
	if d.process == nil {
		return
	}
	d.signal(syscall.SIGKILL)
	select {
	case <-d.ended:
	case <-time.After(2 * time.Second):
	}
}
