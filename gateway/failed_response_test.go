package gateway_test

import (
	"testing"
	"time"

	"sardinefront.dev/standin/slotengine"
)

// Guards against a failure made up by the host in place of the target's own: the response of a
// target that failed was dropped for a retry, and then no other target had capacity for it.
func TestFailureOfTargetIsForwardedIfNoOtherHasCapacity(t *testing.T) {
	fx := newFixture(t)
	busy := fx.addServer(plainName, slotengine.Config{ResponseDelay: 1800 * time.Millisecond})
	fx.startHost()
	for range 2 {
		fx.send(fx.dial(), "POST", pathNonIdempotent, "order")
	}
	fx.eventually("the first target is full", func() bool { return busy.ActiveRuns() == 2 })
	failing := fx.addServer(plainName, slotengine.Config{})
	failing.SetPersistentFault(slotengine.Fail)
	fx.eventually("the second target is used", func() bool { return fx.call("POST", pathNonIdempotent, "order").status == 500 })
	resp := fx.call("GET", pathIdempotent, "")
	if resp.status != 500 || resp.header.Get("Server-Stamp") == "" || resp.err != nil {
		t.Errorf("response %+v, want the target's 500", resp)
	}
}
