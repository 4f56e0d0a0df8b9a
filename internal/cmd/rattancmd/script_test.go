package rattancmd

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain runs the test binary as the command "rattanstream" for scripts.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"rattanstream": func() { os.Exit(Main()) },
	})
}

// parallelScripts bounds how many scripts run at a time. Each runs up to eight
// processes, and the machine may be shared.
const parallelScripts = 3

// TestScripts runs the whole program: each script is a list of what operators
// and callers do to real processes on loopback addresses.
func TestScripts(t *testing.T) {
	turns := make(chan struct{}, parallelScripts)
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/scripts",
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup: func(env *testscript.Env) error {
			turns <- struct{}{}
			env.Defer(func() { <-turns })
			return setupFleet(env)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"await":        cmdAwait,
			"call":         cmdCall,
			"callsized":    cmdCallSized,
			"certificates": cmdCertificates,
			"exits":        cmdExits,
			"expand":       cmdExpand,
			"fleet":        cmdFleet,
			"replace":      cmdReplace,
			"save":         cmdSave,
			"shows":        cmdShows,
			"signal":       cmdSignal,
			"start":        cmdStart,
			"stopped":      cmdStopped,
			"writers":      cmdWriters,
		},
	})
}
