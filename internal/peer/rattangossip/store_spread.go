package rattangossip

import (
	"slices"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
)

// takeRecent returns recent changes for a regular message, up to limit bytes, and
// counts them as sent once more. Changes that have been sent often enough, and
// those older than recentTime, are dropped.
func (s *Store) takeRecent(limit int) []Record {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.recent) == 0 {
		return nil
	}
	now := s.clock.Now()
	var taken []Record
	var again, unsent []key
	for i, k := range s.recent {
		e, ok := s.entries[k]
		if !ok || e.sends <= 0 || rattanclock.Elapsed(e.changed, now) > recentTime {
			continue
		}
		size := e.record.wireBytes()
		if size > smallRecordBytes {
			// Of large records only the version is announced; see Exchange.Push.
			continue
		}
		if size > limit {
			unsent = append(unsent, s.recent[i:]...)
			break
		}
		limit -= size
		e.sends--
		taken = append(taken, e.record)
		again = append(again, k)
	}
	s.recent = append(unsent, again...)
	return taken
}

// takePushes returns the urgent changes that have not been pushed yet.
func (s *Store) takePushes() []Record {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	pushes := s.pushes
	s.pushes = nil
	slices.SortFunc(pushes, compareKeys)
	pushes = slices.Compact(pushes)
	records := make([]Record, 0, len(pushes))
	for _, k := range pushes {
		if e, ok := s.entries[k]; ok {
			records = append(records, e.record)
		}
	}
	return records
}
