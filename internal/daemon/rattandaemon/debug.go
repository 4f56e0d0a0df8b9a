package rattandaemon

import (
	"encoding/json"
	"expvar"
	"net/http"
	"runtime"
)

// debugHandler serves metrics under /debug/vars and the state dump under
// /debug/dump. The metrics are expvar variables of this daemon alone, so that
// several daemons in one process do not share them.
func (d *Daemon) debugHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", d.serveMetrics)
	mux.HandleFunc("GET /debug/dump", d.serveDump)
	return mux
}

// metrics returns the daemon's metrics; docs/operators.md lists them.
func (d *Daemon) metrics() *expvar.Map {
	metrics := new(expvar.Map).Init()
	for name, part := range map[string]func() any{
		"daemon":  func() any { return d.dumpDaemon() },
		"callers": func() any { return d.dumpCallers() },
		"links":   func() any { return d.dumpLinks() },
		"memory":  memory,
	} {
		metrics.Set(name, expvar.Func(part))
	}
	return metrics
}

// memory returns the memory use of the process, from which the figures of the
// capacity page are computed.
func memory() any {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return struct {
		HeapBytes  uint64 `json:"heap_bytes"`
		SysBytes   uint64 `json:"sys_bytes"`
		Goroutines int    `json:"goroutines"`
	}{stats.HeapAlloc, stats.Sys, runtime.NumGoroutine()}
}

func (d *Daemon) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(d.metrics().String()))
}

func (d *Daemon) serveDump(w http.ResponseWriter, r *http.Request) {
	text, ok := d.dump(r.URL.Query().Get("part"))
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		_ = json.NewEncoder(w).Encode(map[string]string{"error": "unknown part of the state dump"})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}
