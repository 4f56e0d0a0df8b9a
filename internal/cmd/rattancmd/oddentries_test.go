package rattancmd

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/rattanstream/rattanstream/internal/config/rattanstore"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

// oddValues are entries that other writers have left in lists that processes follow.
var oddValues = []string{
	`{"members":` + strings.Repeat("[", 12_000),
	`{"members":[` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `]}`,
	`{"members":[{"vm":"odd","incarnation":1e400}],"ini":1e400,"changes":[{"unix_ms":1e400}]}`,
	`{"members":[{"vm":"odd","incarnation":99999999999999999999}],"ini":"[endpoint.odd]\naddress = 127.0.0.1:70000\nslots = 1e400\n"}`,
	"\xff\x00{",
}

// oddKeys are the places of such entries: each list of the platform's store.
var oddKeys = []string{"settings/odd", "settings/", "roster/a", "roster/odd", "vm/odd", "odd"}

// cmdOddEntries writes odd entries into each list of the platform's store, one after the
// other.
func cmdOddEntries(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 0 {
		ts.Fatalf("usage: oddentries")
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	client := rattanv1connect.NewPlatformServiceClient(http.DefaultClient, "http://"+ts.Getenv("PLATFORM"))
	for _, value := range oddValues {
		for _, key := range oddKeys {
			ts.Check(putOddEntry(ctx, client, key, value))
		}
		time.Sleep(oddEntryPause)
	}
}

// putOddEntry writes a value to a key, again when a daemon has replaced the last one meanwhile.
func putOddEntry(ctx context.Context, client rattanv1connect.PlatformServiceClient, key, value string) error {
	for {
		found, err := client.Get(ctx, connect.NewRequest(&rattanv1.GetRequest{Key: key}))
		if err != nil {
			return err
		}
		_, err = client.Put(ctx, connect.NewRequest(&rattanv1.PutRequest{
			Key: key, Value: []byte(value), ExpectedRevision: found.Msg.GetEntry().GetRevision(),
		}))
		if connect.CodeOf(err) != connect.CodeAborted {
			return err
		}
	}
}

// oddEntryPause lets daemons read each of the odd entries.
const oddEntryPause = 300 * time.Millisecond

// cmdAwaitRoster waits until the stored roster of a failure domain can be read and has the
// VMs.
func cmdAwaitRoster(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: awaitroster FAILURE-DOMAIN VM...")
	}
	client := rattanv1connect.NewPlatformServiceClient(http.DefaultClient, "http://"+ts.Getenv("PLATFORM"))
	for end := time.Now().Add(awaitTimeout); time.Now().Before(end); time.Sleep(awaitInterval) {
		found, err := client.Get(context.Background(), connect.NewRequest(&rattanv1.GetRequest{Key: rattanstore.RosterPath(args[0])}))
		ts.Check(err)
		roster, err := rattanstore.DecodeRoster(args[0], 1, found.Msg.GetEntry().GetValue())
		isMissing := func(vm string) bool {
			return !slices.ContainsFunc(roster.Members, func(m rattanstore.Member) bool { return m.VM == vm })
		}
		if err == nil && !slices.ContainsFunc(args[1:], isMissing) {
			return
		}
	}
	ts.Fatalf("the roster of %s does not have %q after %s", args[0], args[1:], awaitTimeout)
}
