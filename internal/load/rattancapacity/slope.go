package rattancapacity

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
)

// A point is one measured value y at a size x.
type point struct{ x, y float64 }

// fit returns the straight line through the points by least squares.
func fit(points []point) (slope, intercept float64) {
	var sumX, sumY float64
	for _, p := range points {
		sumX += p.x
		sumY += p.y
	}
	n := float64(len(points))
	meanX, meanY := sumX/n, sumY/n
	var numerator, denominator float64
	for _, p := range points {
		numerator += (p.x - meanX) * (p.y - meanY)
		denominator += (p.x - meanX) * (p.x - meanX)
	}
	if denominator == 0 {
		return 0, meanY
	}
	slope = numerator / denominator
	return slope, meanY - slope*meanX
}

// A Spread is the median and the range of a figure over a number of runs.
type Spread struct {
	Runs              int
	Median, Low, High float64
}

// spreadOf returns the Spread of values.
func spreadOf(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	median := sorted[middle]
	if len(sorted)%2 == 0 {
		median = (sorted[middle-1] + sorted[middle]) / 2
	}
	return Spread{Runs: len(sorted), Median: median, Low: sorted[0], High: sorted[len(sorted)-1]}
}

// String returns the spread as a table shows it.
func (s Spread) String() string {
	return fmt.Sprintf("%.4g\t%.4g..%.4g\t%d", s.Median, s.Low, s.High, s.Runs)
}

// spreads returns the Spread of each figure over runs.
func spreads(runs []Figures) map[string]Spread {
	values := make(map[string][]float64)
	for _, run := range runs {
		for name, value := range run {
			values[name] = append(values[name], value)
		}
	}
	result := make(map[string]Spread, len(values))
	for name, runValues := range values {
		result[name] = spreadOf(runValues)
	}
	return result
}

// A Series has measurements at sizes that differ in one dimension.
type Series struct {
	// Name is the dimension, At its value for each element of Runs.
	Name string
	At   []float64
	Runs [][]Figures
}

// slopes returns the slope and the intercept of each figure. The first run at every size
// gives one slope, the second run another, and so on.
func (s Series) slopes() (slopes, intercepts map[string]Spread) {
	var slopeRuns, interceptRuns []Figures
	for run := 0; ; run++ {
		points := make(map[string][]point)
		for i, runs := range s.Runs {
			if run >= len(runs) {
				return spreads(slopeRuns), spreads(interceptRuns)
			}
			for name, value := range runs[run] {
				points[name] = append(points[name], point{s.At[i], value})
			}
		}
		slope, intercept := make(Figures), make(Figures)
		for name, linePoints := range points {
			slope[name], intercept[name] = fit(linePoints)
		}
		slopeRuns, interceptRuns = append(slopeRuns, slope), append(interceptRuns, intercept)
		if len(s.Runs) == 0 {
			return nil, nil
		}
	}
}

// add measures a number of runs at one value of the dimension.
func (s *Series) add(at, runs int, measure func() Figures) {
	var figures []Figures
	for range runs {
		figures = append(figures, measure())
	}
	s.At = append(s.At, float64(at))
	s.Runs = append(s.Runs, figures)
}

// writeRuns writes the figures at each size.
func (s Series) writeRuns(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "series\tat\tfigure\tmedian\trange\truns")
	for i, runs := range s.Runs {
		s.writeRows(table, fmt.Sprintf("%g", s.At[i]), spreads(runs))
	}
	_ = table.Flush()
}

// write writes the figures at each size, then slopes and intercepts.
func (s Series) write(w io.Writer) {
	s.writeRuns(w)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	slopes, intercepts := s.slopes()
	s.writeRows(table, "slope", slopes)
	s.writeRows(table, "at 0", intercepts)
	_ = table.Flush()
}

func (s Series) writeRows(w io.Writer, at string, figures map[string]Spread) {
	for _, name := range slices.SortedFunc(maps.Keys(figures), cmp.Compare[string]) {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", s.Name, at, name, figures[name])
	}
}

// loadAverage returns the machine's load averages over 1, 5 and 15 minutes.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(text))[:3], " ")
}
