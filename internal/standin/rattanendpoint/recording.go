package rattanendpoint

import (
	"bytes"
	"io"
	"net/http"
)

// Recorded returns the bytes of every request since Recording was set: one
// string for the request line and headers and one for the body of each.
func (i *Instance) Recorded() [][]byte {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([][]byte(nil), i.recording...)
}

// record keeps the bytes of requests while Recording is set.
func (i *Instance) record(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if i.Controls().Recording {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				http.Error(w, "body cannot be read", http.StatusBadRequest)
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
