package rattancapacity

import (
	"sync"

	"github.com/rattanstream/rattanstream/internal/load/rattancluster"
)

// platformServer is the Server of a rattancluster.Call to the platform.
const platformServer = "platform"

// A callCounter counts RPCs to the stand-ins by server, sender and procedure.
type callCounter struct {
	mutex  sync.Mutex
	counts map[callKey]uint64
}

type callKey struct {
	toPlatform bool
	from       string
	procedure  string
}

func newCallCounter() *callCounter { return &callCounter{counts: make(map[callKey]uint64)} }

// observe is a rattancluster.CallObserver. It counts a call once, before it is handled.
func (c *callCounter) observe(call rattancluster.Call) {
	if call.Handled {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counts[callKey{call.Server == platformServer, call.From, call.Procedure}]++
}

// A platformCount is the number of calls to the platform by kind. Lease renewals are
// writes too, but are counted apart.
type platformCount struct{ reads, writes, renewals, watches uint64 }

// toPlatform returns the number of calls to the platform so far.
func (c *callCounter) toPlatform() platformCount {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var total platformCount
	for key, count := range c.counts {
		if !key.toPlatform {
			continue
		}
		switch key.procedure {
		case "Get", "List", "ListVMs":
			total.reads += count
		case "Put", "GrantLease":
			total.writes += count
		case "KeepAlive":
			total.renewals += count
		case "Watch":
			total.watches += count
		}
	}
	return total
}

// toEndpoints returns how many calls of a procedure hosts have sent to endpoints so far.
func (c *callCounter) toEndpoints(hosts []string, procedure string) uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var total uint64
	for _, host := range hosts {
		total += c.counts[callKey{false, host, procedure}]
	}
	return total
}

// toEndpointsFromAll returns how many calls of a procedure endpoints have got so far.
func (c *callCounter) toEndpointsFromAll(procedure string) uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var total uint64
	for key, count := range c.counts {
		if !key.toPlatform && key.procedure == procedure {
			total += count
		}
	}
	return total
}
