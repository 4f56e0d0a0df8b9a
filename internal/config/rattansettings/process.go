package rattansettings

import (
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// An Override replaces one key of the file, as a flag of the command line does.
type Override struct {
	Section string
	Key     string
	Value   string
}

// ProcessSettings is the settings of one process, immutable after construction.
type ProcessSettings struct {
	daemon  DaemonSettings
	session SessionSettings
	tls     TLSSettings
	limits  LimitSettings
}

// LoadProcessSettings reads the process settings from a file. The error is a
// *ValidationErrors, or tells why the file cannot be read.
func LoadProcessSettings(path string, overrides ...Override) (*ProcessSettings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read process settings")
	}
	return ParseProcessSettings(path, string(text), overrides...)
}

// ParseProcessSettings reads process settings; path names the text in faults. The error
// is a *ValidationErrors that lists all faults.
func ParseProcessSettings(path, text string, overrides ...Override) (*ProcessSettings, error) {
	sections, faults := readSections(path, text)
	for _, override := range overrides {
		sections = applyOverride(sections, override)
	}
	process := &ProcessSettings{}
	for _, section := range []struct {
		name string
		read func(*sectionReader)
	}{
		{"daemon", func(r *sectionReader) { process.daemon = readDaemonSettings(r) }},
		{"session", func(r *sectionReader) { process.session = readSessionSettings(r) }},
		{"tls", func(r *sectionReader) { process.tls = readTLSSettings(r) }},
		{"limits", func(r *sectionReader) { process.limits = readLimitSettings(r) }},
	} {
		raw := takeSection(&sections, section.name)
		reader := newSectionReader(path, raw, &faults)
		section.read(reader)
		reader.finish()
	}
	for _, section := range sections {
		faults = append(faults, ValidationError{
			path: path, section: shown(section.name),
			problem: "unknown section", accepted: "daemon, session, tls and limits",
		})
	}
	if err := NewValidationErrors(faults); err != nil {
		return nil, err
	}
	return process, nil
}

func applyOverride(sections []rawSection, override Override) []rawSection {
	i := slices.IndexFunc(sections, func(s rawSection) bool { return s.name == override.Section })
	if i < 0 {
		sections = append(sections, rawSection{name: override.Section})
		i = len(sections) - 1
	}
	key := rawKey{name: override.Key, value: strings.TrimSpace(override.Value)}
	keys := sections[i].keys
	j := slices.IndexFunc(keys, func(k rawKey) bool { return k.name == override.Key })
	if j < 0 {
		sections[i].keys = append(keys, key)
		return sections
	}
	keys[j] = key
	return sections
}

func takeSection(sections *[]rawSection, name string) rawSection {
	i := slices.IndexFunc(*sections, func(s rawSection) bool { return s.name == name })
	if i < 0 {
		return rawSection{name: name}
	}
	raw := (*sections)[i]
	*sections = slices.Delete(*sections, i, i+1)
	return raw
}

// Daemon returns the section [daemon].
func (p *ProcessSettings) Daemon() DaemonSettings { return p.daemon }

// Session returns the section [session].
func (p *ProcessSettings) Session() SessionSettings { return p.session }

// TLS returns the section [tls].
func (p *ProcessSettings) TLS() TLSSettings { return p.tls }

// Limits returns the section [limits].
func (p *ProcessSettings) Limits() LimitSettings { return p.limits }

// DaemonSettings says who the daemon is and where it listens.
type DaemonSettings struct {
	vm              string
	failureDomain   string
	callerAddress   string
	operatorAddress string
	peerAddress     string
	debugAddress    string
	platformAddress string
	seedPeers       []string
	stopTimeout     time.Duration
	logLevel        string
	bootstrap       Hash
}

func readDaemonSettings(r *sectionReader) DaemonSettings {
	return DaemonSettings{
		vm:              r.nameValue("vm", true),
		failureDomain:   r.nameValue("failure_domain", true),
		callerAddress:   r.address("caller_address", true),
		operatorAddress: r.address("operator_address", true),
		peerAddress:     r.remoteAddress("peer_address", true),
		debugAddress:    r.address("debug_address", false),
		platformAddress: r.remoteAddress("platform_address", true),
		seedPeers:       r.addresses("seed_peers"),
		stopTimeout:     r.duration("stop_timeout", time.Second, 10*time.Minute, 10*time.Second),
		logLevel:        r.choice("log_level", "info", "debug", "info", "warn", "error"),
		bootstrap:       r.hash("bootstrap_credential_sha256", false),
	}
}

// VM returns the name of the daemon's VM.
func (d DaemonSettings) VM() string { return d.vm }

// FailureDomain returns the name of the daemon's failure domain.
func (d DaemonSettings) FailureDomain() string { return d.failureDomain }

// CallerAddress returns where the daemon listens for callers.
func (d DaemonSettings) CallerAddress() string { return d.callerAddress }

// OperatorAddress returns where the daemon listens for operators.
func (d DaemonSettings) OperatorAddress() string { return d.operatorAddress }

// PeerAddress returns where other daemons reach the daemon.
func (d DaemonSettings) PeerAddress() string { return d.peerAddress }

// DebugAddress returns where the daemon offers metrics; empty means nowhere.
func (d DaemonSettings) DebugAddress() string { return d.debugAddress }

// PlatformAddress returns where the platform is.
func (d DaemonSettings) PlatformAddress() string { return d.platformAddress }

// SeedPeers returns peer addresses of other daemons. The caller must not change
// the slice.
func (d DaemonSettings) SeedPeers() []string { return d.seedPeers }

// StopTimeout returns the longest time of a graceful shutdown.
func (d DaemonSettings) StopTimeout() time.Duration { return d.stopTimeout }

// LogLevel returns "debug", "info", "warn" or "error".
func (d DaemonSettings) LogLevel() string { return d.logLevel }

// BootstrapCredential returns the hash of the secret of a credential that acts
// as team root until team root's document has one. It may be zero.
func (d DaemonSettings) BootstrapCredential() Hash { return d.bootstrap }

// SessionSettings holds the keys that seal session tokens.
type SessionSettings struct {
	sealKey         SealKey
	previousSealKey SealKey
}

func readSessionSettings(r *sectionReader) SessionSettings {
	return SessionSettings{
		sealKey:         SealKey{hash: r.hash("seal_key", true)},
		previousSealKey: SealKey{hash: r.hash("previous_seal_key", false)},
	}
}

// SealKey returns the key that seals and opens tokens.
func (s SessionSettings) SealKey() SealKey { return s.sealKey }

// PreviousSealKey returns a key that only opens tokens. It may be zero.
func (s SessionSettings) PreviousSealKey() SealKey { return s.previousSealKey }

// TLSSettings names the files for the TLS of the links between daemons.
type TLSSettings struct {
	off         bool
	certificate string
	key         string
	authority   string
}

// The values of mode in the section [tls].
const (
	tlsMutual = "mutual"
	tlsOff    = "off"
)

func readTLSSettings(r *sectionReader) TLSSettings {
	const accepted = "the path of a PEM file"
	if r.choice("mode", tlsMutual, tlsMutual, tlsOff) == tlsOff {
		return TLSSettings{off: true}
	}
	certificate, _ := r.text("certificate", true, accepted)
	key, _ := r.text("key", true, accepted)
	authority, _ := r.text("authority", true, accepted)
	return TLSSettings{certificate: certificate, key: key, authority: authority}
}

// Off reports whether all links are plain TCP, for trials on one machine.
func (t TLSSettings) Off() bool { return t.off }

// Certificate returns the path of the VM's certificate.
func (t TLSSettings) Certificate() string { return t.certificate }

// Key returns the path of the certificate's private key.
func (t TLSSettings) Key() string { return t.key }

// Authority returns the path of the certificate of the authority that signs
// every VM's certificate.
func (t TLSSettings) Authority() string { return t.authority }

// LimitSettings bounds what one daemon takes on.
type LimitSettings struct {
	messageBytes     int
	statementTime    time.Duration
	openTransactions int
	transactionIdle  time.Duration
	connections      int
}

func readLimitSettings(r *sectionReader) LimitSettings {
	return LimitSettings{
		messageBytes:     r.integer("message_bytes", " bytes", 1<<10, 64<<20, 1<<20),
		statementTime:    r.duration("statement_time", 10*time.Millisecond, time.Hour, 30*time.Second),
		openTransactions: r.integer("open_transactions", " transactions", 1, 1_000_000, 1000),
		transactionIdle:  r.duration("transaction_idle", time.Second, time.Hour, 30*time.Second),
		connections:      r.integer("connections", " connections", 1, 1_000_000, 10_000),
	}
}

// MessageBytes returns the largest message of a caller, in bytes.
func (l LimitSettings) MessageBytes() int { return l.messageBytes }

// StatementTime returns the longest time that a statement may take.
func (l LimitSettings) StatementTime() time.Duration { return l.statementTime }

// OpenTransactions returns how many transactions may be open.
func (l LimitSettings) OpenTransactions() int { return l.openTransactions }

// TransactionIdleTimeout returns after how long without a statement a transaction is
// rolled back.
func (l LimitSettings) TransactionIdleTimeout() time.Duration { return l.transactionIdle }

// Connections returns how many connections callers may have.
func (l LimitSettings) Connections() int { return l.connections }
