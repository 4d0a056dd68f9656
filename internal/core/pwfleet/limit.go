package pwfleet

import (
	"slices"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
)

const (
	// limitWindow, limitFactor and limitSlack are the platform's bound on the requests to
	// a server that states a limit, by all processes together: within any limitWindow
	// limitFactor times what the limit allows, plus limitSlack. Requests before the limit
	// was stated count.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5.0
	// limitWindowShare is the part of that bound up to which processes send. The rest
	// allows for the age of what they know of each other.
	limitWindowShare = 0.8
	// limitBurstShare is the part of what the bound allows beyond the limit that the
	// processes may use for bursts.
	limitBurstShare = 0.6
	// minLimitRate is the rate in requests a second at which a server with a lower limit
	// is asked, because only its answers show that the limit has ended.
	minLimitRate = 0.1
	// limitReportTime is how long peers are told of an answer by a process that sends
	// nothing to the server, and of a lifted limit.
	limitReportTime = 5 * time.Second
	// sendSlot is the resolution of a sendCount, sendSlots the number of its slots: those
	// within limitWindow, and the current one.
	sendSlot  = 250 * time.Millisecond
	sendSlots = int(limitWindow/sendSlot) + 1
)

// requestLimit is the number of requests a second that a server takes from all processes
// together, as its answers state.
type requestLimit struct {
	// perSecond is the limit. It no longer holds if lifted is set.
	perSecond float64
	lifted    bool
	// statedAt is the time of the answer that stated or lifted it. own is set if this
	// process received that answer.
	statedAt time.Time
	own      bool
	bucket   tokenBucket
	// peerSends holds what peers have recently sent to the server.
	peerSends map[string]peerSendCount
}

// peerSendCount is the number of requests that a peer sent within limitWindow.
type peerSendCount struct {
	count      int
	receivedAt time.Time
}

// LimitReport is what a process tells its peers about a server that states a limit.
type LimitReport struct {
	// Server is the result of HashServerID.
	Server uint64
	// Stated is set if the process itself received an answer of the server that stated
	// the limit, PerSecond, or lifted it. StatedAt is the time of the newest one.
	Stated    bool
	Lifted    bool
	PerSecond float64
	StatedAt  time.Time
	// Sends is the number of requests that the process sent to the server in the last
	// four seconds.
	Sends int
	// AllCells is set if processes of all cells send to the server. It isn't part of
	// messages.
	AllCells bool
}

// sendCount counts the requests sent within limitWindow.
type sendCount struct {
	slots [sendSlots]uint16
	// newest is the number of the slot, since the Unix epoch, that was last written.
	newest int64
}

func (c *sendCount) advance(now time.Time) {
	slot := now.UnixNano() / int64(sendSlot)
	for n := min(slot-c.newest, int64(sendSlots)); n > 0; n-- {
		c.slots[(slot-n+1)%int64(sendSlots)] = 0
	}
	c.newest = max(c.newest, slot)
}

func (c *sendCount) add(now time.Time) {
	c.advance(now)
	c.slots[c.newest%int64(sendSlots)]++
}

func (c *sendCount) sum(now time.Time) int {
	c.advance(now)
	total := 0
	for _, n := range c.slots {
		total += int(n)
	}
	return total
}

// isLimited reports whether the server states a limit.
func (s *server) isLimited() bool { return s.limit != nil && !s.limit.lifted }

// RecordLimit records that an answer of an incarnation states a limit, or with limited unset
// that it states none. It reports whether that is a change.
func (f *Fleet) RecordLimit(now time.Time, info pwcatalog.BackendServer, perSecond float64, limited bool) (changed bool) {
	st := f.statementsOf(info)
	if st == nil || st.limit == nil && !limited {
		return false
	}
	return st.setLimit(now, requestLimit{
		perSecond: perSecond,
		lifted:    !limited,
		statedAt:  now,
		own:       true,
	})
}

// setLimit replaces the limit and reports whether it has changed.
func (st *statements) setLimit(now time.Time, l requestLimit) (changed bool) {
	before := st.limit
	changed = before == nil || before.lifted != l.lifted || !l.lifted && before.perSecond != l.perSecond
	if before == nil || before.lifted {
		// The bucket starts empty: the server has just got more than it takes.
		l.bucket = tokenBucket{
			refilledAt: now,
		}
		l.peerSends = make(map[string]peerSendCount)
	} else {
		l.bucket, l.peerSends = before.bucket, before.peerSends
	}
	st.limit = &l
	return changed
}

// MergeLimits merges what a peer reports about limits. It returns the identifiers of the
// servers whose limits have changed.
func (f *Fleet) MergeLimits(now time.Time, peer string, reports []LimitReport) (changed []string) {
	for _, r := range reports {
		s := f.byHash[r.Server]
		if s == nil {
			continue
		}
		if r.Stated && (s.limit == nil || r.StatedAt.After(s.limit.statedAt)) && (s.limit != nil || !r.Lifted) {
			if s.setLimit(now, requestLimit{
				perSecond: r.PerSecond,
				lifted:    r.Lifted,
				statedAt:  r.StatedAt,
			}) {
				changed = append(changed, s.info.ID)
			}
		}
		if s.limit != nil {
			s.limit.peerSends[peer] = peerSendCount{
				count:      r.Sends,
				receivedAt: now,
			}
		}
	}
	return changed
}

// Limit returns the limit in requests a second that a server states, and whether it
// states one.
func (f *Fleet) Limit(id string) (perSecond float64, limited bool) {
	if s := f.servers[id]; s != nil && s.isLimited() {
		return s.limit.perSecond, true
	}
	return 0, false
}

// OwnLimits returns up to n reports for peers, those with the newest answers first. A
// process that has neither heard nor sent anything lately has nothing to report.
func (f *Fleet) OwnLimits(now time.Time, n int) []LimitReport {
	var out []LimitReport
	for _, s := range f.servers {
		l := s.limit
		if l == nil {
			continue
		}
		sends := 0
		if !l.lifted {
			sends = s.sends.sum(now)
		}
		if sends == 0 && (!l.own || now.Sub(l.statedAt) > limitReportTime) {
			continue
		}
		_, divided := f.models[s.info.Service]
		out = append(out, LimitReport{
			Server:    s.hash,
			Stated:    l.own,
			Lifted:    l.lifted,
			PerSecond: l.perSecond,
			StatedAt:  l.statedAt,
			Sends:     sends,
			AllCells:  !divided,
		})
	}
	slices.SortFunc(out, func(a, b LimitReport) int { return b.StatedAt.Compare(a.StatedAt) })
	return out[:min(n, len(out))]
}

// limitAllows reports whether this process may send one more request to a server that
// states a limit. As for cold servers, only the processes of the first ranks send, each
// an equal share of the limit. What they are known to have sent, also before the limit
// was stated, must leave room in the window.
func (f *Fleet) limitAllows(now time.Time, s *server) bool {
	l := s.limit
	rate := max(minLimitRate, l.perSecond)
	seconds := limitWindow.Seconds()
	bound := limitFactor*rate*seconds + limitSlack
	senders := f.rankedSenders(s, int(limitBurstShare*(bound-rate*seconds)))
	if senders == 0 {
		return false
	}
	l.bucket.refill(now, rate/float64(senders), 1)
	if l.bucket.tokens < 1 {
		return false
	}
	sends := s.sends.sum(now)
	for peer, p := range l.peerSends {
		if now.Sub(p.receivedAt) >= limitWindow {
			delete(l.peerSends, peer)
			continue
		}
		sends += p.count
	}
	return float64(sends+1) <= limitWindowShare*bound
}

// recordSend counts a request that is sent to a server.
func (s *server) recordSend(now time.Time) {
	s.sends.add(now)
	if s.isLimited() {
		s.limit.bucket.tokens--
	}
}

// excludeLimited returns the candidates that state no limit, or all of them if every one
// does: a long prompt is much work for a server in need.
func excludeLimited(cands []*server) []*server {
	if !slices.ContainsFunc(cands, (*server).isLimited) {
		return cands
	}
	if kept := slices.DeleteFunc(slices.Clone(cands), (*server).isLimited); len(kept) > 0 {
		return kept
	}
	return cands
}
