package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/review/rattanrig"
)

const (
	// valueClients is the number of sessions, each with a session value of its own.
	valueClients = 12
	// greyShare is the share of its requests that the instance fails, for greyTime.
	greyShare = 0.4
	greyTime  = 6500 * time.Millisecond
	// valueName is the name of the session value.
	valueName = "mode"
)

// runValues lets one instance fail a part of its requests while its status is good. Rule
// PINNED: no statement runs where the session values differ from those that were
// acknowledged to its client.
func runValues(record *rattanrig.Record, isTroubled bool) (bool, error) {
	s, err := newSite(record, []rattanrig.ServiceOptions{serviceOptions("s1"), serviceOptions("s2"), serviceOptions("s3")}, []string{"a", "a", "b", "b", "c", "c"})
	if err != nil {
		return false, err
	}
	defer s.close()
	service := s.services[0]
	var clients sync.WaitGroup
	var mu sync.Mutex
	values := make(map[string]string)
	end := time.Now().Add(2*time.Second + greyTime)
	for i := range valueClients {
		clients.Go(func() {
			for time.Now().Before(end) {
				runWithValue(s, service.Name()+"-primary", i, end, func(id, value string) {
					mu.Lock()
					defer mu.Unlock()
					values[id] = value
				})
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	if isTroubled {
		record.Say("%s fails %.0f %% of its requests", service.Instances()[0].ID(), 100*greyShare)
		service.Instances()[0].SetGrey(greyShare)
	}
	clients.Wait()
	runs := service.Runs()
	wrong := 0
	for id, value := range values {
		run, isRun := runs[id]
		if isRun && run.Values[valueName] != value {
			wrong++
			record.Say("wrong: %s (%s) ran at %s with %s=%q, acknowledged to its client was %q",
				id, run.Text, run.Instance, valueName, run.Values[valueName], value)
		}
	}
	record.Say("%d statements, %d of them ran with another session value", len(values), wrong)
	return wrong > 0, nil
}

// runWithValue sets a session value and writes, until a statement has no answer. It reports
// each statement with the value that was acknowledged before it.
func runWithValue(s *site, database string, client int, end time.Time, sent func(id, value string)) {
	daemons := s.fleet.Daemons()
	session, err := rattanrig.Connect(daemons[client%len(daemons)], database, s.record)
	if err != nil {
		return
	}
	defer session.Close()
	value := fmt.Sprint("client", client)
	if !session.Query("SET "+valueName+" "+value, 2*time.Second).IsOK() {
		return
	}
	for time.Now().Before(end) {
		answer := session.Query("WRITE order "+rattanrig.NewID(), 2*time.Second)
		sent(answer.ID, value)
		if answer.Err != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}
