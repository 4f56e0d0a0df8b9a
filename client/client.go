// Package client is the Go client of rattanstream for callers. It stores the session
// token, retries what is safe to retry, and finds the outcome of a write whose
// answer was lost.
package client

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

const (
	defaultMaxAttempts = 5
	defaultRetryShare  = 10
	// A write reserves the time left to its deadline divided by outcomeTimeDivisor,
	// at most maxOutcomeTime, for finding its outcome.
	outcomeTimeDivisor = 4
	maxOutcomeTime     = 2 * time.Second
)

// ErrBaseURL is the error of New when a base URL is invalid or none is given.
var ErrBaseURL = errors.New("base URL must be http:// or https:// with a host")

// A Client is one session with a rattanstream system: its reads see its own writes,
// whichever daemon serves them. It is safe for concurrent use. Each request in
// flight may add a token of some hundred bytes to the headers of later ones, so use
// NewSession for calls that are concurrent and independent.
type Client struct {
	shared  *shared
	session session
}

// shared is what all sessions of a client have in common.
type shared struct {
	key         string
	http        *http.Client
	maxAttempts int
	budget      *budget
	callers     []rattanv1connect.CallerServiceClient
	// next selects the daemon in use: modulo len(callers) it is an index of callers.
	next atomic.Uint64
}

// An Option is an option of New.
type Option func(*Client)

// WithHTTPClient sets the HTTP client. The default is http.DefaultClient. It must
// not retry requests by itself.
func WithHTTPClient(httpClient *http.Client) Option {
	return func(c *Client) { c.shared.http = httpClient }
}

// WithMaxAttempts sets the largest number of attempts of a call, 1 to disable
// retries. The default is 5.
func WithMaxAttempts(attempts int) Option {
	return func(c *Client) { c.shared.maxAttempts = max(attempts, 1) }
}

// WithRetryBudget sets the number of retries that are allowed for each 100 calls,
// in addition to one retry per second. The default is 10.
func WithRetryBudget(percent int) Option {
	return func(c *Client) { c.shared.budget.percent = max(percent, 0) }
}

// WithSession continues the session whose token Session returned.
func WithSession(token string) Option {
	return func(c *Client) { c.session.restore(token) }
}

// New returns a Client for the daemons at baseURLs, such as
// "https://db.example.com", with the client account's key. The key may be empty
// when only open routes are used. Calls go to one of the daemons, and to the next
// one when that does not serve. The error wraps ErrBaseURL.
func New(baseURLs []string, key string, options ...Option) (*Client, error) {
	if len(baseURLs) == 0 {
		return nil, fmt.Errorf("%w: none given", ErrBaseURL)
	}
	c := &Client{shared: &shared{
		key:         key,
		http:        http.DefaultClient,
		maxAttempts: defaultMaxAttempts,
		budget:      newBudget(defaultRetryShare, time.Now()),
	}}
	for _, option := range options {
		option(c)
	}
	for _, baseURL := range baseURLs {
		parsed, err := url.Parse(baseURL)
		if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
			return nil, fmt.Errorf("%w: %q", ErrBaseURL, baseURL)
		}
		c.shared.callers = append(c.shared.callers, rattanv1connect.NewCallerServiceClient(c.shared.http, strings.TrimSuffix(baseURL, "/")))
	}
	c.shared.next.Store(rand.Uint64N(uint64(len(baseURLs))))
	return c, nil
}

// NewSession returns a Client with a new session that shares the connections and
// the retry budget of c.
func (c *Client) NewSession() *Client {
	return &Client{shared: c.shared}
}

// Session returns the session's token, for WithSession of another Client. The token
// is opaque, and empty before the first answer.
func (c *Client) Session() string {
	return c.session.text()
}
