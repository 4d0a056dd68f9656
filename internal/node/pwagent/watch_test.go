package pwagent_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwadmission"
	"github.com/pomeloweir/pomeloweir/internal/node/pwagent"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
)

// TestWatchEndsAfterShutdown guards against watches that keep the connections
// of a shut-down agent open until its shutdown time is over.
func TestWatchEndsAfterShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := pwagent.New(pwagent.Config{}, pwagent.Deps{
			Admission: pwadmission.New(pwadmission.Config{}, time.Now()),
			Observer:  pwobserve.Discard(),
		})
		last := true
		done := make(chan error)
		go func() {
			done <- a.WatchLoad(t.Context(), &pwrpc.WatchLoadRequest{}, func(r *pwrpc.LoadReport) error {
				last = r.InService
				return nil
			})
		}()
		time.Sleep(time.Second)
		if err := a.Shutdown(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := <-done; err != nil || last {
			t.Errorf("watch ended with %v, last report in service: %t", err, last)
		}
	})
}
