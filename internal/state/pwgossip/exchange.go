package pwgossip

import (
	"context"
	"math"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
	"github.com/pomeloweir/pomeloweir/internal/state/pwchange"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
)

// Bounds of the exchanges with peers.
const (
	// exchangeTimeout ends a request without changes. It is short, so that a
	// process tries several peers before it counts as isolated.
	exchangeTimeout = 700 * time.Millisecond
	// transferTimeout ends a request that carries changes.
	transferTimeout = 3 * time.Second
	// reconcileRounds bounds the requests of one reconciliation. The first
	// synchronisation of pwchange.MaxTotalBytes takes two reconciliations.
	reconcileRounds = 64
	// firstWindow is the number of newest changes that are compared one by one
	// when digests differ at the same head. A gap is nearly always among these
	// changes, so the list of all changes is sent only when that finds nothing.
	firstWindow = 64
	// maxConcurrentRequests bounds the incoming exchanges that run concurrently.
	maxConcurrentRequests = 64
)

// HandleExchange merges the changes and crash counts of a peer's request and returns
// the response. Its errors have a verdict.
func (n *Node) HandleExchange(_ context.Context, req *pwrpc.ExchangeRequest) (*pwrpc.ExchangeResponse, error) {
	if n.handling.Add(1) > maxConcurrentRequests {
		n.handling.Add(-1)
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseUnavailable, "more than %d exchanges at once", maxConcurrentRequests)
	}
	defer n.handling.Add(-1)
	n.counters.receivedBytes.Add(int64(proto.Size(req)))
	m, err := decodeRequest(req)
	if err != nil {
		return nil, err
	}
	n.mergeChanges(m.changes)
	n.mergeCrashes(m.crashes)
	resp := n.buildResponse(m)
	n.counters.sentBytes.Add(int64(proto.Size(resp)))
	return resp, nil
}

// buildResponse returns the response to a request whose changes are merged, and
// records the contact when the peer is not ahead.
func (n *Node) buildResponse(m message) *pwrpc.ExchangeResponse {
	n.mu.Lock()
	own := n.replica.Digest()
	var changes []pwchange.Change
	var wanted []uint64
	switch {
	case m.hasHeld:
		changes, wanted = n.replica.Delta(m.held, batchBytes)
	case own.Head > m.digest.Head:
		changes = n.replica.ChangesSince(m.digest.Head, batchBytes)
	}
	n.mu.Unlock()
	identical := own.SameContents(m.digest)
	if identical {
		n.confirm(m.digest, m.digest.ConfirmedAt, pwrequest.InstanceID(m.sender))
	}
	// An exchange with a peer that is ahead does not show that this process is up
	// to date.
	if own.Head >= m.digest.Head {
		n.recordContact()
	}
	return &pwrpc.ExchangeResponse{
		Digest:   encodeDigest(n.digest()),
		Changes:  encodeChanges(changes),
		Wanted:   encodeHashes(wanted),
		SendHeld: !identical && !m.hasHeld && len(changes) == 0,
		Crashes:  n.collectCrashes(),
	}
}

func (n *Node) mergeCrashes(counts []*pwrpc.CrashCount) {
	if n.opts.Crashes != nil && len(counts) > 0 {
		n.opts.Crashes.Merge(counts)
	}
}

func (n *Node) collectCrashes() []*pwrpc.CrashCount {
	if n.opts.Crashes == nil {
		return nil
	}
	counts := n.opts.Crashes.Collect(MaxCrashCounts)
	return counts[:min(len(counts), MaxCrashCounts)]
}

// exchange sends one request, and merges the changes and crash counts of the
// response. newCount is the number of changes that were new.
func (n *Node) exchange(ctx context.Context, peer pwinstance.Instance, changes []pwchange.Change, held *pwchange.SequenceList) (m message, newCount int, err error) {
	ctx, cancel := context.WithTimeout(ctx, lo.Ternary(len(changes) > 0, transferTimeout, exchangeTimeout))
	defer cancel()
	req := &pwrpc.ExchangeRequest{
		Instance:   string(n.opts.Self.ID),
		DataCentre: string(n.opts.Self.DataCentre),
		Digest:     encodeDigest(n.digest()),
		Changes:    encodeChanges(changes),
		Crashes:    n.collectCrashes(),
	}
	if held != nil {
		req.Held = encodeHeld(*held)
	}
	n.counters.exchanges.Add(1)
	n.counters.sentBytes.Add(int64(proto.Size(req)))
	resp, err := n.opts.Dialer.Peer(peer).Exchange(ctx, req)
	if err == nil {
		n.counters.receivedBytes.Add(int64(proto.Size(resp)))
		m, err = decodeResponse(resp)
	}
	n.mu.Lock()
	n.view.recordResult(peer.ID, err == nil, time.Now(), n.rng)
	n.mu.Unlock()
	if err != nil {
		n.counters.failures.Add(1)
		return m, 0, err
	}
	n.mergeCrashes(m.crashes)
	return m, n.mergeChanges(m.changes), nil
}

// reconcile exchanges changes with a peer until both hold the same changes. It
// compares the digests first. When the heads differ, the side with the higher head
// sends the changes above the lower one. When they are equal, the sequence numbers
// of the newest changes are compared, and then those of all held changes.
func (n *Node) reconcile(ctx context.Context, peer pwinstance.Instance) error {
	var send []pwchange.Change
	window := 0
	for range reconcileRounds {
		var held *pwchange.SequenceList
		if window > 0 {
			held = n.newestHeld(window)
		}
		m, newCount, err := n.exchange(ctx, peer, send, held)
		if err != nil {
			return err
		}
		own := n.digest()
		if own.SameContents(m.digest) {
			n.confirm(m.digest, m.digest.ConfirmedAt, peer.ID)
			n.recordContact()
			return nil
		}
		if own.Head >= m.digest.Head {
			n.recordContact()
		}
		send = n.changesMissingAt(m)
		if newCount > 0 || len(send) > 0 {
			continue
		}
		switch {
		case window == 0:
			window = firstWindow
		case window < pwchange.MaxKeys:
			window = pwchange.MaxKeys
		default:
			return nil // Changes arrived in the meantime; the next comparison sends them.
		}
	}
	return nil
}

// newestHeld lists the sequence numbers of the newest held changes, up to window.
func (n *Node) newestHeld(window int) *pwchange.SequenceList {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.replica.NewestSequences(window)
	return &h
}

// changesMissingAt returns the changes that a peer asked for, or else those above
// the head in its digest.
func (n *Node) changesMissingAt(m message) []pwchange.Change {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(m.wanted) > 0 {
		return n.replica.ChangesByHash(m.wanted, batchBytes)
	}
	if n.replica.Digest().Head > m.digest.Head {
		return n.replica.ChangesSince(m.digest.Head, batchBytes)
	}
	return nil
}

// announcement lists changes without their values. Its floor is above all sequence
// numbers, so that the response contains no changes, only the hashes that the peer
// wants.
func announcement(changes []pwchange.Change) *pwchange.SequenceList {
	h := &pwchange.SequenceList{
		Floor:     math.MaxUint64 - 1,
		Sequences: make(map[uint64]uint64, len(changes)),
	}
	for _, c := range changes {
		h.Sequences[pwchange.KeyHash(c.Key)] = c.Sequence
	}
	return h
}
