package pwpeering

import (
	"encoding/binary"
	"math"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcell"
	"github.com/pomeloweir/pomeloweir/internal/core/pwfleet"
)

// Sizes and bounds of a message. With the largest number of each kind of record it
// stays below the usual MTU.
const (
	// messageMagic is the first field of every message. It names the version of the
	// format; messages of other versions are dropped.
	messageMagic = uint32(0x70776c33)
	headerBytes  = 4 + 8 + 8 + 1 + 2 + 2 + 1 + 1 + 1
	loadBytes    = 8 + 2 + 1 + 1 + 1 + 2
	crashBytes   = 8 + 8 + 4
	budgetBytes  = 8 + 4 + 4
	// maxLoads, maxCrashes and maxBudgets bound the records of one message.
	maxLoads   = 64
	maxCrashes = 8
	maxBudgets = 8
	// maxMessageBytes is the size of the largest message.
	maxMessageBytes = headerBytes + maxLoads*loadBytes + maxCrashes*crashBytes + maxBudgets*budgetBytes
	// prefillUnitMS and memoryUnitTokens are the units of a load record.
	prefillUnitMS    = 0.25
	memoryUnitTokens = 1024
)

// flagFull marks a message whose loads replace all earlier ones of its sender.
const flagFull = 1

// Crash is a crash of a backend server while it processed a request.
type Crash struct {
	// Fingerprint is a hash of the request's path, caller and body.
	Fingerprint uint64
	// Attempt identifies the attempt.
	Attempt uint64
	// AgeMS is how long ago the crash was, in milliseconds.
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
	// Budgets replaces the budget usage of the sender, unless it is empty.
	Budgets []BudgetUsage
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
	b := make([]byte, 0, headerBytes+len(m.Loads)*loadBytes+len(m.Crashes)*crashBytes+len(m.Budgets)*budgetBytes)
	b = le.AppendUint32(b, messageMagic)
	b = le.AppendUint64(b, e.incarnation)
	b = le.AppendUint64(b, e.sequence)
	var flags byte
	if m.Full {
		flags |= flagFull
	}
	b = append(b, flags)
	b = le.AppendUint16(b, uint16(e.cell.Index))
	b = le.AppendUint16(b, uint16(e.cell.Count))
	b = append(b, byte(len(m.Loads)), byte(len(m.Crashes)), byte(len(m.Budgets)))
	for _, l := range m.Loads {
		b = le.AppendUint64(b, l.Server)
		b = le.AppendUint16(b, uint16(min(math.MaxUint16, math.Round(max(0, l.PrefillMS)/prefillUnitMS))))
		b = append(b, clampByte(l.TightStreams), clampByte(l.MediumStreams), clampByte(l.Requests))
		// Rounding up keeps the record of a small load from being zero, which would
		// remove it.
		b = le.AppendUint16(b, uint16(min(math.MaxUint16, (max(0, l.MemoryTokens)+memoryUnitTokens-1)/memoryUnitTokens)))
	}
	for _, c := range m.Crashes {
		b = le.AppendUint64(b, c.Fingerprint)
		b = le.AppendUint64(b, c.Attempt)
		b = le.AppendUint32(b, c.AgeMS)
	}
	for _, u := range m.Budgets {
		b = le.AppendUint64(b, u.Service)
		b = le.AppendUint32(b, u.Requests)
		b = le.AppendUint32(b, u.Retries)
	}
	return b
}

func clampByte(n int) byte { return byte(max(0, min(math.MaxUint8, n))) }

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
	}
	loads, crashes, budgets := int(raw[25]), int(raw[26]), int(raw[27])
	if loads > maxLoads || crashes > maxCrashes || budgets > maxBudgets || !e.cell.IsValid() ||
		len(raw) != headerBytes+loads*loadBytes+crashes*crashBytes+budgets*budgetBytes {
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
		m.Crashes[i] = Crash{
			Fingerprint: le.Uint64(raw),
			Attempt:     le.Uint64(raw[8:]),
			AgeMS:       le.Uint32(raw[16:]),
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
	return e, m, nil
}

// MessageBytes returns the size in bytes of a message with the load on that many
// servers and without crashes and budgets.
func MessageBytes(loads int) int { return headerBytes + min(loads, maxLoads)*loadBytes }
