package rattanendpoints

import (
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
)

// work counts what runs on an endpoint and what was started in each second.
type work struct {
	clock rattanclock.Clock

	mutex    sync.Mutex
	running  int
	second   time.Time
	started  int
	previous int
}

// begin counts the start of a request and returns the function that counts its end.
func (w *work) begin() func() {
	w.mutex.Lock()
	w.membership()
	w.running++
	w.started++
	w.mutex.Unlock()
	var once sync.Once
	return func() {
		once.Do(func() {
			w.mutex.Lock()
			w.running--
			w.mutex.Unlock()
		})
	}
}

// membership starts a new second when the current one is over.
func (w *work) membership() {
	now := w.clock.Now()
	elapsed := now.Sub(w.second)
	if elapsed < time.Second {
		return
	}
	w.previous = 0
	if elapsed < 2*time.Second {
		w.previous = w.started
	}
	w.started = 0
	w.second = now
}

func (w *work) runningNow() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.running
}

func (w *work) startedLastSecond() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.membership()
	return max(w.previous, w.started)
}
