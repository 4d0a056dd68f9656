package pwgroup

import (
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwmemory"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// Input is an event that a group reacts to.
type Input interface {
	apply(g *Group, now time.Time)
}

// Candidate is a backend server that may become a member.
type Candidate struct {
	Server pwrequest.BackendServerID
	// FreeTokens is the free memory by the newest load report, which may be old.
	FreeTokens int64
}

// Inputs. Results of members name the server and the fencing token, so that
// those of an earlier reservation are recognised and dropped.
type (
	// Candidates replaces the known candidates.
	Candidates struct {
		List []Candidate
	}
	// Tick says that the time of Next has come.
	Tick struct{}
	// MemberReserved says that a member accepted.
	MemberReserved struct {
		Server pwrequest.BackendServerID
		Round  uint64
		Fence  uint64
	}
	// MemberRefused says that a member refused, and that it holds nothing.
	MemberRefused struct {
		Server pwrequest.BackendServerID
		Round  uint64
		Err    *pwverdict.Error
	}
	// ReserveUnanswered says that no reply came, so that the member may hold memory.
	ReserveUnanswered struct {
		Server pwrequest.BackendServerID
		Round  uint64
	}
	// SegmentDone says that a segment is prefilled and exported.
	SegmentDone struct {
		Server  pwrequest.BackendServerID
		Fence   uint64
		Segment int
		Handle  string
	}
	// SegmentFailed says that a segment failed; the member is replaced.
	SegmentFailed struct {
		Server  pwrequest.BackendServerID
		Fence   uint64
		Segment int
	}
	// MemberLost says that a member died, lost its reservation or failed to
	// generate.
	MemberLost struct {
		Server pwrequest.BackendServerID
		Fence  uint64
	}
	// CheckpointDone says that the write of a checkpoint has ended. Every
	// WriteCheckpoint needs one, after a timeout of the store at the latest.
	CheckpointDone struct {
		SegmentCount int
		Stored       bool
	}
	// GenerationDone says that the response is complete.
	GenerationDone struct {
		Server pwrequest.BackendServerID
		Fence  uint64
	}
	// Cancelled ends the group at the caller's wish.
	Cancelled struct{}
)

// Action is something that the coordinator has to do.
type Action interface {
	action()
}

// Actions.
type (
	// Reserve asks a server for a member's memory.
	Reserve struct {
		Server     pwrequest.BackendServerID
		Group      pwmemory.GroupID
		Round      uint64
		Tokens     int64
		AdmittedAt time.Time
		Deadline   time.Time
	}
	// Release gives a member's memory back and ends the work under its fencing
	// token. Fence is 0 when no reply arrived;
	// the agent then cancels by group and round. The coordinator repeats it
	// until it is answered, the member is known to be dead or the deadline has
	// passed.
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
	// WriteCheckpoint stores the progress. Its failure costs only repeated work.
	WriteCheckpoint struct {
		Checkpoint Checkpoint
	}
	// Generate produces the response on the last member.
	Generate struct {
		Server  pwrequest.BackendServerID
		Fence   uint64
		Handles []string
	}
	// Finish is the last action. Err is nil when the response is complete.
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

// Checkpoint is the progress of a prompt: its first segments, each with the
// prompt offset after it and the handle of its exported KV cache.
type Checkpoint struct {
	Ends    []int64  `json:"ends"`
	Handles []string `json:"handles"`
}
