package rattanproxy

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
	"github.com/rattanstream/rattanstream/internal/limit/rattanusage"
)

const (
	// reportInterval separates two checks for windows to report.
	reportInterval = 200 * time.Millisecond
	// reportTimeout limits one call of the platform. With the handover time it makes sure
	// that a call ends before that of the next holder.
	reportTimeout = 1 * time.Second
	// reportRetry separates two attempts to send a report.
	reportRetry = 700 * time.Millisecond
	// collectShare is the part of the delay for which a window waits for missing counts;
	// the rest is for the record in the store, and for attempts to send it.
	collectShare = 0.6
)

// A UsageReporter reports the usage of client accounts to the platform. After an error the
// report may have been accepted or not.
type UsageReporter interface {
	ReportUsage(ctx context.Context, window int64, counts map[string]uint64, holder string, token int64) error
}

// usageReports is what the holder of the duty knows of the reports.
type usageReports struct {
	mu   sync.Mutex
	book rattanusage.Book
	// revision is that of the record in the store. It is known while loadedToken is the
	// holder's fencing token.
	revision    rattankv.Revision
	loadedToken int64
	retryAt     time.Time
}

func (r *usageReports) state() *usageState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &usageState{Through: r.book.Through(), Unsent: r.book.Unsent()}
}

// runReports reports the usage while this daemon is the failover leader, which holds this
// duty as well.
func (u *usage) runReports(ctx context.Context) error {
	for u.proxy.sleep(ctx, reportInterval) {
		token, isHeld := u.proxy.leadership.Token()
		if !isHeld || u.proxy.clock.Now().Before(u.reports.retryAt) {
			continue
		}
		if err := u.report(ctx, token); err != nil && ctx.Err() == nil {
			u.reports.retryAt = u.proxy.clock.Now().Add(reportRetry)
			u.proxy.metrics.count("usage_failed")
			u.proxy.logger.Warn("usage_failed", "token", token, "error", err)
		}
	}
	return nil
}

// report decides the windows that are due, and sends the oldest report.
func (u *usage) report(ctx context.Context, token int64) error {
	if u.reports.loadedToken != token {
		if err := u.loadRecord(ctx); err != nil {
			return errors.Wrap(err, "read the record of usage")
		}
		u.reports.loadedToken = token
	}
	if err := u.decide(ctx, token); err != nil {
		if !errors.Is(err, rattankv.ErrUnavailable) {
			// What the store holds now is not known.
			u.reports.loadedToken = 0
		}
		return errors.Wrap(err, "write the record of usage")
	}
	return u.sendNext(ctx, token)
}

func (u *usage) loadRecord(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := u.proxy.platform.Store.Range(callCtx, rattancache.UsageKey)
	if err != nil {
		return err
	}
	var record rattanusage.Record
	var revision rattankv.Revision
	var isReadable bool
	for _, item := range page.Items {
		if item.Key != rattancache.UsageKey {
			continue
		}
		revision, isReadable = item.Revision, true
		if err := json.Unmarshal(item.Value, &record); err != nil {
			u.proxy.logInvalidEntries([]rattancache.InvalidEntry{{Key: item.Key, Revision: revision, Err: errors.Wrap(err, "decode the record of usage")}})
			record, isReadable = rattanusage.Record{}, false
		}
	}
	u.mu.Lock()
	current := rattanusage.WindowAt(u.now(), u.length)
	u.mu.Unlock()
	u.reports.mu.Lock()
	defer u.reports.mu.Unlock()
	before := u.reports.book.Through()
	u.reports.book.Load(record, isReadable, page.AsOf.Era(), current)
	u.reports.revision = revision
	u.proxy.logger.Info("usage_record_read", "through", u.reports.book.Through(), "through_before", before,
		"through_in_store", record.Through, "unsent", u.reports.book.Unsent(), "era", page.AsOf.Era())
	return nil
}

// decide writes the contents of the windows that are due to the store.
func (u *usage) decide(ctx context.Context, token int64) error {
	decision, ok := u.decision()
	if !ok {
		return nil
	}
	value, err := json.Marshal(decision.Record)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	revision, err := u.proxy.platform.Store.Commit(callCtx, rattankv.Txn{
		Expect: []rattankv.Expectation{{Key: rattancache.UsageKey, Revision: u.reports.revision}},
		Writes: []rattankv.Item{{Key: rattancache.UsageKey, Value: value}},
	})
	if err != nil {
		return err
	}
	u.reports.mu.Lock()
	u.reports.book.Accept(decision.Record)
	u.reports.revision = revision
	u.reports.mu.Unlock()
	u.logDecision(decision, token)
	return nil
}

func (u *usage) decision() (rattanusage.Decision, bool) {
	var expected []string
	for _, vm := range u.proxy.cache.Snapshot().VMs {
		expected = append(expected, vm.Incarnation)
	}
	timing := rattanusage.Timing{
		Length: u.length, Collect: time.Duration(collectShare * float64(u.proxy.settings.UsageDelay())),
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reports.mu.Lock()
	defer u.reports.mu.Unlock()
	return u.reports.book.Decide(u.ledger, expected, u.now(), timing)
}

func (u *usage) logDecision(decision rattanusage.Decision, token int64) {
	for _, outcome := range decision.Decided {
		if len(outcome.Missing) > 0 {
			u.proxy.metrics.count("usage_incomplete")
			u.proxy.logger.Warn("usage_incomplete", "window", outcome.Report.Window, "token", token,
				"sum", outcome.Report.Sum(), "missing", outcome.Missing)
		}
	}
	for _, window := range decision.Skipped {
		u.proxy.metrics.count("usage_skipped")
		u.proxy.logger.Warn("usage_skipped", "window", window, "token", token)
	}
}

// sendNext sends the oldest report that the platform has not accepted. A daemon that has
// just taken the duty waits: calls of the holder before it may still be on their way, and
// this daemon may itself have been the holder before that one.
func (u *usage) sendNext(ctx context.Context, token int64) error {
	report, ok := u.reports.book.Next()
	if !ok || u.proxy.leadership.sinceTaken() < max(u.proxy.settings.UsageHandover(), grantLifetime+reportTimeout) {
		return nil
	}
	if current, isHeld := u.proxy.leadership.Token(); !isHeld || current != token {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if err := u.proxy.platform.UsageReporter.ReportUsage(callCtx, report.Window, report.Counts, u.proxy.leadership.Holder(), token); err != nil {
		return errors.Wrapf(err, "send the report of window %d", report.Window)
	}
	u.reports.mu.Lock()
	u.reports.book.Sent(report.Window)
	u.reports.mu.Unlock()
	u.mu.Lock()
	late := u.now().Sub(rattanusage.End(report.Window, u.length))
	u.mu.Unlock()
	u.proxy.metrics.count("usage_reported")
	u.proxy.metrics.set("usage_lag_ms", late.Milliseconds())
	u.proxy.logger.Info("usage_reported", "window", report.Window, "token", token, "sum", report.Sum(),
		"accounts", len(report.Counts), "lag_ms", late.Milliseconds())
	return nil
}
