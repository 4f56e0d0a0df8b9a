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

// A tracer collects what operators did and saw during a run. Together with the
// record of the callers and the calls to the endpoints it makes the trace that
// rattanchecker judges.
type tracer struct {
	start time.Time

	mutex  sync.Mutex
	events []rattanchecker.Event
	// inForce has the last revision noted of each team on each daemon.
	inForce map[inForceKey]uint64
}

type inForceKey struct{ daemon, team string }

// noteInForce notes the revision of a team's settings that a daemon has in
// force, unless it is the last one noted.
func (t *tracer) noteInForce(daemon, team string, revision uint64) {
	key := inForceKey{daemon, team}
	t.mutex.Lock()
	changed := t.inForce[key] != revision
	t.inForce[key] = revision
	t.mutex.Unlock()
	if changed {
		t.note(rattanchecker.Event{Type: rattanchecker.InForce, Daemon: daemon, Target: team, Revision: revision})
	}
}

// forget makes the next revisions of a daemon be noted even if they are the
// last ones noted, as a daemon that starts again has to reach them anew.
func (t *tracer) forget(daemon string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	maps.DeleteFunc(t.inForce, func(key inForceKey, _ uint64) bool { return key.daemon == daemon })
}

// note adds an event that happens now.
func (t *tracer) note(e rattanchecker.Event) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e.At = time.Since(t.start)
	t.events = append(t.events, e)
}

// noteDaemon notes a change in a daemon's life.
func (w *world) noteDaemon(vm *rattancluster.VM, action string) {
	w.trace.note(rattanchecker.Event{Type: rattanchecker.Daemon, Daemon: vm.Name(), Action: action})
	if action == rattanchecker.Start {
		w.trace.forget(vm.Name())
	}
}

// noteStop notes the begin or end of a planned stop. Beside another fault P13
// promises nothing about it, so that it is noted as a crash.
func (w *world) noteStop(vm *rattancluster.VM, action string) {
	if w.fault.name != "none" {
		action = rattanchecker.Crash
	}
	w.noteDaemon(vm, action)
}

// noteChange notes an accepted change of an operator.
func (w *world) noteChange(e rattanchecker.Event) {
	e.Type = rattanchecker.Operator
	w.trace.note(e)
}

// noteSetup notes the keys, rates and daemons that a run begins with.
func (w *world) noteSetup() {
	for _, account := range w.cluster.Scenario().Accounts {
		w.noteChange(rattanchecker.Event{Action: rattanchecker.GiveKey, Target: keyID(w.cluster.Key(account.Name)), ClientAccount: fullAccount(account.Name)})
		w.noteRate(account.Name, float64(account.Rate), float64(account.Burst))
	}
	for _, vm := range w.cluster.VMs() {
		w.noteDaemon(vm, rattanchecker.Start)
	}
}

func (w *world) noteRate(account string, rate, burst float64) {
	w.noteChange(rattanchecker.Event{Action: rattanchecker.SetRate, Target: fullAccount(account), Rate: rate, Burst: burst})
}

// noteDrained notes that a failure domain or endpoint was taken out or returned.
func (w *world) noteDrained(section string, drained bool) {
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
	w.noteChange(e)
}

// faultTargets returns the names that a fault touches. A daemon that the fault
// keeps from learning of a change may go on using what was taken out, so that
// the fault touches that too.
func (w *world) faultTargets(f fault, vm *rattancluster.VM, primary string) []string {
	var targets []string
	for _, other := range w.cluster.VMs() {
		inDomain := strings.Contains(f.name, "domain ") && other.FailureDomain() == vm.FailureDomain()
		if f.stopsChanges || inDomain || strings.Contains(f.name, "daemon ") && other == vm {
			targets = append(targets, other.Name())
		}
	}
	if len(targets) > 0 {
		targets = append(targets, w.cluster.Scenario().Domains()...)
		for name := range w.cluster.Endpoints() {
			targets = append(targets, name)
		}
	}
	if strings.Contains(f.name, "primary ") {
		targets = append(targets, primary)
	}
	return targets
}

// inject injects the cell's fault and notes whom it touches. The returned
// function heals it and notes the end.
func (w *world) inject(f fault, vm *rattancluster.VM) func() {
	if f.elsewhere {
		vm = w.vmElsewhere(vm)
	}
	begin := time.Since(w.trace.start)
	targets := w.faultTargets(f, vm, w.primary())
	heal := f.inject(w, vm)
	return func() {
		heal()
		if f.name == "none" {
			return
		}
		w.trace.mutex.Lock()
		defer w.trace.mutex.Unlock()
		for _, target := range targets {
			w.trace.events = append(w.trace.events,
				rattanchecker.Event{Type: rattanchecker.Fault, At: begin, Until: time.Since(w.trace.start), Target: target})
		}
	}
}

// vmElsewhere returns a VM of another failure domain.
func (w *world) vmElsewhere(vm *rattancluster.VM) *rattancluster.VM {
	vms := w.cluster.VMs()
	return vms[slices.IndexFunc(vms, func(other *rattancluster.VM) bool { return other.FailureDomain() != vm.FailureDomain() })]
}

// replay writes the trace of a run to dir, unless that is empty, and returns the
// violations that rattanchecker finds in it.
func (w *world) replay(final map[string]int, dir, name string) ([]error, error) {
	events := slices.Clone(w.trace.events)
	events = append(events, w.endpointEvents()...)
	events = append(events, w.callerEvents()...)
	if final != nil {
		events = append(events, w.audits(final)...)
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
			return nil, errors.Wrap(err, "keep the trace")
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

// quote returns the first of the numbered lines of a trace.
func quote(lines []string, numbers []int) string {
	const most = 4
	var b strings.Builder
	for _, number := range numbers[:min(most, len(numbers))] {
		b.WriteString("\n" + lines[number-1])
	}
	return b.String()
}

// callerEvents returns the requests and answers of all callers.
func (w *world) callerEvents() []rattanchecker.Event {
	terms := w.writeTerms()
	acknowledged := make(map[int][]string)
	var events []rattanchecker.Event
	for i, e := range w.record.all() {
		request := rattanchecker.Event{
			Type: rattanchecker.Request, At: e.start.Sub(w.trace.start), ID: e.id, Session: strconv.Itoa(e.session), Daemon: e.vm,
			KeyID: keyID(w.cluster.Key(e.account)), ClientAccount: fullAccount(e.account), Operation: rattanchecker.Other, Group: group,
		}
		response := rattanchecker.Event{Type: rattanchecker.Response, At: e.end.Sub(w.trace.start), Outcome: rattanchecker.Refused, RunState: e.state}
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
			request.Daemon = "" // its calls go to several
		default:
		}
		if request.ID == "" {
			request.ID = "r" + strconv.Itoa(i)
		}
		response.ID = request.ID
		if e.lost && response.Outcome != rattanchecker.Lost {
			events = append(events, lostAttempt(request, e.lostAt.Sub(w.trace.start))...)
		}
		events = append(events, request, response)
	}
	return events
}

// lostAttempt returns the events of a request whose answer was lost and whose
// outcome the caller found out later.
func lostAttempt(request rattanchecker.Event, at time.Duration) []rattanchecker.Event {
	request.ID += "/lost"
	request.Operation, request.Key, request.Value = rattanchecker.Other, "", ""
	return []rattanchecker.Event{request, {Type: rattanchecker.Response, At: at, ID: request.ID, Outcome: rattanchecker.Lost}}
}

// projectRead returns a read of the list of a session's inserts as a read of
// one of them, written as a register: of one that must not be there, else of one
// that is missing, else of the newest.
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

// audits returns the read at the end of the run as one audit of each insert.
func (w *world) audits(final map[string]int) []rattanchecker.Event {
	var events []rattanchecker.Event
	for _, e := range w.record.all() {
		if e.kind != kindInsert {
			continue
		}
		request := rattanchecker.Event{
			Type: rattanchecker.Request, At: w.auditedAt.Sub(w.trace.start), ID: "audit-" + e.id, Session: "audit",
			KeyID: keyID(w.cluster.Key(auditAccount)), Operation: rattanchecker.Audit, Key: e.id, Group: group,
		}
		response := rattanchecker.Event{
			Type: rattanchecker.Response, At: time.Since(w.trace.start), ID: request.ID, Outcome: rattanchecker.OK, Whole: true, Key: e.id,
		}
		if final[e.id] > 0 {
			response.Value = e.id
		}
		events = append(events, request, response)
	}
	return events
}

// keyID returns the identifier of a key.
func keyID(key string) string {
	id, _, _ := strings.Cut(strings.TrimPrefix(key, "rsk_"), "_")
	return id
}

func fullAccount(account string) string { return rattancluster.Team + "/" + account }
