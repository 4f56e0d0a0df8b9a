// Package rattankey authenticates callers by their keys, tracks which keys are
// withdrawn, and cancels the calls of a key when it is withdrawn.
package rattankey

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
)

// An Identity is the owner of a valid key. It does not contain the key's secret.
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
	// domains holds the names of the configured failure domains.
	domains []string
	// withdrawn holds the withdrawn keys by full name. Entries are never removed.
	withdrawn map[string]bool
	// calls holds the running calls by the full name of their key.
	calls     map[string]map[*runningCall]struct{}
	observers []func(keyID string)
}

// A runningCall is a call registered by Track, identified by its address.
type runningCall struct {
	cancel context.CancelCauseFunc
}

// An Option configures a new Keyring.
type Option func(*Keyring)

// WithObserver adds a function that is called once with the full name of each
// newly withdrawn key, so that gossip can spread it. It may call the Keyring.
func WithObserver(observe func(keyID string)) Option {
	return func(k *Keyring) { k.observers = append(k.observers, observe) }
}

// New returns a Keyring without keys for a daemon in failureDomain.
func New(clock rattanclock.Clock, failureDomain string, options ...Option) *Keyring {
	k := &Keyring{
		freshness:     NewFreshness(clock),
		failureDomain: failureDomain,
		settings:      rattansettings.NewSnapshot(),
		withdrawn:     make(map[string]bool),
		calls:         make(map[string]map[*runningCall]struct{}),
	}
	for _, option := range options {
		option(k)
	}
	return k
}

// Freshness returns the tracker of the age of the list of withdrawn keys.
func (k *Keyring) Freshness() *Freshness { return k.freshness }

// Update puts new settings in force. A key that the settings mark as withdrawn
// stays withdrawn whatever later settings say. Update also cancels the calls of
// keys that no longer exist or that changed their client account or secret.
func (k *Keyring) Update(settings *rattansettings.Snapshot) {
	k.notifyObservers(k.update(settings))
}

// update does the work of Update under the lock. It returns the newly withdrawn
// keys.
func (k *Keyring) update(settings *rattansettings.Snapshot) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var added []string
	before := k.settings
	k.settings = settings
	k.domains = k.domains[:0:0]
	for _, domain := range settings.FailureDomains() {
		k.domains = append(k.domains, domain.Name())
	}
	for _, key := range settings.Keys() {
		if key.Withdrawn() && k.withdraw(key.Name()) {
			added = append(added, key.Name())
		}
	}
	for keyID := range k.calls {
		if !sameKey(before, settings, keyID) {
			k.endCalls(keyID)
		}
	}
	return added
}

// sameKey reports whether a key exists in after with the same client account and
// secret as in before.
func sameKey(before, after *rattansettings.Snapshot, keyID string) bool {
	old, _ := before.Key(keyID)
	current, found := after.Key(keyID)
	return found && old.ClientAccount() == current.ClientAccount() && old.Hash().Equal(current.Hash())
}

// Withdraw adds withdrawals received from another daemon, by the keys' full names,
// and cancels the calls of these keys.
func (k *Keyring) Withdraw(keyIDs ...string) {
	var added []string
	k.mu.Lock()
	for _, keyID := range keyIDs {
		if k.withdraw(keyID) {
			added = append(added, keyID)
		}
	}
	k.mu.Unlock()
	k.notifyObservers(added)
}

// notifyObservers calls the observers for each key. The lock must not be held,
// because an observer may call Withdraw.
func (k *Keyring) notifyObservers(keyIDs []string) {
	for _, keyID := range keyIDs {
		for _, observe := range k.observers {
			observe(keyID)
		}
	}
}

// withdraw marks a key as withdrawn and cancels its calls. It reports whether the
// key was not withdrawn before. The lock must be held.
func (k *Keyring) withdraw(keyID string) bool {
	if k.withdrawn[keyID] {
		return false
	}
	k.withdrawn[keyID] = true
	k.endCalls(keyID)
	return true
}

func (k *Keyring) endCalls(keyID string) {
	for call := range k.calls[keyID] {
		call.cancel(&WithdrawnError{KeyID: keyID})
	}
	delete(k.calls, keyID)
}

// IsWithdrawn reports whether the key with this full name is withdrawn.
func (k *Keyring) IsWithdrawn(keyID string) bool {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.withdrawn[keyID]
}

// Withdrawn returns the full names of all withdrawn keys, sorted.
func (k *Keyring) Withdrawn() []string {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return slices.Sorted(maps.Keys(k.withdrawn))
}

// Authenticate returns the identity of a key as callers send it, without the
// prefix "Bearer ". Errors are ErrUnauthenticated, *WithdrawnError and
// *NotFreshError. An unknown id costs one hash and comparison like a known one, so
// that response times do not show which ids exist. Only a caller with the right
// secret learns that its key is withdrawn or that the daemon's list of withdrawn
// keys is too old.
func (k *Keyring) Authenticate(bearer string) (Identity, error) {
	id, secret, ok := parseBearer(bearer)
	if !ok {
		return Identity{}, ErrUnauthenticated
	}
	k.mu.RLock()
	defer k.mu.RUnlock()
	key, found := match(k.settings.KeysByID(id), secret)
	if !found {
		return Identity{}, ErrUnauthenticated
	}
	if k.withdrawn[key.Name()] {
		return Identity{}, &WithdrawnError{KeyID: key.Name()}
	}
	if err := k.checkFresh(); err != nil {
		return Identity{}, err
	}
	return Identity{keyID: key.Name(), team: key.Team(), clientAccount: key.ClientAccount()}, nil
}

// match returns the key whose secret matches, among the keys with the same id in
// different teams. Without such keys the secret is compared with the zero Hash,
// which takes as long and never matches.
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

// checkFresh returns a *NotFreshError when the list of withdrawn keys is too old,
// unless the policy lets isolated daemons accept keys.
func (k *Keyring) checkFresh() error {
	policy := k.settings.Policy()
	if policy.ServeIsolatedKeys() {
		return nil
	}
	return k.freshness.Check(policy.KeyFreshness(), k.failureDomain, k.domains)
}

// Track registers a call that runs under a key, given by its full name. The
// returned context is canceled with a *WithdrawnError as its cause when the key is
// withdrawn, or at once when it already is or does not exist. The returned
// function must be called when the call has ended.
func (k *Keyring) Track(ctx context.Context, keyID string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	call := &runningCall{cancel: cancel}
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, known := k.settings.Key(keyID); k.withdrawn[keyID] || !known {
		cancel(&WithdrawnError{KeyID: keyID})
		return ctx, func() {}
	}
	if k.calls[keyID] == nil {
		k.calls[keyID] = make(map[*runningCall]struct{})
	}
	k.calls[keyID][call] = struct{}{}
	return ctx, func() { k.endCall(keyID, call) }
}

func (k *Keyring) endCall(keyID string, call *runningCall) {
	call.cancel(context.Canceled)
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.calls[keyID], call)
	if len(k.calls[keyID]) == 0 {
		delete(k.calls, keyID)
	}
}

// InFlight returns the number of calls that run under keys.
func (k *Keyring) InFlight() int {
	k.mu.RLock()
	defer k.mu.RUnlock()
	count := 0
	for _, calls := range k.calls {
		count += len(calls)
	}
	return count
}
