package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// memoryLimit is the memory of a machine of the two small installations.
	memoryLimit = 284 << 20
	// memoryCheck separates two looks at the memory of the processes.
	memoryCheck = 20 * time.Millisecond
	// restartDelay is how long after its end a process is started again.
	restartDelay = 300 * time.Millisecond
	// idleSessions is how many sessions stand open at a machine, valuesEach how many values
	// each of them sets and valueBytes how long one is, with its message within 1 MiB.
	idleSessions = 40
	valuesEach   = 8
	valueBytes   = 1<<20 - 100
	// smallValueBytes is the length of a value without the disruption.
	smallValueBytes = 100
	// maxEnds is how often processes may end by themselves on two machines, less one.
	maxEnds = 2
)

// playValues plays clients that set long session values, while the platform kills a process
// that exceeds the memory of its machine.
func playValues(s *stage) (bool, error) {
	if _, err := s.openSync(); err != nil {
		return false, err
	}
	length := smallValueBytes
	if s.hasTrouble {
		length = valueBytes
	}
	for round := range maxEnds + 1 {
		for _, d := range s.daemons[:2] {
			if err := s.fillSessions(d, length); err != nil {
				return false, err
			}
		}
		s.record("judge: after round %d, ends by memory: %d and %d", round+1, s.daemons[0].ends, s.daemons[1].ends)
	}
	return s.daemons[0].ends <= maxEnds || s.daemons[1].ends <= maxEnds, nil
}

// fillSessions opens the sessions of one daemon and sets their values, until all are set or
// the platform has killed the process. A killed process is started again.
func (s *stage) fillSessions(d *daemon, length int) error {
	done := make(chan struct{})
	peak := make(chan int, 1)
	go func() { peak <- s.watchMemory(d, done) }()
	value := strings.Repeat("x", length)
	answered, sessions := 0, []*client{}
	for len(sessions) < idleSessions {
		c, err := s.connect(d.front, primaryDatabase)
		if err != nil {
			break
		}
		sessions = append(sessions, c)
	}
	for n := range valuesEach {
		for _, c := range sessions {
			if a, err := c.set(fmt.Sprintf("v%d", n), value); err == nil && a.code == "" {
				answered++
			}
		}
	}
	close(done)
	most := <-peak
	s.record("%s: %d sessions, %d values of %d bytes acknowledged, memory at most %d MB", d.name, len(sessions), answered, length, most>>20)
	for _, c := range sessions {
		_ = c.conn.Close()
	}
	if most <= memoryLimit {
		return nil
	}
	_ = d.process.Wait()
	time.Sleep(restartDelay)
	if err := s.startDaemon(d); err != nil {
		return err
	}
	return s.awaitReady(readyTimeout)
}

// set sets a session value. Its text is not recorded.
func (c *client) set(name, value string) (answer, error) {
	_ = c.conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := fmt.Fprintf(c.conn, "QUERY %016x SET %s %s\r\n", lastID.Add(1), name, value); err != nil {
		return answer{}, err
	}
	fields, err := readFields(c.reader, 2)
	if err != nil {
		return answer{}, err
	}
	if _, err := readFields(c.reader, 2); err != nil {
		return answer{}, err
	}
	if fields[0] != "COMPLETE" {
		return answer{code: fields[0]}, nil
	}
	return answer{mac: fields[1]}, nil
}

// watchMemory kills the process of a daemon when it exceeds the memory of its machine. It
// returns the most memory that it saw.
func (s *stage) watchMemory(d *daemon, done <-chan struct{}) int {
	most := 0
	for {
		resident, err := residentBytes(d.process.Process.Pid)
		if err == nil {
			most = max(most, resident)
		}
		if most > memoryLimit {
			s.record("platform: %s has %d MB and is killed", d.name, most>>20)
			_ = d.process.Process.Kill()
			d.ends++
			return most
		}
		select {
		case <-done:
			return most
		case <-time.After(memoryCheck):
		}
	}
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kilobytes << 10, err
		}
	}
	return 0, errors.New("the status has no resident memory")
}
