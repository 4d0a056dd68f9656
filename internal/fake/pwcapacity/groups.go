package pwcapacity

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwgroup"
	"github.com/pomeloweir/pomeloweir/internal/core/pwmemory"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
)

// measureGroups counts the checkpoints that a prompt on a group of engines writes to
// the object store, and their bytes.
func measureGroups(_ context.Context, m *meter) error {
	for _, tokens := range []int64{500_000, 700_000, 1_000_000} {
		writes, bytes, err := countCheckpoints(tokens)
		if err != nil {
			return fmt.Errorf("objects.checkpoints: %w", err)
		}
		m.addPoint("objects.checkpoints", "tokens of a prompt on a group", "writes", float64(tokens), writes)
		m.addPoint("objects.checkpoint_bytes", "tokens of a prompt on a group", "B", float64(tokens), bytes)
	}
	return nil
}

// countCheckpoints runs one prompt on a group without faults.
func countCheckpoints(tokens int64) (writes, bytes float64, err error) {
	group, err := pwgroup.New(pwgroup.Config{}, pwgroup.Params{
		ID:           pwmemory.GroupID(attemptName(1)),
		PromptTokens: tokens,
		MaxTokens:    300,
		AdmittedAt:   epoch,
		Deadline:     epoch.Add(time.Hour),
		Seed:         1,
	}, epoch)
	if err != nil {
		return 0, 0, err
	}
	var candidates []pwgroup.Candidate
	for i := range 8 {
		candidates = append(candidates, pwgroup.Candidate{
			Server:     pwrequest.BackendServerID(serverName(i)),
			FreeTokens: 400_000,
		})
	}
	actions := group.Handle(epoch, pwgroup.Candidates{
		List: candidates,
	})
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		var in pwgroup.Input
		switch a := a.(type) {
		case pwgroup.Reserve:
			in = pwgroup.MemberReserved{
				Server: a.Server,
				Round:  a.Round,
				Fence:  1,
			}
		case pwgroup.RunSegment:
			in = pwgroup.SegmentDone{
				Server:  a.Server,
				Fence:   a.Fence,
				Segment: a.Segment,
				Handle:  fmt.Sprintf("kv-%026d", a.Segment),
			}
		case pwgroup.WriteCheckpoint:
			data, err := json.Marshal(a.Checkpoint)
			if err != nil {
				return 0, 0, err
			}
			writes++
			bytes += float64(len(data))
			in = pwgroup.CheckpointDone{
				SegmentCount: len(a.Checkpoint.Ends),
				Stored:       true,
			}
		case pwgroup.Generate:
			in = pwgroup.GenerationDone{
				Server: a.Server,
				Fence:  a.Fence,
			}
		case pwgroup.Finish:
			if a.Err != nil {
				return 0, 0, a.Err
			}
			return writes, bytes, nil
		default:
			continue
		}
		actions = append(actions, group.Handle(epoch, in)...)
	}
	return 0, 0, errNotReached
}
