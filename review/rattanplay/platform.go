package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/standin/rattankvserver"
	"github.com/rattanstream/rattanstream/platform/platformtest"
)

const (
	// heartbeat is the time between two reports of an instance.
	heartbeat = 1200 * time.Millisecond
	// silentBeats is after how many missed reports the entry of an instance is removed.
	silentBeats = 3
)

// A stage holds the stand-ins of one play: the platform's store, its interface for promotes
// and one database.
type stage struct {
	record   *recorder
	database *database
	store    *rattankvserver.Server
	storeAt  string
	dutyAt   string
	servers  []*http.Server
	ended    chan struct{}

	mu sync.Mutex
	// isDutyDown is true while each call for a promote is reset without an answer.
	isDutyDown bool
	// isStoreDown is true while each call to the store gets no answer.
	isStoreDown bool
	// onReset is called, if set, after a call for a promote was reset.
	onReset func(holder string)
}

// newStage starts the stand-ins. The promoted instances are those of the database.
func newStage(record *recorder, db *database) (*stage, error) {
	s := &stage{record: record, database: db, ended: make(chan struct{})}
	s.store = rattankvserver.New(func(_, _ string) bool { return false })
	s.store.SetPageSize(500)
	var err error
	if s.storeAt, err = s.listen(http.HandlerFunc(s.serveStore)); err != nil {
		return nil, err
	}
	if s.dutyAt, err = s.listen(http.HandlerFunc(s.servePromote)); err != nil {
		return nil, err
	}
	db.publish = func(i *instance) { s.publish(i) }
	return s, nil
}

func (s *stage) listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// begin publishes the configuration and the instances' entries, each after a delay, and keeps
// the entries alive.
func (s *stage) begin(config platformtest.Config, configDelay, entriesDelay time.Duration) {
	var begun sync.WaitGroup
	begun.Go(func() {
		time.Sleep(configDelay)
		if err := s.putConfig(config); err != nil {
			s.record.add("error", "operator", "error", err.Error())
		}
	})
	begun.Go(func() {
		time.Sleep(entriesDelay)
		for _, i := range s.database.instances {
			s.publish(i)
		}
		go s.beat()
	})
	if configDelay == 0 && entriesDelay == 0 {
		begun.Wait()
	}
}

// putConfig writes the configuration.
func (s *stage) putConfig(config platformtest.Config) error {
	s.record.add("config", "operator", "version", strconv.Itoa(config.Version), "rate", fmt.Sprint(config.Rate))
	return s.store.Put(platformtest.ConfigKey, config.Entry())
}

// beat lets the instances report, and removes the entries of those that are silent.
func (s *stage) beat() {
	silent := make(map[string]int)
	for {
		select {
		case <-s.ended:
			return
		case <-time.After(heartbeat):
		}
		for _, i := range s.database.instances {
			if s.database.isRunning(i.id) {
				silent[i.id] = 0
				s.publish(i)
				continue
			}
			if silent[i.id]++; silent[i.id] == silentBeats && !s.isStoreAway() {
				s.store.Delete("servers/" + i.id)
			}
		}
	}
}

// publish writes the entry of an instance that runs. While the store is down, nobody does.
func (s *stage) publish(i *instance) {
	if s.isStoreAway() || !s.database.isRunning(i.id) {
		return
	}
	if err := s.store.Put("servers/"+i.id, i.entry()); err != nil {
		s.record.add("error", i.id, "error", err.Error())
	}
}

func (s *stage) isStoreAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isStoreDown
}

// setStoreDown makes the store silent, or ends that. The instances report at once then.
func (s *stage) setStoreDown(isDown bool) {
	s.mu.Lock()
	s.isStoreDown = isDown
	s.mu.Unlock()
	s.record.add("store", "platform", "down", strconv.FormatBool(isDown))
	if !isDown {
		for _, i := range s.database.instances {
			s.publish(i)
		}
	}
}

func (s *stage) setDutyDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDutyDown = isDown
	s.record.add("duty", "platform", "down", strconv.FormatBool(isDown))
}

// serveStore passes a call on to the store. While it is down, a call gets no answer.
func (s *stage) serveStore(w http.ResponseWriter, r *http.Request) {
	if s.isStoreAway() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	s.store.ServeHTTP(w, r)
}

type promoteMessage struct {
	Service string `json:"service"`
	ID      string `json:"id"`
}

// duty returns the holder and the fencing token of a call. The names of the headers belong to
// the package platform, so they are told by what they hold: the holder is a daemon's name with
// more behind it, the token the one number beside the length.
func duty(header http.Header) (holder, token string) {
	for name := range header {
		value := header.Get(name)
		if strings.HasPrefix(value, daemonPrefix) {
			holder = value
		}
		if _, err := strconv.ParseInt(value, 10, 64); err == nil && name != "Content-Length" {
			token = value
		}
	}
	return holder, token
}

// servePromote takes a call for a promote. It does not check the fence, as the bounds of the
// sites say.
func (s *stage) servePromote(w http.ResponseWriter, r *http.Request) {
	holder, token := duty(r.Header)
	s.mu.Lock()
	isDown, onReset := s.isDutyDown, s.onReset
	s.mu.Unlock()
	if isDown {
		s.record.add("promote_reset", holder, "token", token)
		if onReset != nil {
			onReset(holder)
		}
		panic(http.ErrAbortHandler)
	}
	var message promoteMessage
	if err := json.NewDecoder(r.Body).Decode(&message); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	isRunning := message.Service == serviceName && s.database.isRunning(message.ID)
	s.record.add("promote", holder, "token", token, "instance", message.ID, "accepted", strconv.FormatBool(isRunning))
	if !isRunning {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.database.promote(message.ID)
	w.WriteHeader(http.StatusOK)
}

func (s *stage) close() {
	close(s.ended)
	for _, server := range s.servers {
		_ = server.Close()
	}
	for _, i := range s.database.instances {
		i.crash()
	}
}
