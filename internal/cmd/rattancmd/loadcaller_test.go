package rattancmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// reconnectPause is the time between two attempts to connect to a daemon that
	// does not listen.
	reconnectPause = 5 * time.Millisecond
	// maxShortPause is the longest time between two requests of a busy caller, and
	// maxLongPause that of one whose connection is idle most of the time.
	maxShortPause = 10 * time.Millisecond
	maxLongPause  = 1500 * time.Millisecond
	// longStatements is the number of statements of a long transaction, and
	// longPause the time after each.
	longStatements = 12
	longPause      = 250 * time.Millisecond
	// idleTime is how long a stopping daemon keeps a connection without requests.
	idleTime = 500 * time.Millisecond
)

// A loadCaller is one caller of a load. It uses one daemon at a time.
type loadCaller struct {
	load     *callerLoad
	name     string
	url      string
	client   *http.Client
	maxPause time.Duration
}

func http1Client() *http.Client {
	return &http.Client{Transport: &http.Transport{}}
}

func http2Client() *http.Client {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{Protocols: protocols}}
}

func newConnectionClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

func (c *loadCaller) newID() string { return fmt.Sprintf("%s-%d", c.name, c.load.lastID.Add(1)) }

func insertStatement(id string) string {
	return fmt.Sprintf(`{"text":"INSERT INTO items (id, amount) VALUES ('%s', 1)"}`, id)
}

func (c *loadCaller) write() {
	id := c.newID()
	c.send(loadRequest{url: c.url, method: "Execute", id: id, rows: 1, body: fmt.Sprintf(`{"service":"orders","request_id":%q,"statement":%s}`, id, insertStatement(id))})
}

func (c *loadCaller) read() {
	c.send(loadRequest{url: c.url, method: "Execute", id: c.newID(), body: `{"service":"orders","statement":{"text":"SELECT amount FROM items WHERE id = 'none'"},"read_only":true}`})
}

func (c *loadCaller) batch() {
	id := c.newID()
	body := fmt.Sprintf(`{"service":"orders","request_id":%q,"statements":[%s,%s]}`, id, insertStatement(id), insertStatement(id+"-second"))
	c.send(loadRequest{url: c.url, method: "ExecuteBatch", id: id, rows: 2, body: body})
}

func (c *loadCaller) transaction() { c.transactionAt(c.url) }

// transactionAt begins a transaction at the caller's daemon and continues it at another.
func (c *loadCaller) transactionAt(url string) {
	id := c.newID()
	transaction, ok := c.begin(id)
	if !ok {
		return
	}
	if !c.insert(url, transaction, id, 1) {
		c.send(loadRequest{url: c.url, method: "Rollback", id: id, body: fmt.Sprintf(`{"transaction":%q}`, transaction)})
		return
	}
	c.commit(url, transaction, id, 1)
}

// longTransaction runs a transaction that the end of stop_timeout may roll back.
func (c *loadCaller) longTransaction() {
	id := c.newID()
	transaction, ok := c.begin(id)
	if !ok {
		return
	}
	for sequence := range longStatements {
		if !c.insert(c.url, transaction, fmt.Sprintf("%s-%d", id, sequence), sequence+1) {
			return
		}
		time.Sleep(longPause)
	}
	c.commit(c.url, transaction, id, longStatements)
}

func (c *loadCaller) begin(id string) (string, bool) {
	answer, ok := c.send(loadRequest{url: c.url, method: "Begin", id: id, body: `{"service":"orders"}`})
	var begun struct {
		Transaction string `json:"transaction"`
	}
	if !ok || json.Unmarshal([]byte(answer), &begun) != nil {
		return "", false
	}
	return begun.Transaction, true
}

func (c *loadCaller) insert(url, transaction, id string, sequence int) bool {
	body := fmt.Sprintf(`{"transaction":%q,"sequence":%d,"statement":%s}`, transaction, sequence, insertStatement(id))
	_, ok := c.send(loadRequest{url: url, method: "ExecuteInTransaction", id: id, body: body})
	return ok
}

func (c *loadCaller) commit(url, transaction, id string, rows int) {
	c.send(loadRequest{url: url, method: "Commit", id: id, rows: rows, body: fmt.Sprintf(`{"transaction":%q,"request_id":%q}`, transaction, id)})
}

// A loadRequest is one request. It stores rows rows if it runs.
type loadRequest struct {
	url, method, id, body string
	rows                  int
}

// send sends one request, records its result and reports whether it succeeded.
func (c *loadCaller) send(r loadRequest) (string, bool) {
	var connection atomic.Pointer[httptrace.GotConnInfo]
	var written atomic.Bool
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		GotConn:      func(info httptrace.GotConnInfo) { connection.Store(&info) },
		WroteRequest: func(info httptrace.WroteRequestInfo) { written.Store(info.Err == nil) },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url+"/rattanstream.v1.CallerService/"+r.method, strings.NewReader(r.body))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+c.load.key)
	status, text, err := c.do(request)
	switch {
	case err == nil && status == http.StatusOK:
		c.load.record(string(resultAnswered), r.rows, 0)
		return text, true
	case err == nil:
		c.load.recordRefusal(describeReason(text), r.rows)
	case connection.Load() == nil || isDialError(err):
		c.load.record(string(resultNoConnection), 0, 0)
		time.Sleep(reconnectPause)
	case !written.Load():
		c.load.record(string(resultUnsent), 0, 0)
	default:
		result := classifyCut(*connection.Load(), err)
		c.load.record(string(result), 0, r.rows)
		c.load.recordCut(cutRequest{result: result, caller: c.name + " " + r.method, id: r.id, at: time.Now(), err: err})
	}
	return "", false
}

// isDialError reports whether the last attempt found no daemon. The client makes a
// second attempt only when the daemon cannot have handled the first one.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

func (c *loadCaller) do(request *http.Request) (int, string, error) {
	response, err := c.client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// classifyCut returns the result of a request that was written on conn and failed with
// err.
func classifyCut(conn httptrace.GotConnInfo, err error) loadResult {
	switch {
	case !conn.Reused && errors.Is(err, syscall.ECONNRESET):
		return resultReset
	case conn.Reused && conn.WasIdle && conn.IdleTime > idleTime:
		return resultIdle
	default:
		return resultCut
	}
}
