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
	usageHeaderBytes = 4 + 8 + 8 + 2 + 2 + 8 + 1
	usageBytes       = 8 + 4 + 4 + 4
	// usageUnit is the unit of a rate, in requests or milliseconds of prefill a second.
	usageUnit = 0.01
)

// UsageView provides the demand of the workspaces that processes of a cell tell each other.
type UsageView interface {
	// OwnUsage returns the demand of this process by the hash of the service. urgent is set if
	// it should be told with each heartbeat; otherwise it is told once in fullInterval.
	OwnUsage() (byService map[uint64][]pwoverload.Usage, urgent bool)
	// MergeUsage replaces the demand that a peer reported of a service.
	MergeUsage(peer string, service uint64, list []pwoverload.Usage)
}

// usageDatagrams returns the usage messages if they are due, one for each service.
func (x *Exchange) usageDatagrams(cell pwcell.Cell, recipients []netip.AddrPort) []datagram {
	if x.cfg.Usage == nil || len(recipients) == 0 {
		return nil
	}
	byService, urgent := x.cfg.Usage.OwnUsage()
	if !urgent && time.Since(x.usageSentAt) < fullInterval {
		return nil
	}
	x.usageSentAt = time.Now()
	out := make([]datagram, 0, len(byService))
	for service, list := range byService {
		x.usageSequence++
		out = append(out, datagram{
			raw: encodeUsage(envelope{
				incarnation: x.incarnation,
				sequence:    x.usageSequence,
				cell:        cell,
			}, service, firstN(list, pwoverload.MaxReported)),
			recipients: recipients,
		})
	}
	return out
}

// handleUsage decodes a usage message and merges it if its sender is in the own cell.
func (x *Exchange) handleUsage(raw []byte, from netip.AddrPort) error {
	e, service, list, err := parseUsage(raw)
	if err != nil {
		return err
	}
	if x.cfg.Usage == nil {
		return nil
	}
	name, ok := x.acceptNewerUsage(from, e)
	if !ok {
		return nil
	}
	if own, _ := x.view.Cell(); e.cell.Overlaps(own) {
		x.cfg.Usage.MergeUsage(name, service, list)
	}
	return nil
}

// acceptNewerUsage returns the name of a usage message's sender. It returns false if the sender
// isn't heard or if the message isn't newer than the last one.
func (x *Exchange) acceptNewerUsage(from netip.AddrPort, e envelope) (name string, ok bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peers[from]
	if p == nil || !p.isActive() || e.incarnation != p.incarnation {
		return "", false
	}
	if e.incarnation == p.usageIncarnation && e.sequence <= p.usageSequence {
		return "", false
	}
	p.usageIncarnation, p.usageSequence = e.incarnation, e.sequence
	return p.name, true
}

func isUsage(raw []byte) bool {
	return len(raw) >= 4 && binary.LittleEndian.Uint32(raw) == usageMagic
}

// encodeUsage encodes a usage message in little-endian byte order.
func encodeUsage(e envelope, service uint64, list []pwoverload.Usage) []byte {
	le := binary.LittleEndian
	b := make([]byte, 0, usageHeaderBytes+len(list)*usageBytes)
	b = le.AppendUint32(b, usageMagic)
	b = le.AppendUint64(b, e.incarnation)
	b = le.AppendUint64(b, e.sequence)
	b = le.AppendUint16(b, uint16(e.cell.Index))
	b = le.AppendUint16(b, uint16(e.cell.Count))
	b = le.AppendUint64(b, service)
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
func parseUsage(raw []byte) (e envelope, service uint64, list []pwoverload.Usage, err error) {
	le := binary.LittleEndian
	if len(raw) < usageHeaderBytes || !isUsage(raw) {
		return envelope{}, 0, nil, errMalformedMessage
	}
	e = envelope{
		incarnation: le.Uint64(raw[4:]),
		sequence:    le.Uint64(raw[12:]),
		cell: pwcell.Cell{
			Index: int(le.Uint16(raw[20:])),
			Count: int(le.Uint16(raw[22:])),
		},
	}
	service = le.Uint64(raw[24:])
	n := int(raw[32])
	if n > pwoverload.MaxReported || !e.cell.IsValid() || len(raw) != usageHeaderBytes+n*usageBytes {
		return envelope{}, 0, nil, errMalformedMessage
	}
	list = make([]pwoverload.Usage, n)
	raw = raw[usageHeaderBytes:]
	for i := range list {
		list[i].Workspace = le.Uint64(raw)
		list[i].Requests[pwoverload.Short] = float64(le.Uint32(raw[8:])) * usageUnit
		list[i].Requests[pwoverload.Long] = float64(le.Uint32(raw[12:])) * usageUnit
		list[i].PrefillMS = float64(le.Uint32(raw[16:])) * usageUnit
		raw = raw[usageBytes:]
	}
	return e, service, list, nil
}
