package rattanmatrix

import (
	"bytes"
	"cmp"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/load/rattancluster"
	"github.com/rattanstream/rattanstream/internal/proof/rattanchecker"
)

// group is the full name of the group that all callers use.
const group = rattancluster.Team + "/" + service

// A tracer collects the trace events of operators, daemons and faults during a run.
// Together with the events of the callers and the calls to the endpoints, they form
// the trace that rattanchecker checks.
type tracer struct {
	start time.Time

	mutex  sync.Mutex
	events []rattanchecker.Event
	// inForce is the last recorded revision of each team on each daemon.
	inForce map[inForceKey]uint64
}

type inForceKey struct{ daemon, team string }

// recordInForce records the revision of a team's settings that a daemon has in force,
// unless it equals the last recorded one.
func (t *tracer) recordInForce(daemon, team string, revision uint64) {
	key := inForceKey{daemon, team}
	t.mutex.Lock()
	changed := t.inForce[key] != revision
	t.inForce[key] = revision
	t.mutex.Unlock()
	if changed {
		t.add(rattanchecker.Event{Type: rattanchecker.InForce, Daemon: daemon, Target: team, Revision: revision})
	}
}

// resetInForce drops the last recorded revisions of a daemon. A restarted daemon must reach
// them again, so they are recorded again even if they are unchanged.
func (t *tracer) resetInForce(daemon string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	maps.DeleteFunc(t.inForce, func(key inForceKey, _ uint64) bool { return key.daemon == daemon })
}

// add records an event at the current time.
func (t *tracer) add(e rattanchecker.Event) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e.At = time.Since(t.start)
	t.events = append(t.events, e)
}

// recordDaemon records a start, stop or crash of a daemon.
func (env *environment) recordDaemon(vm *rattancluster.VM, action string) {
	env.trace.add(rattanchecker.Event{Type: rattanchecker.Daemon, Daemon: vm.Name(), Action: action})
	if action == rattanchecker.Start {
		env.trace.resetInForce(vm.Name())
	}
}

// recordStop records the beginning or end of a planned stop. P13 does not apply to a
// stop during another fault, so such a stop is recorded as a crash.
func (env *environment) recordStop(vm *rattancluster.VM, action string) {
	if env.fault.name != "none" {
		action = rattanchecker.Crash
	}
	env.recordDaemon(vm, action)
}

// recordChange records an accepted change of an operator.
func (env *environment) recordChange(e rattanchecker.Event) {
	e.Type = rattanchecker.Operator
	env.trace.add(e)
}

// recordSetup records the keys, rates and daemons at the start of a run.
func (env *environment) recordSetup() {
	for _, account := range env.cluster.Scenario().Accounts {
		env.recordChange(rattanchecker.Event{Action: rattanchecker.GiveKey, Target: keyID(env.cluster.Key(account.Name)), ClientAccount: fullAccount(account.Name)})
		env.recordRate(account.Name, float64(account.Rate), float64(account.Burst))
	}
	for _, vm := range env.cluster.VMs() {
		env.recordDaemon(vm, rattanchecker.Start)
	}
}

func (env *environment) recordRate(account string, rate, burst float64) {
	env.recordChange(rattanchecker.Event{Action: rattanchecker.SetRate, Target: fullAccount(account), Rate: rate, Burst: burst})
}

// recordDrained records that a failure domain or endpoint was taken out or returned.
func (env *environment) recordDrained(section string, drained bool) {
	e := rattanchecker.Event{Action: rattanchecker.ReturnEndpoint}
	if drained {
		e.Action = rattanchecker.DrainEndpoint
	}
	kind, name, _ := strings.Cut(section, ".")
	e.Target = rattancluster.Team + "/" + name
	if kind == "failure_domain" {
		e.Target = name
		e.Action = strings.Replace(e.Action, "endpoint", "domain", 1)
	}
	env.recordChange(e)
}

// faultTargets returns the names of the targets that a fault affects. If the fault
// keeps a daemon from receiving changes, the daemon may continue to use failure domains
// and endpoints that were taken out, so the fault affects all of those too.
func (env *environment) faultTargets(f fault, vm *rattancluster.VM, primary string) []string {
	var targets []string
	for _, other := range env.cluster.VMs() {
		inDomain := strings.Contains(f.name, "domain ") && other.FailureDomain() == vm.FailureDomain()
		if f.stopsChanges || inDomain || strings.Contains(f.name, "daemon ") && other == vm {
			targets = append(targets, other.Name())
		}
	}
	if len(targets) > 0 {
		targets = append(targets, env.cluster.Scenario().Domains()...)
		for name := range env.cluster.Endpoints() {
			targets = append(targets, name)
		}
	}
	if strings.Contains(f.name, "primary ") {
		targets = append(targets, primary)
	}
	return targets
}

// inject injects the fault of the cell. The returned function heals it and records the
// fault for each target that it affected.
func (env *environment) inject(f fault, vm *rattancluster.VM) func() {
	if f.elsewhere {
		vm = env.vmElsewhere(vm)
	}
	begin := time.Since(env.trace.start)
	targets := env.faultTargets(f, vm, env.primary())
	heal := f.inject(env, vm)
	return func() {
		heal()
		if f.name == "none" {
			return
		}
		env.trace.mutex.Lock()
		defer env.trace.mutex.Unlock()
		for _, target := range targets {
			env.trace.events = append(env.trace.events,
				rattanchecker.Event{Type: rattanchecker.Fault, At: begin, Until: time.Since(env.trace.start), Target: target})
		}
	}
}

// vmElsewhere returns a VM in another failure domain than vm.
func (env *environment) vmElsewhere(vm *rattancluster.VM) *rattancluster.VM {
	vms := env.cluster.VMs()
	return vms[slices.IndexFunc(vms, func(other *rattancluster.VM) bool { return other.FailureDomain() != vm.FailureDomain() })]
}

// replay builds the trace of a run, writes it to dir unless that is empty, and returns
// the violations that rattanchecker finds in it.
func (env *environment) replay(final map[string]int, dir, name string) ([]error, error) {
	events := slices.Clone(env.trace.events)
	events = append(events, env.endpointEvents()...)
	events = append(events, env.callerEvents()...)
	if final != nil {
		events = append(events, env.audits(final)...)
	}
	slices.SortStableFunc(events, func(a, b rattanchecker.Event) int { return cmp.Compare(a.At, b.At) })
	var buffer bytes.Buffer
	writer := rattanchecker.NewWriter(&buffer)
	for _, e := range events {
		if err := writer.Write(e); err != nil {
			return nil, err
		}
	}
	if err := writer.Flush(); err != nil {
		return nil, err
	}
	if dir != "" {
		path := filepath.Join(dir, strings.NewReplacer(" ", "_", "/", "__").Replace(name)+".jsonl")
		if err := os.WriteFile(path, buffer.Bytes(), 0o600); err != nil {
			return nil, errors.Wrap(err, "write trace file")
		}
	}
	lines := strings.Split(buffer.String(), "\n")
	read, err := rattanchecker.ReadTrace(&buffer)
	if err != nil {
		return nil, err
	}
	var violations []error
	for _, v := range rattanchecker.Check(read) {
		violations = append(violations, errors.Errorf("replay: %s%s", v, quote(lines, v.Lines)))
	}
	return violations, nil
}

// quote returns the first few of the lines of a trace that numbers lists.
func quote(lines []string, numbers []int) string {
	const most = 4
	var b strings.Builder
	for _, number := range numbers[:min(most, len(numbers))] {
		b.WriteString("\n" + lines[number-1])
	}
	return b.String()
}

// callerEvents returns the trace events of the requests and responses of all callers.
func (env *environment) callerEvents() []rattanchecker.Event {
	terms := env.writeTerms()
	acknowledged := make(map[int][]string)
	var events []rattanchecker.Event
	for i, e := range env.record.all() {
		request := rattanchecker.Event{
			Type: rattanchecker.Request, At: e.start.Sub(env.trace.start), ID: e.id, Session: strconv.Itoa(e.session), Daemon: e.vm,
			KeyID: keyID(env.cluster.Key(e.account)), ClientAccount: fullAccount(e.account), Operation: rattanchecker.Other, Group: group,
		}
		response := rattanchecker.Event{Type: rattanchecker.Response, At: e.end.Sub(env.trace.start), Outcome: rattanchecker.Refused, RunState: e.state}
		switch {
		case e.ok:
			response.Outcome, response.Whole, response.Endpoint = rattanchecker.OK, e.whole, e.endpoint
		case e.lost:
			response.Outcome = rattanchecker.Lost
		}
		switch e.kind {
		case kindInsert:
			request.Operation, request.Key, request.Value = rattanchecker.Write, e.id, e.id
			response.Term = terms[request.ClientAccount+"\x00"+e.id]
			if e.ok {
				acknowledged[e.session] = append(acknowledged[e.session], e.id)
			}
		case kindRead:
			request.Operation, request.Key, response.Value = projectRead(e, acknowledged[e.session])
			response.Key = request.Key
		case kindTransfer:
			request.Daemon = "" // its calls go to several daemons
		default:
		}
		if request.ID == "" {
			request.ID = "r" + strconv.Itoa(i)
		}
		response.ID = request.ID
		if e.lost && response.Outcome != rattanchecker.Lost {
			events = append(events, lostAttempt(request, e.lostAt.Sub(env.trace.start))...)
		}
		events = append(events, request, response)
	}
	return events
}

// lostAttempt returns the events of the first attempt of a request whose response was
// lost and whose outcome the caller looked up later.
func lostAttempt(request rattanchecker.Event, at time.Duration) []rattanchecker.Event {
	request.ID += "/lost"
	request.Operation, request.Key, request.Value = rattanchecker.Other, "", ""
	return []rattanchecker.Event{request, {Type: rattanchecker.Response, At: at, ID: request.ID, Outcome: rattanchecker.Lost}}
}

// projectRead converts a read of the list of a session's inserts to a read of one
// insert, as if each insert were a register. A returned insert of another session takes
// precedence, then a missing insert, then the newest.
func projectRead(e event, acknowledged []string) (operation, key, value string) {
	if len(acknowledged) == 0 {
		return rattanchecker.Other, "", ""
	}
	key = acknowledged[len(acknowledged)-1]
	value = key
	for _, id := range acknowledged {
		if !slices.Contains(e.ids, id) {
			key, value = id, ""
			break
		}
	}
	for _, id := range e.ids {
		if !strings.HasPrefix(id, sessionPrefix(e.session)) {
			value = id
		}
	}
	return rattanchecker.Read, key, value
}

// audits converts the read at the end of the run to one audit per insert.
func (env *environment) audits(final map[string]int) []rattanchecker.Event {
	var events []rattanchecker.Event
	for _, e := range env.record.all() {
		if e.kind != kindInsert {
			continue
		}
		request := rattanchecker.Event{
			Type: rattanchecker.Request, At: env.auditedAt.Sub(env.trace.start), ID: "audit-" + e.id, Session: "audit",
			KeyID: keyID(env.cluster.Key(auditAccount)), Operation: rattanchecker.Audit, Key: e.id, Group: group,
		}
		response := rattanchecker.Event{
			Type: rattanchecker.Response, At: time.Since(env.trace.start), ID: request.ID, Outcome: rattanchecker.OK, Whole: true, Key: e.id,
		}
		if final[e.id] > 0 {
			response.Value = e.id
		}
		events = append(events, request, response)
	}
	return events
}

// keyID returns the identifier that a key contains.
func keyID(key string) string {
	id, _, _ := strings.Cut(strings.TrimPrefix(key, "rsk_"), "_")
	return id
}

func fullAccount(account string) string { return rattancluster.Team + "/" + account }
