package rattanlisten

import (
	"bytes"
	"io"
	"net/http"
)

// LimitBody returns a handler that passes requests with a body of at most limit
// bytes to handler, and the others to refuse, without reading their bodies to the
// end. A body of unknown length is buffered in memory before it is passed on.
func LimitBody(handler http.Handler, limit int, refuse http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > int64(limit) {
			refuse(w, r)
			return
		}
		if r.ContentLength < 0 {
			body, err := io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
			if err != nil {
				http.Error(w, "request body cannot be read", http.StatusBadRequest)
				return
			}
			if len(body) > limit {
				refuse(w, r)
				return
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
		}
		handler.ServeHTTP(w, r)
	})
}
