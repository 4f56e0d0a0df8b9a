package rattanendpoint

import (
	"bytes"
	"io"
	"net/http"
)

// Recorded returns the bytes of every HTTP request that arrived while Recording was
// set. Each request has two elements: the request line with the headers, and the
// body.
func (i *Instance) Recorded() [][]byte {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([][]byte(nil), i.recording...)
}

// recordRequests stores the bytes of requests while Recording is set.
func (i *Instance) recordRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if i.Controls().Recording {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				http.Error(w, "request body cannot be read", http.StatusBadRequest)
				return
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
			var head bytes.Buffer
			head.WriteString(r.Method + " " + r.URL.String() + "\r\n")
			_ = r.Header.Write(&head)
			i.mu.Lock()
			i.recording = append(i.recording, head.Bytes(), body)
			i.mu.Unlock()
		}
		next.ServeHTTP(w, r)
	})
}
