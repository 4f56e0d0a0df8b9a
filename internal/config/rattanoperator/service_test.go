package rattanoperator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/config/rattankey"
	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
	"github.com/rattanstream/rattanstream/internal/config/rattanstore"
	"github.com/rattanstream/rattanstream/internal/standin/rattanplatform"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

var secrets = map[string]string{
	"root": strings.Repeat("1", 64), "shop": strings.Repeat("2", 64),
	"other": strings.Repeat("3", 64), "bootstrap": strings.Repeat("4", 64),
}

func credentials(teams ...string) string {
	var b strings.Builder
	for _, team := range teams {
		fmt.Fprintf(&b, "[team.%s]\ncredential_sha256 = %s\n", team, rattansettings.HashSecret(secrets[team]).Hex())
	}
	return b.String()
}

const domains = "[failure_domain.a]\nregion = n\n[failure_domain.b]\nregion = n\n[failure_domain.c]\nregion = n\n"

const shopText = `# shop
[group.g]
endpoints = e
[endpoint.e]
address = 127.0.0.1:1
failure_domain = a
connections = 1
slots = 1
[service.s]
group = g
[client_account.one]
rate = 1
burst = 1
services = s
`

// A testEnv is a Service with a platform stand-in and a fleet of four live daemons.
// It implements the Service's other dependencies itself. Its settings change only
// when the test calls put or sync.
type testEnv struct {
	t        *testing.T
	platform *rattanplatform.Server
	store    *rattanstore.Store
	keyring  *rattankey.Keyring
	service  *Service

	mu       sync.Mutex
	snapshot *rattansettings.Snapshot
	// unconfirmed holds the VMs that report no revision as in force.
	unconfirmed map[string]bool
}

func newTestEnv(t *testing.T) *testEnv {
	clock := rattanclock.System()
	env := &testEnv{t: t, platform: rattanplatform.New(clock), keyring: rattankey.New(clock, "a"), unconfirmed: make(map[string]bool)}
	env.store = rattanstore.New(env.platform, clock, rattanstore.WithRate(1000, 1000))
	env.snapshot = rattansettings.NewSnapshot()
	env.service = New(Dependencies{
		Clock: clock, Store: env.store, Settings: env, Keyring: env.keyring, Fleet: env, Groups: env, Dumper: env,
	}, WithBootstrapCredential(rattansettings.HashSecret(secrets["bootstrap"])), WithConfirmTimeout(time.Second))
	return env
}

// newShopEnv returns a testEnv with the documents of the teams root and shop.
func newShopEnv(t *testing.T) *testEnv {
	env := newTestEnv(t)
	env.put("root", domains+credentials("root", "shop", "other"))
	env.put("shop", shopText)
	return env
}

func (env *testEnv) put(team, text string) {
	env.t.Helper()
	_, err := env.store.Change(env.t.Context(), rattanstore.Change{
		Team: team, ID: fmt.Sprintf("setup-%d", env.Snapshot().MaxRevision()), Request: text, AnyRevision: true,
		Update: func(rattanstore.StoredDocument) (string, error) { return text, nil },
	})
	if err != nil {
		env.t.Fatal(err)
	}
	env.sync()
}

// sync puts the stored documents in force, as the daemon's watch does.
func (env *testEnv) sync() {
	env.t.Helper()
	stored, _, err := env.store.List(env.t.Context())
	if err != nil {
		env.t.Fatal(err)
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, entry := range stored {
		document, err := entry.Parse()
		if err != nil {
			env.t.Fatal(err)
		}
		env.snapshot, _ = env.snapshot.With(document)
	}
	env.keyring.Update(env.snapshot)
}

func (env *testEnv) Snapshot() *rattansettings.Snapshot {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.snapshot
}

func (env *testEnv) Daemons() []Daemon {
	return []Daemon{
		{VM: "a1", FailureDomain: "a", Live: true},
		{VM: "a2", FailureDomain: "a", Live: true},
		{VM: "b1", FailureDomain: "b", Live: true},
		{VM: "c1", FailureDomain: "c", Live: true},
		{VM: "gone", FailureDomain: "c"},
	}
}

func (env *testEnv) InForce(vm, _ string, _ uint64) bool { return !env.unconfirmed[vm] }

func (env *testEnv) DomainLoad(string) (running, started uint32) { return 1, 2 }

func (env *testEnv) Groups() []Group { return []Group{{Name: "shop/g"}, {Name: "other/g"}} }

func (env *testEnv) Switchover(_ context.Context, group, _ string) (SwitchoverResult, error) {
	return SwitchoverResult{Term: 2, Primary: group}, nil
}

func (env *testEnv) Dump(part string) ([]byte, bool) {
	return []byte(`{"text":"rsk_k_` + secrets["shop"] + `"}`), part == ""
}

func (env *testEnv) fault(fault *rattanv1.SetFaultRequest) {
	env.t.Helper()
	if _, err := env.platform.SetFault(env.t.Context(), connect.NewRequest(fault)); err != nil {
		env.t.Fatal(err)
	}
}

// requestAs returns a request with a team's credential.
func requestAs[T any](team string, message *T) *connect.Request[T] {
	request := connect.NewRequest(message)
	name := team
	if team == "bootstrap" {
		name = "root"
	}
	request.Header().Set("Authorization", "Bearer rst_"+name+"_"+secrets[team])
	return request
}

func wantCode(t *testing.T, name string, err error, want connect.Code) {
	t.Helper()
	if err == nil || connect.CodeOf(err) != want {
		t.Errorf("%s: got %v, want code %v", name, err, want)
	}
	for _, secret := range secrets {
		if err != nil && strings.Contains(err.Error(), secret[:32]) {
			t.Errorf("%s shows a secret: %v", name, err)
		}
	}
}

func wantRunState(t *testing.T, err error, want rattanerr.RunState) {
	t.Helper()
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) || len(connectErr.Details()) != 1 {
		t.Fatalf("no refusal in %v", err)
	}
	value, valueErr := connectErr.Details()[0].Value()
	refusal, ok := value.(*rattanv1.Refusal)
	if valueErr != nil || !ok || rattanerr.RunStateFromWire(refusal.GetRunState()) != want {
		t.Errorf("refusal %v, want %v", value, want)
	}
}

func edit(section, key, value string) []*rattanv1.SettingsEdit {
	return []*rattanv1.SettingsEdit{{Section: section, Key: key, Value: value}}
}

// TestPermissions guards against a team that reads or changes another team's
// documents, groups or keys, and against malformed or wrong credentials that are
// accepted.
func TestPermissions(t *testing.T) {
	env := newShopEnv(t)
	calls := map[string]func(team string) error{
		"GetSettings": func(team string) error {
			_, err := env.service.GetSettings(t.Context(), requestAs(team, &rattanv1.GetSettingsRequest{Path: "shop/group.g"}))
			return err
		},
		"ApplySettings": func(team string) error {
			stored, err := env.store.Load(t.Context(), "shop")
			if err != nil {
				return err
			}
			_, err = env.service.ApplySettings(t.Context(), requestAs(team, &rattanv1.ApplySettingsRequest{Team: "shop", Ini: shopText, ExpectedRevision: stored.Revision, DryRun: true}))
			return err
		},
		"EditSettings": func(team string) error {
			_, err := env.service.EditSettings(t.Context(), requestAs(team, &rattanv1.EditSettingsRequest{Team: "shop", Edits: edit("endpoint.e", "drained", "true"), DryRun: true}))
			return err
		},
		"ListHistory": func(team string) error {
			_, err := env.service.ListHistory(t.Context(), requestAs(team, &rattanv1.ListHistoryRequest{Team: "shop"}))
			return err
		},
		"WatchSettings": func(team string) error {
			_, err := env.service.WatchSettings(t.Context(), requestAs(team, &rattanv1.WatchSettingsRequest{Team: "shop"}))
			return err
		},
		"ListKeys": func(team string) error {
			_, err := env.service.ListKeys(t.Context(), requestAs(team, &rattanv1.ListKeysRequest{Team: "shop"}))
			return err
		},
		"GiveKey": func(team string) error {
			_, err := env.service.GiveKey(t.Context(), requestAs(team, &rattanv1.GiveKeyRequest{Team: "shop", ClientAccount: "one"}))
			return err
		},
		"SwitchPrimary": func(team string) error {
			_, err := env.service.SwitchPrimary(t.Context(), requestAs(team, &rattanv1.SwitchPrimaryRequest{Group: "shop/g", Endpoint: "shop/e"}))
			return err
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			for _, team := range []string{"shop", "root"} {
				if err := call(team); err != nil {
					t.Errorf("%s: %v", team, err)
				}
			}
			wantCode(t, "another team", call("other"), connect.CodePermissionDenied)
			wantCode(t, "bootstrap after root has a credential", call("bootstrap"), connect.CodeUnauthenticated)
		})
	}
	_, err := env.service.WithdrawKey(t.Context(), requestAs("other", &rattanv1.WithdrawKeyRequest{Team: "shop", KeyId: "k"}))
	wantCode(t, "WithdrawKey", err, connect.CodePermissionDenied)
	_, err = env.service.Dump(t.Context(), requestAs("shop", &rattanv1.DumpRequest{}))
	wantCode(t, "Dump", err, connect.CodePermissionDenied)
	for _, header := range []string{
		"", "Bearer ", "Bearer rst_shop", "rst_shop_" + secrets["shop"], "Bearer rst_shop_" + secrets["other"],
		"Bearer rst_absent_" + secrets["shop"], "Bearer rsk_shop_" + secrets["shop"], "Bearer rst_SHOP_" + secrets["shop"],
		"Bearer rst_shop_" + secrets["shop"] + "2", "Bearer rst_shop_" + rattansettings.HashSecret(secrets["shop"]).Hex(),
	} {
		request := connect.NewRequest(&rattanv1.GetFleetRequest{})
		request.Header().Set("Authorization", header)
		_, err := env.service.GetFleet(t.Context(), request)
		wantCode(t, header, err, connect.CodeUnauthenticated)
	}
}

// TestViews guards against responses that show another team's groups or documents,
// and against a dump that shows a secret.
func TestViews(t *testing.T) {
	env := newShopEnv(t)
	groups, err := env.service.GetGroups(t.Context(), requestAs("shop", &rattanv1.GetGroupsRequest{}))
	if err != nil || len(groups.Msg.GetGroups()) != 1 {
		t.Errorf("groups: %v, %v", groups, err)
	}
	all, err := env.service.GetSettings(t.Context(), requestAs("shop", &rattanv1.GetSettingsRequest{}))
	if err != nil || len(all.Msg.GetDocuments()) != 1 {
		t.Errorf("settings: %v, %v", all, err)
	}
	fleet, err := env.service.GetFleet(t.Context(), requestAs("shop", &rattanv1.GetFleetRequest{}))
	if err != nil || len(fleet.Msg.GetDaemons()) != 5 || len(fleet.Msg.GetFailureDomains()) != 3 {
		t.Errorf("fleet: %v, %v", fleet, err)
	}
	dump, err := env.service.Dump(t.Context(), requestAs("root", &rattanv1.DumpRequest{}))
	if err != nil || string(dump.Msg.GetJson()) != `{"text":"(hidden)"}` {
		t.Errorf("dump: %v, %v", dump, err)
	}
	_, err = env.service.Dump(t.Context(), requestAs("root", &rattanv1.DumpRequest{Part: "x"}))
	wantCode(t, "unknown part", err, connect.CodeNotFound)
}

// TestBootstrap guards against an empty platform for which no credential is
// accepted, and against a bootstrap credential that is still accepted after team
// root has a credential of its own.
func TestBootstrap(t *testing.T) {
	env := newTestEnv(t)
	apply := func(team string, revision uint64) error {
		_, err := env.service.ApplySettings(t.Context(), requestAs(team, &rattanv1.ApplySettingsRequest{
			Team: "root", Ini: domains + credentials("root") + fmt.Sprintf("# %d\n", revision), ExpectedRevision: revision,
		}))
		return err
	}
	wantCode(t, "wrong secret", apply("root", 0), connect.CodeUnauthenticated)
	if err := apply("bootstrap", 0); err != nil {
		t.Fatal(err)
	}
	// The daemon's settings are still empty here, but the platform already has team
	// root's document.
	wantCode(t, "bootstrap again", apply("bootstrap", 1), connect.CodeUnauthenticated)
	_, err := env.service.GetSettings(t.Context(), requestAs("bootstrap", &rattanv1.GetSettingsRequest{}))
	wantCode(t, "bootstrap reads", err, connect.CodeUnauthenticated)
	env.sync()
	wantCode(t, "bootstrap after the watch", apply("bootstrap", 1), connect.CodeUnauthenticated)
	if err := apply("root", 1); err != nil {
		t.Error(err)
	}
}

// TestReplacedCredential guards against a daemon with old settings that accepts a
// change under a removed or replaced credential.
func TestReplacedCredential(t *testing.T) {
	changed := strings.Replace(credentials("root", "shop"), rattansettings.HashSecret(secrets["shop"]).Hex(), strings.Repeat("0", 64), 1)
	for name, text := range map[string]string{"removed": credentials("root"), "replaced": changed} {
		env := newShopEnv(t)
		old := env.Snapshot()
		env.put("root", domains+text)
		env.snapshot = old
		_, err := env.service.EditSettings(t.Context(), requestAs("shop", &rattanv1.EditSettingsRequest{Team: "shop", Edits: edit("endpoint.e", "drained", "true")}))
		wantCode(t, name, err, connect.CodeUnauthenticated)
	}
}

// staleStore is a Store whose List returns the empty state from before the first
// document.
type staleStore struct{ Store }

func (staleStore) List(context.Context) ([]rattanstore.StoredDocument, int, error) {
	return nil, 0, nil
}

// TestStaleList guards against an old response of the platform that is used in place
// of newer settings in force, so that a valid change or credential is refused.
func TestStaleList(t *testing.T) {
	env := newShopEnv(t)
	env.service.store = staleStore{env.store}
	done, err := env.service.EditSettings(t.Context(), requestAs("shop", &rattanv1.EditSettingsRequest{Team: "shop", Edits: edit("endpoint.e", "drained", "true")}))
	if err != nil || done.Msg.GetRevision() != 3 {
		t.Errorf("edit: %v, %v", done, err)
	}
}

// TestBadInput guards against invalid requests that get the wrong error code or
// change a document.
func TestBadInput(t *testing.T) {
	env := newShopEnv(t)
	apply := func(team, ini string, expected uint64) error {
		_, err := env.service.ApplySettings(t.Context(), requestAs("root", &rattanv1.ApplySettingsRequest{Team: team, Ini: ini, ExpectedRevision: expected}))
		return err
	}
	wantCode(t, "faulty document", apply("shop", "[group.g]\n", 2), connect.CodeInvalidArgument)
	wantCode(t, "old revision", apply("shop", shopText, 1), connect.CodeAborted)
	wantCode(t, "no team", apply("", shopText, 0), connect.CodeInvalidArgument)
	wantCode(t, "unknown failure domain", apply("shop", strings.Replace(shopText, "= a", "= z", 1), 2), connect.CodeInvalidArgument)
	wantCode(t, "failure domain in use", apply("root", credentials("root"), 1), connect.CodeInvalidArgument)
	wantCode(t, "another team's address", apply("other", shopText, 0), connect.CodeInvalidArgument)
	for name, request := range map[string]*rattanv1.EditSettingsRequest{
		"no edits":       {Team: "shop"},
		"second line":    {Team: "shop", Edits: edit("endpoint.e", "drained", "true\n[x]")},
		"faulty value":   {Team: "shop", Edits: edit("endpoint.e", "drained", "maybe")},
		"absent section": {Team: "shop", Edits: []*rattanv1.SettingsEdit{{Section: "x", Remove: true}}},
		"change id":      {Team: "shop", Edits: edit("endpoint.e", "drained", "true"), ChangeId: "a b"},
	} {
		_, err := env.service.EditSettings(t.Context(), requestAs("shop", request))
		wantCode(t, name, err, connect.CodeInvalidArgument)
	}
	_, err := env.service.GetSettings(t.Context(), requestAs("shop", &rattanv1.GetSettingsRequest{Path: "shop/group.x"}))
	wantCode(t, "absent path", err, connect.CodeNotFound)
	_, err = env.service.GiveKey(t.Context(), requestAs("shop", &rattanv1.GiveKeyRequest{Team: "shop", ClientAccount: "absent"}))
	wantCode(t, "absent client account", err, connect.CodeInvalidArgument)
	_, err = env.service.WithdrawKey(t.Context(), requestAs("shop", &rattanv1.WithdrawKeyRequest{Team: "shop", KeyId: "absent"}))
	wantCode(t, "absent key", err, connect.CodeNotFound)
	_, err = env.service.SwitchPrimary(t.Context(), requestAs("shop", &rattanv1.SwitchPrimaryRequest{Group: "shop/g", Endpoint: "shop/x"}))
	wantCode(t, "absent endpoint", err, connect.CodeInvalidArgument)
	env.sync()
	if env.Snapshot().MaxRevision() != 2 {
		t.Errorf("an invalid request was stored as revision %d", env.Snapshot().MaxRevision())
	}
}

// TestEdit guards against a dry run that stores the change, a diff or history that
// lacks it, and a confirmation that counts a VM where it is not in force.
func TestEdit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newShopEnv(t)
		env.unconfirmed["b1"] = true
		request := &rattanv1.EditSettingsRequest{Team: "shop", Edits: edit("endpoint.e", "drained", "true"), ChangeId: "c1", DryRun: true}
		dry, err := env.service.EditSettings(t.Context(), requestAs("shop", request))
		if err != nil || dry.Msg.GetRevision() != 2 || !slices.Equal(dry.Msg.GetDiff(), []string{"+drained = true"}) {
			t.Fatalf("dry run: %v, %v", dry, err)
		}
		request.DryRun = false
		for range 2 {
			done, err := env.service.EditSettings(t.Context(), requestAs("shop", request))
			if err != nil || done.Msg.GetRevision() != 3 || done.Msg.GetConfirmed() != 3 || done.Msg.GetDaemons() != 4 || !slices.Equal(done.Msg.GetMissing(), []string{"b1"}) {
				t.Fatalf("edit: %v, %v", done, err)
			}
		}
		history, err := env.service.ListHistory(t.Context(), requestAs("shop", &rattanv1.ListHistoryRequest{Team: "shop"}))
		if err != nil || len(history.Msg.GetChanges()) != 2 || history.Msg.GetChanges()[1].GetAuthor() != "shop" {
			t.Errorf("history: %v, %v", history, err)
		}
		go func() {
			time.Sleep(time.Second)
			env.sync()
		}()
		start := time.Now()
		watched, err := env.service.WatchSettings(t.Context(), requestAs("shop", &rattanv1.WatchSettingsRequest{Team: "shop", AfterRevision: 2, MaxWaitMs: 30_000}))
		if err != nil || len(watched.Msg.GetDocuments()) != 1 || time.Since(start) > 2*time.Second {
			t.Errorf("watch: %v, %v after %s", watched, err, time.Since(start))
		}
	})
}

// TestRace guards against concurrent edits of operators that overwrite each other
// while responses of the platform are lost.
func TestRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newShopEnv(t)
		env.fault(&rattanv1.SetFaultRequest{LoseAnswers: 4})
		var group sync.WaitGroup
		for i := range 10 {
			group.Go(func() {
				account := fmt.Sprintf("client_account.n%d", i)
				edits := append(edit(account, "rate", "1"), append(edit(account, "burst", "1"), edit(account, "services", "s")...)...)
				if _, err := env.service.EditSettings(t.Context(), requestAs("shop", &rattanv1.EditSettingsRequest{Team: "shop", Edits: edits})); err != nil {
					t.Error(err)
				}
			})
		}
		group.Wait()
		env.sync()
		if got := len(env.Snapshot().ClientAccounts()); got != 11 {
			t.Errorf("%d client accounts, want 11", got)
		}
	})
}

// TestOutage guards against a response that reports a change as not run although it
// may have run, and against reads of settings that fail while the platform is
// unavailable.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newShopEnv(t)
		request := &rattanv1.EditSettingsRequest{Team: "shop", Edits: edit("endpoint.e", "drained", "true"), ChangeId: "c1"}
		env.fault(&rattanv1.SetFaultRequest{Down: true})
		_, err := env.service.EditSettings(t.Context(), requestAs("shop", request))
		wantCode(t, "down", err, connect.CodeUnavailable)
		wantRunState(t, err, rattanerr.NotRun)
		if got, err := env.service.GetSettings(t.Context(), requestAs("shop", &rattanv1.GetSettingsRequest{Path: "shop"})); err != nil || got.Msg.GetDocuments()[0].GetIni() != shopText {
			t.Errorf("settings in force: %v, %v", got, err)
		}
		env.fault(&rattanv1.SetFaultRequest{LoseAnswers: 1})
		env.service.store = &outageStore{Store: env.service.store, afterWrite: func() { env.fault(&rattanv1.SetFaultRequest{Down: true}) }}
		_, err = env.service.EditSettings(t.Context(), requestAs("shop", request))
		wantCode(t, "down after the write", err, connect.CodeUnavailable)
		wantRunState(t, err, rattanerr.Unknown)
		env.fault(&rattanv1.SetFaultRequest{})
		env.service.store = env.store
		done, err := env.service.EditSettings(t.Context(), requestAs("shop", request))
		if err != nil || done.Msg.GetRevision() != 3 {
			t.Errorf("repeat: %v, %v", done, err)
		}
	})
}

// outageStore is a Store that calls afterWrite shortly after the start of each
// change, when the write has reached the platform.
type outageStore struct {
	Store
	afterWrite func()
}

func (s *outageStore) Change(ctx context.Context, change rattanstore.Change) (rattanstore.ChangeResult, error) {
	time.AfterFunc(time.Millisecond, s.afterWrite)
	return s.Store.Change(ctx, change)
}

// TestKeys guards against a withdrawal that is reported as accepted before a
// majority of the failure domains has it in force, for several states of the fleet
// and the platform, and against a key that is shown twice.
func TestKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newShopEnv(t)
		give := &rattanv1.GiveKeyRequest{Team: "shop", ClientAccount: "one", ChangeId: "g1"}
		given, err := env.service.GiveKey(t.Context(), requestAs("shop", give))
		if err != nil {
			t.Fatal(err)
		}
		_, err = env.service.GiveKey(t.Context(), requestAs("shop", give))
		wantCode(t, "repeat", err, connect.CodeAlreadyExists)
		if !strings.Contains(err.Error(), given.Msg.GetKeyId()) {
			t.Errorf("repeat does not name the key: %v", err)
		}
		env.sync()
		env.keyring.Freshness().ObservePlatform(time.Now())
		identity, err := env.keyring.Authenticate(given.Msg.GetKey())
		if err != nil || identity.ClientAccount() != "shop/one" {
			t.Fatalf("given key: %+v, %v", identity, err)
		}
		running, done := env.keyring.Track(t.Context(), identity.KeyID())
		defer done()
		withdraw := &rattanv1.WithdrawKeyRequest{Team: "shop", KeyId: given.Msg.GetKeyId(), MaxWaitMs: 500}
		env.fault(&rattanv1.SetFaultRequest{Down: true})
		_, err = env.service.WithdrawKey(t.Context(), requestAs("shop", withdraw))
		wantCode(t, "platform down", err, connect.CodeUnavailable)
		if running.Err() != nil {
			t.Error("a withdrawal that was not stored has ended a call")
		}
		env.fault(&rattanv1.SetFaultRequest{})
		for _, tc := range []struct {
			name     string
			behind   []string
			accepted bool
			missing  []string
		}{
			{"one failure domain", []string{"b1", "c1"}, false, []string{"b1", "c1"}},
			{"two, the last daemon of one missing", []string{"a2", "c1"}, false, []string{"a2", "c1"}},
			{"two, the first daemon of one missing", []string{"a1", "c1"}, false, []string{"a1", "c1"}},
			{"majority", []string{"c1"}, true, []string{"c1"}},
			{"all", nil, true, nil},
		} {
			clear(env.unconfirmed)
			for _, vm := range tc.behind {
				env.unconfirmed[vm] = true
			}
			got, err := env.service.WithdrawKey(t.Context(), requestAs("shop", withdraw))
			if err != nil || got.Msg.GetAccepted() != tc.accepted || !slices.Equal(got.Msg.GetMissing(), tc.missing) || got.Msg.GetRevision() != 4 {
				t.Errorf("%s: %v, %v", tc.name, got, err)
			}
		}
		if running.Err() == nil || !env.keyring.IsWithdrawn(identity.KeyID()) {
			t.Error("the withdrawal has not ended the call")
		}
		keys, err := env.service.ListKeys(t.Context(), requestAs("shop", &rattanv1.ListKeysRequest{Team: "shop", ClientAccount: "one"}))
		if err != nil || len(keys.Msg.GetKeys()) != 1 || !keys.Msg.GetKeys()[0].GetWithdrawn() {
			t.Errorf("keys: %v, %v", keys, err)
		}
		_, err = env.service.EditSettings(t.Context(), requestAs("root", &rattanv1.EditSettingsRequest{Team: "shop", Edits: edit("key."+withdraw.KeyId, "withdrawn", "false")}))
		wantCode(t, "taken back", err, connect.CodeInvalidArgument)
		_, err = env.service.ApplySettings(t.Context(), requestAs("root", &rattanv1.ApplySettingsRequest{Team: "shop", Ini: shopText, ExpectedRevision: 4}))
		wantCode(t, "removed", err, connect.CodeInvalidArgument)
	})
}
