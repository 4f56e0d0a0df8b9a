package rattanpool

import (
	"testing"
	"time"
)

// TestDo guards against a request that does not run, or a connection that is
// opened again for each request.
func TestDo(t *testing.T) {
	endpoint := newFakeEndpoint(3, time.Millisecond)
	inPool(t, endpoint, Limits{Connections: 4, Slots: 3}, func(t *testing.T, p *Pool) {
		for range 10 {
			if err := p.Do(t.Context(), Job{Account: "a"}, single); err != nil {
				t.Fatal(err)
			}
		}
		assertEqual(t, "connections opened", endpoint.opened, 2)
	})
	assertEqual(t, "connections left open", len(endpoint.open), 0)
}
