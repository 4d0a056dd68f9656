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

// Bounds of the exchange with one peer.
const (
	// exchangeTimeout ends one request. It is short, so that a process tries
	// several peers before it counts as isolated.
	exchangeTimeout = 700 * time.Millisecond
	// transferTimeout ends a request that carries changes.
	transferTimeout = 3 * time.Second
	// reconcileRounds bounds the requests of one reconciliation. A first
	// synchronisation of pwchange.MaxTotalBytes takes two of them.
	reconcileRounds = 64
	// firstWindow is the number of newest changes that are compared one by
	// one when digests differ at the same head. A gap is nearly always among
	// them; the list of all changes is sent only if that did not help.
	firstWindow = 64
	// maxHandling bounds concurrent incoming exchanges.
	maxHandling = 64
)

// HandleExchange answers a request of a peer. Errors have a verdict.
func (n *Node) HandleExchange(_ context.Context, req *pwrpc.ExchangeRequest) (*pwrpc.ExchangeResponse, error) {
	if n.handling.Add(1) > maxHandling {
		n.handling.Add(-1)
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseUnavailable, "more than %d exchanges at once", maxHandling)
	}
	defer n.handling.Add(-1)
	n.counters.receivedBytes.Add(int64(proto.Size(req)))
	m, err := decodeRequest(req)
	if err != nil {
		return nil, err
	}
	n.learn(m.changes)
	n.mergeCrashes(m.crashes)
	resp := n.answer(m)
	n.counters.sentBytes.Add(int64(proto.Size(resp)))
	return resp, nil
}

func (n *Node) answer(m message) *pwrpc.ExchangeResponse {
	n.mu.Lock()
	mine := n.replica.Digest()
	var changes []pwchange.Change
	var wanted []uint64
	switch {
	case m.hasHeld:
		changes, wanted = n.replica.Delta(m.held, batchBytes)
	case mine.Head > m.digest.Head:
		changes = n.replica.ChangesSince(m.digest.Head, batchBytes)
	}
	n.mu.Unlock()
	same := mine.SameContents(m.digest)
	if same {
		n.confirm(m.digest, m.digest.ConfirmedAt, pwrequest.InstanceID(m.from))
	}
	// A peer that is ahead is no proof of being up to date.
	if mine.Head >= m.digest.Head {
		n.contact()
	}
	return &pwrpc.ExchangeResponse{
		Digest:   encodeDigest(n.digest()),
		Changes:  encodeChanges(changes),
		Wanted:   encodeHashes(wanted),
		SendHeld: !same && !m.hasHeld && len(changes) == 0,
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

// call sends one request and decodes the answer. New changes in the answer
// are learned; their number is returned.
func (n *Node) call(ctx context.Context, to pwinstance.Instance, changes []pwchange.Change, held *pwchange.SequenceList) (m message, news int, err error) {
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
	resp, err := n.opts.Dialer.Peer(to).Exchange(ctx, req)
	if err == nil {
		n.counters.receivedBytes.Add(int64(proto.Size(resp)))
		m, err = decodeResponse(resp)
	}
	n.mu.Lock()
	n.view.report(to.ID, err == nil, time.Now(), n.rng)
	n.mu.Unlock()
	if err != nil {
		n.counters.failures.Add(1)
		return m, 0, err
	}
	n.mergeCrashes(m.crashes)
	return m, n.learn(m.changes), nil
}

// reconcile exchanges changes with a peer until both hold the same. It starts
// with the digests alone. When the heads differ, the changes above the lower
// head are sent; when they are equal, first the newest and then all held
// sequence numbers are compared.
func (n *Node) reconcile(ctx context.Context, to pwinstance.Instance) error {
	var send []pwchange.Change
	window := 0
	for range reconcileRounds {
		var held *pwchange.SequenceList
		if window > 0 {
			held = n.held(window)
		}
		m, news, err := n.call(ctx, to, send, held)
		if err != nil {
			return err
		}
		mine := n.digest()
		if mine.SameContents(m.digest) {
			n.confirm(m.digest, m.digest.ConfirmedAt, to.ID)
			n.contact()
			return nil
		}
		if mine.Head >= m.digest.Head {
			n.contact()
		}
		send = n.missingAt(m)
		if news > 0 || len(send) > 0 {
			continue
		}
		switch {
		case window == 0:
			window = firstWindow
		case window < pwchange.MaxKeys:
			window = pwchange.MaxKeys
		default:
			return nil // Changes arrived meanwhile; the next comparison goes on.
		}
	}
	return nil
}

func (n *Node) held(window int) *pwchange.SequenceList {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.replica.NewestSequences(window)
	return &h
}

// missingAt returns the changes that a peer asked for or is known to lack.
func (n *Node) missingAt(m message) []pwchange.Change {
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

// announcement lists changes without their values. Its floor is above all
// sequence numbers, so that the peer answers only what it wants.
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
