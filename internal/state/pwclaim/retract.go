package pwclaim

import (
	"context"
	"sync"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// maxUnconfirmedDispatches limits the dispatch identifiers that a store keeps. A call
// whose identifier was dropped cannot be retracted; its outcome stays may_have_run.
const maxUnconfirmedDispatches = 1024

// dispatchKey identifies the dispatch of one attempt of a call.
type dispatchKey struct {
	key     Key
	attempt pwrequest.AttemptID
}

// unconfirmedDispatches keeps the identifiers of dispatches that returned an error
// although their write may still take effect. When it is full, it drops the oldest.
type unconfirmedDispatches struct {
	mu             sync.Mutex
	ids            map[dispatchKey]string
	insertionOrder []dispatchKey
}

func (u *unconfirmedDispatches) add(k dispatchKey, id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ids == nil {
		u.ids = map[dispatchKey]string{}
	}
	if _, ok := u.ids[k]; !ok {
		u.insertionOrder = append(u.insertionOrder, k)
	}
	u.ids[k] = id
	if len(u.insertionOrder) > maxUnconfirmedDispatches {
		delete(u.ids, u.insertionOrder[0])
		u.insertionOrder = u.insertionOrder[1:]
	}
}

func (u *unconfirmedDispatches) get(k dispatchKey) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ids[k]
}

// Retract undoes a Dispatch that returned an error with MayHaveRun. It moves the row
// to aborted if the row is still in claimed, or if the failed call of Dispatch moved
// it to dispatched; no agent calls the service after such a failure. Retract returns
// true only if the row is confirmed to be in aborted. The agent may then report
// not_run.
func (s *Store) Retract(ctx context.Context, k Key, attempt pwrequest.AttemptID) (aborted bool, err error) {
	id := s.unconfirmed.get(dispatchKey{
		key:     k,
		attempt: attempt,
	})
	return s.abort(ctx, k, attempt, func(cur row) bool {
		return id != "" && cur.State == StateDispatched && cur.Attempt == attempt && cur.DispatchID == id
	})
}

// abort moves the row to aborted if it does not exist, is claimed by the attempt, or
// is in another state for which canUndo returns true.
func (s *Store) abort(ctx context.Context, k Key, attempt pwrequest.AttemptID, canUndo func(row) bool) (bool, error) {
	last, err := s.updateRow(ctx, k, func(cur row) (row, bool, error) {
		next := row{
			State:     StateAborted,
			Attempt:   attempt,
			BodyHash:  cur.BodyHash,
			ChangedAt: time.Now(),
		}
		// A row that does not exist is created, so that a pending write of Claim
		// cannot take effect afterwards.
		write := cur.State == "" || cur.State == StateClaimed && cur.Attempt == attempt || canUndo(cur)
		return next, write, nil
	})
	if err != nil {
		// The verdict is MayHaveRun even if nothing was written, because the row may
		// be in dispatched.
		return false, withVerdict(err, pwverdict.MayHaveRun)
	}
	return last.State == StateAborted, nil
}
