package pwgossip

import (
	"context"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/state/pwchange"
)

// Durations and bounds of the relay role.
const (
	// tableTimeout bounds the reads of one tick together.
	tableTimeout = 5 * time.Second
	// maxTableBackoff bounds the wait between reads during an outage of the
	// table. Jitter spreads the reads of all relays over this time, so that the
	// table is not overloaded when it recovers.
	maxTableBackoff = 8 * time.Second
	// pagesPerTick bounds the pages that readSince reads; the next tick continues.
	pagesPerTick = 16
	// readsPerTick bounds the single log rows that are read in one tick.
	readsPerTick = 256
	// repairsPerTick bounds the changes that are written again in one tick.
	repairsPerTick = 64
	// gapWindow is the number of sequence numbers below the head that a relay
	// reads again to fill a gap, before it reads the list of all keys.
	gapWindow = 256
	// takeoverAfter is the age of the last confirmation above which further
	// processes take the relay role. It exceeds the time in which a confirmation
	// reaches every process of a large fleet.
	takeoverAfter = 10 * time.Second
	// takeoverStep is the delay from one rank to the next in taking the role.
	takeoverStep = 5 * time.Second
	// takeoverRanks bounds the processes of a data centre that have the role.
	takeoverRanks = 8
	// takeoverHold is how long a process keeps a role that it took over. Without
	// it, the first read would confirm the state and end the role.
	takeoverHold = 30 * time.Second
	// unlistedFactor multiplies the read interval of a process that has never
	// read an instance list, because an outage of the list may leave very many
	// such processes, which all read the table.
	unlistedFactor = 3
)

// isRelay reports whether this process has the relay role at now. The caller holds
// n.mu.
func (n *Node) isRelay(now time.Time) bool {
	if n.view.listReadAt.IsZero() || now.Before(n.relay.holdUntil) {
		return true
	}
	takeoverIndex := n.view.rank - n.opts.RelaysPerDataCentre
	if takeoverIndex < 0 {
		return true
	}
	if n.view.rank >= takeoverRanks {
		return false
	}
	lastConfirmed := n.replica.Freshness().ConfirmedAt
	if lastConfirmed.IsZero() {
		lastConfirmed = time.Unix(0, n.started.Load())
	}
	return now.Sub(lastConfirmed) > takeoverAfter+time.Duration(takeoverIndex)*takeoverStep
}

// relay reads the change log while this process has the relay role.
type relay struct {
	node *Node
	// holdUntil is the time until which a role that was taken over is kept. It is
	// guarded by node.mu.
	holdUntil time.Time
}

func (r *relay) loop(ctx context.Context) {
	failures := 0
	for sleep(ctx, r.delay(failures)) {
		if !r.refreshRole(time.Now()) {
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

// delay returns the time to the next tick. It is the interval with a jitter of a
// tenth, which keeps the rate at one read per interval, or after failures an
// exponential backoff with a jitter of half.
func (r *relay) delay(failures int) time.Duration {
	n := r.node
	d := n.opts.RelayInterval
	if failures > 0 {
		return n.jitter(min(d<<min(failures, 8), maxTableBackoff))
	}
	n.mu.Lock()
	if n.view.listReadAt.IsZero() {
		d *= unlistedFactor
	}
	n.mu.Unlock()
	return d - d/5 + n.jitter(d/5)
}

// refreshRole reports whether this process has the relay role. When the process
// takes the role over, refreshRole records until when it keeps the role.
func (r *relay) refreshRole(now time.Time) bool {
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

// read compares the replica with the head row and reads the missing changes. When
// nothing is missing, it takes a single read of the table.
func (r *relay) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	n := r.node
	startedAt := time.Now()
	n.counters.tableReads.Add(1)
	head, err := n.opts.Log.Head(ctx)
	if err != nil {
		return err
	}
	own := n.digest()
	if own.Head < head.Sequence {
		err = r.readSince(ctx, own.Head)
	}
	// Equal heads with different hashes mean that an earlier change is missing,
	// because a later one arrived first.
	if err == nil && r.hasGap(head) {
		err = r.readSince(ctx, head.Sequence-min(head.Sequence, gapWindow))
	}
	var lost []pwchange.Change
	if err == nil && r.hasGap(head) {
		lost, err = r.readKeys(ctx)
	}
	if err != nil {
		return err
	}
	if own.Head > head.Sequence {
		lost = n.changesSince(head.Sequence)
	}
	if err := r.repair(ctx, lost); err != nil {
		return err
	}
	n.confirm(head.Digest(), startedAt, n.opts.Self.ID)
	if n.digest().Head >= head.Sequence {
		n.recordContact()
	}
	return nil
}

// hasGap reports whether a change below the head of the table is missing.
func (r *relay) hasGap(head pwchange.Head) bool {
	own := r.node.digest()
	return own.Head == head.Sequence && own.Hash != head.Hash
}

// readSince reads and merges the changes above floor.
func (r *relay) readSince(ctx context.Context, floor uint64) error {
	for range pagesPerTick {
		r.node.counters.tableReads.Add(1)
		page, err := r.node.opts.Log.ChangesSince(ctx, floor)
		if err != nil {
			return err
		}
		r.node.mergeChanges(page)
		if len(page) < pwchange.MaxPage {
			return nil
		}
		floor = page[len(page)-1].Sequence
	}
	return nil
}

// repair writes changes again that the table has lost. Some of them may only be newer than
// the reading of the table; Repair leaves those as they are.
func (r *relay) repair(ctx context.Context, lost []pwchange.Change) error {
	for _, c := range lost[:min(len(lost), repairsPerTick)] {
		repaired, err := r.node.opts.Log.Repair(ctx, c, r.node.Head())
		if err != nil {
			return err
		}
		r.node.mergeChanges([]pwchange.Change{repaired})
	}
	return nil
}

// readKeys compares all keys with the table, to fill gaps that are older than
// gapWindow. It returns the changes that the table lacks.
func (r *relay) readKeys(ctx context.Context) (lost []pwchange.Change, err error) {
	lastKey := ""
	reads := 0
	inTable := make(map[string]uint64)
	for {
		r.node.counters.tableReads.Add(1)
		page, err := r.node.opts.Log.Keys(ctx, lastKey)
		if err != nil {
			return nil, err
		}
		for _, k := range page {
			inTable[k.Key] = k.Sequence
			if held, _ := r.node.Get(k.Key); held.Sequence >= k.Sequence {
				continue
			}
			if reads++; reads > readsPerTick {
				return nil, nil
			}
			r.node.counters.tableReads.Add(1)
			c, err := r.node.opts.Log.Change(ctx, k.Sequence)
			if err != nil {
				return nil, err
			}
			r.node.mergeChanges([]pwchange.Change{c})
		}
		if len(page) < pwchange.MaxPage {
			break
		}
		lastKey = page[len(page)-1].Key
	}
	for _, c := range r.node.changesSince(0) {
		if c.Sequence > inTable[c.Key] {
			lost = append(lost, c)
		}
	}
	return lost, nil
}
