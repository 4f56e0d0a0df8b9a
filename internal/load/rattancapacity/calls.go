package rattancapacity

import (
	"sync"

	"github.com/rattanstream/rattanstream/internal/load/rattancluster"
)

// platformServer is the name of the platform in calls to stand-ins.
const platformServer = "platform"

// calls counts the calls to the stand-ins by server, caller and procedure.
type calls struct {
	mutex  sync.Mutex
	counts map[callKey]uint64
}

type callKey struct {
	toPlatform bool
	from       string
	procedure  string
}

func newCalls() *calls { return &calls{counts: make(map[callKey]uint64)} }

// observe is a rattancluster.CallObserver.
func (c *calls) observe(call rattancluster.Call) {
	if call.Handled {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counts[callKey{call.Server == platformServer, call.From, call.Procedure}]++
}

// A platformCount is the number of calls to the platform by kind. Renewals of
// leases are writes too, but apart.
type platformCount struct{ reads, writes, renewals, watches uint64 }

// toPlatform returns the number of calls to the platform so far.
func (c *calls) toPlatform() platformCount {
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

// toEndpoints returns the number of calls of a procedure that hosts have sent to
// endpoints so far.
func (c *calls) toEndpoints(hosts []string, procedure string) uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var total uint64
	for _, host := range hosts {
		total += c.counts[callKey{false, host, procedure}]
	}
	return total
}

// all returns the number of calls of a procedure to endpoints so far.
func (c *calls) all(procedure string) uint64 {
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
