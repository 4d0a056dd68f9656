package pwentry

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/pomeloweir/pomeloweir/internal/core/pwgroup"
)

// ObjectStore is what an entry needs of the object store: checkpoints of prompts
// that take a group of engines.
type ObjectStore interface {
	Put(ctx context.Context, key string, data []byte) error
	Get(ctx context.Context, key string) ([]byte, error)
	Delete(ctx context.Context, key string) error
}

func (f *InFlightRequest) checkpointKey() string {
	return "checkpoint/" + string(f.request.ID())
}

func (g *groupRun) writeCheckpoint(a pwgroup.WriteCheckpoint) pwgroup.Input {
	return pwgroup.CheckpointDone{
		SegmentCount: len(a.Checkpoint.Ends),
		Stored:       g.flight.storeCheckpoint(g.ctx, a.Checkpoint) == nil,
	}
}

var errNoObjectStore = errors.New("no object store is configured")

func (f *InFlightRequest) storeCheckpoint(ctx context.Context, c pwgroup.Checkpoint) error {
	if f.entry.objects == nil {
		return errNoObjectStore
	}
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	return f.entry.objects.Put(ctx, f.checkpointKey(), data)
}

// loadCheckpoint returns the progress of an earlier coordinator, or none.
func (f *InFlightRequest) loadCheckpoint(ctx context.Context) pwgroup.Checkpoint {
	var c pwgroup.Checkpoint
	if f.entry.objects == nil {
		return c
	}
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	data, err := f.entry.objects.Get(ctx, f.checkpointKey())
	if err != nil || json.Unmarshal(data, &c) != nil {
		return pwgroup.Checkpoint{}
	}
	return c
}

// checkpointDrop deletes the checkpoint of a completed request.
type checkpointDrop struct {
	flight *InFlightRequest
}

func (d *checkpointDrop) run() {
	e := d.flight.entry
	if e.objects == nil {
		return
	}
	ctx, cancel := context.WithTimeout(e.baseCtx, checkpointTimeout)
	defer cancel()
	if err := e.objects.Delete(ctx, d.flight.checkpointKey()); err != nil {
		e.obs.Warn("checkpoint was not deleted", err, "request", string(d.flight.request.ID()))
	}
}
