package rattancapacity

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// baseSize is the size of which each variation changes one dimension.
var baseSize = Size{Daemons: 12, Domains: 3, Groups: 3, Accounts: 8}

// A variation is a series of measurements at sizes that differ in one dimension.
type variation struct {
	name  string
	sizes []int
	set   func(size *Size, value int)
}

// The sizes stay below those at which an overloaded machine of 10 cores did not
// finish the start: 64 daemons or 54 endpoints in one process.
var variations = []variation{
	{"daemons", []int{3, 6, 12, 24, 48}, func(s *Size, n int) { s.Daemons = n }},
	{"domains", []int{3, 5, 7}, func(s *Size, n int) { s.Daemons, s.Domains = 35, n }},
	{"groups", []int{3, 6, 9}, func(s *Size, n int) { s.Groups = n }},
	{"accounts", []int{8, 100, 1000}, func(s *Size, n int) { s.Accounts = n }},
}

// Report measures the named series, separated by commas, and writes tables. The series
// are daemons, domains, groups, accounts, request, connection, scarce, outage and
// target.
func Report(ctx context.Context, w io.Writer, plan Plan, names string) error {
	wanted := strings.Split(names, ",")
	for _, v := range variations {
		if !slices.Contains(wanted, v.name) {
			continue
		}
		if err := v.report(ctx, w, plan); err != nil {
			return err
		}
	}
	for _, part := range []struct {
		name   string
		report func(context.Context, io.Writer, Plan) error
	}{{"request", reportRequests}, {"connection", reportConnections}, {"scarce", reportScarce}, {"outage", reportOutage}, {"target", reportTarget}} {
		if !slices.Contains(wanted, part.name) {
			continue
		}
		_, _ = fmt.Fprintf(w, "%s: load average %s\n", part.name, loadAverage())
		if err := part.report(ctx, w, plan); err != nil {
			return err
		}
	}
	return nil
}

// Numbers of connections that are measured at once.
const (
	idleConnectionCount = 2000
	busyConnectionCount = 300
)

// callerCounts are the numbers of callers that send requests at the same time.
var callerCounts = []int{1, 16, 64}

func reportRequests(ctx context.Context, w io.Writer, plan Plan) error {
	requests, err := MeasureRequests(ctx, callerCounts, plan)
	for _, kind := range []string{"read", "write", "direct_read"} {
		series := Series{Name: kind + "/callers"}
		for _, request := range requests {
			if request.Kind == kind {
				series.At = append(series.At, float64(request.Callers))
				series.Runs = append(series.Runs, request.Runs)
			}
		}
		series.writeRuns(w)
	}
	return err
}

func reportConnections(ctx context.Context, w io.Writer, plan Plan) error {
	runs, err := MeasureConnections(ctx, idleConnectionCount, busyConnectionCount, plan)
	Series{Name: "connections", At: []float64{idleConnectionCount}, Runs: [][]Figures{runs}}.writeRuns(w)
	return err
}

// scarceSize has more daemons than an endpoint has connections in the smaller of the
// two measurements.
var scarceSize = Size{Daemons: 12, Domains: 3, Groups: 1, Accounts: 1}

func reportScarce(ctx context.Context, w io.Writer, _ Plan) error {
	scarce := Series{Name: "scarce/connections"}
	for _, connections := range []int{4, 24} {
		figures, err := MeasureScarceConnections(ctx, scarceSize, connections)
		if err != nil {
			return err
		}
		scarce.add(connections, 1, func() Figures { return figures })
	}
	scarce.writeRuns(w)
	return nil
}

func reportOutage(ctx context.Context, w io.Writer, plan Plan) error {
	outage := Series{Name: "outage/daemons"}
	for _, daemons := range []int{6, 12, 24} {
		size := baseSize
		size.Daemons = daemons
		figures, err := MeasureOutage(ctx, size, plan)
		if err != nil {
			return err
		}
		outage.add(daemons, 1, func() Figures { return figures })
	}
	outage.write(w)
	return nil
}

// reportTarget measures single parts of the control work, each alone, at the size of
// Target and at smaller sizes.
func reportTarget(_ context.Context, w io.Writer, plan Plan) error {
	span := plan.Window / 10
	monitors, members := Series{Name: "monitors/daemons"}, Series{Name: "members/daemons"}
	for _, daemons := range []int{96, 385, Target.Daemons} {
		size := Target
		size.Daemons = daemons
		monitors.add(daemons, plan.Windows, func() Figures { return MeasureMonitors(size, span) })
		members.add(daemons, plan.Windows, func() Figures { return MeasureMembership(size, span) })
	}
	monitors.write(w)
	members.write(w)
	var failed error
	settings := Series{Name: "settings/groups"}
	for _, groups := range []int{100, 367, Target.Groups} {
		size := Target
		size.Groups = groups
		settings.add(groups, plan.Windows, func() Figures {
			figures, err := MeasureSettings(size, span)
			failed = cmp.Or(failed, err)
			return figures
		})
	}
	settings.write(w)
	pools := Series{Name: "pools/groups"}
	for _, groups := range []int{100, 366, Target.Groups} {
		size := Target
		size.Groups = groups
		pools.add(groups, plan.Windows, func() Figures {
			figures, err := MeasureConnectionShares(size, span)
			failed = cmp.Or(failed, err)
			return figures
		})
	}
	pools.write(w)
	return failed
}

// report measures all sizes of a variation.
func (v variation) report(ctx context.Context, w io.Writer, plan Plan) error {
	idle, used, events := Series{Name: v.name + "/idle"}, Series{Name: v.name + "/used"}, Series{Name: v.name + "/events"}
	for _, value := range v.sizes {
		size := baseSize
		v.set(&size, value)
		control, err := MeasureControl(ctx, size, plan)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(w, "%s: load average %s; %s\n", size, control.Load, summarize(control))
		for _, s := range []struct {
			series *Series
			runs   []Figures
		}{{&idle, control.Idle}, {&used, control.Used}, {&events, []Figures{control.Events}}} {
			s.series.At = append(s.series.At, float64(value))
			s.series.Runs = append(s.series.Runs, s.runs)
		}
	}
	idle.write(w)
	used.write(w)
	events.write(w)
	return nil
}

// summarize returns a measurement in one line, which is written before the series is
// complete.
func summarize(control Control) string {
	var text []string
	medians := spreads(control.Idle)
	for _, name := range slices.Sorted(maps.Keys(medians)) {
		text = append(text, fmt.Sprintf("%s %.4g", name, medians[name].Median))
	}
	for _, name := range slices.Sorted(maps.Keys(control.Events)) {
		text = append(text, fmt.Sprintf("%s %.4g", name, control.Events[name]))
	}
	return strings.Join(text, ", ")
}
