package gate_test

import (
	"testing"
	"testing/synctest"
	"time"

	"currantport.example/agent/internal/gate"
)

func TestTrafficIsBusyDuringAndAfterRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := gate.NewTraffic()
		check := func(step string, want bool) {
			t.Helper()
			if n.IsBusy() != want {
				t.Errorf("%s: busy is %t", step, !want)
			}
		}
		check("before a request", false)
		n.Begin()
		time.Sleep(time.Minute)
		check("in a request", true)
		n.End()
		time.Sleep(time.Second)
		check("after a request", true)
		time.Sleep(time.Minute)
		check("long after a request", false)
	})
}
