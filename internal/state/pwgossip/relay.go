package pwgossip

import (
	"context"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/state/pwchange"
)

// Times and bounds of the relay role.
const (
	// tableTimeout ends all reads of one tick.
	tableTimeout = 5 * time.Second
	// maxTableBackoff bounds the wait between reads in an outage of the
	// table. The reads of all relays are spread over it by jitter, so that
	// the table is not flooded when it returns.
	maxTableBackoff = 8 * time.Second
	// pagesPerTick bounds the pages read in one tick; the next tick goes on.
	pagesPerTick = 16
	// readsPerTick bounds single log rows read in one tick.
	readsPerTick = 256
	// recentLog is how far behind its own head a relay looks for gaps before
	// it reads the list of all keys.
	recentLog = 256
	// takeoverAfter is the age of the last confirmation after which further
	// processes take the relay role. It is above the time in which a
	// confirmation reaches every process of a large fleet.
	takeoverAfter = 10 * time.Second
	// takeoverStep is the delay between one further process and the next.
	takeoverStep = 5 * time.Second
	// takeoverRanks bounds the processes of a data centre that read.
	takeoverRanks = 8
	// takeoverHold is how long such a process goes on. Without it, its first
	// reading would confirm the state and end its role.
	takeoverHold = 30 * time.Second
	// unlistedFactor slows the reads of a process that never got an instance
	// list, because in an outage of the list there may be very many of them.
	unlistedFactor = 3
)

// isRelay reports whether this process reads the table now. The caller holds
// the node's lock.
func (n *Node) isRelay(now time.Time) bool {
	if n.view.readAt.IsZero() || now.Before(n.relay.holdUntil) {
		return true
	}
	extra := n.view.rank - n.opts.RelaysPerDataCentre
	if extra < 0 {
		return true
	}
	if n.view.rank >= takeoverRanks {
		return false
	}
	last := n.replica.Freshness().ConfirmedAt
	if last.IsZero() {
		last = time.Unix(0, n.started.Load())
	}
	return now.Sub(last) > takeoverAfter+time.Duration(extra)*takeoverStep
}

// relay reads the change log while this process has the relay role.
type relay struct {
	node *Node
	// holdUntil is the end of a role that was taken over. The node's lock
	// guards it.
	holdUntil time.Time
}

func (r *relay) loop(ctx context.Context) {
	failures := 0
	for sleep(ctx, r.delay(failures)) {
		if !r.active(time.Now()) {
			failures = 0
			continue
		}
		if err := r.read(ctx); err != nil {
			failures++
		} else {
			failures = 0
		}
	}
}

// delay returns the time to the next tick: the interval with a jitter of a
// tenth, which keeps the rate at one read per interval, or a backoff with
// full jitter after failures.
func (r *relay) delay(failures int) time.Duration {
	n := r.node
	d := n.opts.RelayInterval
	if failures > 0 {
		return n.jitter(min(d<<min(failures, 8), maxTableBackoff))
	}
	n.mu.Lock()
	if n.view.readAt.IsZero() {
		d *= unlistedFactor
	}
	n.mu.Unlock()
	return d - d/5 + n.jitter(d/5)
}

func (r *relay) active(now time.Time) bool {
	n := r.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.isRelay(now) {
		return false
	}
	if n.view.rank >= n.opts.RelaysPerDataCentre && !now.Before(r.holdUntil) {
		r.holdUntil = now.Add(takeoverHold)
	}
	return true
}

// read compares the replica with the head row and reads what is missing. With
// nothing missing it is a single read.
func (r *relay) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	n := r.node
	at := time.Now()
	n.counters.tableReads.Add(1)
	head, err := n.opts.Log.Head(ctx)
	if err != nil {
		return err
	}
	mine := n.digest()
	if mine.Head < head.Sequence {
		err = r.readSince(ctx, mine.Head)
	}
	// Equal heads with different hashes mean that an earlier change is
	// missing, because a later one was pushed first.
	if err == nil && r.hasGap(head) {
		err = r.readSince(ctx, head.Sequence-min(head.Sequence, recentLog))
	}
	if err == nil && r.hasGap(head) {
		err = r.readKeys(ctx)
	}
	if err != nil {
		return err
	}
	n.confirm(head.Digest(), at, n.opts.Self.ID)
	if n.digest().Head >= head.Sequence {
		n.contact()
	}
	return nil
}

func (r *relay) hasGap(head pwchange.Head) bool {
	mine := r.node.digest()
	return mine.Head == head.Sequence && mine.Hash != head.Hash
}

func (r *relay) readSince(ctx context.Context, floor uint64) error {
	for range pagesPerTick {
		r.node.counters.tableReads.Add(1)
		page, err := r.node.opts.Log.ChangesSince(ctx, floor)
		if err != nil {
			return err
		}
		r.node.learn(page)
		if len(page) < pwchange.MaxPage {
			return nil
		}
		floor = page[len(page)-1].Sequence
	}
	return nil
}

// readKeys compares all keys with the table, for gaps that are older than
// recentLog.
func (r *relay) readKeys(ctx context.Context) error {
	after := ""
	reads := 0
	for {
		r.node.counters.tableReads.Add(1)
		page, err := r.node.opts.Log.Keys(ctx, after)
		if err != nil {
			return err
		}
		for _, k := range page {
			if held, _ := r.node.Get(k.Key); held.Sequence >= k.Sequence {
				continue
			}
			if reads++; reads > readsPerTick {
				return nil
			}
			r.node.counters.tableReads.Add(1)
			c, err := r.node.opts.Log.Change(ctx, k.Sequence)
			if err != nil {
				return err
			}
			r.node.learn([]pwchange.Change{c})
		}
		if len(page) < pwchange.MaxPage {
			return nil
		}
		after = page[len(page)-1].Key
	}
}
