package rattanlisten

import (
	"bytes"
	"io"
	"net/http"
)

// LimitBody passes requests on whose body has at most limit bytes, and answers
// the others by refuse without reading them to their end. A body of unknown
// length is held in memory until it is known to be short enough.
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
