package rattanrig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/standin/rattankvserver"
	"github.com/rattanstream/rattanstream/platform/platformtest"
)

const (
	// heartbeat is the time between two liveness reports of an instance.
	heartbeat = 1200 * time.Millisecond
	// storePage is the number of items in one response of the store.
	storePage = 500
)

// A Call is a call that the platform has carried out or refused.
type Call struct {
	Body   []byte
	IsDone bool
}

// A Platform is the stand-in of the users' platform with its store. Instances report to it.
type Platform struct {
	record   *Record
	store    *rattankvserver.Server
	server   *http.Server
	address  string
	services []*Service
	stop     chan struct{}

	mu      sync.Mutex
	version int
	// losesAnswer selects the calls that are done and not answered.
	losesAnswer func(Call) bool
}

// NewPlatform starts the platform for services.
func NewPlatform(services []*Service, record *Record) (*Platform, error) {
	p := &Platform{record: record, services: services, stop: make(chan struct{}), losesAnswer: func(Call) bool { return false }}
	p.store = rattankvserver.New(p.promote)
	p.store.SetPageSize(storePage)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.address = listener.Addr().String()
	p.server = &http.Server{Handler: p, ReadHeaderTimeout: time.Minute}
	go func() { _ = p.server.Serve(listener) }()
	if err := p.report(); err != nil {
		return nil, err
	}
	go p.heartbeats()
	return p, nil
}

// Address returns the address of the store and of the duties.
func (p *Platform) Address() string { return p.address }

// LoseAnswers selects the calls that are done and not answered.
func (p *Platform) LoseAnswers(selects func(Call) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.losesAnswer = selects
}

func (p *Platform) promote(service, id string) bool {
	p.record.Line("promote %s of %s", id, service)
	for _, s := range p.services {
		if s.Name() == service {
			return s.Promote(id)
		}
	}
	return false
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		p.store.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	call := Call{Body: body}
	answer := httptest.NewRecorder()
	p.store.ServeHTTP(answer, r)
	call.IsDone = answer.Code == http.StatusOK
	p.mu.Lock()
	isLost := p.losesAnswer(call)
	p.mu.Unlock()
	if isLost || HasCondition(body) {
		p.record.Line("%s %s %s -> %d, answer lost: %t", r.Method, r.URL.Path, describeTxn(body), answer.Code, isLost)
	}
	if isLost {
		// The call is done. Its connection returns nothing further.
		<-r.Context().Done()
		return
	}
	maps.Copy(w.Header(), answer.Header())
	w.WriteHeader(answer.Code)
	// An error means that the client has closed the connection and needs no answer.
	_, _ = w.Write(answer.Body.Bytes())
}

// describeTxn lists what a transaction writes, after "if" when it has a condition.
func describeTxn(body []byte) string {
	var t txn
	if json.Unmarshal(body, &t) != nil {
		return ""
	}
	var b strings.Builder
	if len(t.Expect) > 0 {
		b.WriteString("if ")
	}
	for _, w := range t.Writes {
		fmt.Fprintf(&b, "%s=%s ", w.Key, w.Value)
	}
	return strings.TrimSpace(b.String())
}

type txn struct {
	Expect []struct {
		Key string `json:"key"`
	} `json:"expect"`
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
	} `json:"writes"`
}

// HasCondition reports whether a call is a write under a condition.
func HasCondition(body []byte) bool {
	var t txn
	return json.Unmarshal(body, &t) == nil && len(t.Expect) > 0
}

// WrittenValues returns the values that a call writes.
func WrittenValues(body []byte) []string {
	var t txn
	if json.Unmarshal(body, &t) != nil {
		return nil
	}
	var values []string
	for _, w := range t.Writes {
		values = append(values, string(w.Value))
	}
	return values
}

// report lets all live instances report.
func (p *Platform) report() error {
	for _, s := range p.services {
		for _, instance := range s.Instances() {
			if instance.IsDark() {
				continue
			}
			if err := p.store.Put("servers/"+instance.ID(), instance.Entry()); err != nil {
				return err
			}
		}
	}
	return nil
}

// heartbeats lets live instances report, and removes the entries of others after three
// intervals of silence.
func (p *Platform) heartbeats() {
	silent := make(map[string]int)
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(heartbeat):
		}
		if err := p.report(); err != nil {
			p.record.Line("report failed: %v", err)
		}
		for _, s := range p.services {
			for _, instance := range s.Instances() {
				if !instance.IsDark() {
					continue
				}
				if silent[instance.ID()]++; silent[instance.ID()] == 3 {
					p.store.Delete("servers/" + instance.ID())
					p.record.Line("entry of %s is removed", instance.ID())
				}
			}
		}
	}
}

// Report lets all live instances report at once, as after a change of their state.
func (p *Platform) Report() error { return p.report() }

// Close stops the platform.
func (p *Platform) Close() {
	close(p.stop)
	_ = p.server.Close()
}

// Key is the key of all clients, and Tenant the tenant that holds it.
const (
	Key    = "review-key"
	Tenant = "review-tenant"
)

// routeKinds are the routes of each service, with the figures of a small deployment.
var routeKinds = []struct {
	kind                          string
	timeout, objective, staleness time.Duration
	priority                      int
}{
	{"primary", time.Second, 200 * time.Millisecond, 0, 1},
	{"bounded_staleness", 2 * time.Second, 600 * time.Millisecond, 1500 * time.Millisecond, 2},
	{"read_your_writes", time.Second, 400 * time.Millisecond, 2500 * time.Millisecond, 2},
}

// Configure writes the next version of the configuration: for each service, a database of
// each kind of route, named after the service and the kind.
func (p *Platform) Configure() error {
	p.mu.Lock()
	p.version++
	config := platformtest.Config{Version: p.version, Account: Tenant, Keys: []string{Key}, Rate: 2000}
	p.mu.Unlock()
	entry := config.Entry()
	var routes, services []any
	for _, s := range p.services {
		service := maps.Clone(entry["services"].([]any)[0].(map[string]any))
		service["name"], service["max_conns"], service["sync_replicas"] = s.Name(), s.options.Connections, s.options.SyncReplicas
		services = append(services, service)
		for _, r := range routeKinds {
			config.Timeout, config.Objective, config.Staleness = r.timeout, r.objective, r.staleness
			routes = append(routes, routeOf(config, r.kind, s.Name(), r.priority))
		}
	}
	entry["routes"], entry["services"] = routes, services
	return p.store.Put(platformtest.ConfigKey, entry)
}

// routeOf returns the route of a kind in a configuration as one of another service.
func routeOf(config platformtest.Config, kind, service string, priority int) map[string]any {
	for _, r := range config.Entry()["routes"].([]any) {
		route := maps.Clone(r.(map[string]any))
		if route["route_type"] != kind {
			continue
		}
		// The route and its database have the same name.
		for key, value := range route {
			if value == r.(map[string]any)["name"] {
				route[key] = service + "-" + kind
			}
		}
		route["service"], route["priority"] = service, priority
		return route
	}
	return nil
}

// Drill copies the store now. It returns what takes the store away and what lets it come
// back from that copy, with what the operator and the instances write again.
func (p *Platform) Drill() (away func(), back func() error) {
	content := p.store.Copy()
	return func() { p.store.SetDown(true) }, func() error {
		p.store.Restore(content)
		p.store.SetDown(false)
		if err := p.report(); err != nil {
			return err
		}
		return p.Configure()
	}
}
