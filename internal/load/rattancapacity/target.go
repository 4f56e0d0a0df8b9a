package rattancapacity

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
	"github.com/rattanstream/rattanstream/internal/daemon/rattanendpoints"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanfailover"
	"github.com/rattanstream/rattanstream/internal/limit/rattanshare"
	"github.com/rattanstream/rattanstream/internal/peer/rattangossip"
	"github.com/rattanstream/rattanstream/internal/peer/rattanmember"
)

// Target is the design target: a group of three endpoints for each of 1,100 databases,
// and a thousand client accounts.
var Target = Size{Daemons: 770, Domains: 7, Groups: 1100, Accounts: 1000}

// Names of the figures of parts of the control work, each measured alone.
const (
	figureMonitors  = "choose_monitors_us_per_group"
	figureLive      = "list_live_daemons_us"
	figurePeers     = "list_live_peers_us"
	figureChoose    = "choose_watchers_us"
	figureVector    = "heartbeat_vector_bytes"
	figureBuild     = "build_heartbeats_us"
	figureMerge     = "merge_heartbeats_us"
	figureDocument  = "settings_bytes_all_teams"
	figureParse     = "parse_one_team_ms"
	figureSnapshot  = "build_snapshot_ms"
	figureSettings  = "settings_heap_bytes"
	figureInstances = "instances"
)

// meanCPUTime calls do repeatedly, for at least the time span, and returns the mean CPU
// time of a call.
func meanCPUTime(span time.Duration, do func()) time.Duration {
	begin := processCPU()
	count := 0
	for end := time.Now().Add(span); count == 0 || time.Now().Before(end); count++ {
		do()
	}
	return (processCPU() - begin) / time.Duration(count)
}

func microseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1e3 }

func milliseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1e6 }

func domainName(i, domains int) string { return string(rune('a' + i%domains)) }

// MeasureMonitors measures the choice of the monitors of one group, which every daemon
// makes for every group.
func MeasureMonitors(size Size, span time.Duration) Figures {
	daemons := make([]rattanfailover.Daemon, size.Daemons)
	for i := range daemons {
		daemons[i] = rattanfailover.Daemon{Name: fmt.Sprintf("vm-%d", i), Incarnation: 1, FailureDomain: domainName(i, size.Domains)}
	}
	domains := []string{"a", "b", "c"}
	n := 0
	took := meanCPUTime(span, func() {
		n++
		rattanfailover.Monitors(fmt.Sprintf("shop/group%d", n%size.Groups), domains, daemons, rattanfailover.MonitorsPerDomain)
	})
	return Figures{figureMonitors: microseconds(took)}
}

// MeasureMembership measures a daemon's work on the list of daemons: reading it, and
// building and merging the gossip records with heartbeats.
func MeasureMembership(size Size, span time.Duration) Figures {
	own, others := newMembership(size)
	peer := rattangossip.Peer{VM: "vm-1", Incarnation: 1, FailureDomain: domainName(1, size.Domains)}
	for range 2 * size.Domains {
		for _, other := range others {
			own.Merge(other.Answer(peer, own.Outgoing(peer)))
		}
	}
	var vectors []rattangossip.Record
	figures := Figures{
		figureLive:   microseconds(meanCPUTime(span, func() { own.Live() })),
		figurePeers:  microseconds(meanCPUTime(span, func() { own.LivePeers() })),
		figureChoose: microseconds(meanCPUTime(span, func() { own.IsWatcher("settings/", rattanmember.WatchersPerDomain) })),
		figureBuild:  microseconds(meanCPUTime(span, func() { vectors = own.Outgoing(peer) })),
	}
	figures[figureMerge] = microseconds(meanCPUTime(span, func() { own.Merge(vectors) }))
	for _, vector := range vectors {
		figures[figureVector] += float64(len(vector.Value))
	}
	return figures
}

// A stoppedClock stands still, so that daemons stay live during a measurement.
type stoppedClock struct {
	rattanclock.Clock
	now time.Time
}

// Now implements rattanclock.Clock.
func (c stoppedClock) Now() time.Time { return c.now }

// newMembership returns a registry that has all daemons of the size, and the registries
// of the other daemons, which have only themselves.
func newMembership(size Size) (*rattanmember.Registry, []*rattanmember.Registry) {
	clock := stoppedClock{rattanclock.System(), time.Now()}
	ownStore := rattangossip.NewStore(clock)
	var own *rattanmember.Registry
	var others []*rattanmember.Registry
	for i := range size.Daemons {
		identity := rattanmember.Identity{
			VM:            fmt.Sprintf("vm-%d", i),
			Incarnation:   1,
			FailureDomain: domainName(i, size.Domains),
			Addresses:     rattanmember.Addresses{Caller: "10.0.0.1:7101", Operator: "10.0.0.1:7201", Peer: fmt.Sprintf("10.0.%d.%d:7301", i/250, i%250)},
		}
		if i == 0 {
			own = rattanmember.New(identity, ownStore, clock)
			continue
		}
		store := rattangossip.NewStore(clock)
		others = append(others, rattanmember.New(identity, store, clock))
		exchange := rattangossip.NewExchange(rattangossip.Peer{VM: identity.VM}, store)
		for _, record := range exchange.Request(rattangossip.Peer{}).GetRecords() {
			ownStore.Merge(rattangossip.RecordFromWire(record))
		}
	}
	return own, others
}

// settingsTeams is the number of teams among which the settings are divided: one document
// holds at most 512 KiB, which the settings of Target exceed.
const settingsTeams = 2

// MeasureSettings measures the settings of a deployment, divided equally among teams. The
// parsing time is that of one team's document.
func MeasureSettings(size Size, span time.Duration) (Figures, error) {
	var texts []string
	for team := range settingsTeams {
		part := size
		part.Groups = (size.Groups + team) / settingsTeams
		part.Accounts = (size.Accounts + team) / settingsTeams
		texts = append(texts, settingsText(part, team))
	}
	before, _ := usedMemory()
	documents, err := parseTexts(texts)
	if err != nil {
		return nil, err
	}
	snapshot := rattansettings.NewSnapshot(documents...)
	after, _ := usedMemory()
	figures := Figures{
		figureInstances: float64(len(snapshot.Endpoints())),
		figureSettings:  float64(after) - float64(before),
		figureParse:     milliseconds(meanCPUTime(span, func() { _, err = parseTexts(texts[:1]) })),
		figureSnapshot:  milliseconds(meanCPUTime(span, func() { rattansettings.NewSnapshot(documents...) })),
	}
	for _, text := range texts {
		figures[figureDocument] += float64(len(text))
	}
	return figures, err
}

// parseTexts parses the documents of teams named team0, team1, and so on.
func parseTexts(texts []string) ([]*rattansettings.Document, error) {
	var documents []*rattansettings.Document
	for i, text := range texts {
		document, err := rattansettings.ParseDocument(fmt.Sprintf("team%d", i), text)
		if err != nil {
			return nil, err
		}
		documents = append(documents, document)
	}
	return documents, nil
}

// figureUpdateShares is the time in which the pools of all endpoints apply the daemon's
// current connection shares, which happens 20 times a second.
const figureUpdateShares = "update_connection_shares_us"

// A noEndpoints is an HTTP client whose requests all fail.
type noEndpoints struct{}

// Do implements connect.HTTPClient.
func (noEndpoints) Do(*http.Request) (*http.Response, error) { return nil, errors.New("no endpoint") }

// MeasureConnectionShares measures the work on the connection shares of all endpoints.
// No endpoint runs.
func MeasureConnectionShares(size Size, span time.Duration) (Figures, error) {
	part := size
	part.Accounts = 0
	part.Groups = size.Groups / settingsTeams
	texts := []string{settingsText(part, 0), settingsText(part, 1)}
	documents, err := parseTexts(texts)
	if err != nil {
		return nil, err
	}
	snapshot := rattansettings.NewSnapshot(documents...)
	clock := rattanclock.System()
	manager := rattanshare.New(clock, "vm-0", 1, "a", nil)
	endpoints := rattanendpoints.New(clock, rattanendpoints.Config{
		HTTPClient:   noEndpoints{},
		MessageBytes: maxResponseBytes,
		Share: func(endpoint string, _ int) int {
			_, _ = manager.Share(rattanshare.ConnectionShare(endpoint))
			return 1
		},
	})
	endpoints.Apply(snapshot)
	took := meanCPUTime(span, endpoints.UpdateShares)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	endpoints.Close(ctx)
	return Figures{figureInstances: float64(len(endpoints.All())), figureUpdateShares: microseconds(took)}, nil
}

// settingsText returns the settings document of one team for a deployment of the size.
// The endpoints of different teams have different addresses.
func settingsText(size Size, team int) string {
	var b strings.Builder
	for i := range size.Groups {
		var names []string
		for n := range endpointsPerGroup {
			name := fmt.Sprintf("group%d-%s", i, domainName(i+n, size.Domains))
			names = append(names, name)
			fmt.Fprintf(&b, "[endpoint.%s]\naddress = 10.%d.%d.%d:%d\nfailure_domain = %s\nconnections = 30\nslots = 3\ndrained = false\n\n",
				name, n, i/250, i%250, firstPort+team, domainName(i+n, size.Domains))
		}
		fmt.Fprintf(&b, "[group.group%d]\nendpoints = %s\n\n", i, strings.Join(names, ", "))
		fmt.Fprintf(&b, "[service.service%d]\ngroup = group%d\nacknowledge = majority\n\n", i, i)
		fmt.Fprintf(&b, "[route.service%d.browse]\nmax_age = 2s\n\n", i)
	}
	for i := range size.Accounts {
		fmt.Fprintf(&b, "[client_account.account%d]\nrate = 20\nburst = 40\nweight = 1\nservices = service0\n\n", i)
		fmt.Fprintf(&b, "[key.k%d]\nclient_account = account%d\nsecret_sha256 = %s\nwithdrawn = false\n\n", i, i, strings.Repeat("0", hashDigits))
	}
	return b.String()
}

const (
	endpointsPerGroup = 3
	firstPort         = 8001
	// hashDigits is the length of a SHA-256 in hexadecimal digits.
	hashDigits = 64
)
