package pwgatewaycommand

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"os"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcell"
	"github.com/pomeloweir/pomeloweir/internal/core/pwfleet"
	"github.com/pomeloweir/pomeloweir/internal/core/pwoverload"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwgateway"
)

// bytesPerMB is the unit of settings in megabytes.
const bytesPerMB = 1_000_000

// maxTuningBytes is the largest size of the tuning file.
const maxTuningBytes = 64 << 10

// Tuning holds pomeloweir's own settings, which the platform's settings file does not
// have. Fields that are left out or 0 take their defaults.
type Tuning struct {
	// LogRequests enables log lines about ordinary requests. The default is true.
	LogRequests bool `json:"log_requests"`
	// ShortPrefillMS is the prefill time up to which a prompt counts as short.
	// ShortIterationMS bounds the iteration of an engine that gets a short prompt, and
	// BusyShortIterationMS the same while more than BusyShare of all slots are taken.
	ShortPrefillMS       float64 `json:"short_read_ms"`
	ShortIterationMS     float64 `json:"short_pass_ms"`
	BusyShortIterationMS float64 `json:"busy_short_pass_ms"`
	// PartPrefillMS is the prefill time of the parts that long prompts are split into.
	// MaxPrefillMS bounds the outstanding prefill of an engine. MaxHeavyPrefillMS is the
	// larger bound for very long prompts on engines that decode nothing.
	PartPrefillMS     float64 `json:"part_ms"`
	MaxPrefillMS      float64 `json:"lane_ms"`
	MaxHeavyPrefillMS float64 `json:"heavy_ms"`
	// ShortFill is the share of an engine's slots up to which short prompts are packed
	// onto it, and BusyShortFill the same while more than BusyShare of all slots are taken.
	ShortFill     float64 `json:"short_fill"`
	BusyShortFill float64 `json:"busy_short_fill"`
	BusyShare     float64 `json:"busy_share"`
	// StallShare and WaitShare are shares of the time after which a caller abandons a
	// stream: a request leaves a server that has sent nothing after the first, and
	// stops waiting for busy servers after the second.
	StallShare float64 `json:"stall_share"`
	WaitShare  float64 `json:"wait_share"`
	// MaxWaiting limits the number of queued requests.
	MaxWaiting int `json:"max_waiting"`
	// CellProcesses and CellServers are the fewest processes and backend servers of a
	// cell, and LoadAgeMS is the assumed age of what processes know of each other's load.
	CellProcesses int     `json:"cell_processes"`
	CellServers   int     `json:"cell_servers"`
	LoadAgeMS     float64 `json:"load_age_ms"`
	// SlowReaders bounds what is held for callers and servers that read or send slowly.
	SlowReaders SlowReadersTuning `json:"slow_readers"`
	// Overload enables admission under overload; without it, nothing is refused for that.
	Overload *OverloadTuning `json:"overload"`
	// UnevenDemand configures the placement while the mix of short and long prompts turns.
	// Without it the mix isn't watched.
	UnevenDemand *UnevenDemandTuning `json:"uneven_demand"`
}

// SlowReadersTuning holds the settings for callers and servers that read or send slowly.
type SlowReadersTuning struct {
	// UnreadMS is how long the caller of a stream may read nothing before the stream is ended.
	UnreadMS float64 `json:"unread_ms"`
	// MemoryShare is the share of the machine's memory that running requests may use.
	// CallerShare and WorkspaceShare are the shares of that for one connection and for one
	// workspace.
	MemoryShare    float64 `json:"memory_share"`
	CallerShare    float64 `json:"caller_share"`
	WorkspaceShare float64 `json:"workspace_share"`
	// ServerBodyMB limits the request bodies that a backend server holds for all gateways,
	// in megabytes of 1,000,000 bytes.
	ServerBodyMB float64 `json:"server_body_mb"`
}

// OverloadTuning holds the settings of admission under overload.
type OverloadTuning struct {
	// EnterPressure and ExitPressure are the shares of the slots, or of the prefill room, at
	// which overload begins and ends. ExitDelayMS is how long it must have been below the
	// latter, in milliseconds.
	EnterPressure float64 `json:"enter_share"`
	ExitPressure  float64 `json:"exit_share"`
	ExitDelayMS   float64 `json:"exit_delay_ms"`
	// SlotShare and PrefillShare are the shares of the engines' slots and of their time for
	// prefill that are divided among the workspaces. FillShare is the share of the slots up
	// to which short prompts are placed.
	SlotShare    float64 `json:"slot_share"`
	FillShare    float64 `json:"fill_share"`
	PrefillShare float64 `json:"prefill_share"`
	// MaxRetryAfterMS bounds the Retry-After of refused requests, in milliseconds.
	MaxRetryAfterMS float64 `json:"max_retry_after_ms"`
}

// UnevenDemandTuning holds the settings for demand whose mix turns.
type UnevenDemandTuning struct {
	// TurnRatio is the factor by which the number of long prompts for each short one must
	// change within seconds, and HoldS how many seconds the demand then counts as uneven.
	TurnRatio float64 `json:"turn_ratio"`
	HoldS     float64 `json:"hold_s"`
}

// LoadTuning reads the tuning file at path. An empty path gives the defaults.
func LoadTuning(path string) (Tuning, error) {
	if path == "" {
		return ParseTuning([]byte("{}"))
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Tuning{}, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "reading the tuning file")
	}
	return ParseTuning(raw)
}

// ParseTuning decodes and checks a tuning file.
func ParseTuning(raw []byte) (Tuning, error) {
	t := Tuning{
		LogRequests: true,
	}
	if len(raw) > maxTuningBytes {
		return Tuning{}, pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest,
			"the tuning file has %d bytes, at most %d are allowed", len(raw), maxTuningBytes)
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&t); err != nil {
		return Tuning{}, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "decoding the tuning file")
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return Tuning{}, pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "the tuning file has data after its JSON object")
	}
	return t, t.check()
}

// check returns an error for the first field that is out of range.
func (t Tuning) check() error {
	const maxMS = 60_000
	var o OverloadTuning
	if t.Overload != nil {
		o = *t.Overload
	}
	for _, f := range []struct {
		name  string
		value float64
		max   float64
	}{
		{name: "overload.enter_share", value: o.EnterPressure, max: 1},
		{name: "overload.exit_share", value: o.ExitPressure, max: 1},
		{name: "overload.exit_delay_ms", value: o.ExitDelayMS, max: maxMS},
		{name: "overload.slot_share", value: o.SlotShare, max: 1},
		{name: "overload.fill_share", value: o.FillShare, max: 1},
		{name: "overload.prefill_share", value: o.PrefillShare, max: 1},
		{name: "overload.max_retry_after_ms", value: o.MaxRetryAfterMS, max: maxMS},
		{name: "short_read_ms", value: t.ShortPrefillMS, max: maxMS},
		{name: "short_pass_ms", value: t.ShortIterationMS, max: maxMS},
		{name: "busy_short_pass_ms", value: t.BusyShortIterationMS, max: maxMS},
		{name: "part_ms", value: t.PartPrefillMS, max: maxMS},
		{name: "lane_ms", value: t.MaxPrefillMS, max: maxMS},
		{name: "heavy_ms", value: t.MaxHeavyPrefillMS, max: maxMS},
		{name: "short_fill", value: t.ShortFill, max: 1},
		{name: "busy_short_fill", value: t.BusyShortFill, max: 1},
		{name: "busy_share", value: t.BusyShare, max: 1},
		{name: "stall_share", value: t.StallShare, max: 1},
		{name: "wait_share", value: t.WaitShare, max: 1},
		{name: "max_waiting", value: float64(t.MaxWaiting), max: 1_000_000},
		{name: "cell_processes", value: float64(t.CellProcesses), max: 1_000_000},
		{name: "cell_servers", value: float64(t.CellServers), max: 1_000_000},
		{name: "load_age_ms", value: t.LoadAgeMS, max: maxMS},
		{name: "slow_readers.unread_ms", value: t.SlowReaders.UnreadMS, max: maxMS},
		{name: "slow_readers.memory_share", value: t.SlowReaders.MemoryShare, max: 1},
		{name: "slow_readers.caller_share", value: t.SlowReaders.CallerShare, max: 1},
		{name: "slow_readers.workspace_share", value: t.SlowReaders.WorkspaceShare, max: 1},
		{name: "slow_readers.server_body_mb", value: t.SlowReaders.ServerBodyMB, max: 1_000_000},
	} {
		if f.value < 0 || f.value > f.max {
			return pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest,
				"%s is %g; it must be from 0 to %g, where 0 is the default", f.name, f.value, f.max)
		}
	}
	c := o.config()
	if c.ExitPressure >= c.EnterPressure {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest,
			"overload.exit_share is %g; it must be less than overload.enter_share, which is %g", c.ExitPressure, c.EnterPressure)
	}
	return t.UnevenDemand.check()
}

// check returns an error for the first field that is out of range.
func (t *UnevenDemandTuning) check() error {
	const maxHoldS = 3600
	switch {
	case t == nil:
		return nil
	case t.TurnRatio != 0 && (t.TurnRatio < 1.5 || t.TurnRatio > 100):
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest,
			"uneven_demand.turn_ratio is %g; it must be 0, which is the default, or from 1.5 to 100", t.TurnRatio)
	case t.HoldS < 0 || t.HoldS > maxHoldS:
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest,
			"uneven_demand.hold_s is %g; it must be from 0 to %d, where 0 is the default", t.HoldS, maxHoldS)
	}
	return nil
}

// config returns the settings with their defaults.
func (o OverloadTuning) config() pwoverload.Config {
	return pwoverload.Config{
		EnterPressure: o.EnterPressure,
		ExitPressure:  o.ExitPressure,
		ExitDelay:     time.Duration(o.ExitDelayMS * float64(time.Millisecond)),
		SlotShare:     o.SlotShare,
		FillShare:     o.FillShare,
		PrefillShare:  o.PrefillShare,
		MaxRetryAfter: time.Duration(o.MaxRetryAfterMS * float64(time.Millisecond)),
	}.WithDefaults()
}

func (t *UnevenDemandTuning) fleet() pwfleet.UnevenDemand {
	if t == nil {
		return pwfleet.UnevenDemand{}
	}
	return pwfleet.UnevenDemand{
		Enabled:   true,
		TurnRatio: t.TurnRatio,
		TurnHold:  time.Duration(t.HoldS * float64(time.Second)),
	}
}

func (t Tuning) fleet() pwfleet.Config {
	return pwfleet.Config{
		ShortPrefillMS:       t.ShortPrefillMS,
		ShortIterationMS:     t.ShortIterationMS,
		BusyShortIterationMS: t.BusyShortIterationMS,
		PartPrefillMS:        t.PartPrefillMS,
		MaxPrefillMS:         t.MaxPrefillMS,
		MaxHeavyPrefillMS:    t.MaxHeavyPrefillMS,
		ShortFill:            t.ShortFill,
		BusyShortFill:        t.BusyShortFill,
		BusyShare:            t.BusyShare,
		LoadAge:              time.Duration(t.LoadAgeMS * float64(time.Millisecond)),
		Cells: pwcell.Config{
			MinProcesses: t.CellProcesses,
			MinServers:   t.CellServers,
		},
		UnevenDemand: t.UnevenDemand.fleet(),
	}
}

func (t Tuning) policy() pwgateway.Policy {
	p := pwgateway.Policy{
		StallShare: t.StallShare,
		WaitShare:  t.WaitShare,
		MaxWaiting: t.MaxWaiting,
		SlowReaders: pwgateway.SlowReaders{
			UnreadTimeout:   time.Duration(t.SlowReaders.UnreadMS * float64(time.Millisecond)),
			MemoryShare:     t.SlowReaders.MemoryShare,
			CallerShare:     t.SlowReaders.CallerShare,
			WorkspaceShare:  t.SlowReaders.WorkspaceShare,
			ServerBodyBytes: int64(t.SlowReaders.ServerBodyMB * bytesPerMB),
		},
	}
	if t.Overload != nil {
		c := t.Overload.config()
		p.Overload = &c
	}
	return p
}
