package pwgroup

import (
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwmemory"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// Input is an event that Group.Handle processes.
type Input interface {
	apply(g *Group, now time.Time)
}

// Candidate is a backend server that may become a member.
type Candidate struct {
	Server pwrequest.BackendServerID
	// FreeTokens is the free memory in the latest load report, which may be out of
	// date.
	FreeTokens int64
}

// Inputs. The results of members carry the server and the fencing token, so that
// results of an earlier reservation can be recognised and dropped.
type (
	// Candidates replaces the list of candidates.
	Candidates struct {
		List []Candidate
	}
	// Tick reports that the time returned by Group.NextTick has come.
	Tick struct{}
	// MemberReserved reports that a server accepted a Reserve.
	MemberReserved struct {
		Server pwrequest.BackendServerID
		Round  uint64
		Fence  uint64
	}
	// MemberRefused reports that a server refused a Reserve and holds nothing.
	MemberRefused struct {
		Server pwrequest.BackendServerID
		Round  uint64
		Err    *pwverdict.Error
	}
	// ReserveUnanswered reports that no reply to a Reserve came, so that the server
	// may hold memory.
	ReserveUnanswered struct {
		Server pwrequest.BackendServerID
		Round  uint64
	}
	// SegmentDone reports that a segment was prefilled and its KV cache exported.
	SegmentDone struct {
		Server  pwrequest.BackendServerID
		Fence   uint64
		Segment int
		Handle  string
	}
	// SegmentFailed reports that a segment failed. The member is replaced.
	SegmentFailed struct {
		Server  pwrequest.BackendServerID
		Fence   uint64
		Segment int
	}
	// MemberLost reports that a member died, lost its reservation or failed to
	// generate the answer.
	MemberLost struct {
		Server pwrequest.BackendServerID
		Fence  uint64
	}
	// CheckpointDone reports that the write of a checkpoint has succeeded or failed.
	// Every WriteCheckpoint needs one, also after a timeout of the store.
	CheckpointDone struct {
		SegmentCount int
		Stored       bool
	}
	// GenerationDone reports that the answer is complete.
	GenerationDone struct {
		Server pwrequest.BackendServerID
		Fence  uint64
	}
	// Cancelled reports that the caller cancelled the request. It ends the group.
	Cancelled struct{}
)

// Action is an instruction that the coordinator carries out.
type Action interface {
	action()
}

// Actions.
type (
	// Reserve asks a server to reserve the memory of a member.
	Reserve struct {
		Server     pwrequest.BackendServerID
		Group      pwmemory.GroupID
		Round      uint64
		Tokens     int64
		AdmittedAt time.Time
		Deadline   time.Time
	}
	// Release frees a member's memory and ends the work under its fencing token.
	// Fence is 0 when no reply to the Reserve arrived; the agent then cancels by
	// group and round. The coordinator retries a Release until it gets a reply, the
	// member has been detected as dead or the deadline has passed.
	Release struct {
		Server pwrequest.BackendServerID
		Group  pwmemory.GroupID
		Round  uint64
		Fence  uint64
	}
	// RunSegment prefills the prompt tokens [Start, End) on a member.
	RunSegment struct {
		Server  pwrequest.BackendServerID
		Fence   uint64
		Segment int
		Start   int64
		End     int64
		// Handles name the exported KV cache of the earlier segments.
		Handles []string
	}
	// WriteCheckpoint stores the progress. If it fails, the only cost is that
	// segments may have to run again.
	WriteCheckpoint struct {
		Checkpoint Checkpoint
	}
	// Generate generates the answer on the last member. Handles name the exported
	// KV cache of all segments.
	Generate struct {
		Server  pwrequest.BackendServerID
		Fence   uint64
		Handles []string
	}
	// Finish ends the group. Err is nil when the answer is complete.
	Finish struct {
		Err *pwverdict.Error
	}
)

func (Reserve) action()         {}
func (Release) action()         {}
func (RunSegment) action()      {}
func (WriteCheckpoint) action() {}
func (Generate) action()        {}
func (Finish) action()          {}

// Checkpoint is the stored progress of a prompt: its first segments, each with the
// prompt offset after it and the handle of its exported KV cache.
type Checkpoint struct {
	Ends    []int64  `json:"ends"`
	Handles []string `json:"handles"`
}
