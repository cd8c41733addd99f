package gateway_test

import (
	"encoding/json"
	"net/http"
	"testing"

	"sardinefront.dev/platform/wire"
)

// bindOrganisation writes a configuration in which the organisation has homes.
func (fx *fixture) bindOrganisation(regions ...string) {
	fx.t.Helper()
	var c map[string]any
	if err := json.Unmarshal(configuration(1, 0), &c); err != nil {
		fx.t.Fatal(err)
	}
	c["tenants"].([]any)[0].(map[string]any)["homeRegions"] = regions
	b, err := json.Marshal(c)
	if err != nil {
		fx.t.Fatal(err)
	}
	fx.store.Put(wire.KeyConfig, b)
}

// Guards against requests of a bound organisation that reach a target in another region, or in a zone
// of an unknown one, and against a refusal that does not say that the request did not run.
func TestRequestsStayInTheirHomeRegions(t *testing.T) {
	fx := newFixture(t)
	fx.regions = map[string]string{"north": "home", "south": "abroad", "west": "empty"}
	fx.bindOrganisation("home")
	home := fx.addServerIn("north", plainName, "i-north")
	foreign, unknown := fx.addServerIn("south", plainName, "i-south"), fx.addServerIn("east", plainName, "i-east")
	fx.startHost()
	for range 5 {
		fx.batch("GET", pathIdempotent)
	}
	if h, f, u := len(home.Arrivals()), len(foreign.Arrivals()), len(unknown.Arrivals()); h == 0 || f+u != 0 {
		t.Errorf("%d arrivals at home, %d abroad, %d in an unknown region", h, f, u)
	}
	fx.store.Delete(wire.PrefixTargets + "i-north")
	fx.eventually("the removal is known", func() bool { return fx.log.contains(`"removed":true`) })
	resp := fx.call("GET", pathIdempotent, "")
	if resp.status != http.StatusServiceUnavailable || resp.header.Get("Sardinefront-Ran") != "not-run" || resp.header.Get("Retry-After") == "" {
		t.Errorf("response %+v", resp)
	}
}
