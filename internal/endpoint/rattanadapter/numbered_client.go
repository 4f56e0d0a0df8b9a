package rattanadapter

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"

	"connectrpc.com/connect"
)

// CallHeader is the header with the number of a call. The endpoint repeats it in the
// header of the answer, also of an error.
const CallHeader = "Rattanstream-Call"

// A RepeatedAnswerError says that the answer to another call arrived on the network
// connection of a call. The endpoint may have run the call.
type RepeatedAnswerError struct {
	// Want is the number of the call, Got that of the answer.
	Want, Got string
}

// Error implements the error interface.
func (e *RepeatedAnswerError) Error() string {
	return fmt.Sprintf("answer to call %q arrived for call %q", e.Got, e.Want)
}

// A numberedClient numbers the calls and takes only answers that repeat the number of
// their call. An endpoint may answer twice, and HTTP/1.1 takes the second copy for the
// answer to the next request.
type numberedClient struct {
	client connect.HTTPClient
	// calls is the number of the last call. It starts at a random number, as
	// Client.calls does.
	calls atomic.Uint64
	// isNumbered is true once the endpoint has repeated a number. Before, an answer without one
	// is taken, as endpoints of the first version of the protocol repeat none.
	isNumbered atomic.Bool
}

func newNumberedClient(client connect.HTTPClient) *numberedClient {
	n := &numberedClient{client: client}
	n.calls.Store(rand.Uint64())
	return n
}

// Do implements connect.HTTPClient. The error for an answer to another call is a
// *RepeatedAnswerError; its network connection is closed, since later answers on it
// may belong to other calls as well.
func (n *numberedClient) Do(request *http.Request) (*http.Response, error) {
	number := strconv.FormatUint(n.calls.Add(1), 10)
	request.Header.Set(CallHeader, number)
	var conn atomic.Pointer[httptrace.GotConnInfo]
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn.Store(&info) },
	})
	response, err := n.client.Do(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	got := response.Header.Get(CallHeader)
	if got == number {
		n.isNumbered.Store(true)
		return response, nil
	}
	if got == "" && !n.isNumbered.Load() {
		return response, nil
	}
	if info := conn.Load(); info != nil {
		_ = info.Conn.Close() // the answers on it are of no use
	}
	_ = response.Body.Close()
	return nil, &RepeatedAnswerError{Want: number, Got: got}
}
