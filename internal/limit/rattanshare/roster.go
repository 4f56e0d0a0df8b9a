package rattanshare

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// A Member is one daemon in a roster.
type Member struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
}

// A Roster lists the daemons of a failure domain that may hold base shares. The
// methods that change a roster return a new one; the caller stores it by
// compare-and-swap on Revision.
type Roster struct {
	// Revision is the platform's revision of the document, 0 when it does not exist.
	Revision uint64
	// Members is sorted by VM, with one member for each VM.
	Members []Member
}

type rosterDocument struct {
	Members []Member `json:"members"`
}

// A RosterError reports a roster document that cannot be used.
type RosterError struct {
	Problem string
}

// Error implements the error interface.
func (e *RosterError) Error() string {
	return "roster: " + e.Problem
}

// ParseRoster returns the roster of a document stored under
// roster/<failure domain> at revision. The error is a *RosterError when the
// document is not JSON, or when a VM is unnamed or listed twice.
func ParseRoster(document []byte, revision uint64) (Roster, error) {
	var parsed rosterDocument
	if err := json.Unmarshal(document, &parsed); err != nil {
		return Roster{}, &RosterError{Problem: "document is not JSON with a list of members: " + err.Error()}
	}
	roster := Roster{Revision: revision, Members: parsed.Members}
	slices.SortFunc(roster.Members, compareMembers)
	for i, member := range roster.Members {
		if member.VM == "" {
			return Roster{}, &RosterError{Problem: "a member has no vm"}
		}
		if i > 0 && member.VM == roster.Members[i-1].VM {
			return Roster{}, &RosterError{Problem: fmt.Sprintf("vm %q is listed twice", member.VM)}
		}
	}
	return roster, nil
}

// Document returns the roster in the form in which it is stored in the platform.
func (r Roster) Document() []byte {
	// Marshaling strings and integers cannot fail.
	document, _ := json.Marshal(rosterDocument{Members: append([]Member{}, r.Members...)})
	return document
}

// Has reports whether member is in r with this incarnation.
func (r Roster) Has(member Member) bool {
	return slices.Contains(r.Members, member)
}

// Join returns r with member added, in place of an older incarnation of the same VM.
// The second result is false when nothing changes, because r already has the member
// or a newer incarnation of its VM.
func (r Roster) Join(member Member) (Roster, bool) {
	for _, present := range r.Members {
		if present.VM == member.VM && present.Incarnation >= member.Incarnation {
			return r, false
		}
	}
	joined := r.without(func(present Member) bool { return present.VM == member.VM })
	joined.Members = append(joined.Members, member)
	slices.SortFunc(joined.Members, compareMembers)
	return joined, true
}

// Leave returns r without member. The second result is false when that incarnation is
// not in r. A daemon removes itself with it after Manager.Leave.
func (r Roster) Leave(member Member) (Roster, bool) {
	if !r.Has(member) {
		return r, false
	}
	return r.without(func(present Member) bool { return present == member }), true
}

// Remove returns r without the VMs for which terminated is true, for example
// TerminationDetector.IsTerminated. The second result is false when nothing changes.
func (r Roster) Remove(terminated func(vm string) bool) (Roster, bool) {
	removed := r.without(func(present Member) bool { return terminated(present.VM) })
	return removed, len(removed.Members) != len(r.Members)
}

func (r Roster) without(drop func(Member) bool) Roster {
	kept := Roster{Revision: r.Revision}
	for _, member := range r.Members {
		if !drop(member) {
			kept.Members = append(kept.Members, member)
		}
	}
	return kept
}

func compareMembers(a, b Member) int { return strings.Compare(a.VM, b.VM) }
