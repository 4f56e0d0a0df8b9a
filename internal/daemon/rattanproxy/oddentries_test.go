package rattanproxy_test

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// oddValues are entries that other writers have left in lists that processes follow.
var oddValues = map[string]string{
	"nested too deeply": `{"address":` + strings.Repeat("[", 12_000),
	"deeply nested":     `{"address":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `}`,
	"a number too large": `{"service":"orders","address":"127.0.0.1:9","zone":"a","slots":1e400,"state":"ready","db_role":"primary",` +
		`"born":1e400,"seq":1,"number":1e400,"token":1e400,"incarnation":1e400}`,
	"an integer too large": `{"service":"orders","address":"127.0.0.1:9","zone":"a","slots":9223372036854775807,"state":"ready","db_role":"primary",` +
		`"born":9223372036854775807,"seq":9223372036854775807,"number":9223372036854775807,"token":9223372036854775807,"incarnation":"odd"}`,
	"a port out of range": `{"service":"orders","address":"127.0.0.1:70000","zone":"a","slots":3,"state":"ready","db_role":"primary",` +
		`"born":9,"seq":1,"primary":"odd","number":0,"vm":"odd","incarnation":"odd","token":0}`,
	"no JSON": "\xff\x00{",
}

// oddKeys are the places of such entries: each list that a daemon follows, and each single
// entry.
var oddKeys = []string{
	"servers/odd", "op/evacuate/", "op/other", "rattanstream/vms/odd", "rattanstream/roll/odd", "rattanstream/groups/odd",
	"rattanstream/groups/orders", "rattanstream/duty", "rattanstream/duty_token", "rattanstream/settled", "rattanstream/usage",
	"rattanstream/odd", "odd",
}

// TestOddEntries guards against one odd entry in a list of the store that ends the daemons
// which read it, or after which they do not follow the store any more: no configuration comes
// into force, and no primary is replaced.
func TestOddEntries(t *testing.T) {
	t.Parallel()
	for name, value := range oddValues {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 3)
			f.dial(f.daemons[0], "checkout", testKey).retryUntilOK("WRITE i1 before", waitBound)
			time.Sleep(settleTime)
			for _, key := range oddKeys {
				f.store.PutRaw(key, []byte(value))
			}
			f.start("vm-4", "b")
			f.configure(2, 1000, testKey, "key-of-later")
			for _, daemon := range f.daemons {
				f.dial(daemon, "checkout", "key-of-later").retryUntilOK("WRITE i1 odd", switchoverBound)
			}
			f.endpoints["e1"].Crash()
			f.store.Delete("servers/e1")
			f.assertWritesResume(f.dial(f.daemons[0], "checkout", testKey))
			for _, daemon := range f.daemons {
				f.dial(daemon, "checkout", testKey).retryUntilOK("WRITE i1 replaced", switchoverBound)
			}
			for _, daemon := range f.daemons {
				for _, event := range []string{"panic", "service_failed"} {
					if strings.Contains(daemon.log.String(), fmt.Sprintf("%q", event)) {
						t.Errorf("%s logs %s", daemon.name, event)
					}
				}
			}
		})
	}
}
