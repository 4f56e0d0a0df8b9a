package main

import (
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/review/rattanrig"
)

// readyLimit is how long the daemons may take to become ready, and settleTime how long
// they then run before the clients start.
const (
	readyLimit = 15 * time.Second
	settleTime = 4 * time.Second
)

// A site is a small deployment with its daemons.
type site struct {
	record   *rattanrig.Record
	services []*rattanrig.Service
	platform *rattanrig.Platform
	fleet    *rattanrig.Fleet
}

// newSite starts services, the platform and a daemon in each of the zones, and waits until they are ready.
func newSite(record *rattanrig.Record, options []rattanrig.ServiceOptions, daemonZones []string) (*site, error) {
	s := &site{record: record}
	for i, o := range options {
		// The primaries are in different zones.
		rotated := append(append([]string(nil), zones[i%len(zones):]...), zones[:i%len(zones)]...)
		service, err := rattanrig.NewService(o, rotated, record)
		if err != nil {
			return nil, err
		}
		s.services = append(s.services, service)
	}
	var err error
	if s.platform, err = rattanrig.NewPlatform(s.services, record); err != nil {
		return nil, err
	}
	if err := s.platform.Configure(); err != nil {
		return nil, err
	}
	if s.fleet, err = rattanrig.NewFleet(s.platform, daemonZones, record); err != nil {
		return nil, err
	}
	if !s.fleet.AwaitReady(readyLimit) {
		s.close()
		return nil, errors.New("the daemons are not ready in time")
	}
	time.Sleep(settleTime)
	return s, nil
}

func (s *site) close() {
	s.fleet.Close()
	s.platform.Close()
	for _, service := range s.services {
		service.Close()
	}
}

// serviceOptions returns the options of a service of a small deployment.
func serviceOptions(name string) rattanrig.ServiceOptions {
	return rattanrig.ServiceOptions{
		Name: name, Slots: 3, Connections: 37, Lag: 20 * time.Millisecond, PromoteTime: 300 * time.Millisecond, Work: 24 * time.Millisecond,
	}
}
