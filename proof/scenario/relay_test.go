package scenario

import (
	"net/netip"
	"testing"

	"sardinefront.dev/core/freeport"
	"sardinefront.dev/platform"
	"sardinefront.dev/standin/service"
)

// Guards against a relay that cannot listen again, and against requests that reach another
// listener of the scenario: the system assigned the port of a closed relay or target to it.
func TestPortsOfClosedListenersAreNotAssignedAgain(t *testing.T) {
	w, err := newWorld(t.TempDir(), "")
	if err != nil {
		t.Fatal(err)
	}
	defer w.close()
	newServer := func() standinServer { return service.New(service.Config{}) }
	if err := w.addTarget(platform.Endpoint{Name: "desk-1", Role: platform.RoleTarget, Pool: "desk"}, newServer); err != nil {
		t.Fatal(err)
	}
	target := w.targets.get("desk-1")
	addresses := []string{target.endpoint.Address}
	target.crash(w.rec)
	if err := w.restartTarget(target); err != nil {
		t.Fatal(err)
	}
	p := &hostProcess{listenAddress: w.listenAddress, relays: map[string]*relay{}}
	addresses = append(addresses, target.endpoint.Address, p.relayAddress(target.endpoint))
	defer p.relays["desk-1"].close()
	for _, a := range addresses {
		if port := netip.MustParseAddrPort(a).Port(); freeport.IsEphemeral(port) {
			t.Errorf("port %d is in the ephemeral range", port)
		}
	}
}
