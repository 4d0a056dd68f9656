package pwfakefleet

import (
	"context"
	"sync"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
)

// directory is an in-memory pwentry.Directory that all entries of a fleet share.
type directory struct {
	mu      sync.Mutex
	records map[pwrequest.ID]*pwrpc.RequestRecord
}

// Put implements pwentry.Directory. A record of an earlier attempt than the stored one is
// ignored.
func (d *directory) Put(_ context.Context, r *pwrpc.RequestRecord) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.records == nil {
		d.records = map[pwrequest.ID]*pwrpc.RequestRecord{}
	}
	id := pwrequest.ID(r.RequestId)
	if old, ok := d.records[id]; !ok || r.AttemptNumber >= old.AttemptNumber {
		d.records[id] = r
	}
	return nil
}

// Get implements pwentry.Directory.
func (d *directory) Get(_ context.Context, id pwrequest.ID) (*pwrpc.RequestRecord, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.records[id], nil
}
