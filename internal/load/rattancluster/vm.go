package rattancluster

import (
	"context"
	"net/http"
	"sync"

	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
	"github.com/rattanstream/rattanstream/internal/daemon/rattandaemon"
)

// A VM is a virtual machine of a cluster with at most one daemon.
type VM struct {
	cluster *Cluster
	name    string
	domain  string
	host    string

	// startMutex is held while a daemon starts, so that no second one starts.
	startMutex sync.Mutex

	mutex  sync.Mutex
	daemon *rattandaemon.Daemon
	cancel context.CancelFunc
	done   chan error
	client *http.Client
}

// CallerHost is the address from which all callers and operators send.
const CallerHost = "127.0.0.1"

// scheme returns the scheme of the daemons' URLs, with "://".
func (c *Cluster) scheme() string {
	if c.authority != nil {
		return "https://"
	}
	return "http://"
}

// Name returns the VM's name.
func (v *VM) Name() string { return v.name }

// Host returns the VM's address without a port.
func (v *VM) Host() string { return v.host }

// FailureDomain returns the VM's failure domain.
func (v *VM) FailureDomain() string { return v.domain }

// CallerURL returns the base URL for callers.
func (v *VM) CallerURL() string { return v.cluster.scheme() + address(v.host, callerPort) }

// OperatorURL returns the base URL for operators.
func (v *VM) OperatorURL() string { return v.cluster.scheme() + address(v.host, operatorPort) }

// DebugURL returns the base URL of the metrics and the state dump.
func (v *VM) DebugURL() string { return "http://" + address(v.host, debugPort) }

func (v *VM) httpClient() *http.Client {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.client == nil {
		v.client = &http.Client{Transport: v.cluster.NewCallerTransport()}
	}
	return v.client
}

// Start starts a daemon on the VM, unless one runs there.
func (v *VM) Start() error {
	v.startMutex.Lock()
	defer v.startMutex.Unlock()
	v.mutex.Lock()
	running := v.cancel != nil
	v.mutex.Unlock()
	if running {
		return nil
	}
	process, err := rattansettings.ParseProcessSettings(v.name+".ini", v.cluster.processText(v))
	if err != nil {
		return err
	}
	options := append(v.cluster.hostOptions(v.host), rattandaemon.WithNetwork(hostNetwork{v.cluster.network, v.host}))
	options = append(options, v.cluster.options...)
	if v.cluster.authority != nil {
		server, mutual, err := v.cluster.authority.daemonConfigs(v.name, v.host)
		if err != nil {
			return err
		}
		options = append(options, rattandaemon.WithTLS(server, mutual))
	}
	daemon, err := rattandaemon.New(process, v.cluster.clock(v.name), v.cluster.logger.With("vm", v.name), options...)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(v.cluster.ctx)
	done := make(chan error, 1)
	go func() {
		done <- daemon.Run(ctx)
		close(done)
	}()
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.daemon, v.cancel, v.done = daemon, cancel, done
	return nil
}

// Revision returns the revision of the team's settings in force on the VM.
func (v *VM) Revision(team string) uint64 {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.daemon.Revision(team)
}

// Stop stops the VM's daemon gracefully and waits for it.
func (v *VM) Stop() {
	v.mutex.Lock()
	cancel, done, client := v.cancel, v.done, v.client
	v.cancel = nil
	v.mutex.Unlock()
	if cancel != nil {
		cancel()
	}
	if done != nil {
		<-done
	}
	if client != nil {
		client.CloseIdleConnections()
	}
}
