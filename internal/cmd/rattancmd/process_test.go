package rattancmd

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// A process is a daemon or stand-in that a script has started.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// processes holds the running processes of each script by name.
var processes = struct {
	sync.Mutex
	all map[*testscript.TestScript]map[string]*process
}{all: make(map[*testscript.TestScript]map[string]*process)}

// processArgs returns the arguments that run the platform, an endpoint, the proxy or the
// daemon of a VM by its name. Further arguments of "start" are put after them.
func processArgs(ts *testscript.TestScript, name string) []string {
	switch name {
	case "platform":
		return []string{"standin", "platform", "--listen", ts.Getenv("PLATFORM")}
	case proxyCommand:
		return []string{"--log-level", "info", proxyCommand, "--config", ts.MkAbs("proxy.ini")}
	}
	for _, endpoint := range fleetEndpoints {
		if endpoint.name != name {
			continue
		}
		args := []string{
			"standin", "endpoint", "--listen", ts.Getenv(variable(name)), "--name", "shop/" + name, "--group", "shop/orders",
			"--failure-domain", endpoint.domain, "--primary", "shop/" + fleetEndpoints[0].name,
		}
		for _, peer := range fleetEndpoints {
			if peer.name != name {
				args = append(args, "--peer", "shop/"+peer.name+"="+ts.Getenv(variable(peer.name)))
			}
		}
		return args
	}
	return []string{"serve", "--config", ts.MkAbs(name + ".ini")}
}

// cmdStart starts the process of the platform, an endpoint, the proxy or a VM in the background;
// its log goes to NAME.log.
func cmdStart(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) == 0 {
		ts.Fatalf("usage: start platform|ENDPOINT|proxy|VM [FLAG...]")
	}
	name := args[0]
	log, err := os.OpenFile(ts.MkAbs(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	defer log.Close()
	startProcess(ts, log, name, args[1:])
}

// startProcess starts a process with its log.
func startProcess(ts *testscript.TestScript, log *os.File, name string, flags []string) {
	binary, err := exec.LookPath("rattanstream")
	ts.Check(err)
	cmd := exec.Command(binary, append(processArgs(ts, name), flags...)...)
	cmd.Env = append(os.Environ(), "GOMAXPROCS="+ts.Getenv("GOMAXPROCS"), "GORACE="+ts.Getenv("GORACE"))
	cmd.Dir, cmd.Stdout, cmd.Stderr = ts.MkAbs("."), log, log
	ts.Check(cmd.Start())
	started := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // cmdStopped checks the state
		close(started.done)
	}()
	processes.Lock()
	defer processes.Unlock()
	if processes.all[ts] == nil {
		processes.all[ts] = make(map[string]*process)
	}
	processes.all[ts][name] = started
	ts.Defer(func() {
		_ = cmd.Process.Kill() // an error means that the process has already ended
		<-started.done
	})
}

func findProcess(ts *testscript.TestScript, name string) *process {
	processes.Lock()
	defer processes.Unlock()
	found := processes.all[ts][name]
	if found == nil {
		ts.Fatalf("%s was not started", name)
	}
	return found
}

// cmdSignal sends a signal to a process.
func cmdSignal(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 || signals[args[1]] == nil {
		ts.Fatalf("usage: signal NAME TERM|INT|KILL|QUIT|STOP|CONT|HUP")
	}
	ts.Check(findProcess(ts, args[0]).cmd.Process.Signal(signals[args[1]]))
}

// cmdStopped waits for the end of a process and checks its exit code, or the
// signal that ended it.
func cmdStopped(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: stopped NAME CODE|SIGNAL")
	}
	found := findProcess(ts, args[0])
	select {
	case <-found.done:
	case <-time.After(awaitTimeout):
		ts.Fatalf("%s still runs after %s", args[0], awaitTimeout)
	}
	state := found.cmd.ProcessState.Sys().(syscall.WaitStatus)
	got := strconv.Itoa(state.ExitStatus())
	if state.Signaled() {
		got = state.Signal().String()
	}
	if got != args[1] {
		ts.Fatalf("%s ended with %s, not %s; log:\n%s", args[0], got, args[1], logOf(ts, args[0]))
	}
}

// logOf returns the log of a process, or nothing if nobody reads it.
func logOf(ts *testscript.TestScript, name string) string {
	text, err := os.ReadFile(ts.MkAbs(name + ".log"))
	if errors.Is(err, os.ErrNotExist) {
		return ""
	}
	ts.Check(err)
	return string(text)
}

// cmdExits runs the command and checks its exit code.
func cmdExits(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exits CODE COMMAND...")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	var exit *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &exit) {
		got = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if got != want {
		ts.Fatalf("exit code is %d, not %d", got, want)
	}
}

const (
	// awaitTimeout is far longer than any step needs; it only ends a failing test.
	awaitTimeout  = 40 * time.Second
	awaitInterval = 100 * time.Millisecond
)

// cmdAwait repeats a command until it succeeds and its output matches a pattern.
func cmdAwait(ts *testscript.TestScript, neg bool, args []string) {
	pattern := ""
	if len(args) > 1 && args[0] == "-match" {
		pattern, args = args[1], args[2:]
	}
	if neg || len(args) == 0 {
		ts.Fatalf("usage: await [-match REGEXP] COMMAND...")
	}
	fmt.Fprint(ts.Stdout(), await(ts, pattern, args))
}

// await returns the output of the first run that succeeds and matches.
func await(ts *testscript.TestScript, pattern string, args []string) string {
	output := ""
	for end := time.Now().Add(awaitTimeout); time.Now().Before(end); time.Sleep(awaitInterval) {
		var err error
		if output, err = runOnce(ts, args); err == nil && matches(ts, pattern, output) {
			return output
		}
	}
	ts.Fatalf("%v: condition %q is not met after %s; last output:\n%s", args, pattern, awaitTimeout, output)
	return ""
}

// runOnce runs "call" or "query", or "refused", which is a call that has to be refused, or else
// a command line of the program.
func runOnce(ts *testscript.TestScript, args []string) (string, error) {
	switch args[0] {
	case "call":
		return call(ts, args[1:])
	case "query":
		return query(ts, args[1])
	case "refused":
		output, err := call(ts, args[1:])
		if err == nil {
			return output, errors.New("the call was not refused")
		}
		return output, nil
	}
	err := ts.Exec(args[0], args[1:]...)
	return ts.ReadFile("stdout") + ts.ReadFile("stderr"), err
}
