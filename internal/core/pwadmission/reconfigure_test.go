package pwadmission_test

import (
	"testing"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwadmission"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
)

// TestReconfigure guards against settings of a new service document that do not
// reach a running controller, and against a new document that makes a warm server
// cold.
func TestReconfigure(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c := pwadmission.New(pwadmission.Config{
		FullBound:  8,
		StartBound: 8,
	}, now)
	admit := func(id string, tokens int64) error {
		_, err := c.Admit(now, pwadmission.Attempt{
			ID:    pwrequest.AttemptID(id),
			Owner: "entry",
			Request: pwrequest.New(pwrequest.Params{
				ID:           pwrequest.ID(id),
				PromptTokens: tokens,
				MaxTokens:    1,
				AdmittedAt:   now,
				Deadline:     now.Add(time.Hour),
			}),
		})
		return err
	}
	if err := admit("fits", 101_000); err != nil {
		t.Fatal(err)
	}
	c.Reconfigure(now, pwadmission.Config{
		FullBound:     16,
		StartBound:    1,
		MaxLong:       1,
		MemoryPercent: [pwrequest.ClassCount]int{12, 5, 30},
	})
	if l := c.Load(now); l.RunningBound() != 16 || l.Running() != 1 {
		t.Errorf("bound %d, running %d, want 16 and the admitted attempt", l.RunningBound(), l.Running())
	}
	if admit("second-long", 101_000) == nil {
		t.Error("a second long attempt was admitted beyond the new bound of 1")
	}
	if l := c.Load(now); l.MemoryTokens() != 400_000 {
		t.Errorf("memory is %d tokens, want it unchanged", l.MemoryTokens())
	}
}
