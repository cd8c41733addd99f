package gateway_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sardinefront.dev/platform/wire"
	"sardinefront.dev/standin/fleetuser"
)

// tightConfiguration returns a configuration with bounds of connections and times that no request
// of TestChangesLeaveRequestsInProgress keeps.
func tightConfiguration(t *testing.T, version int) []byte {
	t.Helper()
	var c map[string]any
	if err := json.Unmarshal(fleetuser.Configuration(version, 100, 0, 1), &c); err != nil {
		t.Fatal(err)
	}
	c["limits"] = map[string]any{"maxHeaderBytes": 16, "maxBodyBytes": 2, "headerTimeoutMs": 10, "idleTimeoutMs": 10}
	b, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Guards against a change of the configuration, of the settings or of the list of targets that acts
// on a request which began before: its bounds, its connections and its target are those of its begin.
func TestChangesLeaveRequestsInProgress(t *testing.T) {
	const targets = 2 // of each service
	ids := func(service string) (all []string) {
		for i := range targets {
			all = append(all, fmt.Sprintf("i-%s%d", service, i))
		}
		return all
	}
	relist := func(fx *fixture, list func(service, id, address string)) {
		for _, service := range []string{plainName, engineName} {
			for _, id := range ids(service) {
				list(service, id, fx.addressOf(id))
			}
		}
	}
	changes := map[string]func(fx *fixture){
		"configuration": func(fx *fixture) { fx.store.Put(wire.KeyConfig, tightConfiguration(fx.t, 2)) },
		"settings": func(fx *fixture) {
			for range 3 {
				changed := fx.settings
				changed.RetryBudget.Ratio, changed.RetryBudget.Slack, changed.Stop.GraceSeconds = 0, 0, 1
				fx.host.Reload(changed)
			}
		},
		"targets leave": func(fx *fixture) {
			relist(fx, func(service, id, address string) { fx.listServer(service, id, address, "draining") })
		},
		"targets are removed": func(fx *fixture) {
			relist(fx, func(_, id, _ string) { fx.store.Delete(wire.PrefixTargets + id) })
		},
		"ids move to other addresses": func(fx *fixture) {
			relist(fx, func(service, id, _ string) { fx.listServer(service, id, "127.0.0.1:1", "ready") })
		},
		"addresses get other ids and services": func(fx *fixture) {
			relist(fx, func(service, id, address string) {
				fx.store.Delete(wire.PrefixTargets + id)
				other := map[string]string{plainName: engineName, engineName: plainName}[service]
				fx.listServer(other, id+"-next", address, "ready")
			})
		},
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			fx.store.Put(wire.KeyConfig, fleetuser.Configuration(1, longTimeoutMs, 0, 4))
			var runs atomic.Int32
			changed := make(chan struct{})
			for _, service := range []string{plainName, engineName} {
				for _, id := range ids(service) {
					fx.addRawServer(service, id, func(c net.Conn, r *http.Request) bool {
						runs.Add(1)
						pausedResponse(c, r, r.Header.Get("X-Place"), func() { <-changed })
						return service == plainName
					})
				}
			}
			fx.startHost()
			var wg sync.WaitGroup
			sent := int32(0)
			expect := func(c *caller, place, want string) {
				wg.Go(func() {
					if resp := fx.read(c); resp.err != nil || resp.status != http.StatusOK || resp.body != want {
						t.Errorf("%s: response %+v", place, resp)
					}
				})
			}
			for place, path := range pausePlaces {
				c := fx.dial()
				fx.send(c, "POST", path, "order", "X-Place: "+place, "Request-Deadline: 8000")
				expect(c, place, pausedBody(path))
				sent++
				fx.eventually("the request runs", func() bool { return runs.Load() == sent })
			}
			// Its caller is in the middle of the body. It needs a target after the change.
			late := fx.dial()
			fx.send(late, "POST", pathNonIdempotent, "", "Content-Length: 100", "X-Place: before the head", "Request-Deadline: 8000")
			fmt.Fprint(late, strings.Repeat("x", 50))
			change(fx)
			time.Sleep(1500 * time.Millisecond) // more than a host needs to follow
			if strings.HasPrefix(name, "targets") || strings.Contains(name, "addresses") {
				fx.addRawServer(plainName, "i-late", func(c net.Conn, r *http.Request) bool {
					pausedResponse(c, r, "before the head", func() {})
					return true
				})
			}
			fmt.Fprint(late, strings.Repeat("x", 50))
			expect(late, "inside its body", "text")
			close(changed)
			wg.Wait()
			if n := runs.Load(); n < sent || n > sent+1 {
				t.Errorf("%d runs of %d requests", n, sent)
			}
		})
	}
}

// addressOf returns the address of a listed target.
func (fx *fixture) addressOf(id string) string {
	fx.t.Helper()
	target, err := wire.DecodeTarget(wire.PrefixTargets+id, fx.store.Value(wire.PrefixTargets+id), time.Now())
	if err != nil {
		fx.t.Fatal(err)
	}
	return target.Address
}
