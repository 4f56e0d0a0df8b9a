package rattancache

import (
	"strings"

	"github.com/rattanstream/rattanstream/internal/config/rattankv"
)

// The keys of the daemons' own records in the store.
const (
	// KeyPrefix is the prefix of all of these keys.
	KeyPrefix = "rattanstream/"
	// VMPrefix is the prefix of the keys of the live VMs; each is bound to a lease.
	VMPrefix = KeyPrefix + "vms/"
	// MemberPrefix is the prefix of the keys of the VMs whose daemons may hold grants
	// or run a switchover (the membership). They outlast the leases.
	MemberPrefix = KeyPrefix + "roll/"
	// GroupPrefix is the prefix of the keys of the groups' primaries.
	GroupPrefix = KeyPrefix + "groups/"
	// AbandonedPrefix is the prefix of the keys by which operators declare that an endpoint
	// is lost for good, so that no switchover waits for it. The value does not matter.
	AbandonedPrefix = KeyPrefix + "abandoned/"
	// LeaderKey holds the record of the failover leader; it is bound to a lease.
	LeaderKey = KeyPrefix + "duty"
	// SettledKey holds the era of the store for which the failover leader has written all
	// groups' records that a restoration had lost.
	SettledKey = KeyPrefix + "settled"
	// FencingTokenKey holds the fencing token of the last failover leader.
	FencingTokenKey = KeyPrefix + "duty_token"
	// UsageKey holds which windows of usage are decided, and the reports of those that may
	// not have been sent.
	UsageKey = KeyPrefix + "usage"
)

// A VMRecord is a daemon's entry in the store, by which the other daemons learn
// its address and state.
type VMRecord struct {
	// Incarnation differs between the processes of one VM.
	Incarnation string `json:"incarnation"`
	// Address is where other daemons reach the daemon.
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// ProcessorCores is the processor time that the daemon may use, in cores.
	ProcessorCores float64 `json:"processor_cores,omitempty"`
	// Stopped holds, by group, the number of the newest switchover for which the
	// daemon has stopped sending work that only the primary may run.
	Stopped map[string]int64 `json:"stopped,omitempty"`
	// Unreachable lists the endpoints that do not answer the daemon.
	Unreachable []string `json:"unreachable,omitempty"`
	// IsStopping is true while the daemon shuts down; it then accepts no new work
	// that other daemons forward to it.
	IsStopping bool `json:"stopping,omitempty"`
	// Lease is the lease that the entry is bound to. It comes from the store's item,
	// not from the value.
	Lease rattankv.Lease `json:"-"`
}

// A MemberRecord names the newest registered daemon of a VM in the membership.
type MemberRecord struct {
	Incarnation string `json:"incarnation"`
	// Address is where other daemons reach the daemon.
	Address string `json:"address"`
	// CreateRevision is the revision at which the VM became a member, and Revision
	// that of the entry's last change. Both come from the store's item, not from the
	// value.
	CreateRevision rattankv.Revision `json:"-"`
	Revision       rattankv.Revision `json:"-"`
}

// A LeaderRecord names the failover leader.
type LeaderRecord struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	// Token is the fencing token; it rises with each failover leader.
	Token int64 `json:"token"`
}

// vmName returns the VM whose entry the key holds.
func vmName(key string) (string, bool) { return strings.CutPrefix(key, VMPrefix) }

// memberName returns the VM whose membership record the key holds.
func memberName(key string) (string, bool) { return strings.CutPrefix(key, MemberPrefix) }

// abandonedID returns the endpoint that the key declares lost for good.
func abandonedID(key string) (string, bool) { return strings.CutPrefix(key, AbandonedPrefix) }

// groupName returns the group whose primary the key holds.
func groupName(key string) (string, bool) { return strings.CutPrefix(key, GroupPrefix) }
