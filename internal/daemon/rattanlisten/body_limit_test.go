package rattanlisten

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestLimitBody guards against a body over the limit that reaches the handler, and
// against one within the limit that arrives truncated.
func TestLimitBody(t *testing.T) {
	handler := LimitBody(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}), 8, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusRequestEntityTooLarge) })
	for _, tc := range []struct {
		name, body string
		unknown    bool
		status     int
	}{
		{"at the limit", "12345678", false, http.StatusOK},
		{"over the limit", "123456789", false, http.StatusRequestEntityTooLarge},
		{"unknown length, at the limit", "12345678", true, http.StatusOK},
		{"unknown length, over the limit", "123456789", true, http.StatusRequestEntityTooLarge},
	} {
		t.Run(tc.name, func(t *testing.T) {
			request := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(tc.body))
			if tc.unknown {
				request.ContentLength = -1
			}
			response := httptest.NewRecorder()
			handler.ServeHTTP(response, request)
			if response.Code != tc.status || tc.status == http.StatusOK && response.Body.String() != tc.body {
				t.Errorf("response is %d %q", response.Code, response.Body)
			}
		})
	}
}
