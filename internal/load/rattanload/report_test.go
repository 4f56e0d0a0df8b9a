package rattanload

import (
	"bytes"
	"slices"
	"testing"
	"time"
)

// servedAt returns the sample of a served write that arrived at a time and took 10 ms.
func servedAt(ms int) sample {
	arrival := time.Duration(ms) * time.Millisecond
	return sample{kind: kindWrite, arrival: arrival, end: arrival + 10*time.Millisecond, withinRate: true, served: true}
}

// refusedAt returns the sample of a refused write that arrived at a time.
func refusedAt(ms int) sample {
	s := servedAt(ms)
	s.served, s.reason = false, "over_rate"
	return s
}

// TestOverRate guards against a measure that misses served requests over rate and burst,
// or that reports some where there are none.
func TestOverRate(t *testing.T) {
	account := Account{Rate: 10, Burst: 5}
	for _, test := range []struct {
		name    string
		samples []sample
		want    float64
	}{
		{"none", nil, 0},
		{"burst", []sample{servedAt(0), servedAt(0), servedAt(0), servedAt(0), servedAt(0)}, 0},
		{"far apart", []sample{servedAt(0), servedAt(60_000)}, 0},
		{"over the burst late", []sample{servedAt(0), servedAt(5000), servedAt(5000), servedAt(5000), servedAt(5000), servedAt(5000), servedAt(5000), servedAt(5000)}, 1.9},
		{"refused ones", []sample{servedAt(0), servedAt(0), servedAt(0), servedAt(0), servedAt(0), refusedAt(0), refusedAt(0)}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := overRate(account, test.samples); got < test.want-0.01 || got > test.want+0.01 {
				t.Errorf("over rate by %f, want %f", got, test.want)
			}
		})
	}
}

// TestLongestUnserved guards against counting time without requests, and against
// ignoring the time in which requests wait or are refused.
func TestLongestUnserved(t *testing.T) {
	slow := servedAt(100)
	slow.end = 2 * time.Second
	for _, test := range []struct {
		name    string
		samples []sample
		want    time.Duration
	}{
		{"idle", []sample{servedAt(0), servedAt(9000)}, 10 * time.Millisecond},
		{"refused", []sample{servedAt(0), refusedAt(1000), servedAt(3000)}, 2010 * time.Millisecond},
		{"waiting", []sample{servedAt(0), slow}, 1900 * time.Millisecond},
		{"never served again", []sample{servedAt(0), refusedAt(500), refusedAt(900)}, 410 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := longestUnserved(test.samples); got != test.want {
				t.Errorf("longest time is %s, want %s", got, test.want)
			}
		})
	}
}

// TestLongestGap guards against a failover gap that misses a service which never
// accepts writes again.
func TestLongestGap(t *testing.T) {
	for _, test := range []struct {
		name    string
		samples []sample
		want    time.Duration
	}{
		{"over", []sample{servedAt(0), servedAt(900), servedAt(7900), servedAt(8000)}, 7 * time.Second},
		{"before the fault", []sample{servedAt(0), servedAt(800), servedAt(1000), servedAt(1100)}, 7890 * time.Millisecond},
		{"never again", []sample{servedAt(0), servedAt(900)}, 8090 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := longestGap(test.samples, 0, time.Second, 9*time.Second); got != test.want {
				t.Errorf("gap is %s, want %s", got, test.want)
			}
		})
	}
}

// TestArrivals guards against a token bucket that allows more or less than rate and
// burst, and against a flood outside its interval.
func TestArrivals(t *testing.T) {
	account := Account{Rate: 5, Burst: 2, Send: 5, Flood: 20, FloodFrom: time.Second, FloodUntil: 2 * time.Second}
	bucket := newTokenBucket(account)
	taken := 0
	for i := range 100 {
		if bucket.take(time.Duration(i) * 10 * time.Millisecond) {
			taken++
		}
	}
	if taken != 6 {
		t.Errorf("%d requests in 0.99 s are within the rate, want 2 of the burst and 4 of the rate", taken)
	}
	if rates := []float64{account.sendRate(0), account.sendRate(time.Second), account.sendRate(2 * time.Second)}; !slices.Equal(rates, []float64{5, 20, 5}) {
		t.Errorf("rates are %v, want 5, 20, 5", rates)
	}
}

// TestPlot guards against a report that cannot be drawn, even an empty one.
func TestPlot(t *testing.T) {
	for _, r := range []Report{{}, {Timeline: []Second{{Served: 3}, {Refused: 1}}, Marks: []MarkReport{{Kind: DomainOut, AtMs: 500}}}} {
		var image bytes.Buffer
		if err := r.WritePlot(&image); err != nil {
			t.Fatal(err)
		}
		if !bytes.HasPrefix(image.Bytes(), []byte("\x89PNG")) {
			t.Error("output is not a PNG image")
		}
	}
}
