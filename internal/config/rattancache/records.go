package rattancache

import "strings"

// The keys of the daemons' own records in the store.
const (
	// KeyPrefix begins all of them.
	KeyPrefix = "rattanstream/"
	// VMPrefix begins the keys of the live VMs; each is bound to a lease.
	VMPrefix = KeyPrefix + "vms/"
	// MemberPrefix begins the keys of the VMs whose daemons may hold grants or run a
	// switch. They outlast the leases.
	MemberPrefix = KeyPrefix + "roll/"
	// GroupPrefix begins the keys of the groups' primaries.
	GroupPrefix = KeyPrefix + "groups/"
	// LeaderKey names the holder of the failover duty; it is bound to a lease.
	LeaderKey = KeyPrefix + "duty"
	// FencingTokenKey holds the fencing token of the last holder.
	FencingTokenKey = KeyPrefix + "duty_token"
)

// A VMRecord is what a daemon tells the others through the store.
type VMRecord struct {
	// Incarnation differs between the processes of one VM.
	Incarnation string `json:"incarnation"`
	// Address is where other daemons reach the daemon.
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Stopped lists, by group, the number of the newest switch for which the
	// daemon has stopped to send primary work.
	Stopped map[string]int64 `json:"stopped,omitempty"`
	// Unreachable lists the endpoints that do not answer the daemon.
	Unreachable []string `json:"unreachable,omitempty"`
	// IsStopping daemons take no new work for others.
	IsStopping bool `json:"stopping,omitempty"`
	// Lease is the lease that the entry is bound to, as the store tells it.
	Lease int64 `json:"-"`
}

// A MemberRecord names the newest daemon of a VM that was listed.
type MemberRecord struct {
	Incarnation string `json:"incarnation"`
	// Address is where other daemons reach the daemon.
	Address string `json:"address"`
	// CreateRevision is the revision since which the VM is on the roll, Revision that of
	// the entry, as the store tells them.
	CreateRevision int64 `json:"-"`
	Revision       int64 `json:"-"`
}

// A LeaderRecord names the daemon that holds the failover duty.
type LeaderRecord struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	// Token is the fencing token; it rises with each holder.
	Token int64 `json:"token"`
}

// vmName returns the VM that a key belongs to.
func vmName(key string) (string, bool) { return strings.CutPrefix(key, VMPrefix) }

// rollName returns the VM whose daemon a key names.
func rollName(key string) (string, bool) { return strings.CutPrefix(key, MemberPrefix) }

// groupName returns the group that a key belongs to.
func groupName(key string) (string, bool) { return strings.CutPrefix(key, GroupPrefix) }
