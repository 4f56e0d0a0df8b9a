package main

import (
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rattanstream/rattanstream/review/rattanrig"
)

const (
	// memoryLimit is memory_mb of the machines.
	memoryLimit = 284 << 20
	// rudePeers is the number of peers in a zone, and rudeRounds how often they come.
	rudePeers  = 132
	rudeRounds = 4
	// longMessage is the length of a long message in bytes, below the limit of 1 MiB, and
	// usualMessage that of a usual one.
	longMessage  = 1_000_000
	usualMessage = 1_200
	// fatalEnds is how often a process may end by itself less one, and fatalMachines on how
	// many machines.
	fatalEnds     = 3
	fatalMachines = 2
	// watchInterval separates two looks at the memory of a process.
	watchInterval = 20 * time.Millisecond
	// peerPatience is how long a peer rests before it sends the end of its message.
	peerPatience = 2 * time.Second
)

// runMemory lets peers send long messages slowly. Each process that takes more memory than
// its machine has is killed and started again, as by the platform. Rule Fault: no process
// ends three times on two machines.
func runMemory(record *rattanrig.Record, isTroubled bool) (bool, error) {
	s, err := newSite(record, []rattanrig.ServiceOptions{serviceOptions("s1"), serviceOptions("s2"), serviceOptions("s3")}, zones)
	if err != nil {
		return false, err
	}
	defer s.close()
	length := usualMessage
	if isTroubled {
		length = longMessage
	}
	attacked := s.fleet.Daemons()[:fatalMachines]
	machines := 0
	var mu sync.Mutex
	var watches sync.WaitGroup
	done := make(chan struct{})
	for _, d := range attacked {
		watches.Go(func() {
			ends := killOverLimit(d, record, done)
			mu.Lock()
			defer mu.Unlock()
			if ends >= fatalEnds {
				machines++
			}
		})
	}
	for range rudeRounds {
		var peers sync.WaitGroup
		for _, d := range attacked {
			for range rudePeers {
				peers.Go(func() { sendSlowly(d, record, length) })
			}
		}
		peers.Wait()
		time.Sleep(settleTime)
	}
	close(done)
	watches.Wait()
	return machines >= fatalMachines, nil
}

// sendSlowly sends one statement of a length in bytes, rests before its end, and waits for
// the answer.
func sendSlowly(d *rattanrig.Daemon, record *rattanrig.Record, length int) {
	session, err := rattanrig.Connect(d, "s1-primary", record)
	if err != nil {
		return
	}
	defer session.Close()
	if session.Send("QUERY "+rattanrig.NewID()+" WRITE order "+strings.Repeat("x", length)) != nil {
		return
	}
	time.Sleep(peerPatience)
	if session.Send("\r\n") == nil {
		session.Await(peerPatience)
	}
}

// killOverLimit kills a daemon whenever it has more memory than its machine, and starts it
// again. It returns how often.
func killOverLimit(d *rattanrig.Daemon, record *rattanrig.Record, done <-chan struct{}) int {
	ends, highest := 0, 0
	for {
		select {
		case <-done:
			record.Say("%s: memory at its peak %d MB, ended %d times", d.Name, highest>>20, ends)
			return ends
		case <-time.After(watchInterval):
		}
		memory := d.Memory()
		highest = max(highest, memory)
		if memory <= memoryLimit {
			continue
		}
		ends++
		record.Say("%s has %d MB and is killed", d.Name, memory>>20)
		_ = d.Signal(syscall.SIGKILL)
		d.Wait()
		time.Sleep(restartDelay)
		if err := d.Start(); err != nil {
			record.Say("%s does not start: %v", d.Name, err)
			return ends
		}
	}
}
