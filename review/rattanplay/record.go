package main

import (
	"encoding/json"
	"os"
	"sync"
	"time"
)

// A recorder writes one line of JSON for each event of a play. It is safe for concurrent use.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	encoder *json.Encoder
	begun   time.Time
	events  []event
}

// An event is what a client, an instance or the platform has seen.
type event struct {
	// AtMS is the time since the beginning of the play.
	AtMS float64 `json:"at_ms"`
	// What names the kind of the event, Who the process or connection that has seen it.
	What string            `json:"what"`
	Who  string            `json:"who"`
	Data map[string]string `json:"data,omitempty"`
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, encoder: json.NewEncoder(file), begun: time.Now()}, nil
}

// add records an event with its data in pairs of names and values.
func (r *recorder) add(what, who string, data ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := event{AtMS: float64(time.Since(r.begun).Microseconds()) / 1000, What: what, Who: who, Data: make(map[string]string)}
	for i := 0; i+1 < len(data); i += 2 {
		e.Data[data[i]] = data[i+1]
	}
	r.events = append(r.events, e)
	// The file is for readers of the play; the checks use events.
	_ = r.encoder.Encode(e)
}

// all returns the events of a kind so far.
func (r *recorder) all(what string) []event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []event
	for _, e := range r.events {
		if e.What == what {
			found = append(found, e)
		}
	}
	return found
}

// has reports whether an event of a kind has been recorded.
func (r *recorder) has(what string) bool { return len(r.all(what)) > 0 }

func (r *recorder) close() { _ = r.file.Close() }
