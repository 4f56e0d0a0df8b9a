package rattanload

import (
	"bytes"
	"slices"
	"testing"
	"time"
)

// at returns a served sample that took 10 ms.
func at(ms int) sample {
	arrival := time.Duration(ms) * time.Millisecond
	return sample{kind: kindWrite, arrival: arrival, end: arrival + 10*time.Millisecond, withinRate: true, served: true}
}

func refused(ms int) sample {
	s := at(ms)
	s.served, s.reason = false, "over_rate"
	return s
}

// TestOverRate guards against a measure that misses requests over rate and
// burst, or that reports some where there are none.
func TestOverRate(t *testing.T) {
	account := Account{Rate: 10, Burst: 5}
	for _, test := range []struct {
		name    string
		samples []sample
		want    float64
	}{
		{"none", nil, 0},
		{"burst", []sample{at(0), at(0), at(0), at(0), at(0)}, 0},
		{"far apart", []sample{at(0), at(60_000)}, 0},
		{"over the burst late", []sample{at(0), at(5000), at(5000), at(5000), at(5000), at(5000), at(5000), at(5000)}, 1.9},
		{"refused ones", []sample{at(0), at(0), at(0), at(0), at(0), refused(0), refused(0)}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := overRate(account, test.samples); got < test.want-0.01 || got > test.want+0.01 {
				t.Errorf("over rate by %f, want %f", got, test.want)
			}
		})
	}
}

// TestLongestUnserved guards against counting the time without requests, and
// against leaving out refused or waiting requests.
func TestLongestUnserved(t *testing.T) {
	slow := at(100)
	slow.end = 2 * time.Second
	for _, test := range []struct {
		name    string
		samples []sample
		want    time.Duration
	}{
		{"idle", []sample{at(0), at(9000)}, 10 * time.Millisecond},
		{"refused", []sample{at(0), refused(1000), at(3000)}, 2010 * time.Millisecond},
		{"waiting", []sample{at(0), slow}, 1900 * time.Millisecond},
		{"never served again", []sample{at(0), refused(500), refused(900)}, 410 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := longestUnserved(test.samples); got != test.want {
				t.Errorf("longest time is %s, want %s", got, test.want)
			}
		})
	}
}

// TestLongestGap guards against a failover gap that misses a service that never
// takes writes again.
func TestLongestGap(t *testing.T) {
	for _, test := range []struct {
		name    string
		samples []sample
		want    time.Duration
	}{
		{"over", []sample{at(0), at(900), at(7900), at(8000)}, 7 * time.Second},
		{"before the fault", []sample{at(0), at(800), at(1000), at(1100)}, 7890 * time.Millisecond},
		{"never again", []sample{at(0), at(900)}, 8090 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := longestGap(test.samples, 0, time.Second, 9*time.Second); got != test.want {
				t.Errorf("gap is %s, want %s", got, test.want)
			}
		})
	}
}

// TestArrivals guards against a load that changes with anything but its seed.
func TestArrivals(t *testing.T) {
	account := Account{Rate: 5, Burst: 2, Send: 5, Flood: 20, FloodFrom: time.Second, FloodUntil: 2 * time.Second}
	allowance := newAllowance(account)
	taken := 0
	for i := range 100 {
		if allowance.take(time.Duration(i) * 10 * time.Millisecond) {
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

// TestPlot guards against a report that cannot be drawn, also an empty one.
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
