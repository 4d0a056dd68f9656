// Package pwchange holds the versioned log of configuration changes: service
// documents, and marks that take a data centre or a backend server out of
// service or bring it back.
//
// Log writes and reads the log in the table service. Replica is the copy that
// every process holds: the newest change of each key, without I/O.
//
// # Usage
//
//	log := pwchange.NewLog(table)
//	change, err := log.Apply(ctx, pwchange.Proposal{
//		Key:        "service/lantern",
//		Value:      document,
//		Expect:     12,
//		Author:     pwchange.Author{Name: "aiko", Team: "lantern-models"},
//		ProposalID: "prop-7f3a",
//	})
//	var conflict *pwchange.ConflictError
//	if errors.As(err, &conflict) {
//		// conflict.Current is what somebody else applied in the meantime
//	}
//	changed := replica.Merge([]pwchange.Change{change})
//
// # Rows
//
// One commit writes three rows: "change/head" (sequence, hash and totals),
// "change/key/<key>" (newest sequence and recent proposals of the key) and
// "change/log/<sequence>" (the change). The head row orders all changes; its
// hash lets a reader see with one read whether its copy is complete.
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

// Prefixes of the keys of marks. Keys of documents start with
// pwdocument.KeyPrefix.
const (
	DataCentreMarkPrefix    = "mark/data_centre/"
	BackendServerMarkPrefix = "mark/backend_server/"
)

// Bounds of the log and of each process's copy.
const (
	// MaxKeys bounds the number of keys: the documents and one mark for each
	// of 7,500 backend servers, with room for replaced servers.
	MaxKeys = 20_000
	// MaxTotalBytes bounds the values of all newest changes together. With
	// maps and indexes a copy stays within the 64 MB of a process.
	MaxTotalBytes = 24 << 20
	// MaxMarkBytes bounds the value of a mark.
	MaxMarkBytes = 2 << 10
	// MaxNameBytes bounds names of authors, teams and proposals.
	MaxNameBytes = 128
	// MaxKeyBytes bounds a key.
	MaxKeyBytes = 160
)

// Causes of refusals that only this package gives.
const (
	// CauseNotOwner refuses a change of another team's document.
	CauseNotOwner pwverdict.Cause = "not_owner"
	// CauseLogFull refuses a change that would exceed MaxKeys or MaxTotalBytes.
	CauseLogFull pwverdict.Cause = "log_full"
)

// Change is one accepted change. An empty Value means that the key was
// deleted.
type Change struct {
	Sequence uint64          `json:"sequence"`
	Key      string          `json:"key"`
	Value    json.RawMessage `json:"value,omitempty"`
	// AcceptedUnixMS is when the accepting process wrote the change, in Unix
	// milliseconds.
	AcceptedUnixMS int64 `json:"accepted_unix_ms"`
	// The following fields are in the table only, not in the exchange
	// between processes.

	// PreviousSequence is the sequence number of the key's previous change, or 0.
	PreviousSequence uint64 `json:"previous,omitempty"`
	Author           Author `json:"author"`
	ProposalID       string `json:"proposal_id"`
}

// AcceptedAt returns when the change was accepted.
func (c Change) AcceptedAt() time.Time { return time.UnixMilli(c.AcceptedUnixMS) }

// Deleted reports whether the change removed its key.
func (c Change) Deleted() bool { return len(c.Value) == 0 }

// Author is who made a change.
type Author struct {
	Name string `json:"name"`
	Team string `json:"team"`
}

// Mark takes a data centre or a backend server out of service, or brings it
// back. It is the value of a change.
type Mark struct {
	// OutOfService is true when the target receives no new work.
	OutOfService bool   `json:"out"`
	Reason       string `json:"reason,omitempty"`
	Author       Author `json:"author"`
	// MarkedUnixMS is when the operator set the mark, in Unix milliseconds.
	MarkedUnixMS int64 `json:"at_unix_ms"`
}

// TargetKind is the kind of thing that a mark is about.
type TargetKind string

// Targets of marks.
const (
	TargetDataCentre    TargetKind = "data_centre"
	TargetBackendServer TargetKind = "backend_server"
)

// MarkKey returns the key of a mark.
func MarkKey(t TargetKind, name string) string {
	return "mark/" + string(t) + "/" + name
}

// ParseMark returns the target and the content of a mark. ok is false when
// the change is not a mark or cannot be read. A deleted mark is in service.
func ParseMark(c Change) (t TargetKind, name string, m Mark, ok bool) {
	switch {
	case strings.HasPrefix(c.Key, DataCentreMarkPrefix):
		t, name = TargetDataCentre, c.Key[len(DataCentreMarkPrefix):]
	case strings.HasPrefix(c.Key, BackendServerMarkPrefix):
		t, name = TargetBackendServer, c.Key[len(BackendServerMarkPrefix):]
	default:
		return "", "", Mark{}, false
	}
	if c.Deleted() {
		return t, name, Mark{}, true
	}
	if err := json.Unmarshal(c.Value, &m); err != nil {
		return "", "", Mark{}, false
	}
	return t, name, m, true
}

// nameForm is the form of names in keys. Slashes are not allowed, so that a
// key has one meaning.
var nameForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// ValidKey reports whether a key has a known prefix and a proper name.
func ValidKey(key string) bool {
	if len(key) > MaxKeyBytes {
		return false
	}
	for _, p := range []string{pwdocument.KeyPrefix, DataCentreMarkPrefix, BackendServerMarkPrefix} {
		if name, ok := strings.CutPrefix(key, p); ok {
			return nameForm.MatchString(name)
		}
	}
	return false
}

// MaxValueBytes returns the largest value that a key may have.
func MaxValueBytes(key string) int {
	if strings.HasPrefix(key, pwdocument.KeyPrefix) {
		return pwdocument.MaxDocumentBytes
	}
	return MaxMarkBytes
}

// KeyHash returns the hash that stands for a key in a comparison.
func KeyHash(key string) uint64 { return xxhash.Sum64String(key) }

// entryHash is what one held change adds to the hash of a digest. Sequence 0
// stands for a key without a change and adds nothing.
func entryHash(key string, sequence uint64) uint64 {
	if sequence == 0 {
		return 0
	}
	return xxhash.Sum64String(fmt.Sprintf("%d/%s", sequence, key))
}
