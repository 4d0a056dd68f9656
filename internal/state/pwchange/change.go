// Package pwchange implements the versioned log of configuration changes. A
// change sets or deletes a service document or a mark; a mark takes a data
// centre or a backend server out of service or brings it back.
//
// Log reads and writes the log in the table service. Replica is the in-memory
// copy that every process holds; it keeps the newest change of each key and does
// no I/O.
//
// # Usage
//
//	log := pwchange.NewLog(table)
//	change, err := log.Apply(ctx, pwchange.Proposal{
//		Key:              "service/lantern",
//		Value:            document,
//		ExpectedSequence: 12,
//		Author:           pwchange.Author{Name: "aiko", Team: "lantern-models"},
//		ProposalID:       "prop-7f3a",
//	})
//	var conflict *pwchange.ConflictError
//	if errors.As(err, &conflict) {
//		// conflict.NewestChange was applied after the author last read the key
//	}
//	changed := replica.Merge([]pwchange.Change{change})
//
// # Rows
//
// One commit writes three rows: "change/head" (sequence number, hash and
// totals), "change/key/<key>" (the key's newest sequence number and recent
// proposals) and "change/log/<sequence>" (the change itself). Every commit updates
// the head row, which puts all changes into one order. A reader compares its own
// hash with the one in the head row to find out with a single read whether its
// copy is complete.
package pwchange

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdocument"
)

// Key prefixes of marks. The keys of documents start with pwdocument.KeyPrefix.
const (
	DataCentreMarkPrefix    = "mark/data_centre/"
	BackendServerMarkPrefix = "mark/backend_server/"
)

// Limits of the log and of each process's replica.
const (
	// MaxKeys limits the number of keys. It covers the documents and one mark for
	// each of 7,500 backend servers, with room for servers that were replaced.
	MaxKeys = 20_000
	// MaxTotalBytes limits the total size of the values of all newest changes.
	// Together with its maps and indexes, a replica then stays within the 64 MB
	// allowed in each process.
	MaxTotalBytes = 24 << 20
	// MaxMarkBytes limits the value of a mark.
	MaxMarkBytes = 2 << 10
	// MaxNameBytes limits author names, team names and proposal ids.
	MaxNameBytes = 128
	// MaxKeyBytes limits the length of a key.
	MaxKeyBytes = 160
)

// Causes of rejections that only this package returns.
const (
	// CauseNotOwner rejects a change to a document that another team owns.
	CauseNotOwner pwverdict.Cause = "not_owner"
	// CauseLogFull rejects a change that would exceed MaxKeys or MaxTotalBytes.
	CauseLogFull pwverdict.Cause = "log_full"
)

// Change is one accepted change. An empty Value means that the key was
// deleted.
type Change struct {
	Sequence uint64          `json:"sequence"`
	Key      string          `json:"key"`
	Value    json.RawMessage `json:"value,omitempty"`
	// AcceptedUnixMS is the time at which the accepting process wrote the change,
	// in Unix milliseconds.
	AcceptedUnixMS int64 `json:"accepted_unix_ms"`

	// The fields below are stored in the table only. Processes don't send them
	// to each other.

	// PreviousSequence is the sequence number of the key's previous change, or 0.
	PreviousSequence uint64 `json:"previous,omitempty"`
	Author           Author `json:"author"`
	ProposalID       string `json:"proposal_id"`
}

// AcceptedAt converts AcceptedUnixMS to a time.
func (c Change) AcceptedAt() time.Time { return time.UnixMilli(c.AcceptedUnixMS) }

// Deleted reports whether the change deleted its key.
func (c Change) Deleted() bool { return len(c.Value) == 0 }

// Author identifies the person or program that made a change, and its team.
type Author struct {
	Name string `json:"name"`
	Team string `json:"team"`
}

// Mark is the value of a change that takes a data centre or a backend server out
// of service or brings it back.
type Mark struct {
	// OutOfService is true when the target must receive no new work.
	OutOfService bool   `json:"out"`
	Reason       string `json:"reason,omitempty"`
	Author       Author `json:"author"`
	// MarkedUnixMS is the time at which the operator set the mark, in Unix
	// milliseconds.
	MarkedUnixMS int64 `json:"at_unix_ms"`
}

// TargetKind is the kind of object that a mark applies to: a data centre or a backend
// server.
type TargetKind string

// Kinds of mark targets.
const (
	TargetDataCentre    TargetKind = "data_centre"
	TargetBackendServer TargetKind = "backend_server"
)

// MarkKey returns the key of the mark on the named target.
func MarkKey(t TargetKind, name string) string {
	return "mark/" + string(t) + "/" + name
}

// ParseMark returns the target and the content of a mark. ok is false when the
// change is not a mark or its value cannot be decoded. A deleted mark yields the
// zero Mark: its target is in service.
func ParseMark(c Change) (t TargetKind, name string, m Mark, ok bool) {
	t, name, ok = parseMarkKey(c.Key)
	if !ok || c.Deleted() {
		return t, name, Mark{}, ok
	}
	if err := json.Unmarshal(c.Value, &m); err != nil {
		return "", "", Mark{}, false
	}
	return t, name, m, true
}

// unreadableReason is the reason of marks of which only the key can be read.
const unreadableReason = "the mark cannot be read"

// MarkInForce returns the target and the content of an accepted mark like ParseMark, but
// also of one that cannot be decoded as a whole, for example because a newer version of
// the software wrote it. Its target is in service only if that can be read: operators
// notice a target that is out of service by mistake, but not one that gets work by mistake.
func MarkInForce(c Change) (t TargetKind, name string, m Mark, ok bool) {
	if t, name, ok = parseMarkKey(c.Key); !ok {
		return t, name, Mark{}, false
	}
	if c.Deleted() {
		return t, name, Mark{}, true
	}
	if err := json.Unmarshal(c.Value, &m); err != nil {
		m = Mark{
			Reason: unreadableReason,
		}
	}
	var state struct {
		Out *bool `json:"out"`
	}
	err := json.Unmarshal(c.Value, &state)
	m.OutOfService = err != nil || state.Out == nil || *state.Out
	return t, name, m, true
}

// parseMarkKey returns the target that the key of a mark names.
func parseMarkKey(key string) (t TargetKind, name string, ok bool) {
	if name, ok = strings.CutPrefix(key, DataCentreMarkPrefix); ok {
		return TargetDataCentre, name, true
	}
	if name, ok = strings.CutPrefix(key, BackendServerMarkPrefix); ok {
		return TargetBackendServer, name, true
	}
	return "", "", false
}

// namePattern matches the name part of a key. It excludes slashes, so that every
// key splits into prefix and name in one way only.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// ValidKey reports whether a key has a known prefix, a valid name and at most
// MaxKeyBytes.
func ValidKey(key string) bool {
	if len(key) > MaxKeyBytes {
		return false
	}
	for _, p := range []string{pwdocument.KeyPrefix, DataCentreMarkPrefix, BackendServerMarkPrefix} {
		if name, ok := strings.CutPrefix(key, p); ok {
			return namePattern.MatchString(name)
		}
	}
	return false
}

// MaxValueBytes returns the size limit of a key's value, in bytes.
func MaxValueBytes(key string) int {
	if strings.HasPrefix(key, pwdocument.KeyPrefix) {
		return pwdocument.MaxDocumentBytes
	}
	return MaxMarkBytes
}

// KeyHash returns the hash that identifies a key when two replicas compare their
// contents.
func KeyHash(key string) uint64 { return xxhash.Sum64String(key) }

// entryHash returns the amount that a key's newest change contributes to the hash
// of a digest. Sequence number 0 means that the key has no change, which
// contributes nothing.
func entryHash(key string, sequence uint64) uint64 {
	if sequence == 0 {
		return 0
	}
	return xxhash.Sum64String(fmt.Sprintf("%d/%s", sequence, key))
}
