package pwpeering

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcell"
	"github.com/pomeloweir/pomeloweir/internal/core/pwfleet"
	"github.com/pomeloweir/pomeloweir/internal/core/pwturn"
)

// Sizes and bounds of a message. With the largest number of each kind of record it
// stays below the usual MTU.
const (
	// messageMagic is the first field of every message. It names the version of the
	// format; messages of other versions are dropped.
	messageMagic = uint32(0x70776c34)
	headerBytes  = 4 + 8 + 8 + 1 + 2 + 2 + 2 + 2 + 1 + 1 + 1 + 1
	loadBytes    = 8 + 2 + 1 + 1 + 1 + 2
	crashBytes   = 1 + 1 + 8 + 8 + 4
	budgetBytes  = 8 + 4 + 4
	limitBytes   = 8 + 1 + 4 + 2 + 2
	// maxLoads, MaxCrashes, maxBudgets and MaxLimits bound the records of one message.
	maxLoads   = 54
	MaxCrashes = 12
	maxBudgets = 8
	MaxLimits  = 8
	// maxMessageBytes is the size of the largest message.
	maxMessageBytes = headerBytes + maxLoads*loadBytes + MaxCrashes*crashBytes + maxBudgets*budgetBytes + MaxLimits*limitBytes
	// prefillUnitMS and memoryUnitTokens are the units of a load record, queueUnitMS that
	// of the prefill of queued requests.
	prefillUnitMS    = 0.25
	memoryUnitTokens = 1024
	queueUnitMS      = 16
	// limitUnit is the unit of a stated limit, in requests a second.
	limitUnit = 0.001
)

const (
	// flagFull marks a message whose loads replace all earlier ones of its sender.
	flagFull = 1
	// flagWaiting marks a message whose sender has long prompts in its queue.
	flagWaiting = 2
)

// CrashKind states what a Crash record is about.
type CrashKind uint8

// Kinds of Crash records.
const (
	// CrashOfRequest is a crash of a server that was running a request.
	CrashOfRequest CrashKind = iota
	// CrashOfPart is a crash of a server that was running a request with a part in its
	// prompt.
	CrashOfPart
	// ClearedPart states that a request with a part in its prompt was answered.
	ClearedPart
	// StoredPart is like CrashOfPart, and states that the platform's store has the
	// part's crashes.
	StoredPart
	crashKinds
)

const (
	// flagStated and flagLifted mark a limit that the sender heard of itself, and one
	// that was lifted.
	flagStated = 1
	flagLifted = 2
)

// Crash is a crash of a backend server, or the clearance of a part of a prompt.
type Crash struct {
	Kind CrashKind
	// Depth is the position of the part in the prompt, from 0.
	Depth uint8
	// Fingerprint is a hash of the request's path, caller and body, or of the part.
	Fingerprint uint64
	// Attempt identifies the start of the server that crashed. It is 0 for a clearance.
	Attempt uint64
	// AgeMS is how long ago the crash or clearance was, in milliseconds.
	AgeMS uint32
}

// BudgetUsage is a process's recent use of the retry budget of a service: its requests
// and retries.
type BudgetUsage struct {
	// Service is a hash of the service's name.
	Service  uint64
	Requests uint32
	Retries  uint32
}

// Message is the content of a message between processes.
type Message struct {
	// Full is set if Loads replaces all earlier loads of the sender. Otherwise Loads
	// holds the servers whose load has changed; a zero load removes that of a server.
	Full    bool
	Loads   []pwfleet.ServerLoad
	Crashes []Crash
	// Queue replaces what the sender last reported about its queue.
	Queue pwturn.Report
	// Budgets replaces the budget usage of the sender, unless it is empty.
	Budgets []BudgetUsage
	// Limits holds servers that state a limit, and what the sender sends to them.
	Limits []pwfleet.LimitReport
}

// envelope is what a message states about its sender and itself.
type envelope struct {
	// incarnation is the start time of the process. A new value means that the
	// sequence numbers start again.
	incarnation uint64
	sequence    uint64
	cell        pwcell.Cell
}

// encodeMessage encodes a message in little-endian byte order.
func encodeMessage(e envelope, m Message) []byte {
	le := binary.LittleEndian
	b := make([]byte, 0, headerBytes+len(m.Loads)*loadBytes+len(m.Crashes)*crashBytes+len(m.Budgets)*budgetBytes+len(m.Limits)*limitBytes)
	b = le.AppendUint32(b, messageMagic)
	b = le.AppendUint64(b, e.incarnation)
	b = le.AppendUint64(b, e.sequence)
	var flags byte
	if m.Full {
		flags |= flagFull
	}
	if m.Queue.Waiting {
		flags |= flagWaiting
	}
	b = append(b, flags)
	b = le.AppendUint16(b, uint16(e.cell.Index))
	b = le.AppendUint16(b, uint16(e.cell.Count))
	b = le.AppendUint16(b, clampUint16(float64(m.Queue.Rank.Milliseconds())))
	b = le.AppendUint16(b, clampUint16(m.Queue.PrefillMS/queueUnitMS))
	b = append(b, byte(len(m.Loads)), byte(len(m.Crashes)), byte(len(m.Budgets)), byte(len(m.Limits)))
	for _, l := range m.Loads {
		b = le.AppendUint64(b, l.Server)
		b = le.AppendUint16(b, clampUint16(math.Round(l.PrefillMS/prefillUnitMS)))
		b = append(b, clampByte(l.TightStreams), clampByte(l.MediumStreams), clampByte(l.Requests))
		// Rounding up keeps the record of a small load from being zero, which would
		// remove it.
		b = le.AppendUint16(b, clampUint16(math.Ceil(float64(l.MemoryTokens)/memoryUnitTokens)))
	}
	for _, c := range m.Crashes {
		b = append(b, byte(c.Kind), c.Depth)
		b = le.AppendUint64(b, c.Fingerprint)
		b = le.AppendUint64(b, c.Attempt)
		b = le.AppendUint32(b, c.AgeMS)
	}
	for _, u := range m.Budgets {
		b = le.AppendUint64(b, u.Service)
		b = le.AppendUint32(b, u.Requests)
		b = le.AppendUint32(b, u.Retries)
	}
	for _, l := range m.Limits {
		var flags byte
		if l.Stated {
			flags |= flagStated
		}
		if l.Lifted {
			flags |= flagLifted
		}
		b = le.AppendUint64(b, l.Server)
		b = append(b, flags)
		b = le.AppendUint32(b, uint32(min(math.MaxUint32, l.PerSecond/limitUnit)))
		b = le.AppendUint16(b, clampUint16(float64(time.Since(l.StatedAt).Milliseconds())))
		b = le.AppendUint16(b, clampUint16(float64(l.Sends)))
	}
	return b
}

func clampByte(n int) byte { return byte(max(0, min(math.MaxUint8, n))) }

func clampUint16(x float64) uint16 { return uint16(max(0, min(math.MaxUint16, x))) }

// parseMessage decodes a message. It returns errMalformedMessage for one that is
// truncated, has surplus bytes, or is of another version.
func parseMessage(raw []byte) (envelope, Message, error) {
	le := binary.LittleEndian
	if len(raw) < headerBytes || le.Uint32(raw) != messageMagic {
		return envelope{}, Message{}, errMalformedMessage
	}
	e := envelope{
		incarnation: le.Uint64(raw[4:]),
		sequence:    le.Uint64(raw[12:]),
		cell: pwcell.Cell{
			Index: int(le.Uint16(raw[21:])),
			Count: int(le.Uint16(raw[23:])),
		},
	}
	m := Message{
		Full: raw[20]&flagFull != 0,
		Queue: pwturn.Report{
			Waiting:   raw[20]&flagWaiting != 0,
			Rank:      time.Duration(le.Uint16(raw[25:])) * time.Millisecond,
			PrefillMS: float64(le.Uint16(raw[27:])) * queueUnitMS,
		},
	}
	loads, crashes, budgets, limits := int(raw[29]), int(raw[30]), int(raw[31]), int(raw[32])
	if loads > maxLoads || crashes > MaxCrashes || budgets > maxBudgets || limits > MaxLimits || !e.cell.IsValid() ||
		len(raw) != headerBytes+loads*loadBytes+crashes*crashBytes+budgets*budgetBytes+limits*limitBytes {
		return envelope{}, Message{}, errMalformedMessage
	}
	raw = raw[headerBytes:]
	m.Loads = make([]pwfleet.ServerLoad, loads)
	for i := range m.Loads {
		m.Loads[i] = pwfleet.ServerLoad{
			Server: le.Uint64(raw),
			Load: pwfleet.Load{
				PrefillMS:     float64(le.Uint16(raw[8:])) * prefillUnitMS,
				TightStreams:  int(raw[10]),
				MediumStreams: int(raw[11]),
				Requests:      int(raw[12]),
				MemoryTokens:  int64(le.Uint16(raw[13:])) * memoryUnitTokens,
			},
		}
		raw = raw[loadBytes:]
	}
	m.Crashes = make([]Crash, crashes)
	for i := range m.Crashes {
		if CrashKind(raw[0]) >= crashKinds {
			return envelope{}, Message{}, errMalformedMessage
		}
		m.Crashes[i] = Crash{
			Kind:        CrashKind(raw[0]),
			Depth:       raw[1],
			Fingerprint: le.Uint64(raw[2:]),
			Attempt:     le.Uint64(raw[10:]),
			AgeMS:       le.Uint32(raw[18:]),
		}
		raw = raw[crashBytes:]
	}
	m.Budgets = make([]BudgetUsage, budgets)
	for i := range m.Budgets {
		m.Budgets[i] = BudgetUsage{
			Service:  le.Uint64(raw),
			Requests: le.Uint32(raw[8:]),
			Retries:  le.Uint32(raw[12:]),
		}
		raw = raw[budgetBytes:]
	}
	m.Limits = make([]pwfleet.LimitReport, limits)
	now := time.Now()
	for i := range m.Limits {
		m.Limits[i] = pwfleet.LimitReport{
			Server:    le.Uint64(raw),
			Stated:    raw[8]&flagStated != 0,
			Lifted:    raw[8]&flagLifted != 0,
			PerSecond: float64(le.Uint32(raw[9:])) * limitUnit,
			StatedAt:  now.Add(-time.Duration(le.Uint16(raw[13:])) * time.Millisecond),
			Sends:     int(le.Uint16(raw[15:])),
		}
		raw = raw[limitBytes:]
	}
	return e, m, nil
}

// MessageBytes returns the size in bytes of a message with the load on that many
// servers and without crashes and budgets.
func MessageBytes(loads int) int { return headerBytes + min(loads, maxLoads)*loadBytes }
