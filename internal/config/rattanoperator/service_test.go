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

// A world is a Service with a platform stand-in, and a fleet of four daemons
// that the test keeps up to date.
type world struct {
	t        *testing.T
	platform *rattanplatform.Server
	store    *rattanstore.Store
	ring     *rattankey.Keyring
	service  *Service

	mu       sync.Mutex
	snapshot *rattansettings.Snapshot
	// behind has the VMs that confirm nothing.
	behind map[string]bool
}

func newWorld(t *testing.T) *world {
	clock := rattanclock.System()
	w := &world{t: t, platform: rattanplatform.New(clock), ring: rattankey.New(clock, "a"), behind: make(map[string]bool)}
	w.store = rattanstore.New(w.platform, clock, rattanstore.WithRate(1000, 1000))
	w.snapshot = rattansettings.NewSnapshot()
	w.service = New(Dependencies{
		Clock: clock, Store: w.store, Settings: w, Keyring: w.ring, Fleet: w, Groups: w, Dumper: w,
	}, WithBootstrapCredential(rattansettings.HashSecret(secrets["bootstrap"])), WithConfirmTimeout(time.Second))
	return w
}

// newShop returns a world with the documents of the teams root and shop.
func newShop(t *testing.T) *world {
	w := newWorld(t)
	w.put("root", domains+credentials("root", "shop", "other"))
	w.put("shop", shopText)
	return w
}

func (w *world) put(team, text string) {
	w.t.Helper()
	_, err := w.store.Change(w.t.Context(), rattanstore.Change{
		Team: team, ID: fmt.Sprintf("setup-%d", w.Snapshot().MaxRevision()), Request: text, AnyRevision: true,
		Update: func(rattanstore.StoredDocument) (string, error) { return text, nil },
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.sync()
}

// sync does what the daemon's watch does.
func (w *world) sync() {
	w.t.Helper()
	stored, _, err := w.store.List(w.t.Context())
	if err != nil {
		w.t.Fatal(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, one := range stored {
		document, err := one.Parse()
		if err != nil {
			w.t.Fatal(err)
		}
		w.snapshot, _ = w.snapshot.With(document)
	}
	w.ring.Update(w.snapshot)
}

func (w *world) Snapshot() *rattansettings.Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.snapshot
}

func (w *world) Daemons() []Daemon {
	return []Daemon{
		{VM: "a1", FailureDomain: "a", Live: true},
		{VM: "a2", FailureDomain: "a", Live: true},
		{VM: "b1", FailureDomain: "b", Live: true},
		{VM: "c1", FailureDomain: "c", Live: true},
		{VM: "gone", FailureDomain: "c"},
	}
}

func (w *world) InForce(vm, _ string, _ uint64) bool { return !w.behind[vm] }

func (w *world) DomainLoad(string) (running, started uint32) { return 1, 2 }

func (w *world) Groups() []Group { return []Group{{Name: "shop/g"}, {Name: "other/g"}} }

func (w *world) Switchover(_ context.Context, group, _ string) (SwitchoverResult, error) {
	return SwitchoverResult{Term: 2, Primary: group}, nil
}

func (w *world) Dump(part string) ([]byte, bool) {
	return []byte(`{"text":"rsk_k_` + secrets["shop"] + `"}`), part == ""
}

func (w *world) fault(fault *rattanv1.SetFaultRequest) {
	w.t.Helper()
	if _, err := w.platform.SetFault(w.t.Context(), connect.NewRequest(fault)); err != nil {
		w.t.Fatal(err)
	}
}

// as returns a request with a team's credential.
func as[T any](team string, message *T) *connect.Request[T] {
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
	var answer *connect.Error
	if !errors.As(err, &answer) || len(answer.Details()) != 1 {
		t.Fatalf("no refusal in %v", err)
	}
	value, valueErr := answer.Details()[0].Value()
	refusal, ok := value.(*rattanv1.Refusal)
	if valueErr != nil || !ok || rattanerr.RunStateFromWire(refusal.GetRunState()) != want {
		t.Errorf("refusal %v, want %v", value, want)
	}
}

func edit(section, key, value string) []*rattanv1.SettingsEdit {
	return []*rattanv1.SettingsEdit{{Section: section, Key: key, Value: value}}
}

// TestPermissions guards against a team that reads or changes another team's
// subtree, and against credentials that are nearly right.
func TestPermissions(t *testing.T) {
	w := newShop(t)
	calls := map[string]func(team string) error{
		"GetSettings": func(team string) error {
			_, err := w.service.GetSettings(t.Context(), as(team, &rattanv1.GetSettingsRequest{Path: "shop/group.g"}))
			return err
		},
		"ApplySettings": func(team string) error {
			stored, err := w.store.Load(t.Context(), "shop")
			if err != nil {
				return err
			}
			_, err = w.service.ApplySettings(t.Context(), as(team, &rattanv1.ApplySettingsRequest{Team: "shop", Ini: shopText, ExpectedRevision: stored.Revision, DryRun: true}))
			return err
		},
		"EditSettings": func(team string) error {
			_, err := w.service.EditSettings(t.Context(), as(team, &rattanv1.EditSettingsRequest{Team: "shop", Edits: edit("endpoint.e", "drained", "true"), DryRun: true}))
			return err
		},
		"ListHistory": func(team string) error {
			_, err := w.service.ListHistory(t.Context(), as(team, &rattanv1.ListHistoryRequest{Team: "shop"}))
			return err
		},
		"WatchSettings": func(team string) error {
			_, err := w.service.WatchSettings(t.Context(), as(team, &rattanv1.WatchSettingsRequest{Team: "shop"}))
			return err
		},
		"ListKeys": func(team string) error {
			_, err := w.service.ListKeys(t.Context(), as(team, &rattanv1.ListKeysRequest{Team: "shop"}))
			return err
		},
		"GiveKey": func(team string) error {
			_, err := w.service.GiveKey(t.Context(), as(team, &rattanv1.GiveKeyRequest{Team: "shop", ClientAccount: "one"}))
			return err
		},
		"SwitchPrimary": func(team string) error {
			_, err := w.service.SwitchPrimary(t.Context(), as(team, &rattanv1.SwitchPrimaryRequest{Group: "shop/g", Endpoint: "shop/e"}))
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
	_, err := w.service.WithdrawKey(t.Context(), as("other", &rattanv1.WithdrawKeyRequest{Team: "shop", KeyId: "k"}))
	wantCode(t, "WithdrawKey", err, connect.CodePermissionDenied)
	_, err = w.service.Dump(t.Context(), as("shop", &rattanv1.DumpRequest{}))
	wantCode(t, "Dump", err, connect.CodePermissionDenied)
	for _, header := range []string{
		"", "Bearer ", "Bearer rst_shop", "rst_shop_" + secrets["shop"], "Bearer rst_shop_" + secrets["other"],
		"Bearer rst_absent_" + secrets["shop"], "Bearer rsk_shop_" + secrets["shop"], "Bearer rst_SHOP_" + secrets["shop"],
		"Bearer rst_shop_" + secrets["shop"] + "2", "Bearer rst_shop_" + rattansettings.HashSecret(secrets["shop"]).Hex(),
	} {
		request := connect.NewRequest(&rattanv1.GetFleetRequest{})
		request.Header().Set("Authorization", header)
		_, err := w.service.GetFleet(t.Context(), request)
		wantCode(t, header, err, connect.CodeUnauthenticated)
	}
}

// TestViews guards against views that show another team's groups or documents,
// or a secret in a dump.
func TestViews(t *testing.T) {
	w := newShop(t)
	groups, err := w.service.GetGroups(t.Context(), as("shop", &rattanv1.GetGroupsRequest{}))
	if err != nil || len(groups.Msg.GetGroups()) != 1 {
		t.Errorf("groups: %v, %v", groups, err)
	}
	all, err := w.service.GetSettings(t.Context(), as("shop", &rattanv1.GetSettingsRequest{}))
	if err != nil || len(all.Msg.GetDocuments()) != 1 {
		t.Errorf("settings: %v, %v", all, err)
	}
	fleet, err := w.service.GetFleet(t.Context(), as("shop", &rattanv1.GetFleetRequest{}))
	if err != nil || len(fleet.Msg.GetDaemons()) != 5 || len(fleet.Msg.GetFailureDomains()) != 3 {
		t.Errorf("fleet: %v, %v", fleet, err)
	}
	dump, err := w.service.Dump(t.Context(), as("root", &rattanv1.DumpRequest{}))
	if err != nil || string(dump.Msg.GetJson()) != `{"text":"(hidden)"}` {
		t.Errorf("dump: %v, %v", dump, err)
	}
	_, err = w.service.Dump(t.Context(), as("root", &rattanv1.DumpRequest{Part: "x"}))
	wantCode(t, "unknown part", err, connect.CodeNotFound)
}

// TestBootstrap guards against a platform that nobody can set up, and against a
// bootstrap credential that outlives team root's own.
func TestBootstrap(t *testing.T) {
	w := newWorld(t)
	apply := func(team string, revision uint64) error {
		_, err := w.service.ApplySettings(t.Context(), as(team, &rattanv1.ApplySettingsRequest{
			Team: "root", Ini: domains + credentials("root") + fmt.Sprintf("# %d\n", revision), ExpectedRevision: revision,
		}))
		return err
	}
	wantCode(t, "wrong secret", apply("root", 0), connect.CodeUnauthenticated)
	if err := apply("bootstrap", 0); err != nil {
		t.Fatal(err)
	}
	// The daemon's settings are still empty here; the platform's are not.
	wantCode(t, "bootstrap again", apply("bootstrap", 1), connect.CodeUnauthenticated)
	_, err := w.service.GetSettings(t.Context(), as("bootstrap", &rattanv1.GetSettingsRequest{}))
	wantCode(t, "bootstrap reads", err, connect.CodeUnauthenticated)
	w.sync()
	wantCode(t, "bootstrap after the watch", apply("bootstrap", 1), connect.CodeUnauthenticated)
	if err := apply("root", 1); err != nil {
		t.Error(err)
	}
}

// TestReplacedCredential guards against a daemon with old settings that lets a
// replaced credential change anything.
func TestReplacedCredential(t *testing.T) {
	changed := strings.Replace(credentials("root", "shop"), rattansettings.HashSecret(secrets["shop"]).Hex(), strings.Repeat("0", 64), 1)
	for name, text := range map[string]string{"removed": credentials("root"), "replaced": changed} {
		w := newShop(t)
		old := w.Snapshot()
		w.put("root", domains+text)
		w.snapshot = old
		_, err := w.service.EditSettings(t.Context(), as("shop", &rattanv1.EditSettingsRequest{Team: "shop", Edits: edit("endpoint.e", "drained", "true")}))
		wantCode(t, name, err, connect.CodeUnauthenticated)
	}
}

// staleStore is a Store whose lists are empty, as of long ago.
type staleStore struct{ Store }

func (staleStore) List(context.Context) ([]rattanstore.StoredDocument, int, error) {
	return nil, 0, nil
}

// TestStaleList guards against an old answer of the platform that takes the
// settings in force back: a valid change would be refused and a credential fail.
func TestStaleList(t *testing.T) {
	w := newShop(t)
	w.service.store = staleStore{w.store}
	done, err := w.service.EditSettings(t.Context(), as("shop", &rattanv1.EditSettingsRequest{Team: "shop", Edits: edit("endpoint.e", "drained", "true")}))
	if err != nil || done.Msg.GetRevision() != 3 {
		t.Errorf("edit: %v, %v", done, err)
	}
}

// TestBadInput guards against bad input of each kind that changes something.
func TestBadInput(t *testing.T) {
	w := newShop(t)
	apply := func(team, ini string, expected uint64) error {
		_, err := w.service.ApplySettings(t.Context(), as("root", &rattanv1.ApplySettingsRequest{Team: team, Ini: ini, ExpectedRevision: expected}))
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
		_, err := w.service.EditSettings(t.Context(), as("shop", request))
		wantCode(t, name, err, connect.CodeInvalidArgument)
	}
	_, err := w.service.GetSettings(t.Context(), as("shop", &rattanv1.GetSettingsRequest{Path: "shop/group.x"}))
	wantCode(t, "absent path", err, connect.CodeNotFound)
	_, err = w.service.GiveKey(t.Context(), as("shop", &rattanv1.GiveKeyRequest{Team: "shop", ClientAccount: "absent"}))
	wantCode(t, "absent client account", err, connect.CodeInvalidArgument)
	_, err = w.service.WithdrawKey(t.Context(), as("shop", &rattanv1.WithdrawKeyRequest{Team: "shop", KeyId: "absent"}))
	wantCode(t, "absent key", err, connect.CodeNotFound)
	_, err = w.service.SwitchPrimary(t.Context(), as("shop", &rattanv1.SwitchPrimaryRequest{Group: "shop/g", Endpoint: "shop/x"}))
	wantCode(t, "absent endpoint", err, connect.CodeInvalidArgument)
	w.sync()
	if w.Snapshot().MaxRevision() != 2 {
		t.Errorf("bad input has made revision %d", w.Snapshot().MaxRevision())
	}
}

// TestEdit guards against a dry run that stores, a diff or history that lacks
// the change, and a count that hides a VM without the change.
func TestEdit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newShop(t)
		w.behind["b1"] = true
		request := &rattanv1.EditSettingsRequest{Team: "shop", Edits: edit("endpoint.e", "drained", "true"), ChangeId: "c1", DryRun: true}
		dry, err := w.service.EditSettings(t.Context(), as("shop", request))
		if err != nil || dry.Msg.GetRevision() != 2 || !slices.Equal(dry.Msg.GetDiff(), []string{"+drained = true"}) {
			t.Fatalf("dry run: %v, %v", dry, err)
		}
		request.DryRun = false
		for range 2 {
			done, err := w.service.EditSettings(t.Context(), as("shop", request))
			if err != nil || done.Msg.GetRevision() != 3 || done.Msg.GetConfirmed() != 3 || done.Msg.GetDaemons() != 4 || !slices.Equal(done.Msg.GetMissing(), []string{"b1"}) {
				t.Fatalf("edit: %v, %v", done, err)
			}
		}
		history, err := w.service.ListHistory(t.Context(), as("shop", &rattanv1.ListHistoryRequest{Team: "shop"}))
		if err != nil || len(history.Msg.GetChanges()) != 2 || history.Msg.GetChanges()[1].GetAuthor() != "shop" {
			t.Errorf("history: %v, %v", history, err)
		}
		go func() {
			time.Sleep(time.Second)
			w.sync()
		}()
		start := time.Now()
		watched, err := w.service.WatchSettings(t.Context(), as("shop", &rattanv1.WatchSettingsRequest{Team: "shop", AfterRevision: 2, MaxWaitMs: 30_000}))
		if err != nil || len(watched.Msg.GetDocuments()) != 1 || time.Since(start) > 2*time.Second {
			t.Errorf("watch: %v, %v after %s", watched, err, time.Since(start))
		}
	})
}

// TestRace guards against operators whose concurrent edits overwrite each other
// while answers are lost.
func TestRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newShop(t)
		w.fault(&rattanv1.SetFaultRequest{LoseAnswers: 4})
		var group sync.WaitGroup
		for i := range 10 {
			group.Go(func() {
				account := fmt.Sprintf("client_account.n%d", i)
				edits := append(edit(account, "rate", "1"), append(edit(account, "burst", "1"), edit(account, "services", "s")...)...)
				if _, err := w.service.EditSettings(t.Context(), as("shop", &rattanv1.EditSettingsRequest{Team: "shop", Edits: edits})); err != nil {
					t.Error(err)
				}
			})
		}
		group.Wait()
		w.sync()
		if got := len(w.Snapshot().ClientAccounts()); got != 11 {
			t.Errorf("%d client accounts, want 11", got)
		}
	})
}

// TestOutage guards against an answer that calls a change not run although it
// may have run, and against reads that need the platform.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newShop(t)
		request := &rattanv1.EditSettingsRequest{Team: "shop", Edits: edit("endpoint.e", "drained", "true"), ChangeId: "c1"}
		w.fault(&rattanv1.SetFaultRequest{Down: true})
		_, err := w.service.EditSettings(t.Context(), as("shop", request))
		wantCode(t, "down", err, connect.CodeUnavailable)
		wantRunState(t, err, rattanerr.NotRun)
		if got, err := w.service.GetSettings(t.Context(), as("shop", &rattanv1.GetSettingsRequest{Path: "shop"})); err != nil || got.Msg.GetDocuments()[0].GetIni() != shopText {
			t.Errorf("settings in force: %v, %v", got, err)
		}
		w.fault(&rattanv1.SetFaultRequest{LoseAnswers: 1})
		w.service.store = &interrupted{Store: w.service.store, then: func() { w.fault(&rattanv1.SetFaultRequest{Down: true}) }}
		_, err = w.service.EditSettings(t.Context(), as("shop", request))
		wantCode(t, "down after the write", err, connect.CodeUnavailable)
		wantRunState(t, err, rattanerr.Unknown)
		w.fault(&rattanv1.SetFaultRequest{})
		w.service.store = w.store
		done, err := w.service.EditSettings(t.Context(), as("shop", request))
		if err != nil || done.Msg.GetRevision() != 3 {
			t.Errorf("repeat: %v, %v", done, err)
		}
	})
}

// interrupted is a Store whose platform goes down shortly after each change's write.
type interrupted struct {
	Store
	then func()
}

func (s *interrupted) Change(ctx context.Context, change rattanstore.Change) (rattanstore.ChangeResult, error) {
	time.AfterFunc(time.Millisecond, s.then)
	return s.Store.Change(ctx, change)
}

// TestKeys guards against a withdrawal that is called accepted too early, in
// each state of the fleet and the platform, and against a key that is shown twice.
func TestKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newShop(t)
		give := &rattanv1.GiveKeyRequest{Team: "shop", ClientAccount: "one", ChangeId: "g1"}
		given, err := w.service.GiveKey(t.Context(), as("shop", give))
		if err != nil {
			t.Fatal(err)
		}
		_, err = w.service.GiveKey(t.Context(), as("shop", give))
		wantCode(t, "repeat", err, connect.CodeAlreadyExists)
		if !strings.Contains(err.Error(), given.Msg.GetKeyId()) {
			t.Errorf("repeat does not name the key: %v", err)
		}
		w.sync()
		w.ring.Freshness().ObservePlatform(time.Now())
		identity, err := w.ring.Authenticate(given.Msg.GetKey())
		if err != nil || identity.ClientAccount() != "shop/one" {
			t.Fatalf("given key: %+v, %v", identity, err)
		}
		running, done := w.ring.Track(t.Context(), identity.KeyID())
		defer done()
		withdraw := &rattanv1.WithdrawKeyRequest{Team: "shop", KeyId: given.Msg.GetKeyId(), MaxWaitMs: 500}
		w.fault(&rattanv1.SetFaultRequest{Down: true})
		_, err = w.service.WithdrawKey(t.Context(), as("shop", withdraw))
		wantCode(t, "platform down", err, connect.CodeUnavailable)
		if running.Err() != nil {
			t.Error("a withdrawal that was not stored has ended a call")
		}
		w.fault(&rattanv1.SetFaultRequest{})
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
			clear(w.behind)
			for _, vm := range tc.behind {
				w.behind[vm] = true
			}
			got, err := w.service.WithdrawKey(t.Context(), as("shop", withdraw))
			if err != nil || got.Msg.GetAccepted() != tc.accepted || !slices.Equal(got.Msg.GetMissing(), tc.missing) || got.Msg.GetRevision() != 4 {
				t.Errorf("%s: %v, %v", tc.name, got, err)
			}
		}
		if running.Err() == nil || !w.ring.IsWithdrawn(identity.KeyID()) {
			t.Error("the withdrawal has not ended the call")
		}
		keys, err := w.service.ListKeys(t.Context(), as("shop", &rattanv1.ListKeysRequest{Team: "shop", ClientAccount: "one"}))
		if err != nil || len(keys.Msg.GetKeys()) != 1 || !keys.Msg.GetKeys()[0].GetWithdrawn() {
			t.Errorf("keys: %v, %v", keys, err)
		}
		_, err = w.service.EditSettings(t.Context(), as("root", &rattanv1.EditSettingsRequest{Team: "shop", Edits: edit("key."+withdraw.KeyId, "withdrawn", "false")}))
		wantCode(t, "taken back", err, connect.CodeInvalidArgument)
		_, err = w.service.ApplySettings(t.Context(), as("root", &rattanv1.ApplySettingsRequest{Team: "shop", Ini: shopText, ExpectedRevision: 4}))
		wantCode(t, "removed", err, connect.CodeInvalidArgument)
	})
}
