package gateway_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"sardinefront.dev/gateway/peers"
	"sardinefront.dev/gateway/rollout"
	"sardinefront.dev/platform/wire"
	"sardinefront.dev/standin/kvstore"
)

// versionTarget is a plain server of one version that responds to no request until it is opened.
type versionTarget struct {
	opened chan struct{}
	runs   atomic.Int32
}

func (v *versionTarget) respond(c net.Conn, r *http.Request) bool {
	v.runs.Add(1)
	<-v.opened
	writeHead(c, r, "Content-Length: 2", "Connection: close")
	fmt.Fprint(c, "ok")
	return false
}

// addVersion lists a server of the version. If dead is set, nothing listens on its address.
func (fx *fixture) addVersion(version string, dead bool) *versionTarget {
	fx.t.Helper()
	v := &versionTarget{opened: make(chan struct{})}
	id := "i-" + version
	fx.addRawServer(plainName, id, v.respond)
	var entry map[string]any
	if err := json.Unmarshal(fx.store.Value(wire.PrefixTargets+id), &entry); err != nil {
		fx.t.Fatal(err)
	}
	entry["version"] = version
	if dead {
		entry["address"] = fmt.Sprintf("127.0.0.1:%d", freePort(fx.t))
	}
	b, err := json.Marshal(entry)
	if err != nil {
		fx.t.Fatal(err)
	}
	fx.store.Put(wire.PrefixTargets+id, b)
	return v
}

// waitDuringRollout starts requests that wait while a rollout to v2 is about to end, at which both
// versions get requests. It returns their connections and a function that ends the rollout.
func (fx *fixture) waitDuringRollout(requests int) (callers []*caller, end func(rollout.State)) {
	fx.t.Helper()
	const seconds = 60
	order := fmt.Sprintf(`{"service":%q,"target":"v2","overS":%d}`, plainName, seconds)
	revision := fx.store.Put(wire.PrefixRollout+plainName, []byte(order))
	fx.eventually("the rollout runs", func() bool {
		return fx.log.contains("move started") && fx.store.Value(wire.PrefixRolloutStatus+plainName) != nil
	})
	report := func(s rollout.State) {
		r := peers.Rollout{OrderRevision: revision, ElapsedMs: (seconds - 2) * 1000, State: uint8(s)}
		fx.host.HandleHeartbeat(&peers.Heartbeat{Name: "host-2", ListAgeMs: -1, Rollouts: map[string]peers.Rollout{plainName: r}}, time.Now())
	}
	report(rollout.Running)
	for range requests {
		c := fx.dial()
		fx.send(c, "POST", pathNonIdempotent, "order")
		callers = append(callers, c)
	}
	time.Sleep(100 * time.Millisecond) // the requests wait
	return callers, report
}

// Guards against a request that goes to a bad version after its rollback, because it waited
// meanwhile and had been assigned to that version. A peer reports the rollback; the write of this
// host's own report, which a silent store delays, must not hold it up.
func TestWaitingRequestsLeaveAVersionThatIsRolledBack(t *testing.T) {
	for name, storeSilent := range map[string]bool{"store responds": false, "store is silent": true} {
		t.Run(name, func(t *testing.T) { testLeaveVersion(t, storeSilent) })
	}
}

func testLeaveVersion(t *testing.T, storeSilent bool) {
	t.Helper()
	const requests = 24 // more than both versions take at once
	fx := newFixture(t)
	oldVersion, newVersion := fx.addVersion("v1", false), fx.addVersion("v2", false)
	fx.startHost()
	callers, end := fx.waitDuringRollout(requests)
	fx.eventually("a request runs at the new version", func() bool {
		if newVersion.runs.Load() > 0 {
			return true
		}
		// Few requests are assigned to the new version, sometimes none of the first ones.
		c := fx.dial()
		fx.send(c, "POST", pathNonIdempotent, "order")
		callers = append(callers, c)
		return false
	})
	if storeSilent {
		fx.store.SetFaults(kvstore.Faults{NoResponse: true})
	}
	end(rollout.RolledBack)
	time.Sleep(300 * time.Millisecond)
	before := newVersion.runs.Load()
	close(newVersion.opened)
	time.Sleep(100 * time.Millisecond) // the bad version has free slots first
	close(oldVersion.opened)
	for _, c := range callers {
		if resp := fx.read(c); resp.status != http.StatusOK {
			t.Errorf("response %+v", resp)
		}
	}
	if n := newVersion.runs.Load() - before; n > 0 || before == 0 {
		t.Errorf("%d of %d requests ran at the bad version after its rollback, %d before", n, len(callers), before)
	}
}

// Guards against requests that wait for the old version of a rollout after its end: the targets of
// the old version stop then, while their entries are still listed.
func TestWaitingRequestsUseTheNewVersionOnceItIsInForce(t *testing.T) {
	const requests = 8
	fx := newFixture(t)
	fx.addVersion("v1", true)
	newVersion := fx.addVersion("v2", false)
	fx.startHost()
	callers, end := fx.waitDuringRollout(requests)
	end(rollout.Done)
	close(newVersion.opened)
	for _, c := range callers {
		if resp := fx.read(c); resp.status != http.StatusOK {
			t.Errorf("response %+v", resp)
		}
	}
}
