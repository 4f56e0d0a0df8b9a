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

// inForceTime is the stated time within which changes are in force everywhere
// and a failover is over.
const inForceTime = 8 * time.Second

// check judges a run by the promises and returns every violation, and the
// inserts that are there after the run with their number, nil when they could
// not be read.
func (w *world) check(f fault, s step) ([]error, map[string]int) {
	events := w.record.all()
	violations := []error{w.reverted, w.failure}
	final, err := w.finalIDs()
	if err != nil {
		violations = append(violations, err)
	}
	violations = append(violations, checkReads(events)...)
	if err == nil {
		violations = append(violations, checkWrites(events, final)...)
	}
	violations = append(violations, checkSums(events)...)
	violations = append(violations, checkIntruders(events)...)
	violations = append(violations, w.checkRates(events)...)
	violations = append(violations, w.checkWithdrawal(events)...)
	violations = append(violations, w.checkDrained(events)...)
	violations = append(violations, w.checkSettings()...)
	violations = append(violations, w.checkGap(events)...)
	violations = append(violations, w.checkKeys()...)
	if f.name == "none" {
		violations = append(violations, w.checkGraceful(events, s)...)
	}
	return slices.DeleteFunc(violations, func(err error) bool { return err == nil }), final
}

// finalIDs reads all inserted identifiers after the run, by a session that has
// written, so that the read sees everything acknowledged.
func (w *world) finalIDs() (map[string]int, error) {
	const attempts = 10
	w.auditedAt = time.Now()
	reader := w.newCaller(200, auditAccount)
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
	return nil, errors.Wrapf(err, "service has not come back %s after the fault", attempts*time.Second)
}

// checkReads holds P1 and P9: a read returns every insert that its session had
// acknowledged before, and only inserts of its own session.
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
				violations = append(violations, errors.Errorf("P9: session %d got the answer %q of another session", e.session, id))
			}
		}
	}
	return violations
}

// checkWrites holds P2, P10 and P11: acknowledged inserts are there once, those
// refused as not run are not, and none is there twice.
func checkWrites(events []event, final map[string]int) []error {
	var violations []error
	for _, e := range events {
		if e.kind != kindInsert {
			continue
		}
		count := final[e.id]
		switch {
		case e.ok && count == 0:
			violations = append(violations, errors.Errorf("P2: insert %s was acknowledged by %s and is lost", e.id, e.vm))
		case !e.ok && e.state == rattanerr.NotRun && count > 0:
			violations = append(violations, errors.Errorf("P10: insert %s was refused as not run and ran: %v", e.id, e.err))
		}
		if count > 1 {
			violations = append(violations, errors.Errorf("P11: insert %s ran %d times", e.id, count))
		}
	}
	return violations
}

// checkSums holds P3: transactions that move units leave the sum as it is.
func checkSums(events []event) []error {
	var violations []error
	for _, e := range events {
		if e.kind == kindSum && e.ok && e.sum != pairTotal {
			violations = append(violations, errors.Errorf("P3: sum of the pair is %d at %s, want %d", e.sum, e.endpoint, pairTotal))
		}
	}
	return violations
}

// checkIntruders holds P4: a transaction runs nothing for another client account.
func checkIntruders(events []event) []error {
	for _, e := range events {
		if e.kind == kindIntrude && e.ok {
			return []error{errors.Errorf("P4: client account %s ran a statement in a transaction of session %d at %s", e.account, e.session, e.vm)}
		}
	}
	return nil
}

// checkRates holds P7: requests that lie whole in an interval were admitted in
// it, so there are at most burst + rate × length of them.
func (w *world) checkRates(events []event) []error {
	var violations []error
	for _, account := range w.cluster.Scenario().Accounts {
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
				return errors.Errorf("%d requests served in %s, allowed are %.1f", count, e.end.Sub(from), allowed)
			}
		}
	}
	return nil
}

// checkWithdrawal holds P6.
func (w *world) checkWithdrawal(events []event) []error {
	if w.withdrawnAt.IsZero() {
		return nil
	}
	for _, e := range events {
		if e.kind == kindWithdraw && e.ok && e.start.Sub(w.withdrawnAt) > inForceTime {
			return []error{errors.Errorf("P6: key works at %s %s after its withdrawal", e.vm, e.start.Sub(w.withdrawnAt))}
		}
	}
	return nil
}

// checkDrained holds P8 and P12: nothing that starts later than the stated time
// after a failure domain or endpoint was taken out runs there.
func (w *world) checkDrained(events []event) []error {
	var violations []error
	for section, since := range w.drained {
		for _, e := range events {
			if e.ok && e.endpoint != "" && w.inSection(e.endpoint, section) && e.start.Sub(since) > inForceTime {
				violations = append(violations, errors.Errorf("P8, P12: %s ran at %s %s after %s was taken out", e.kind, e.endpoint, e.start.Sub(since), section))
				break
			}
		}
	}
	return violations
}

func (w *world) inSection(endpoint, section string) bool {
	if domain, ok := strings.CutPrefix(section, "failure_domain."); ok {
		return w.cluster.Endpoint(endpoint).Status().GetFailureDomain() == domain
	}
	return section == "endpoint."+localName(endpoint)
}

// checkSettings holds P14: an accepted change is in force on every VM at the end.
func (w *world) checkSettings() []error {
	if w.changed.IsZero() {
		return nil
	}
	for _, vm := range w.cluster.VMs() {
		if revision := vm.Revision(rattancluster.Team); revision < w.revision {
			return []error{errors.Errorf("P14: %s has revision %d in force, revision %d was accepted %s ago",
				vm.Name(), revision, w.revision, time.Since(w.changed))}
		}
	}
	return nil
}

// checkGap holds the bound of a failover: between two acknowledged inserts no
// more than the stated time passes, beside the time that the fault itself takes
// away the majority.
func (w *world) checkGap(events []event) []error {
	var ends []time.Time
	for _, e := range events {
		if e.kind == kindInsert && e.ok {
			ends = append(ends, e.end)
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	for i := 1; i < len(ends); i++ {
		w.gap = max(w.gap, ends[i].Sub(ends[i-1]))
	}
	if w.gap > inForceTime {
		return []error{errors.Errorf("failover: no insert was acknowledged for %s, the bound is %s", w.gap, inForceTime)}
	}
	return nil
}

// checkKeys holds P5: no byte that reached an endpoint has a part of a key.
func (w *world) checkKeys() []error {
	for name, instance := range w.cluster.Endpoints() {
		for _, recorded := range instance.Recorded() {
			for _, account := range w.cluster.Scenario().Accounts {
				secret := w.cluster.Key(account.Name)
				if strings.Contains(string(recorded), secret[len(secret)-16:]) {
					return []error{errors.Errorf("P5: endpoint %s received a key of %s", name, account.Name)}
				}
			}
		}
	}
	return nil
}

// checkGraceful holds P13: a planned stop without another fault leaves no
// request with an unknown outcome.
func (w *world) checkGraceful(events []event, s step) []error {
	if w.stopped == "" {
		return nil
	}
	for _, e := range events {
		if !e.ok && e.state == rattanerr.Unknown && e.kind != kindFlood && e.kind != kindWithdraw {
			return []error{errors.Errorf("P13: %s at %s has an unknown outcome after a planned stop (%s): %v", e.kind, e.vm, s.name, e.err)}
		}
	}
	return nil
}
