package pwagent_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwadmission"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwagent"
	"github.com/pomeloweir/pomeloweir/internal/node/pwengine"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
)

// crashingEngine crashes under all attempts once crashed is closed.
type crashingEngine struct {
	pwagent.Engine
	crashed <-chan struct{}
}

func (e *crashingEngine) Generate(_ context.Context, g pwengine.Generation, _ func([]string) error) (pwengine.Finish, error) {
	<-e.crashed
	return pwengine.Finish{}, &slowError{
		delay: time.Duration(g.Fingerprint) * time.Second,
	}
}

// slowError is the error of a crashed engine. The time that an attempt takes to look at it first
// lets the others end before.
type slowError struct {
	delay time.Duration
}

func (e *slowError) Error() string { return "crashed" }

func (e *slowError) As(target any) bool {
	time.Sleep(e.delay)
	e.delay = 0
	t, ok := target.(**pwverdict.Error)
	if ok {
		*t = pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseEngineFailed, "crashed")
	}
	return ok
}

// TestCrashNamesAllAttempts guards against an attempt that looks as if it had run alone on a
// crashed server, because the others have ended before it reports the crash.
func TestCrashNamesAllAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		crashed := make(chan struct{})
		a := pwagent.New(pwagent.Config{
			Service: "lantern",
			Models:  []pwrequest.ModelID{"m"},
		}, pwagent.Deps{
			Engine: &crashingEngine{
				crashed: crashed,
			},
			Admission: pwadmission.New(pwadmission.Config{
				StartBound: 3,
			}, time.Now()),
			Observer: pwobserve.Discard(),
		})
		var wg sync.WaitGroup
		want := []uint64{1, 2, 3}
		for _, fingerprint := range want {
			wg.Go(func() {
				err := a.Execute(t.Context(), &pwrpc.ExecuteRequest{
					RequestId:      fmt.Sprint("r", fingerprint),
					AttemptId:      fmt.Sprint("a", fingerprint),
					Service:        "lantern",
					Model:          "m",
					PromptTokens:   100,
					MaxTokens:      10,
					DeadlineUnixMs: time.Now().Add(time.Minute).UnixMilli(),
					Fingerprint:    fingerprint,
				}, func(ev *pwrpc.AnswerEvent) error {
					if ended := ev.GetEnded(); ended != nil {
						if got := slices.Sorted(slices.Values(ended.ConcurrentFingerprints)); !slices.Equal(got, want) {
							t.Errorf("attempt %d: the crash names %d, want %d", fingerprint, got, want)
						}
					} else if ev.GetAccepted() == nil {
						t.Errorf("attempt %d: %v", fingerprint, ev)
					}
					return nil
				})
				if err != nil {
					t.Error(err)
				}
			})
		}
		synctest.Wait()
		close(crashed)
		wg.Wait()
	})
}
