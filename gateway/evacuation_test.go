package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"sardinefront.dev/platform/wire"
	"sardinefront.dev/standin/fleetuser"
	"sardinefront.dev/standin/kvstore"
	"sardinefront.dev/standin/slotengine"
)

// addServerIn starts a server in an availability zone.
func (fx *fixture) addServerIn(zone, service, id string) *slotengine.Server {
	fx.t.Helper()
	s := fx.addServer(service, targetConfig(service, id))
	fx.store.Put(wire.PrefixTargets+id, fleetuser.TargetEntry{Service: service, Address: s.Address(), Zone: zone, Slots: 2}.Encode())
	return s
}

// Guards against requests and reservations for targets of an evacuated zone, also while the store is
// down, and against a zone that gets nothing after its evacuation.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	for _, c := range []struct{ service, method, path string }{{engineName, "POST", pathStream}, {plainName, "GET", pathIdempotent}} {
		t.Run(c.service, func(t *testing.T) {
			fx := newFixture(t)
			north, south := fx.addServerIn("north", c.service, "i-north"), fx.addServerIn("south", c.service, "i-south")
			fx.startHost()
			fx.batchUntil("both zones are used", c.method, c.path, func() bool { return len(north.Runs()) > 0 && len(south.Runs()) > 0 })
			fx.store.Put(wire.PrefixEvacuation+"north", []byte("{}"))
			fx.eventually("the evacuation is known", func() bool { return fx.log.contains(`"event":609`) })
			fx.batch(c.method, c.path)
			fx.store.SetFaults(kvstore.Faults{Unavailable: true})
			arrivals := len(north.Arrivals())
			for range 10 {
				fx.batch(c.method, c.path)
			}
			if n := len(north.Arrivals()) - arrivals; n != 0 {
				t.Errorf("%d arrivals in the evacuated zone", n)
			}
			fx.store.SetFaults(kvstore.Faults{})
			fx.store.Delete(wire.PrefixEvacuation + "north")
			fx.batchUntil("the zone is used again", c.method, c.path, func() bool { return len(north.Arrivals()) > arrivals })
		})
	}
}

// Guards against a restarted host that sends to an evacuated zone before it has read the order, and
// against callers that are held, or told nothing, while all zones of a service are evacuated.
func TestEvacuationOfAllZonesHoldsAtAStartingHost(t *testing.T) {
	fx := newFixture(t)
	north := fx.addServerIn("north", plainName, "i-north")
	fx.store.Put(wire.PrefixEvacuation+"north", []byte("{}"))
	fx.startHost()
	began := time.Now()
	resp := fx.call("GET", pathIdempotent, "")
	if resp.status != http.StatusServiceUnavailable || resp.header.Get("Sardinefront-Ran") != "not-run" || resp.header.Get("Retry-After") == "" {
		t.Errorf("response %+v", resp)
	}
	if elapsed := time.Since(began); elapsed > timeoutMs/2*time.Millisecond || len(north.Arrivals()) != 0 {
		t.Errorf("refused after %s, %d arrivals", elapsed, len(north.Arrivals()))
	}
}
