package gateway_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"sardinefront.dev/platform/wire"
	"sardinefront.dev/standin/fleetuser"
	"sardinefront.dev/standin/slotengine"
)

// Guards against refusals of requests for a service that a change of the configuration adds: the
// routes were in force before its queue existed.
func TestAddedServiceIsUsedAtOnce(t *testing.T) {
	const added = "added"
	fx := newFixture(t)
	fx.addServer(added, slotengine.Config{})
	held, apply := fx.log.hold(`"version":2,`)
	fx.startHost()
	fx.store.Put(wire.KeyConfig, []byte(strings.ReplaceAll(string(configuration(2, 0)), `"`+plainName+`"`, `"`+added+`"`)))
	<-held
	c := fx.dial()
	fx.send(c, "GET", pathIdempotent, "")
	time.Sleep(50 * time.Millisecond) // the request is handled by the new routes
	close(apply)
	if resp := fx.read(c); resp.status != http.StatusOK {
		t.Errorf("response %+v", resp)
	}
}

// withoutService returns the configuration without a service and its routes.
func withoutService(t *testing.T, version int, service string) []byte {
	t.Helper()
	var c map[string]any
	if err := json.Unmarshal(configuration(version, 0), &c); err != nil {
		t.Fatal(err)
	}
	of := func(field string) func(any) bool {
		return func(v any) bool { return v.(map[string]any)[field] == service }
	}
	c["routes"] = slices.DeleteFunc(c["routes"].([]any), of("service"))
	c["services"] = slices.DeleteFunc(c["services"].([]any), of("name"))
	b, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Guards against a request that waits for a service which a change of the configuration has
// withdrawn, until its caller has no time left to come back, and against one that is cut while it
// runs there.
func TestRequestsOfWithdrawnServiceRunOrAreRefused(t *testing.T) {
	for name, leave := range map[string]func(*fixture, *slotengine.Server){
		"its target is removed": func(fx *fixture, _ *slotengine.Server) { fx.store.Delete(wire.PrefixTargets + "i-0") },
		"its target drains":     func(fx *fixture, s *slotengine.Server) { fx.listServer(plainName, "i-0", s.Address(), "draining") },
	} {
		t.Run(name, func(t *testing.T) { testWithdrawnService(t, leave) })
	}
}

func testWithdrawnService(t *testing.T, leave func(*fixture, *slotengine.Server)) {
	const slots, delay = 3, 2500 * time.Millisecond
	deadline := "Request-Deadline: 8000"
	fx := newFixture(t)
	fx.store.Put(wire.KeyConfig, fleetuser.Configuration(1, 8000, 0, slots))
	s := fx.addServer(plainName, slotengine.Config{Slots: slots, ResponseDelay: delay})
	fx.startHost()
	responses := make(chan response, slots)
	for range slots { // as many as a plain service with two listed slots gets at once
		c := fx.dial()
		fx.send(c, "POST", pathNonIdempotent, "order", deadline)
		go func() { responses <- fx.read(c) }()
	}
	fx.eventually("the service is full", func() bool { return s.ActiveRuns() == slots })
	waiting := fx.dial()
	fx.send(waiting, "POST", pathNonIdempotent, "order", deadline)
	time.Sleep(100 * time.Millisecond) // the request waits
	fx.store.Put(wire.KeyConfig, withoutService(t, 2, plainName))
	leave(fx, s)
	resp := fx.read(waiting)
	if n := s.ActiveRuns(); n != slots {
		t.Errorf("response to the waiting request after only %d of %d other ones were running", n, slots)
	}
	if resp.status != http.StatusServiceUnavailable || resp.header.Get("Sardinefront-Ran") != "not-run" || resp.header.Get("Retry-After") != "0.200" {
		t.Errorf("response to the waiting request %+v", resp)
	}
	for range slots {
		if resp := <-responses; resp.status != http.StatusOK {
			t.Errorf("response to a running request %+v", resp)
		}
	}
	// The service comes back.
	fx.store.Put(wire.KeyConfig, fleetuser.Configuration(3, 8000, 0, slots))
	fx.listServer(plainName, "i-0", s.Address(), "ready")
	fx.eventually("the service is used again", func() bool { return fx.call("POST", pathNonIdempotent, "order").status == http.StatusOK })
}

// Guards against requests without a response because their route, service, key, organisation and
// limits are withdrawn while their body is read, while they wait and while they run.
func TestRequestsOutliveTheirConfiguration(t *testing.T) {
	const slots, delay, body = 3, 1500 * time.Millisecond, "order"
	deadline := "Request-Deadline: 8000"
	fx := newFixture(t)
	fx.store.Put(wire.KeyConfig, fleetuser.Configuration(1, 8000, 1000, slots))
	s := fx.addServer(plainName, slotengine.Config{Slots: slots, ResponseDelay: delay})
	fx.startHost()
	var callers []*caller
	start := func(body string, extra ...string) *caller {
		c := fx.dial()
		fx.send(c, "POST", pathNonIdempotent, body, append(extra, deadline, "Token-Count: 1,1")...)
		callers = append(callers, c)
		return c
	}
	for range slots {
		start(body)
	}
	fx.eventually("the service is full", func() bool { return s.ActiveRuns() == slots })
	start(body) // waits
	half := start("", fmt.Sprintf("Content-Length: %d", len(body)))
	fmt.Fprint(half, body[:2])
	time.Sleep(100 * time.Millisecond) // until the host has routed both

	next := strings.NewReplacer(fleetuser.APIKey, "key-2", `"`+orgName+`"`, `"org-2"`, `"maxBodyBytes":1048576`, `"maxBodyBytes":1`).Replace(string(withoutService(t, 2, plainName)))
	fx.store.Put(wire.KeyConfig, []byte(next))
	fx.eventually("the new configuration is in force", func() bool { return fx.log.contains(`"version":2,`) })
	if resp := fx.call("GET", pathIdempotent, ""); resp.status != http.StatusNotFound {
		t.Errorf("response %+v on a withdrawn route", resp)
	}
	if n := s.ActiveRuns(); n != slots {
		t.Fatalf("%d requests run, want %d", n, slots)
	}
	fmt.Fprint(half, body[2:])
	for i, c := range callers {
		if resp := fx.read(c); resp.err != nil || resp.status != http.StatusOK {
			t.Errorf("request %d: response %+v", i, resp)
		}
	}
}
