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

// TestWatchLoadEndsAfterShutdown guards against load watches that keep the connections of
// a drained agent open until its shutdown times out.
func TestWatchLoadEndsAfterShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := pwagent.New(pwagent.Config{}, pwagent.Deps{
			Admission: pwadmission.New(pwadmission.Config{}, time.Now()),
			Observer:  pwobserve.Discard(),
		})
		lastInService := true
		done := make(chan error)
		go func() {
			done <- a.WatchLoad(t.Context(), &pwrpc.WatchLoadRequest{}, func(r *pwrpc.LoadReport) error {
				lastInService = r.InService
				return nil
			})
		}()
		time.Sleep(time.Second)
		if err := a.Shutdown(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := <-done; err != nil || lastInService {
			t.Errorf("watch ended with %v, last report in service: %t", err, lastInService)
		}
	})
}
