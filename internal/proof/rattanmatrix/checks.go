package rattanmatrix

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/load/rattancluster"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

// inForceTime is the specified time within which changes must be in force on all
// daemons and a failover must be complete.
const inForceTime = 8 * time.Second

// check checks a run against the guarantees and returns all violations. It also
// returns how often each insert is present after the run, nil if that could not be
// read.
func (env *environment) check(f fault, s step) ([]error, map[string]int) {
	events := env.record.all()
	violations := []error{env.reverted, env.failure}
	final, err := env.finalIDs()
	if err != nil {
		violations = append(violations, err)
	}
	violations = append(violations, checkReads(events)...)
	if err == nil {
		violations = append(violations, checkWrites(events, final)...)
	}
	violations = append(violations, checkSums(events)...)
	violations = append(violations, checkIntruders(events)...)
	violations = append(violations, env.checkRates(events)...)
	violations = append(violations, env.checkWithdrawal(events)...)
	violations = append(violations, env.checkDrained(events)...)
	violations = append(violations, env.checkSettings()...)
	violations = append(violations, env.checkGap(events)...)
	violations = append(violations, env.checkKeys()...)
	if f.name == "none" {
		violations = append(violations, env.checkGraceful(events, s)...)
	}
	return slices.DeleteFunc(violations, func(err error) bool { return err == nil }), final
}

// finalIDs reads all inserted identifiers after the run. The session writes before it
// reads, so that the read returns every acknowledged insert.
func (env *environment) finalIDs() (map[string]int, error) {
	const attempts = 10
	env.auditedAt = time.Now()
	reader := env.newCaller(200, auditAccount)
	var err error
	for range attempts {
		vm := reader.vm()
		if _, err = call(reader, vm, rattanv1connect.CallerServiceClient.Execute, &rattanv1.ExecuteRequest{
			Service: service, Statement: &rattanv1.Statement{Text: "UPDATE pair SET amount = amount + 0 WHERE id = 1"},
		}); err != nil {
			time.Sleep(time.Second)
			continue
		}
		var response *rattanv1.ExecuteResponse
		if response, err = call(reader, vm, rattanv1connect.CallerServiceClient.Execute, &rattanv1.ExecuteRequest{
			Service: service, ReadOnly: true, Statement: &rattanv1.Statement{Text: "SELECT id FROM items"},
		}); err != nil {
			time.Sleep(time.Second)
			continue
		}
		ids := make(map[string]int)
		for _, row := range response.GetResult().GetRows() {
			ids[row.GetValues()[0].GetText()]++
		}
		return ids, nil
	}
	return nil, errors.Wrapf(err, "service did not recover within %s after the fault", attempts*time.Second)
}

// checkReads checks P1 and P9: a read returns all inserts of its session that were
// acknowledged before, and no inserts of other sessions.
func checkReads(events []event) []error {
	var violations []error
	acknowledged := make(map[int][]string)
	for _, e := range events {
		if e.kind == kindInsert && e.ok {
			acknowledged[e.session] = append(acknowledged[e.session], e.id)
		}
		if e.kind != kindRead || !e.ok {
			continue
		}
		for _, id := range acknowledged[e.session] {
			if !slices.Contains(e.ids, id) {
				violations = append(violations, errors.Errorf("P1: session %d read at %s from %s without its insert %s", e.session, e.vm, e.endpoint, id))
				break
			}
		}
		for _, id := range e.ids {
			if !strings.HasPrefix(id, sessionPrefix(e.session)) {
				violations = append(violations, errors.Errorf("P9: session %d read insert %q of another session", e.session, id))
			}
		}
	}
	return violations
}

// checkWrites checks P2, P10 and P11: acknowledged inserts are present, those refused
// as not run are absent, and none is present twice.
func checkWrites(events []event, final map[string]int) []error {
	var violations []error
	for _, e := range events {
		if e.kind != kindInsert {
			continue
		}
		count := final[e.id]
		switch {
		case e.ok && count == 0:
			violations = append(violations, errors.Errorf("P2: insert %s was acknowledged by %s but is lost", e.id, e.vm))
		case !e.ok && e.state == rattanerr.NotRun && count > 0:
			violations = append(violations, errors.Errorf("P10: insert %s was refused as not run but ran: %v", e.id, e.err))
		}
		if count > 1 {
			violations = append(violations, errors.Errorf("P11: insert %s ran %d times", e.id, count))
		}
	}
	return violations
}

// checkSums checks P3: transactions that move units do not change the sum.
func checkSums(events []event) []error {
	var violations []error
	for _, e := range events {
		if e.kind == kindSum && e.ok && e.sum != pairTotal {
			violations = append(violations, errors.Errorf("P3: sum of the pair is %d at %s, want %d", e.sum, e.endpoint, pairTotal))
		}
	}
	return violations
}

// checkIntruders checks P4: a transaction runs no statements of another client account.
func checkIntruders(events []event) []error {
	for _, e := range events {
		if e.kind == kindIntrude && e.ok {
			return []error{errors.Errorf("P4: client account %s ran a statement in a transaction of session %d at %s", e.account, e.session, e.vm)}
		}
	}
	return nil
}

// checkRates checks P7: requests that begin and end within an interval were admitted
// in it, so there are at most burst + rate × length of them.
func (env *environment) checkRates(events []event) []error {
	var violations []error
	for _, account := range env.cluster.Scenario().Accounts {
		var served []event
		for _, e := range events {
			if e.account == account.Name && e.ok && (e.kind == kindFlood || e.kind == kindWithdraw) {
				served = append(served, e)
			}
		}
		if err := overRate(served, float64(account.Rate), account.Burst); err != nil {
			violations = append(violations, errors.Wrapf(err, "P7: client account %s", account.Name))
		}
	}
	return violations
}

func overRate(served []event, rate float64, burst int) error {
	sort.Slice(served, func(i, j int) bool { return served[i].end.Before(served[j].end) })
	for i := range served {
		from := served[i].start
		count := 0
		for _, e := range served {
			if e.start.Before(from) {
				continue
			}
			count++
			if allowed := float64(burst) + rate*e.end.Sub(from).Seconds(); float64(count) > allowed+1 {
				return errors.Errorf("%d requests served in %s, at most %.1f allowed", count, e.end.Sub(from), allowed)
			}
		}
	}
	return nil
}

// checkWithdrawal checks P6: a withdrawn key is refused after the specified time.
func (env *environment) checkWithdrawal(events []event) []error {
	if env.withdrawnAt.IsZero() {
		return nil
	}
	for _, e := range events {
		if e.kind == kindWithdraw && e.ok && e.start.Sub(env.withdrawnAt) > inForceTime {
			return []error{errors.Errorf("P6: key was accepted at %s %s after its withdrawal", e.vm, e.start.Sub(env.withdrawnAt))}
		}
	}
	return nil
}

// checkDrained checks P8 and P12: no request that starts later than the specified
// time after a failure domain or endpoint was taken out runs there.
func (env *environment) checkDrained(events []event) []error {
	var violations []error
	for section, since := range env.drainedAt {
		for _, e := range events {
			if e.ok && e.endpoint != "" && env.inSection(e.endpoint, section) && e.start.Sub(since) > inForceTime {
				violations = append(violations, errors.Errorf("P8, P12: %s ran at %s %s after %s was taken out", e.kind, e.endpoint, e.start.Sub(since), section))
				break
			}
		}
	}
	return violations
}

func (env *environment) inSection(endpoint, section string) bool {
	if domain, ok := strings.CutPrefix(section, "failure_domain."); ok {
		return env.cluster.Endpoint(endpoint).Status().GetFailureDomain() == domain
	}
	return section == "endpoint."+localName(endpoint)
}

// checkSettings checks P14: an accepted change is in force on every VM at the end.
func (env *environment) checkSettings() []error {
	if env.changedAt.IsZero() {
		return nil
	}
	for _, vm := range env.cluster.VMs() {
		if revision := vm.Revision(rattancluster.Team); revision < env.revision {
			return []error{errors.Errorf("P14: %s has revision %d in force, revision %d was accepted %s ago",
				vm.Name(), revision, env.revision, time.Since(env.changedAt))}
		}
	}
	return nil
}

// checkGap checks the time limit of a failover: at most the specified time passes
// between two acknowledged inserts. The limit is the same for all faults.
func (env *environment) checkGap(events []event) []error {
	var ends []time.Time
	for _, e := range events {
		if e.kind == kindInsert && e.ok {
			ends = append(ends, e.end)
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	for i := 1; i < len(ends); i++ {
		env.gap = max(env.gap, ends[i].Sub(ends[i-1]))
	}
	if env.gap > inForceTime {
		return []error{errors.Errorf("failover: no insert was acknowledged for %s, the limit is %s", env.gap, inForceTime)}
	}
	return nil
}

// checkKeys checks P5: no data that an endpoint received contains the end of a key.
func (env *environment) checkKeys() []error {
	for name, instance := range env.cluster.Endpoints() {
		for _, recorded := range instance.Recorded() {
			for _, account := range env.cluster.Scenario().Accounts {
				secret := env.cluster.Key(account.Name)
				if strings.Contains(string(recorded), secret[len(secret)-16:]) {
					return []error{errors.Errorf("P5: endpoint %s received a key of %s", name, account.Name)}
				}
			}
		}
	}
	return nil
}

// checkGraceful checks P13: a planned stop without another fault leaves no request
// with an unknown outcome.
func (env *environment) checkGraceful(events []event, s step) []error {
	if env.stoppedVM == "" {
		return nil
	}
	for _, e := range events {
		if !e.ok && e.state == rattanerr.Unknown && e.kind != kindFlood && e.kind != kindWithdraw {
			return []error{errors.Errorf("P13: %s at %s has an unknown outcome after a planned stop (%s): %v", e.kind, e.vm, s.name, e.err)}
		}
	}
	return nil
}
