package pwgossip

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
	"github.com/pomeloweir/pomeloweir/internal/state/pwchange"
)

// Bounds of one message and of its parts.
const (
	// MaxMessageBytes bounds an encoded request or response.
	MaxMessageBytes = 4 << 20
	// MaxInflatedBytes bounds the values of one message after decompression, so
	// that a small message cannot exhaust the memory.
	MaxInflatedBytes = 4 << 20
	// batchBytes bounds the values that a sender puts into one message, measured
	// before compression, so that the message arrives before its timeout. A
	// single value that is larger is sent alone.
	batchBytes = 256 << 10
	// MaxChanges bounds the number of changes in one message.
	MaxChanges = 16_384
	// MaxCrashCounts bounds the crash counts in one message, and
	// MaxCrashAttempts the crashes in one crash count.
	MaxCrashCounts   = 64
	MaxCrashAttempts = 8
	// MaxCrashNeighbours bounds the fingerprints of the attempts that ran on
	// the backend server when it crashed. It is the largest number of concurrent
	// attempts that a service may configure for a backend server.
	MaxCrashNeighbours = 4096
	maxIDBytes         = 128
)

// compressThreshold is the size in bytes above which a value is compressed.
// Compression gains nothing for shorter values such as marks.
const compressThreshold = 256

// compressedPrefix is the first byte of a compressed value. A plain value is JSON
// and never starts with it.
const compressedPrefix = 0x01

// floorKey is the key of the floor in the map of held changes. It differs from
// all key hashes, which are never empty.
const floorKey = ""

// hashBase is the base in which key hashes are written in messages. Protobuf
// strings must be UTF-8, so the eight bytes of a hash cannot be sent unencoded.
const hashBase = 36

func invalidMessage(format string, args ...any) error {
	return pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, format, args...)
}

// compressors keeps compressors for reuse, because a new one allocates more than 1 MB.
var compressors = sync.Pool{
	New: func() any {
		w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
		if err != nil {
			panic(err) // The level is a constant.
		}
		return w
	},
}

// encodeValue compresses a value above compressThreshold when that makes it smaller.
func encodeValue(v []byte) []byte {
	if len(v) <= compressThreshold {
		return v
	}
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	var b bytes.Buffer
	b.WriteByte(compressedPrefix)
	w.Reset(&b)
	if _, err := w.Write(v); err != nil || w.Close() != nil || b.Len() >= len(v) {
		return v
	}
	return b.Bytes()
}

// decodeValue decompresses a value, and refuses one of more than limit bytes.
func decodeValue(v []byte, limit int) ([]byte, error) {
	if len(v) > 0 && v[0] == compressedPrefix {
		out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(v[1:])), int64(limit)+1))
		if err != nil {
			return nil, invalidMessage("value cannot be decompressed: %v", err)
		}
		v = out
	}
	if len(v) > limit {
		return nil, invalidMessage("value has more than %d bytes", limit)
	}
	return v, nil
}

func encodeChanges(changes []pwchange.Change) []*pwrpc.Change {
	out := make([]*pwrpc.Change, 0, len(changes))
	for _, c := range changes {
		out = append(out, &pwrpc.Change{
			Sequence:       c.Sequence,
			Key:            c.Key,
			Value:          encodeValue(c.Value),
			AcceptedUnixMs: c.AcceptedUnixMS,
		})
	}
	return out
}

func decodeChanges(in []*pwrpc.Change) ([]pwchange.Change, error) {
	if len(in) > MaxChanges {
		return nil, invalidMessage("%d changes; allowed: %d", len(in), MaxChanges)
	}
	out := make([]pwchange.Change, 0, len(in))
	remaining := MaxInflatedBytes
	for _, c := range in {
		if !pwchange.ValidKey(c.GetKey()) || c.GetSequence() == 0 {
			return nil, invalidMessage("change %d has key %.80q; allowed: a known prefix and a sequence above 0", c.GetSequence(), c.GetKey())
		}
		v, err := decodeValue(c.GetValue(), min(remaining, pwchange.MaxValueBytes(c.GetKey())))
		if err != nil {
			return nil, err
		}
		remaining -= len(v)
		out = append(out, pwchange.Change{
			Sequence:       c.GetSequence(),
			Key:            c.GetKey(),
			Value:          v,
			AcceptedUnixMS: c.GetAcceptedUnixMs(),
		})
	}
	return out, nil
}

func encodeDigest(d pwchange.Digest) *pwrpc.Digest {
	out := &pwrpc.Digest{
		Head: d.Head,
		Hash: d.Hash,
	}
	if !d.ConfirmedAt.IsZero() {
		out.ConfirmedUnixMs = d.ConfirmedAt.UnixMilli()
	}
	return out
}

func decodeDigest(d *pwrpc.Digest) pwchange.Digest {
	out := pwchange.Digest{
		Head: d.GetHead(),
		Hash: d.GetHash(),
	}
	if ms := d.GetConfirmedUnixMs(); ms > 0 {
		out.ConfirmedAt = time.UnixMilli(ms)
	}
	return out
}

func encodeHeld(h pwchange.SequenceList) map[string]uint64 {
	out := make(map[string]uint64, len(h.Sequences)+1)
	for hash, sequence := range h.Sequences {
		out[strconv.FormatUint(hash, hashBase)] = sequence
	}
	// The floor is always set, so that decodeHeld can distinguish an empty list
	// from a missing one.
	out[floorKey] = h.Floor
	return out
}

// decodeHeld returns the list of held changes; ok is false when the message has none.
func decodeHeld(in map[string]uint64) (h pwchange.SequenceList, ok bool, err error) {
	if len(in) > pwchange.MaxKeys+1 {
		return h, false, invalidMessage("%d held keys; allowed: %d", len(in), pwchange.MaxKeys)
	}
	h.Sequences = make(map[uint64]uint64, len(in))
	for text, sequence := range in {
		if text == floorKey {
			h.Floor = sequence
			continue
		}
		hash, err := parseHash(text)
		if err != nil {
			return h, false, err
		}
		h.Sequences[hash] = sequence
	}
	return h, len(in) > 0, nil
}

func encodeHashes(hashes []uint64) []string {
	out := make([]string, 0, len(hashes))
	for _, h := range hashes {
		out = append(out, strconv.FormatUint(h, hashBase))
	}
	return out
}

func decodeHashes(in []string) ([]uint64, error) {
	if len(in) > pwchange.MaxKeys {
		return nil, invalidMessage("%d wanted keys; allowed: %d", len(in), pwchange.MaxKeys)
	}
	out := make([]uint64, 0, len(in))
	for _, text := range in {
		h, err := parseHash(text)
		if err != nil {
			return nil, err
		}
		out = append(out, h)
	}
	return out, nil
}

func parseHash(text string) (uint64, error) {
	h, err := strconv.ParseUint(text, hashBase, 64)
	if err != nil {
		return 0, invalidMessage("key hash %.40q; allowed: a number in base %d", text, hashBase)
	}
	return h, nil
}

func checkCrashes(in []*pwrpc.CrashCount) error {
	if len(in) > MaxCrashCounts {
		return invalidMessage("%d crash counts; allowed: %d", len(in), MaxCrashCounts)
	}
	for _, c := range in {
		if len(c.GetCrashes()) > MaxCrashAttempts {
			return invalidMessage("%d crashes in a crash count; allowed: %d", len(c.GetCrashes()), MaxCrashAttempts)
		}
		for _, cr := range c.GetCrashes() {
			if len(cr.GetAttempt()) > maxIDBytes || len(cr.GetBesides()) > MaxCrashNeighbours {
				return invalidMessage("a crash has an attempt identifier of %d bytes and %d fingerprints; allowed: %d and %d",
					len(cr.GetAttempt()), len(cr.GetBesides()), maxIDBytes, MaxCrashNeighbours)
			}
		}
	}
	return nil
}

// message is a decoded request or response.
type message struct {
	sender  string
	digest  pwchange.Digest
	changes []pwchange.Change
	// held is valid when hasHeld is true. Only requests have it.
	held    pwchange.SequenceList
	hasHeld bool
	// wanted holds the key hashes of the changes that the peer asks for. Only
	// responses have it.
	wanted  []uint64
	crashes []*pwrpc.CrashCount
}

// decodeRequest decodes and checks a request. The request may be malformed, and
// the peer may run another version of this program.
func decodeRequest(req *pwrpc.ExchangeRequest) (m message, err error) {
	if n := proto.Size(req); n > MaxMessageBytes {
		return m, invalidMessage("request has %d bytes; allowed: %d", n, MaxMessageBytes)
	}
	if n := len(req.GetInstance()); n == 0 || n > maxIDBytes {
		return m, invalidMessage("instance identifier has %d bytes; allowed: 1 to %d", n, maxIDBytes)
	}
	m.sender = req.GetInstance()
	m.digest = decodeDigest(req.GetDigest())
	if m.held, m.hasHeld, err = decodeHeld(req.GetHeld()); err != nil {
		return m, err
	}
	return m, m.decodeCommon(req.GetChanges(), req.GetCrashes())
}

// decodeResponse decodes and checks a response.
func decodeResponse(resp *pwrpc.ExchangeResponse) (m message, err error) {
	if n := proto.Size(resp); n > MaxMessageBytes {
		return m, invalidMessage("response has %d bytes; allowed: %d", n, MaxMessageBytes)
	}
	m.digest = decodeDigest(resp.GetDigest())
	if m.wanted, err = decodeHashes(resp.GetWanted()); err != nil {
		return m, err
	}
	return m, m.decodeCommon(resp.GetChanges(), resp.GetCrashes())
}

// decodeCommon decodes the fields that requests and responses share.
func (m *message) decodeCommon(changes []*pwrpc.Change, crashes []*pwrpc.CrashCount) (err error) {
	if m.changes, err = decodeChanges(changes); err != nil {
		return err
	}
	m.crashes = crashes
	if err := checkCrashes(crashes); err != nil {
		return fmt.Errorf("exchange: %w", err)
	}
	return nil
}
