package rattanload

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// WriteJSON writes the report as indented JSON.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(r), "write report")
}

// WriteText writes the report as tables.
func (r Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "CLIENT ACCOUNT\tSENT\tWITHIN RATE\tSERVED\tSHARE\tP50 MS\tP99 MS\tMAX MS\tUNSERVED MS\tREFUSALS")
	for _, a := range r.Accounts {
		name := a.Name
		if a.Flooded {
			name += " (floods)"
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%.4f\t%.1f\t%.1f\t%.1f\t%.0f\t%s\n", name, a.Sent, a.WithinRate, a.Served,
			a.ServedShare, a.Latency.P50Ms, a.Latency.P99Ms, a.Latency.MaxMs, a.LongestUnservedMs, formatCounts(a.Refusals))
	}
	fmt.Fprintln(table)
	fmt.Fprintln(table, "TIME S\tEVENT\tSUBJECT")
	for _, m := range r.Marks {
		fmt.Fprintf(table, "%.1f\t%s\t%s\n", m.AtMs/1000, m.Kind, m.Subject)
	}
	fmt.Fprintln(table)
	fmt.Fprintln(table, "MEASURE\tVALUE")
	for _, row := range r.Measures.Rows() {
		fmt.Fprintf(table, "%s\t%s\n", row.Name, row.Value)
	}
	fmt.Fprintf(table, "sent, served, seed\t%d, %d, %d\n", r.Sent, r.Served, r.Seed)
	return errors.Wrap(table.Flush(), "write report")
}

// A Row is the name and value of a measure as text.
type Row struct{ Name, Value string }

// Rows returns the measures as text, in the order of the design page.
func (m Measures) Rows() []Row {
	return []Row{
		{"reads served by replicas", fmt.Sprintf("%.1f %%", 100*m.ReplicaReadShare)},
		{"failover gap", fmt.Sprintf("%.0f ms", m.FailoverGapMs)},
		{"longest time without service", fmt.Sprintf("%.0f ms (%s)", m.LongestUnservedMs, m.LongestUnserved)},
		{"worst served share during the flood", fmt.Sprintf("%.2f %% (%s)", 100*m.WorstServedShare, m.Worst)},
		{"worst p99 during the flood", fmt.Sprintf("%.1f ms (%s)", m.WorstP99Ms, m.WorstP99)},
		{"refused within the rate", fmt.Sprintf("%d (%.2f %%)", m.RefusedWithinRate, 100*m.RefusedWithinRateShare)},
		{"of these as over_rate, without the flooding one", fmt.Sprint(m.OverRateWithinRate)},
		{"served while a failure domain is out and returns", fmt.Sprintf("%.2f %% (%d not)", 100*m.DomainServedShare, m.DomainRefused)},
		{"reads without the session's last write", fmt.Sprint(m.WrongValues)},
		{"client accounts over rate and burst", fmt.Sprint(len(m.OverRateAccounts))},
	}
}

func formatCounts(numbers map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(numbers)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, numbers[name]))
	}
	return strings.Join(parts, ", ")
}
