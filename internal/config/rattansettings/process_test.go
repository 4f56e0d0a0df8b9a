package rattansettings

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

func processText() string {
	return `[daemon]
vm = vm-a1
failure_domain = a
caller_address = 127.0.0.1:7101
operator_address = 127.0.0.1:7201
peer_address = 127.0.0.1:7301
platform_address = 127.0.0.1:7001
seed_peers = 127.0.0.1:7302, 127.0.0.1:7303
bootstrap_credential_sha256 = ` + hexB + `
[session]
seal_key = ` + hexA + `
previous_seal_key =
[tls]
certificate = /etc/vm.pem
key = /etc/vm.key
authority = /etc/ca.pem
`
}

// TestParseProcessSettings guards against overrides that do not take precedence,
// against missing defaults and against formatting that shows a seal key.
func TestParseProcessSettings(t *testing.T) {
	p, err := ParseProcessSettings("vm.ini", processText(),
		Override{"daemon", "vm", "vm-b2"}, Override{"limits", "connections", "7"})
	if err != nil {
		t.Fatal(err)
	}
	if p.Daemon().VM() != "vm-b2" || p.Limits().Connections() != 7 {
		t.Errorf("overrides: %s, %d", p.Daemon().VM(), p.Limits().Connections())
	}
	if p.Daemon().StopTimeout() != 10*time.Second || p.Limits().MessageBytes() != 1<<20 || len(p.Daemon().SeedPeers()) != 2 {
		t.Errorf("values: %+v", p.Daemon())
	}
	if len(p.Session().SealKey().Bytes()) != 32 || !p.Session().PreviousSealKey().IsZero() {
		t.Error("wrong seal keys")
	}
	for _, verb := range []string{"%v", "%+v", "%#v", "%x", "%d"} {
		text := fmt.Sprintf(verb+verb, p, p.Session().SealKey())
		if strings.Contains(text, "a1a1") || strings.Contains(text, "161 161") || strings.Contains(text, "0xa1, 0xa1") {
			t.Errorf("%s shows the seal key: %s", verb, text)
		}
	}
}

// TestParseProcessSettingsErrors guards against an invalid override that is accepted,
// and against a missing file that is read as empty.
func TestParseProcessSettingsErrors(t *testing.T) {
	_, err := ParseProcessSettings("vm.ini", "[daemon]\n[extra]\n", Override{"daemon", "peer_address", "0.0.0.0:1"})
	var validationErrs *ValidationErrors
	if !errors.As(err, &validationErrs) {
		t.Fatalf("error is %T", err)
	}
	for _, want := range []string{"[extra] unknown section", "vm: a value is missing", "unspecified", "certificate: a value", "seal_key: a value"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("no %q in:\n%v", want, err)
		}
	}
	if _, err := LoadProcessSettings(t.TempDir() + "/absent.ini"); err == nil || errors.As(err, &validationErrs) {
		t.Errorf("missing file: %v", err)
	}
}
