package pwgateway_test

import (
	"errors"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/pomeloweir/pomeloweir/platform"

	"github.com/pomeloweir/pomeloweir/internal/node/pwcontrol"
)

// Guards against the evacuation of a data centre that is passed over because its row
// cannot be read. The key alone states it.
func TestUnreadableMarkTakesDataCentreOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, map[string]*backend{
			"desk-1": newBackend(respond(200, "", "booked")),
		})
		mark := pwcontrol.Item[pwcontrol.OperatorRow]{
			Key: "evacuate/hakata",
			Err: errors.New("unreadable"),
		}
		f.gateway.ApplyOperatorRows([]pwcontrol.Item[pwcontrol.OperatorRow]{mark}, platform.EvacuatedDataCentre)
		w, _ := f.sendRequest(t.Context(), "/book/1")
		requireStatus(t, w, http.StatusServiceUnavailable)
		if n := len(f.backends["desk-1"].received()); n > 0 {
			t.Errorf("%d requests reached a data centre that is out of service", n)
		}
		mark.Removed, mark.Err = true, nil
		f.gateway.ApplyOperatorRows([]pwcontrol.Item[pwcontrol.OperatorRow]{mark}, platform.EvacuatedDataCentre)
		w, _ = f.sendRequest(t.Context(), "/book/1")
		requireStatus(t, w, http.StatusOK)
	})
}
