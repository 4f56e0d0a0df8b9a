package rattanpropagation

import (
	"testing"
	"time"
)

// TestBound guards against timers that are changed one by one until a version takes longer to
// the last daemon than users allow.
func TestBound(t *testing.T) {
	// smallestConfigApply is the smallest config_apply_ms of the users' sites, followedConfigApply
	// that of the sites whose daemons follow watchers.
	const smallestConfigApply, followedConfigApply = 3 * time.Second, 5 * time.Second
	const round = (SeekPeers-1)*SeekStagger + SeekTimeout
	assertWithin(t, "a change that one step has lost", MaxAge+SeekInterval+round, Limit)
	assertWithin(t, "the limit", Limit, smallestConfigApply-500*time.Millisecond)
	assertWithin(t, "a hung watch and a read of the store", WatchTimeout+SeekTimeout, Limit)
	assertWithin(t, "two watchers that hang", 2*FollowTimeout+SeekTimeout, Limit)
	assertWithin(t, "a source that serves old changes", MaxSourceAge+SeekInterval+round, followedConfigApply)
	assertWithin(t, "the copy behind a sound watcher", WatchWait+FollowWait, MaxAge-1)
}

func assertWithin(t *testing.T, what string, got, limit time.Duration) {
	t.Helper()
	if got > limit {
		t.Errorf("%s takes %s, limit %s", what, got, limit)
	}
}

// TestConfirmation guards against a copy that counts as newer than any source has confirmed.
func TestConfirmation(t *testing.T) {
	start := time.Unix(1000, 0)
	var c Confirmation
	if got := c.Age(start); got != UnknownAge {
		t.Errorf("the age before any confirmation is %s", got)
	}
	c.Confirm(start)
	c.Confirm(start.Add(-time.Second))
	assertAge(t, &c, start.Add(300*time.Millisecond), 300*time.Millisecond)
	c.Confirm(start.Add(time.Second))
	assertAge(t, &c, start.Add(time.Second), 0)
}

func assertAge(t *testing.T, c *Confirmation, now time.Time, want time.Duration) {
	t.Helper()
	if got := c.Age(now); got != want {
		t.Errorf("the age is %s, want %s", got, want)
	}
}

// TestEncodedAge guards against an age that is shorter after it was sent to another daemon, or
// a claim of one that knows nothing.
func TestEncodedAge(t *testing.T) {
	for _, age := range []time.Duration{0, time.Microsecond, 1500 * time.Microsecond, MaxSourceAge} {
		got, ok := DecodeAge(EncodeAge(age))
		if !ok || got < age || got > age+2*time.Millisecond {
			t.Errorf("%s became %s, %t", age, got, ok)
		}
	}
	if got, ok := DecodeAge(EncodeAge(UnknownAge)); ok {
		t.Errorf("an unknown age became %s", got)
	}
}
