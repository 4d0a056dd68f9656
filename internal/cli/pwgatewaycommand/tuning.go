package pwgatewaycommand

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"os"

	"github.com/pomeloweir/pomeloweir/internal/core/pwfleet"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwgateway"
)

// maxTuningBytes bounds the file with settings of pomeloweir's own.
const maxTuningBytes = 64 << 10

// Tuning holds the settings of pomeloweir's own. Fields that are left out or 0
// take their defaults.
type Tuning struct {
	// LogRequests writes lines about ordinary requests. Default true.
	LogRequests bool `json:"log_requests"`
	// ShortReadMS is the reading time up to which a prompt counts as short, and
	// ShortPassMS the longest pass of an engine that gets one.
	ShortReadMS float64 `json:"short_read_ms"`
	ShortPassMS float64 `json:"short_pass_ms"`
	// PartMS is the reading time of a part of a long prompt; LaneMS and HeavyMS
	// bound the reading on an engine that writes nothing.
	PartMS  float64 `json:"part_ms"`
	LaneMS  float64 `json:"lane_ms"`
	HeavyMS float64 `json:"heavy_ms"`
	// ShortFill is the share of an engine's slots that short answers fill.
	ShortFill float64 `json:"short_fill"`
	// StallShare and WaitShare are parts of the time after which a caller leaves.
	StallShare float64 `json:"stall_share"`
	WaitShare  float64 `json:"wait_share"`
	// MaxWaiting bounds the requests that wait for an engine.
	MaxWaiting int `json:"max_waiting"`
}

// LoadTuning reads a file; no path gives the defaults.
func LoadTuning(path string) (Tuning, error) {
	if path == "" {
		return ParseTuning([]byte("{}"))
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Tuning{}, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "reading the tuning")
	}
	return ParseTuning(raw)
}

// ParseTuning decodes and checks the settings.
func ParseTuning(raw []byte) (Tuning, error) {
	t := Tuning{
		LogRequests: true,
	}
	if len(raw) > maxTuningBytes {
		return Tuning{}, pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest,
			"the tuning has %d bytes, %d are allowed", len(raw), maxTuningBytes)
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&t); err != nil {
		return Tuning{}, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "decoding the tuning")
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return Tuning{}, pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "the tuning has something behind its end")
	}
	return t, t.check()
}

func (t Tuning) check() error {
	const maxMS = 60_000
	for _, f := range []struct {
		name  string
		value float64
		most  float64
	}{
		{name: "short_read_ms", value: t.ShortReadMS, most: maxMS},
		{name: "short_pass_ms", value: t.ShortPassMS, most: maxMS},
		{name: "part_ms", value: t.PartMS, most: maxMS},
		{name: "lane_ms", value: t.LaneMS, most: maxMS},
		{name: "heavy_ms", value: t.HeavyMS, most: maxMS},
		{name: "short_fill", value: t.ShortFill, most: 1},
		{name: "stall_share", value: t.StallShare, most: 1},
		{name: "wait_share", value: t.WaitShare, most: 1},
		{name: "max_waiting", value: float64(t.MaxWaiting), most: 1_000_000},
	} {
		if f.value < 0 || f.value > f.most {
			return pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest,
				"%s is %g; it must be from 0 to %g, where 0 is the default", f.name, f.value, f.most)
		}
	}
	return nil
}

func (t Tuning) fleet() pwfleet.Config {
	return pwfleet.Config{
		ShortPrefillMS:    t.ShortReadMS,
		ShortPassMS:       t.ShortPassMS,
		PartPrefillMS:     t.PartMS,
		MaxPrefillMS:      t.LaneMS,
		MaxHeavyPrefillMS: t.HeavyMS,
		ShortFill:         t.ShortFill,
	}
}

func (t Tuning) policy() pwgateway.Policy {
	return pwgateway.Policy{
		StallShare: t.StallShare,
		WaitShare:  t.WaitShare,
		MaxWaiting: t.MaxWaiting,
	}
}
