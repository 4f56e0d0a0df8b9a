package rattancmd

import (
	"os"
	"os/signal"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain runs the test binary as the command "rattanstream" for scripts.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"rattanstream": func() { os.Exit(Main()) },
	})
}

// restoreSignals gives the processes of the scripts the default effect of signals that this
// process inherited as ignored, for example from nohup: a signal that it handles is no longer
// ignored by those that it starts.
func restoreSignals() {
	for _, s := range []os.Signal{syscall.SIGHUP, os.Interrupt} {
		if signal.Ignored(s) {
			signal.Notify(make(chan os.Signal, 1), s)
		}
	}
}

// parallelScripts bounds how many scripts run at a time. Each runs up to eight
// processes, and the machine may be shared.
const parallelScripts = 3

// TestScripts guards against commands and daemons that do not work together in real
// processes. Each script has the commands of operators and the requests of callers
// against processes on loopback addresses; its head says what it guards against.
func TestScripts(t *testing.T) {
	restoreSignals()
	slots := make(chan struct{}, parallelScripts)
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/scripts",
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup: func(env *testscript.Env) error {
			slots <- struct{}{}
			env.Defer(func() { <-slots })
			return setupFleet(env)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"await":          cmdAwait,
			"awaitroster":    cmdAwaitRoster,
			"call":           cmdCall,
			"callsized":      cmdCallSized,
			"certificates":   cmdCertificates,
			"exits":          cmdExits,
			"expand":         cmdExpand,
			"fleet":          cmdFleet,
			"keepsignalling": cmdKeepSignalling,
			"load":           cmdLoad,
			"oddentries":     cmdOddEntries,
			"pending":        cmdPending,
			"proxyfleet":     cmdProxyFleet,
			"query":          cmdQuery,
			"replace":        cmdReplace,
			"restarts":       cmdRestarts,
			"save":           cmdSave,
			"shows":          cmdShows,
			"signal":         cmdSignal,
			"start":          cmdStart,
			"startunread":    cmdStartUnread,
			"stopped":        cmdStopped,
			"writers":        cmdWriters,
		},
	})
}
