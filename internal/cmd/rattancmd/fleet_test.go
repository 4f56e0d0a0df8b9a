package rattancmd

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// The VMs and endpoints of every script, with their failure domains.
var (
	fleetVMs       = []struct{ name, domain string }{{"vm-a1", "a"}, {"vm-a2", "a"}, {"vm-b1", "b"}}
	fleetEndpoints = []struct{ name, domain string }{{"orders-a", "a"}, {"orders-b", "b"}, {"orders-c", "a"}}
)

// processTemplate is the process settings of a VM. setupVMs expands $NAME by the VM's
// own values or else by the script's environment variables.
const processTemplate = `[daemon]
vm = $VM
failure_domain = $DOMAIN
caller_address = $CALLER
operator_address = $OPERATOR
peer_address = $PEER
debug_address = $DEBUG
platform_address = $PLATFORM
seed_peers = $SEEDS
stop_timeout = 10s
bootstrap_credential_sha256 = $BOOTSTRAP_SHA256

[session]
seal_key = $SEAL_KEY

[tls]
mode = off

[limits]
message_bytes = 65536
`

// setupFleet reserves addresses, makes credentials and writes the process settings of
// the VMs.
func setupFleet(env *testscript.Env) error {
	block, err := newAddressBlock()
	if err != nil {
		return err
	}
	env.Defer(func() { _ = block.reservation.Close() })
	// The processes of a script share the machine with other processes.
	env.Setenv("GOMAXPROCS", "2")
	// A program with the race detector otherwise sleeps for 1 s before it exits.
	env.Setenv("GORACE", "atexit_sleep_ms=0")
	env.Setenv("SEAL_KEY", makeCredential("seal").SHA256)
	for name, team := range map[string]string{"BOOTSTRAP": "root", "ROOT": "root", "SHOP": "shop"} {
		made := makeCredential(team)
		env.Setenv(name, made.Credential)
		env.Setenv(name+"_SHA256", made.SHA256)
		path := filepath.Join(env.WorkDir, strings.ToLower(name)+".credential")
		if err := os.WriteFile(path, []byte(made.Credential+"\n"), 0o600); err != nil {
			return err
		}
	}
	platform, err := block.newMachine(1)
	if err != nil {
		return err
	}
	env.Setenv("PLATFORM", platform[0])
	for _, endpoint := range fleetEndpoints {
		address, err := block.newMachine(1)
		if err != nil {
			return err
		}
		env.Setenv(variable(endpoint.name), address[0])
	}
	return setupVMs(env, block)
}

// variable returns the name of the environment variable with the address of a VM or
// endpoint, such as ORDERS_A for orders-a; the prefix vm- is left out.
func variable(name string) string {
	return strings.ToUpper(strings.NewReplacer("vm-", "", "-", "_").Replace(name))
}

func setupVMs(env *testscript.Env, block *addressBlock) error {
	addresses := make([][]string, len(fleetVMs))
	var peers []string
	for i, vm := range fleetVMs {
		var err error
		if addresses[i], err = block.newMachine(4); err != nil {
			return err
		}
		peers = append(peers, addresses[i][2])
		env.Setenv(variable(vm.name), "http://"+addresses[i][0])
		env.Setenv(variable(vm.name)+"_OPERATOR", "http://"+addresses[i][1])
		env.Setenv(variable(vm.name)+"_TLS", "https://"+addresses[i][0])
		env.Setenv(variable(vm.name)+"_OPERATOR_TLS", "https://"+addresses[i][1])
		env.Setenv(variable(vm.name)+"_DEBUG", "http://"+addresses[i][3])
	}
	for i, vm := range fleetVMs {
		values := map[string]string{
			"VM": vm.name, "DOMAIN": vm.domain, "SEEDS": strings.Join(peers, ", "),
			"CALLER": addresses[i][0], "OPERATOR": addresses[i][1], "PEER": addresses[i][2], "DEBUG": addresses[i][3],
		}
		text := os.Expand(processTemplate, func(name string) string {
			if value, ok := values[name]; ok {
				return value
			}
			return env.Getenv(name)
		})
		if err := os.WriteFile(filepath.Join(env.WorkDir, vm.name+".ini"), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// cmdExpand replaces $NAME in files by the script's environment variables.
func cmdExpand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) == 0 {
		ts.Fatalf("usage: expand FILE...")
	}
	for _, file := range args {
		text := os.Expand(ts.ReadFile(file), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(text), 0o600))
	}
}

// fleetDocuments are the settings of the command fleet, by team.
var fleetDocuments = []struct{ team, text string }{
	{"root", `[failure_domain.a]
region = north

[failure_domain.b]
region = north

[team.root]
credential_sha256 = $ROOT_SHA256

[team.shop]
credential_sha256 = $SHOP_SHA256

[policy]
drain_timeout = 1s
`},
	{"shop", `[endpoint.orders-a]
address = $ORDERS_A
failure_domain = a
connections = 20
slots = 3

[endpoint.orders-b]
address = $ORDERS_B
failure_domain = b
connections = 20
slots = 3

[endpoint.orders-c]
address = $ORDERS_C
failure_domain = a
connections = 20
slots = 3

[group.orders]
endpoints = orders-a, orders-b, orders-c

[service.orders]
group = orders

[client_account.dealer-1]
rate = 10000
burst = 10000
services = orders
`},
}

// cmdFleet starts platform, endpoints and daemons, applies settings, stores a key
// for client account dealer-1 in $KEY and creates the table items. The flags are those
// of the endpoints.
func cmdFleet(ts *testscript.TestScript, neg bool, args []string) {
	if neg {
		ts.Fatalf("usage: fleet [FLAG...]")
	}
	cmdStart(ts, false, []string{"platform"})
	for _, endpoint := range fleetEndpoints {
		cmdStart(ts, false, append([]string{endpoint.name}, args...))
	}
	for _, vm := range fleetVMs {
		cmdStart(ts, false, []string{vm.name})
	}
	credential := ts.Getenv("BOOTSTRAP")
	ts.Setenv(credentialVariable, credential)
	awaitVMs(ts)
	for _, document := range fleetDocuments {
		path := ts.MkAbs(document.team + ".applied.ini")
		ts.Check(os.WriteFile(path, []byte(os.Expand(document.text, ts.Getenv)), 0o600))
		ts.Setenv(credentialVariable, credential)
		ts.Check(ts.Exec("rattanstream", "settings", "apply", "--url", ts.Getenv("A1_OPERATOR"), "--team", document.team, path))
		credential = ts.Getenv("ROOT")
	}
	ts.Setenv(credentialVariable, credential)
	ts.Check(ts.Exec("rattanstream", "key", "give", "--url", ts.Getenv("A1_OPERATOR"), "--team", "shop", "dealer-1"))
	ts.Setenv("KEY", keyPattern.FindString(ts.ReadFile("stdout")))
	ts.Setenv("KEY_ID", keyIDPattern.FindString(ts.Getenv("KEY"))[4:])
	await(ts, "", []string{"call", ts.Getenv("A1"), "Execute", `{"service":"orders","request_id":"table","statement":{"text":"CREATE TABLE items (id TEXT, amount INTEGER)"}}`})
	// Each daemon refuses a new client account until it has its rate share, which takes
	// seconds.
	for _, vm := range fleetVMs {
		await(ts, "", []string{"call", ts.Getenv(variable(vm.name)), "Execute", `{"service":"orders","statement":{"text":"SELECT id FROM items"}}`})
	}
}

// awaitVMs waits until each daemon sees all VMs serve, so that a change waits for the
// confirmations of all of them.
func awaitVMs(ts *testscript.TestScript) {
	for _, vm := range fleetVMs {
		await(ts, "(?s)vm-a1.*serving.*vm-a2.*serving.*vm-b1.*serving",
			[]string{"rattanstream", "status", "--url", ts.Getenv(variable(vm.name) + "_OPERATOR")})
	}
}

// cmdReplace replaces a text in files; "\n" in the new text is a line break.
func cmdReplace(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: replace OLD NEW FILE...")
	}
	for _, file := range args[2:] {
		text := ts.ReadFile(file)
		if !strings.Contains(text, args[0]) {
			ts.Fatalf("%s does not contain %q", file, args[0])
		}
		text = strings.ReplaceAll(text, args[0], strings.ReplaceAll(args[1], `\n`, "\n"))
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(text), 0o600))
	}
}
