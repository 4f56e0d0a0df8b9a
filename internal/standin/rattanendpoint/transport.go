package rattanendpoint

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
)

// memoryTransport carries HTTP requests to an instance in the same process.
type memoryTransport struct {
	instance *Instance
	sender   string
}

// Transport returns an http.RoundTripper that passes requests to the instance
// without a network. It sets PeerHeader to sender unless that is empty.
func (i *Instance) Transport(sender string) http.RoundTripper {
	return memoryTransport{instance: i, sender: sender}
}

// RoundTrip implements http.RoundTripper. It returns as soon as the request's
// context ends; the handler then ends by the same context.
func (t memoryTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	var body []byte
	if request.Body != nil {
		var err error
		body, err = io.ReadAll(request.Body)
		_ = request.Body.Close()
		if err != nil {
			return nil, err
		}
	}
	served := request.Clone(request.Context())
	served.Body = io.NopCloser(bytes.NewReader(body))
	served.RequestURI = request.URL.RequestURI()
	if t.sender != "" {
		served.Header.Set(PeerHeader, t.sender)
	}
	responses := make(chan *http.Response, 1)
	go func() {
		recorder := httptest.NewRecorder()
		t.instance.handler.ServeHTTP(recorder, served)
		responses <- recorder.Result()
	}()
	select {
	case response := <-responses:
		return response, nil
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
}
