package rattandaemon

import (
	"encoding/json"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanpool"
	"github.com/rattanstream/rattanstream/internal/limit/rattanshare"
	"github.com/rattanstream/rattanstream/internal/peer/rattanlink"
)

// The JSON types of the state dump. None of them can hold a key or a secret.
type (
	dumpDaemon struct {
		VM            string `json:"vm"`
		Incarnation   uint64 `json:"incarnation"`
		FailureDomain string `json:"failure_domain"`
		Stopping      bool   `json:"stopping"`
		Running       uint32 `json:"running"`
		Transactions  int    `json:"transactions"`
		WaitingWrites int64  `json:"waiting_writes"`
	}
	dumpSettings struct {
		Digest uint64 `json:"digest"`
		// Teams has the revision in force of each team's document.
		Teams           map[string]uint64 `json:"teams"`
		ReferenceErrors []string          `json:"faults"`
		ClientAccounts  int               `json:"client_accounts"`
	}
	dumpKeys struct {
		Withdrawn  []string `json:"withdrawn"`
		Running    int      `json:"running"`
		FreshKnown bool     `json:"fresh_known"`
		FreshAgeMs int64    `json:"fresh_age_ms"`
	}
	dumpMember struct {
		VM            string `json:"vm"`
		Incarnation   uint64 `json:"incarnation"`
		FailureDomain string `json:"failure_domain"`
		State         string `json:"state"`
		Live          bool   `json:"live"`
		// SinceHeartbeatMs is the time since the heartbeat counter last advanced.
		SinceHeartbeatMs int64  `json:"silent_ms"`
		Revision         uint64 `json:"revision"`
	}
	dumpEndpoint struct {
		Name      string           `json:"name"`
		Position  string           `json:"position"`
		Reachable bool             `json:"reachable"`
		Drained   bool             `json:"drained"`
		Running   int              `json:"running"`
		Pool      rattanpool.Stats `json:"pool"`
		Queued    map[string]int   `json:"queued"`
	}
	dumpGroup struct {
		Name        string                  `json:"name"`
		Term        uint64                  `json:"term"`
		Primary     string                  `json:"primary"`
		TermHistory rattanmodel.TermHistory `json:"lineage"`
		Monitored   bool                    `json:"monitored"`
		Endpoints   []dumpEndpoint          `json:"endpoints"`
	}
	dumpCallers struct {
		Served       uint64            `json:"served"`
		ReplicaReads uint64            `json:"replica_reads"`
		PrimaryReads uint64            `json:"primary_reads"`
		Retries      uint64            `json:"retries"`
		Refused      map[string]uint64 `json:"refused"`
	}
	dumpLinks struct {
		Client           rattanlink.Counters `json:"client"`
		Server           rattanlink.Counters `json:"server"`
		Exchanges        uint64              `json:"exchanges"`
		FailedExchanges  uint64              `json:"failed_exchanges"`
		PlatformReads    uint64              `json:"platform_reads"`
		PlatformWrites   uint64              `json:"platform_writes"`
		PlatformWatches  uint64              `json:"platform_watches"`
		PlatformFailures uint64              `json:"platform_failures"`
	}
)

// dumpParts returns the functions that build the parts of the state dump, by name.
func (d *Daemon) dumpParts() map[string]func() any {
	return map[string]func() any{
		"daemon":   func() any { return d.dumpDaemon() },
		"settings": func() any { return d.dumpSettings() },
		"keys":     func() any { return d.dumpKeys() },
		"members":  func() any { return d.dumpMembers() },
		"shares":   func() any { return d.dumpShares() },
		"groups":   func() any { return d.dumpGroups() },
		"callers":  func() any { return d.dumpCallers() },
		"links":    func() any { return d.dumpLinks() },
	}
}

// dump returns one part of the state, or all parts if part is empty, as indented
// JSON. It returns false for an unknown part.
func (d *Daemon) dump(part string) ([]byte, bool) {
	parts := d.dumpParts()
	if part != "" {
		get, ok := parts[part]
		if !ok {
			return nil, false
		}
		parts = map[string]func() any{part: get}
	}
	state := make(map[string]any, len(parts))
	for name, get := range parts {
		state[name] = get()
	}
	text, err := json.MarshalIndent(state, "", "  ")
	if err != nil {
		d.logger.Error("state dump cannot be encoded", "error", err)
		return nil, false
	}
	return text, true
}

func (d *Daemon) dumpDaemon() dumpDaemon {
	return dumpDaemon{
		VM:            d.self.VM,
		Incarnation:   d.self.Incarnation,
		FailureDomain: d.self.FailureDomain,
		Stopping:      d.stopping.Load(),
		Running:       d.running(),
		Transactions:  d.transactions.Len(),
		WaitingWrites: d.executor.WaitingWrites(),
	}
}

func (d *Daemon) dumpSettings() dumpSettings {
	snapshot := d.configuration.snapshot()
	dumped := dumpSettings{
		Digest:          snapshot.Digest(),
		Teams:           make(map[string]uint64),
		ReferenceErrors: []string{},
		ClientAccounts:  len(snapshot.ClientAccounts()),
	}
	for _, document := range snapshot.Documents() {
		dumped.Teams[document.Team()] = document.Revision()
	}
	for _, err := range snapshot.ReferenceErrors() {
		dumped.ReferenceErrors = append(dumped.ReferenceErrors, err.Error())
	}
	return dumped
}

func (d *Daemon) dumpKeys() dumpKeys {
	age, known := d.keyring.Freshness().Age()
	return dumpKeys{
		Withdrawn:  d.keyring.Withdrawn(),
		Running:    d.keyring.InFlight(),
		FreshKnown: known,
		FreshAgeMs: age.Milliseconds(),
	}
}

func (d *Daemon) dumpMembers() []dumpMember {
	members := []dumpMember{}
	for _, member := range d.members.Members() {
		members = append(members, dumpMember{
			VM:               member.VM,
			Incarnation:      member.Incarnation,
			FailureDomain:    member.FailureDomain,
			State:            displayedState(member),
			Live:             member.Live,
			SinceHeartbeatMs: member.SinceHeartbeat.Milliseconds(),
			Revision:         member.Revisions.Settings,
		})
	}
	return members
}

func (d *Daemon) dumpShares() rattanshare.Snapshot { return d.roster.Manager().Snapshot() }

func (d *Daemon) dumpGroups() []dumpGroup {
	groups := []dumpGroup{}
	for _, settings := range d.configuration.snapshot().Groups() {
		view := d.groups.View(settings.Name())
		group := dumpGroup{
			Name:        view.Group,
			Term:        view.Term,
			Primary:     view.Primary,
			TermHistory: view.TermHistory,
			Monitored:   d.groups.IsMonitoring(view.Group),
		}
		for _, endpoint := range view.Endpoints {
			group.Endpoints = append(group.Endpoints, d.dumpEndpoint(endpoint))
		}
		groups = append(groups, group)
	}
	return groups
}

func (d *Daemon) dumpEndpoint(view rattanmodel.EndpointView) dumpEndpoint {
	dumped := dumpEndpoint{
		Name:      view.Name,
		Position:  view.Position.String(),
		Reachable: view.Reachable,
		Drained:   view.Drained,
	}
	if endpoint, ok := d.endpoints.Find(view.Name); ok {
		dumped.Running = endpoint.Running()
		dumped.Pool = endpoint.Pool().Stats()
		dumped.Queued = endpoint.Pool().QueueLengths()
	}
	return dumped
}

func (d *Daemon) dumpCallers() dumpCallers {
	counters := d.callers.Counters()
	return dumpCallers{
		Served:       counters.Served(),
		ReplicaReads: counters.ReplicaReads(),
		PrimaryReads: counters.PrimaryReads(),
		Retries:      d.executor.Retries(),
		Refused:      counters.Refused(),
	}
}

func (d *Daemon) dumpLinks() dumpLinks {
	started, failed := d.gossipRunner.Exchanges()
	platform := d.store.Counters()
	return dumpLinks{
		Client:           d.peers.client.Counters(),
		Server:           d.peerServer.Counters(),
		Exchanges:        started,
		FailedExchanges:  failed,
		PlatformReads:    platform.Reads,
		PlatformWrites:   platform.Writes,
		PlatformWatches:  platform.Watches,
		PlatformFailures: platform.Failures,
	}
}
