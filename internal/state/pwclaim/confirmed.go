package pwclaim

import (
	"sync"
	"time"
)

const (
	// confirmedRetention is how long a store remembers the rows that it has written. It is
	// shorter than MinRetention, so that no such row can have expired.
	confirmedRetention = 15 * time.Minute
	// maxConfirmedRows limits the rows that a store remembers.
	maxConfirmedRows = 4096
	// maxConfirmedResultBytes is the largest result that is remembered with its row.
	maxConfirmedResultBytes = 1 << 10
)

// confirmedRows remembers the rows whose writes by this store the table has confirmed. A
// table that has come back from an older copy lacks some of them. When it is full, it
// drops the oldest.
type confirmedRows struct {
	mu             sync.Mutex
	rows           map[string]confirmedRow
	insertionOrder []string
}

// confirmedRow is a row and when it was written.
type confirmedRow struct {
	row       row
	writtenAt time.Time
}

// put remembers the row with a table key.
func (c *confirmedRows) put(key string, r row) {
	if len(r.Result) > maxConfirmedResultBytes {
		r.Result, r.ResultOmitted = nil, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rows == nil {
		c.rows = make(map[string]confirmedRow)
	}
	if _, ok := c.rows[key]; !ok {
		c.insertionOrder = append(c.insertionOrder, key)
	}
	c.rows[key] = confirmedRow{
		row:       r,
		writtenAt: time.Now(),
	}
	for len(c.insertionOrder) > maxConfirmedRows || len(c.insertionOrder) > 0 && time.Since(c.rows[c.insertionOrder[0]].writtenAt) > confirmedRetention {
		delete(c.rows, c.insertionOrder[0])
		c.insertionOrder = c.insertionOrder[1:]
	}
}

// get returns the row that is remembered for a table key.
func (c *confirmedRows) get(key string) (row, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.rows[key]
	return r.row, ok && time.Since(r.writtenAt) <= confirmedRetention
}

// restoredRow returns the row that a key must have if cur, the row in the table, cannot
// follow written, which this store has written: the table has come back from an older copy
// then. lost is false if cur can follow written.
func restoredRow(written, cur row) (restored row, lost bool) {
	sameAttempt := cur.Attempt == written.Attempt
	switch written.State {
	case StateDone:
		lost = !sameAttempt || cur.State != StateDone
	case StateDispatched:
		lost = !sameAttempt || cur.State != StateDispatched && cur.State != StateDone
	case StateAborted:
		lost = cur.State == "" || sameAttempt && cur.State != StateAborted
	case StateClaimed:
		if lost = cur.State == ""; lost {
			// The attempt was sent, and an agent may have dispatched it.
			written.State = StateDispatched
		}
	}
	return written, lost
}
