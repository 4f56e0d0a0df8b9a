package rattansettings

import (
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// An Override replaces the value of one key of the settings file, for example by a
// command line flag.
type Override struct {
	Section string
	Key     string
	Value   string
}

// ProcessSettings contains the settings of one process. It is immutable after
// construction.
type ProcessSettings struct {
	daemon  DaemonSettings
	session SessionSettings
	tls     TLSSettings
	limits  LimitSettings
}

// LoadProcessSettings reads the process settings from a file. The error is a
// *ValidationErrors, or the reason why the file cannot be read.
func LoadProcessSettings(path string, overrides ...Override) (*ProcessSettings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read process settings")
	}
	return ParseProcessSettings(path, string(text), overrides...)
}

// ParseProcessSettings parses and validates process settings. path names the text in
// errors. The error is a *ValidationErrors that lists all validation errors.
func ParseProcessSettings(path, text string, overrides ...Override) (*ProcessSettings, error) {
	sections, errs := readSections(path, text)
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
		reader := newSectionReader(path, raw, &errs)
		section.read(reader)
		reader.finish()
	}
	for _, section := range sections {
		errs = append(errs, ValidationError{
			path: path, section: messageText(section.name),
			problem: "unknown section", accepted: "daemon, session, tls and limits",
		})
	}
	if err := NewValidationErrors(errs); err != nil {
		return nil, err
	}
	return process, nil
}

// applyOverride returns sections with the key's value replaced, or with the key, and
// if necessary its section, added.
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

// takeSection removes the section from sections and returns it. It returns an empty
// section when there is none of that name.
func takeSection(sections *[]rawSection, name string) rawSection {
	i := slices.IndexFunc(*sections, func(s rawSection) bool { return s.name == name })
	if i < 0 {
		return rawSection{name: name}
	}
	raw := (*sections)[i]
	*sections = slices.Delete(*sections, i, i+1)
	return raw
}

// Daemon returns the settings of the section [daemon].
func (p *ProcessSettings) Daemon() DaemonSettings { return p.daemon }

// Session returns the settings of the section [session].
func (p *ProcessSettings) Session() SessionSettings { return p.session }

// TLS returns the settings of the section [tls].
func (p *ProcessSettings) TLS() TLSSettings { return p.tls }

// Limits returns the settings of the section [limits].
func (p *ProcessSettings) Limits() LimitSettings { return p.limits }

// DaemonSettings contains the daemon's VM and failure domain, the addresses that it
// listens on or connects to, and its shutdown and logging settings.
type DaemonSettings struct {
	vm                  string
	failureDomain       string
	callerAddress       string
	operatorAddress     string
	peerAddress         string
	debugAddress        string
	platformAddress     string
	seedPeers           []string
	stopTimeout         time.Duration
	logLevel            string
	bootstrapCredential Hash
}

func readDaemonSettings(r *sectionReader) DaemonSettings {
	return DaemonSettings{
		vm:                  r.nameValue("vm", true),
		failureDomain:       r.nameValue("failure_domain", true),
		callerAddress:       r.address("caller_address", true),
		operatorAddress:     r.address("operator_address", true),
		peerAddress:         r.remoteAddress("peer_address", true),
		debugAddress:        r.address("debug_address", false),
		platformAddress:     r.remoteAddress("platform_address", true),
		seedPeers:           r.addresses("seed_peers"),
		stopTimeout:         r.duration("stop_timeout", time.Second, 10*time.Minute, 10*time.Second),
		logLevel:            r.choice("log_level", "info", "debug", "info", "warn", "error"),
		bootstrapCredential: r.hash("bootstrap_credential_sha256", false),
	}
}

// VM returns the name of the daemon's VM.
func (d DaemonSettings) VM() string { return d.vm }

// FailureDomain returns the name of the daemon's failure domain.
func (d DaemonSettings) FailureDomain() string { return d.failureDomain }

// CallerAddress returns the address on which the daemon listens for callers.
func (d DaemonSettings) CallerAddress() string { return d.callerAddress }

// OperatorAddress returns the address on which the daemon listens for operators.
func (d DaemonSettings) OperatorAddress() string { return d.operatorAddress }

// PeerAddress returns the address at which other daemons reach the daemon.
func (d DaemonSettings) PeerAddress() string { return d.peerAddress }

// DebugAddress returns the address on which the daemon serves metrics. If it is
// empty, the daemon does not serve them.
func (d DaemonSettings) DebugAddress() string { return d.debugAddress }

// PlatformAddress returns the address of the platform.
func (d DaemonSettings) PlatformAddress() string { return d.platformAddress }

// SeedPeers returns the peer addresses of other daemons, for the first contact with
// them. The caller must not change the slice.
func (d DaemonSettings) SeedPeers() []string { return d.seedPeers }

// StopTimeout returns the maximum duration of a graceful shutdown.
func (d DaemonSettings) StopTimeout() time.Duration { return d.stopTimeout }

// LogLevel returns "debug", "info", "warn" or "error".
func (d DaemonSettings) LogLevel() string { return d.logLevel }

// BootstrapCredential returns the hash of the secret of a credential that is valid
// for team root until team root's document defines one. It may be zero.
func (d DaemonSettings) BootstrapCredential() Hash { return d.bootstrapCredential }

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

// SealKey returns the key that seals and opens session tokens.
func (s SessionSettings) SealKey() SealKey { return s.sealKey }

// PreviousSealKey returns a key that opens session tokens but does not seal them. It
// may be zero.
func (s SessionSettings) PreviousSealKey() SealKey { return s.previousSealKey }

// TLSSettings contains the paths of the files for TLS between daemons.
type TLSSettings struct {
	off         bool
	certificate string
	key         string
	authority   string
}

// The values of the key mode in the section [tls].
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

// Off reports whether all connections use plain TCP without TLS, for test runs on one
// machine.
func (t TLSSettings) Off() bool { return t.off }

// Certificate returns the path of the VM's certificate.
func (t TLSSettings) Certificate() string { return t.certificate }

// Key returns the path of the certificate's private key.
func (t TLSSettings) Key() string { return t.key }

// Authority returns the path of the certificate of the certificate authority that
// signs every VM's certificate.
func (t TLSSettings) Authority() string { return t.authority }

// LimitSettings contains the limits on messages, statements, transactions and caller
// connections of one daemon.
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

// MessageBytes returns the maximum size of a message from a caller, in bytes.
func (l LimitSettings) MessageBytes() int { return l.messageBytes }

// StatementTime returns the maximum duration of a statement.
func (l LimitSettings) StatementTime() time.Duration { return l.statementTime }

// OpenTransactions returns the maximum number of open transactions.
func (l LimitSettings) OpenTransactions() int { return l.openTransactions }

// TransactionIdleTimeout returns the time without a statement after which a
// transaction is rolled back.
func (l LimitSettings) TransactionIdleTimeout() time.Duration { return l.transactionIdle }

// Connections returns the maximum number of connections from callers.
func (l LimitSettings) Connections() int { return l.connections }
