package rattanisolation

import (
	"testing"
	"time"
)

// TestContactsAreLost guards against a daemon in a failure domain that is cut off which
// notices that only by the store's silence, and against one that takes the end of
// another daemon for a cut.
func TestContactsAreLost(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, test := range []struct {
		name  string
		calls func(c *Contacts)
		now   time.Time
		want  bool
	}{
		{"nothing was sent", func(*Contacts) {}, at(0), false},
		{"one VM has ended", func(c *Contacts) {
			c.Late("vm-1", at(10))
			c.Late("vm-1", at(20))
		}, at(170), false},
		{"two VMs have ended, another one answers", func(c *Contacts) {
			c.Late("vm-1", at(10))
			c.Late("vm-2", at(20))
			c.Answered("vm-3", at(30))
		}, at(170), false},
		{"cut off", func(c *Contacts) {
			c.Answered("vm-3", at(0))
			c.Late("vm-1", at(10))
			c.Late("vm-2", at(20))
		}, at(170), true},
		{"an answer to an earlier request arrives", func(c *Contacts) {
			c.Late("vm-1", at(10))
			c.Late("vm-2", at(20))
			c.Answered("vm-3", at(5))
		}, at(170), true},
		{"long ago", func(c *Contacts) {
			c.Late("vm-1", at(10))
			c.Late("vm-2", at(20))
		}, at(1100), false},
		{"a late VM answers after all", func(c *Contacts) {
			c.Late("vm-1", at(10))
			c.Late("vm-2", at(20))
			c.Answered("vm-2", at(20))
		}, at(170), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var contacts Contacts
			test.calls(&contacts)
			if got := contacts.AreLost(test.now); got != test.want {
				t.Errorf("lost %t, want %t", got, test.want)
			}
		})
	}
}
