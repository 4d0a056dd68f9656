package pwentry

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/pomeloweir/pomeloweir/internal/core/pwgroup"
)

// ObjectStore stores the checkpoints of prompts that need a group of engines.
type ObjectStore interface {
	Put(ctx context.Context, key string, data []byte) error
	Get(ctx context.Context, key string) ([]byte, error)
	Delete(ctx context.Context, key string) error
}

func (f *InFlightRequest) checkpointKey() string {
	return "checkpoint/" + string(f.request.ID())
}

func (g *groupCoordinator) writeCheckpoint(a pwgroup.WriteCheckpoint) pwgroup.Input {
	return pwgroup.CheckpointDone{
		SegmentCount: len(a.Checkpoint.Ends),
		Stored:       g.inFlight.storeCheckpoint(g.ctx, a.Checkpoint) == nil,
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

// loadCheckpoint returns the last checkpoint of an earlier coordinator, or an empty one
// if there is none or it can't be read.
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

// checkpointDeletion deletes the checkpoint of a completed request.
type checkpointDeletion struct {
	inFlight *InFlightRequest
}

func (d *checkpointDeletion) run() {
	e := d.inFlight.entry
	if e.objects == nil {
		return
	}
	ctx, cancel := context.WithTimeout(e.lifetimeCtx, checkpointTimeout)
	defer cancel()
	if err := e.objects.Delete(ctx, d.inFlight.checkpointKey()); err != nil {
		e.obs.Warn("checkpoint was not deleted", err, "request", string(d.inFlight.request.ID()))
	}
}
