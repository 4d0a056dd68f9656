package pwpeering

import (
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcell"
	"github.com/pomeloweir/pomeloweir/internal/core/pwoverload"
)

// Sizes of a usage message. It has its own magic, so that processes of releases without it
// drop it and still merge the loads. The largest stays below the usual MTU.
const (
	usageMagic       = uint32(0x70777531)
	usageHeaderBytes = 4 + 8 + 8 + 2 + 2 + 1
	usageBytes       = 8 + 4 + 4 + 4
	// usageUnit is the unit of a rate, in requests or milliseconds of prefill a second.
	usageUnit = 0.01
)

// UsageView provides the demand of the workspaces that processes of a cell tell each other.
type UsageView interface {
	// OwnUsage returns the demand of this process. urgent is set if it should be told with
	// each heartbeat; otherwise it is told once in fullInterval.
	OwnUsage() (list []pwoverload.Usage, urgent bool)
	// MergeUsage replaces the demand that a peer reported.
	MergeUsage(peer string, list []pwoverload.Usage)
}

// usageDatagrams returns the usage message if it is due.
func (x *Exchange) usageDatagrams(cell pwcell.Cell, recipients []netip.AddrPort) []datagram {
	if x.cfg.Usage == nil || len(recipients) == 0 {
		return nil
	}
	list, urgent := x.cfg.Usage.OwnUsage()
	if !urgent && time.Since(x.usageSentAt) < fullInterval {
		return nil
	}
	x.usageSentAt = time.Now()
	x.sequence++
	return []datagram{{
		raw: encodeUsage(envelope{
			incarnation: x.incarnation,
			sequence:    x.sequence,
			cell:        cell,
		}, firstN(list, pwoverload.MaxReported)),
		recipients: recipients,
	}}
}

// handleUsage decodes a usage message and merges it if its sender is in the own cell.
func (x *Exchange) handleUsage(raw []byte, from netip.AddrPort) error {
	e, list, err := parseUsage(raw)
	if err != nil {
		return err
	}
	if x.cfg.Usage == nil {
		return nil
	}
	name, ok := x.acceptNewer(from, e)
	if !ok {
		return nil
	}
	if own, _ := x.view.Cell(); e.cell.Overlaps(own) {
		x.cfg.Usage.MergeUsage(name, list)
	}
	return nil
}

func isUsage(raw []byte) bool {
	return len(raw) >= 4 && binary.LittleEndian.Uint32(raw) == usageMagic
}

// encodeUsage encodes a usage message in little-endian byte order.
func encodeUsage(e envelope, list []pwoverload.Usage) []byte {
	le := binary.LittleEndian
	b := make([]byte, 0, usageHeaderBytes+len(list)*usageBytes)
	b = le.AppendUint32(b, usageMagic)
	b = le.AppendUint64(b, e.incarnation)
	b = le.AppendUint64(b, e.sequence)
	b = le.AppendUint16(b, uint16(e.cell.Index))
	b = le.AppendUint16(b, uint16(e.cell.Count))
	b = append(b, byte(len(list)))
	for _, u := range list {
		b = le.AppendUint64(b, u.Workspace)
		b = le.AppendUint32(b, clampUint32(u.Requests[pwoverload.Short]/usageUnit))
		b = le.AppendUint32(b, clampUint32(u.Requests[pwoverload.Long]/usageUnit))
		b = le.AppendUint32(b, clampUint32(u.PrefillMS/usageUnit))
	}
	return b
}

func clampUint32(x float64) uint32 { return uint32(max(0, min(math.MaxUint32, x))) }

// parseUsage decodes a usage message.
func parseUsage(raw []byte) (envelope, []pwoverload.Usage, error) {
	le := binary.LittleEndian
	if len(raw) < usageHeaderBytes || !isUsage(raw) {
		return envelope{}, nil, errMalformedMessage
	}
	e := envelope{
		incarnation: le.Uint64(raw[4:]),
		sequence:    le.Uint64(raw[12:]),
		cell: pwcell.Cell{
			Index: int(le.Uint16(raw[20:])),
			Count: int(le.Uint16(raw[22:])),
		},
	}
	n := int(raw[24])
	if n > pwoverload.MaxReported || !e.cell.IsValid() || len(raw) != usageHeaderBytes+n*usageBytes {
		return envelope{}, nil, errMalformedMessage
	}
	list := make([]pwoverload.Usage, n)
	raw = raw[usageHeaderBytes:]
	for i := range list {
		list[i].Workspace = le.Uint64(raw)
		list[i].Requests[pwoverload.Short] = float64(le.Uint32(raw[8:])) * usageUnit
		list[i].Requests[pwoverload.Long] = float64(le.Uint32(raw[12:])) * usageUnit
		list[i].PrefillMS = float64(le.Uint32(raw[16:])) * usageUnit
		raw = raw[usageBytes:]
	}
	return e, list, nil
}
