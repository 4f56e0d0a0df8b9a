// Package rattankey decides which keys are valid, knows which are withdrawn, and
// ends what runs under a key when it is withdrawn.
package rattankey

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
)

// An Identity is who a valid key belongs to. It does not contain the key.
type Identity struct {
	keyID         string
	team          string
	clientAccount string
}

// KeyID returns the key's full name, "<team>/<key id>".
func (i Identity) KeyID() string { return i.keyID }

// Team returns the team that owns the client account.
func (i Identity) Team() string { return i.team }

// ClientAccount returns the client account's full name.
func (i Identity) ClientAccount() string { return i.clientAccount }

// A Keyring holds the keys of the settings in force. It is safe for concurrent use.
type Keyring struct {
	freshness     *Freshness
	failureDomain string

	mu       sync.RWMutex
	settings *rattansettings.Snapshot
	domains  []string
	// withdrawn is only ever added to.
	withdrawn map[string]bool
	calls     map[string]map[*runningCall]struct{}
	observers []func(keyID string)
}

type runningCall struct {
	cancel context.CancelCauseFunc
}

// An Option changes a Ring that is being built.
type Option func(*Keyring)

// WithObserver adds a function that is called once with the full name of each
// newly withdrawn key, for gossip. It may call the Ring.
func WithObserver(observe func(keyID string)) Option {
	return func(r *Keyring) { r.observers = append(r.observers, observe) }
}

// New returns a Ring without keys for a daemon in failureDomain.
func New(clock rattanclock.Clock, failureDomain string, options ...Option) *Keyring {
	r := &Keyring{
		freshness:     NewFreshness(clock),
		failureDomain: failureDomain,
		settings:      rattansettings.NewSnapshot(),
		withdrawn:     make(map[string]bool),
		calls:         make(map[string]map[*runningCall]struct{}),
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// Freshness returns the age of the ring's knowledge of withdrawals.
func (r *Keyring) Freshness() *Freshness { return r.freshness }

// Update puts new settings in force. A key that the settings have as withdrawn
// stays withdrawn whatever later settings say. Calls also end whose key is gone
// or now belongs to another client account or secret.
func (r *Keyring) Update(settings *rattansettings.Snapshot) {
	r.tell(r.update(settings))
}

// update returns the newly withdrawn keys.
func (r *Keyring) update(settings *rattansettings.Snapshot) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var added []string
	before := r.settings
	r.settings = settings
	r.domains = r.domains[:0:0]
	for _, domain := range settings.FailureDomains() {
		r.domains = append(r.domains, domain.Name())
	}
	for _, key := range settings.Keys() {
		if key.Withdrawn() && r.withdraw(key.Name()) {
			added = append(added, key.Name())
		}
	}
	for keyID := range r.calls {
		if !sameKey(before, settings, keyID) {
			r.endCalls(keyID)
		}
	}
	return added
}

func sameKey(before, after *rattansettings.Snapshot, keyID string) bool {
	old, _ := before.Key(keyID)
	current, found := after.Key(keyID)
	return found && old.ClientAccount() == current.ClientAccount() && old.Hash().Equal(current.Hash())
}

// Withdraw adds withdrawals learned from another daemon, by full name.
func (r *Keyring) Withdraw(keyIDs ...string) {
	var added []string
	r.mu.Lock()
	for _, keyID := range keyIDs {
		if r.withdraw(keyID) {
			added = append(added, keyID)
		}
	}
	r.mu.Unlock()
	r.tell(added)
}

// tell calls the observers without the lock, since they may lead back to Withdraw.
func (r *Keyring) tell(keyIDs []string) {
	for _, keyID := range keyIDs {
		for _, observe := range r.observers {
			observe(keyID)
		}
	}
}

func (r *Keyring) withdraw(keyID string) bool {
	if r.withdrawn[keyID] {
		return false
	}
	r.withdrawn[keyID] = true
	r.endCalls(keyID)
	return true
}

func (r *Keyring) endCalls(keyID string) {
	for call := range r.calls[keyID] {
		call.cancel(&WithdrawnError{KeyID: keyID})
	}
	delete(r.calls, keyID)
}

// IsWithdrawn reports whether the key of a full name is withdrawn.
func (r *Keyring) IsWithdrawn(keyID string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.withdrawn[keyID]
}

// Withdrawn returns the full names of all withdrawn keys, sorted.
func (r *Keyring) Withdrawn() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return slices.Sorted(maps.Keys(r.withdrawn))
}

// Authenticate returns the identity of a key as callers send it, without
// "Bearer ". Errors are ErrUnauthenticated, *WithdrawnError and *NotFreshError.
// One hash is computed and compared whether or not the id is known; only a
// caller with the right secret learns that its key is withdrawn or that the
// daemon is not fresh.
func (r *Keyring) Authenticate(bearer string) (Identity, error) {
	id, secret, ok := parseBearer(bearer)
	if !ok {
		return Identity{}, ErrUnauthenticated
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	key, found := match(r.settings.KeysByID(id), secret)
	if !found {
		return Identity{}, ErrUnauthenticated
	}
	if r.withdrawn[key.Name()] {
		return Identity{}, &WithdrawnError{KeyID: key.Name()}
	}
	if err := r.checkFresh(); err != nil {
		return Identity{}, err
	}
	return Identity{keyID: key.Name(), team: key.Team(), clientAccount: key.ClientAccount()}, nil
}

// match compares the secret with every key of the id. An unknown id is compared
// with the zero Hash, which takes as long and never matches.
func match(keys []rattansettings.Key, secret string) (rattansettings.Key, bool) {
	if len(keys) == 0 {
		keys = []rattansettings.Key{{}}
	}
	var matched rattansettings.Key
	found := false
	for _, key := range keys {
		if key.Hash().Matches(secret) {
			matched, found = key, true
		}
	}
	return matched, found
}

func (r *Keyring) checkFresh() error {
	policy := r.settings.Policy()
	if policy.ServeIsolatedKeys() {
		return nil
	}
	return r.freshness.Check(policy.KeyFreshness(), r.failureDomain, r.domains)
}

// Track registers a call that runs under a key, by full name. The context ends
// with a *WithdrawnError as its cause when the key is withdrawn, at once when it
// already is. The caller must call the function when the call has ended.
func (r *Keyring) Track(ctx context.Context, keyID string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	call := &runningCall{cancel: cancel}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.settings.Key(keyID); r.withdrawn[keyID] || !known {
		cancel(&WithdrawnError{KeyID: keyID})
		return ctx, func() {}
	}
	if r.calls[keyID] == nil {
		r.calls[keyID] = make(map[*runningCall]struct{})
	}
	r.calls[keyID][call] = struct{}{}
	return ctx, func() { r.end(keyID, call) }
}

func (r *Keyring) end(keyID string, call *runningCall) {
	call.cancel(context.Canceled)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls[keyID], call)
	if len(r.calls[keyID]) == 0 {
		delete(r.calls, keyID)
	}
}

// InFlight returns the number of calls that run under keys.
func (r *Keyring) InFlight() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	count := 0
	for _, calls := range r.calls {
		count += len(calls)
	}
	return count
}
