package rattanendpoint

import (
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
)

// TestControlPath guards against a request that changes controls it does not
// name, and against an invalid one that is partly applied.
func TestControlPath(t *testing.T) {
	before := Controls{Frozen: true, Delay: 5 * time.Millisecond}
	lagging := before
	lagging.ReplicationLag, lagging.CutFrom = 2*time.Second, []string{"b"}
	for _, tc := range []struct {
		name, method, body string
		code               int
		want               Controls
	}{
		{"read", http.MethodGet, "", http.StatusOK, before},
		{"change", http.MethodPost, `{"replication_lag_ms": 2000, "cut_from": ["b"]}`, http.StatusOK, lagging},
		{"unknown field", http.MethodPost, `{"frozen": false, "lag": 1}`, http.StatusBadRequest, before},
		{"wrong type", http.MethodPost, `{"frozen": false, "delay_ms": -1}`, http.StatusBadRequest, before},
		{"wrong method", http.MethodDelete, "", http.StatusMethodNotAllowed, before},
	} {
		t.Run(tc.name, func(t *testing.T) {
			instance := New(Config{Name: "a", InitialPrimary: "a"}, rattanclock.System())
			instance.SetControls(before)
			recorder := httptest.NewRecorder()
			instance.Handler().ServeHTTP(recorder, httptest.NewRequest(tc.method, "/control", strings.NewReader(tc.body)))
			if recorder.Code != tc.code {
				t.Errorf("code %d (%s), want %d", recorder.Code, recorder.Body, tc.code)
			}
			if got := instance.Controls(); !reflect.DeepEqual(got, tc.want) {
				t.Errorf("controls %+v, want %+v", got, tc.want)
			}
		})
	}
}
