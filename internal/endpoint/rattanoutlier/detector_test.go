package rattanoutlier

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func at(after time.Duration) time.Time { return time.UnixMilli(1_000_000).Add(after) }

func peers(change func(primary, r1, r2 *Peer)) []Peer {
	p := []Peer{{ID: "primary", IsPrimary: true, Service: 11 * ms}, {ID: "r1", Service: 45 * ms}, {ID: "r2", Service: 40 * ms}}
	change(&p[0], &p[1], &p[2])
	return p
}

// TestOutliers guards against endpoints that are slow or fail while their health answers
// are good, and against endpoints that are taken out for other work or a shared fault.
func TestOutliers(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(primary, r1, r2 *Peer)
		want   string
	}{
		{"a primary with shorter reads", func(_, _, _ *Peer) {}, ""},
		{"slow replica", func(_, r1, _ *Peer) { r1.Service = 200 * ms }, "r1"},
		{"slow primary", func(p, _, _ *Peer) { p.Service = 200 * ms }, "primary"},
		{"all slow", func(p, r1, r2 *Peer) { p.Service, r1.Service, r2.Service = 110*ms, 450*ms, 400*ms }, ""},
		{"fast failures", func(_, r1, _ *Peer) { r1.Service, r1.FailureShare = 2*ms, 0.3 }, "r1"},
		{"all fail", func(p, r1, r2 *Peer) { p.FailureShare, r1.FailureShare, r2.FailureShare = 0.3, 0.35, 0.32 }, ""},
		{"a single failure", func(_, r1, _ *Peer) { r1.FailureShare = 0.05 }, ""},
		{"a replica of which nothing is known", func(_, r1, _ *Peer) { r1.Service = 0 }, ""},
	} {
		t.Run(test.name, func(t *testing.T) { assertOut(t, New(), peers(test.change), at(0), test.want) })
	}
}

// assertOut judges the peers and checks which one is an outlier, empty for none.
func assertOut(t *testing.T, d *Detector, list []Peer, now time.Time, want string) {
	t.Helper()
	d.Judge(list, now)
	for _, peer := range list {
		if isOut := d.Weight(peer.ID) < 1; isOut != (peer.ID == want) {
			t.Errorf("%s has weight %.2f, want the outlier %q", peer.ID, d.Weight(peer.ID), want)
		}
	}
}

// TestBackBySteps guards against an endpoint that gets all its reads at once after it was
// slow, and against one that never comes back.
func TestBackBySteps(t *testing.T) {
	d := New()
	slow := peers(func(_, r1, _ *Peer) { r1.Service = 200 * ms })
	good := peers(func(_, _, _ *Peer) {})
	assertOut(t, d, slow, at(0), "r1")
	last := d.Weight("r1")
	for after := stepInterval; after <= 6*stepInterval; after += stepInterval {
		d.Judge(good, at(after))
		if weight := d.Weight("r1"); weight != min(2*last, 1) {
			t.Errorf("weight %.2f after %s, want twice %.2f", weight, after, last)
		}
		last = d.Weight("r1")
	}
	assertOut(t, d, good, at(6*stepInterval), "")
	t.Run("nothing known of it: as it was", func(t *testing.T) {
		d := New()
		assertOut(t, d, slow, at(0), "r1")
		d.Judge(peers(func(_, r1, _ *Peer) { r1.Service = 0 }), at(10*stepInterval))
		if weight := d.Weight("r1"); weight != probeWeight {
			t.Errorf("weight %.2f without an answer, want %.2f", weight, probeWeight)
		}
	})
	t.Run("a new process is judged by its own answers", func(t *testing.T) {
		assertOut(t, d, slow, at(7*stepInterval), "r1")
		assertOut(t, d, peers(func(_, r1, _ *Peer) { r1.StartedUnixMS = 9 }), at(7*stepInterval), "")
	})
}

// TestShareOfGroup guards against a group whose endpoints are taken out one after the
// other until the rest is overloaded.
func TestShareOfGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, now := New(), at(0)
		count := rapid.IntRange(1, 7).Draw(t, "endpoints")
		for range rapid.IntRange(1, 30).Draw(t, "rounds") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "pause")) * ms)
			var list []Peer
			for i := range count {
				list = append(list, Peer{
					ID: string(rune('a' + i)), IsPrimary: i == 0,
					Service:      time.Duration(rapid.IntRange(0, 500).Draw(t, "service")) * ms,
					FailureShare: rapid.Float64Range(0, 1).Draw(t, "failures"),
				})
			}
			d.Judge(list, now)
			if out := len(d.outliers); 2*out > count {
				t.Fatalf("%d of %d endpoints are out", out, count)
			}
		}
	})
}
