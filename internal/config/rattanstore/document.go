package rattanstore

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	// maxValueBytes is the platform's limit for one value.
	maxValueBytes = 1 << 20
	// keptChanges is how many of its last changes a document keeps, and so how many
	// can be found by their id.
	keptChanges = 32
	// maxDiffLines and maxDiffLineBytes keep 32 diffs well below maxValueBytes.
	maxDiffLines     = 60
	maxDiffLineBytes = 160
)

// A ChangeRecord is one of the last changes of a document.
type ChangeRecord struct {
	ID     string
	Author string
	// Time is by the clock of the daemon that made the change, in milliseconds.
	Time time.Time
	Diff []string
	// ReplacedRevision is the document's revision before the change.
	ReplacedRevision uint64

	// fingerprint is the hash of Change.Request.
	fingerprint string
}

// A StoredDocument is a team's document as stored in the platform. Revision 0 means
// that there is no document.
type StoredDocument struct {
	Team     string
	INI      string
	Revision uint64
	// Changes lists the last changes, oldest first.
	Changes []ChangeRecord
}

// Parse parses the text of the document. The error is a
// *rattansettings.ValidationErrors.
func (s StoredDocument) Parse() (*rattansettings.Document, error) {
	document, err := rattansettings.ParseDocument(s.Team, s.INI)
	if err != nil {
		return nil, err
	}
	return document.WithRevision(s.Revision), nil
}

// find returns the change with this id and the document's revision that it created.
func (s StoredDocument) find(id string) (ChangeRecord, uint64, bool) {
	i := slices.IndexFunc(s.Changes, func(c ChangeRecord) bool { return c.ID == id })
	switch {
	case i < 0:
		return ChangeRecord{}, 0, false
	case i == len(s.Changes)-1:
		return s.Changes[i], s.Revision, true
	default:
		return s.Changes[i], s.Changes[i+1].ReplacedRevision, true
	}
}

// storedValue is the JSON form of a document in the platform.
type storedValue struct {
	INI     string         `json:"ini"`
	Changes []storedChange `json:"changes"`
}

type storedChange struct {
	ChangeID         string   `json:"change_id"`
	Author           string   `json:"author"`
	UnixMS           int64    `json:"unix_ms"`
	Diff             []string `json:"diff"`
	ReplacedRevision uint64   `json:"replaced_revision"`
	Fingerprint      string   `json:"fingerprint,omitempty"`
}

// DecodeDocument decodes the value stored under "settings/<team>". The error is a
// *CorruptError.
func DecodeDocument(team string, revision uint64, value []byte) (StoredDocument, error) {
	var decoded storedValue
	if err := json.Unmarshal(value, &decoded); err != nil {
		return StoredDocument{}, &CorruptError{Key: rattansettings.DocumentPath(team), Revision: revision}
	}
	stored := StoredDocument{Team: team, INI: decoded.INI, Revision: revision}
	for _, change := range decoded.Changes {
		stored.Changes = append(stored.Changes, ChangeRecord{
			ID: change.ChangeID, Author: change.Author, Time: time.UnixMilli(change.UnixMS),
			Diff: change.Diff, ReplacedRevision: change.ReplacedRevision, fingerprint: change.Fingerprint,
		})
	}
	return stored, nil
}

// encode returns the value to store. While the value is over the platform's limit
// it replaces the diffs of the oldest changes by a note.
func (s StoredDocument) encode() ([]byte, error) {
	value := storedValue{INI: s.INI, Changes: []storedChange{}}
	for _, change := range s.Changes[max(0, len(s.Changes)-keptChanges):] {
		value.Changes = append(value.Changes, storedChange{
			ChangeID: change.ID, Author: change.Author, UnixMS: change.Time.UnixMilli(),
			Diff: shortDiff(change.Diff), ReplacedRevision: change.ReplacedRevision, Fingerprint: change.fingerprint,
		})
	}
	encoded, err := encodeJSON(value)
	for i := 0; err == nil && len(encoded) > maxValueBytes && i < len(value.Changes); i++ {
		value.Changes[i].Diff = []string{"(left out)"}
		encoded, err = encodeJSON(value)
	}
	if err != nil {
		return nil, err
	}
	if len(encoded) > maxValueBytes {
		return nil, &TooLargeError{Key: rattansettings.DocumentPath(s.Team), Bytes: len(encoded)}
	}
	return encoded, nil
}

// encodeJSON encodes a value without escaping "<", ">" and "&".
func encodeJSON(value any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// shortDiff limits a diff to maxDiffLines lines of maxDiffLineBytes bytes, without
// cutting a UTF-8 character.
func shortDiff(diff []string) []string {
	short := make([]string, 0, min(len(diff), maxDiffLines+1))
	for i, line := range diff {
		if i == maxDiffLines {
			return append(short, "(further lines left out)")
		}
		if len(line) > maxDiffLineBytes {
			cut := maxDiffLineBytes
			for !utf8.RuneStart(line[cut]) {
				cut--
			}
			line = line[:cut] + "..."
		}
		short = append(short, line)
	}
	return short
}

// Load reads a team's document. A document that does not exist has revision 0.
// Errors are *UnavailableError, *StaleReadError and *CorruptError.
func (s *Store) Load(ctx context.Context, team string) (StoredDocument, error) {
	entry, err := s.get(ctx, rattansettings.DocumentPath(team))
	if err != nil {
		return StoredDocument{}, err
	}
	if entry == nil {
		return StoredDocument{Team: team}, nil
	}
	return DecodeDocument(team, entry.GetRevision(), entry.GetValue())
}

// List reads the documents of all teams. It leaves out the documents that cannot
// be decoded or that are older than a revision seen before; leftOut is their
// number. The error is an *UnavailableError.
func (s *Store) List(ctx context.Context) (documents []StoredDocument, leftOut int, err error) {
	prefix := rattansettings.DocumentPath("")
	response, err := call(ctx, s, &s.reads, s.callTimeout, &rattanv1.ListRequest{Prefix: prefix}, s.platform.List)
	if err != nil {
		return nil, 0, newReadError(prefix, err)
	}
	for _, entry := range response.GetEntries() {
		stored, err := DecodeDocument(strings.TrimPrefix(entry.GetKey(), prefix), entry.GetRevision(), entry.GetValue())
		if err != nil || !s.observe(entry.GetKey(), entry.GetRevision()) {
			leftOut++
			continue
		}
		documents = append(documents, stored)
	}
	return documents, leftOut, nil
}
