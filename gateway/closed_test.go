package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"sardinefront.dev/gateway/peers"
	"sardinefront.dev/platform/wire"
	"sardinefront.dev/standin/kvstore"
	"sardinefront.dev/standin/slotengine"
)

// batchSize is the number of concurrent requests of batch: the slots of three targets.
const batchSize = 6

// targetConfig returns the configuration of a target of the service whose responses take long
// enough for the requests of a batch to overlap.
func targetConfig(service, id string) slotengine.Config {
	cfg := slotengine.Config{ID: id, ResponseDelay: 10 * time.Millisecond, QueueCapacity: batchSize}
	if service == engineName {
		cfg.StreamEvents = 3
	}
	return cfg
}

// batch makes batchSize concurrent requests, all of which must be served.
func (fx *fixture) batch(method, path string) {
	fx.t.Helper()
	var callers [batchSize]*caller
	for i := range callers {
		callers[i] = fx.dial()
		fx.send(callers[i], method, path, "prompt")
	}
	for _, c := range callers {
		if resp := fx.read(c); resp.status != http.StatusOK || resp.err != nil {
			fx.t.Errorf("response %+v", resp)
		}
		c.Close()
	}
}

// batchUntil makes batches until the condition holds.
func (fx *fixture) batchUntil(what, method, path string, ok func() bool) {
	fx.t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); {
		if time.Now().After(end) {
			fx.t.Fatalf("condition not met within 10 s: %s", what)
		}
		fx.batch(method, path)
	}
}

func leavingArrivals(s *slotengine.Server) (n int) {
	for _, a := range s.Arrivals() {
		if a.Leaving {
			n++
		}
	}
	return n
}

func backOffArrivals(s *slotengine.Server) (n int) {
	for _, a := range s.Arrivals() {
		if a.BackOffLeft > 0 {
			n++
		}
	}
	return n
}

// Guards against requests and reservations for a target after a response that states that it is
// leaving, while the list still has it as ready and the store may be down. A reservation
// granted by such a response must not be used.
func TestLeavingTargetGetsNothingAfterItsResponse(t *testing.T) {
	for _, c := range []struct {
		name, service, method, path string
		storeDown                   bool
	}{
		{"engine", engineName, "POST", pathStream, false},
		{"engine, store down", engineName, "POST", pathStream, true},
		{"plain", plainName, "GET", pathIdempotent, false},
		{"plain, store down", plainName, "POST", pathNonIdempotent, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			fx := newFixture(t)
			fx.addServer(c.service, targetConfig(c.service, "i-leaving"))
			fx.addServer(c.service, targetConfig(c.service, "i-stays"))
			fx.startHost()
			leaving, stays := fx.servers[0], fx.servers[1]
			if c.storeDown {
				fx.store.SetFaults(kvstore.Faults{Unavailable: true})
			}
			fx.batchUntil("both targets are used", c.method, c.path, func() bool { return len(leaving.Runs()) > 0 && len(stays.Runs()) > 0 })
			leaving.SetLeaving(true)
			runs := len(leaving.Runs())
			fx.batchUntil("the target states that it is leaving", c.method, c.path, func() bool { return leavingArrivals(leaving) > 0 })
			arrivals := leavingArrivals(leaving)
			for range 10 {
				fx.batch(c.method, c.path)
			}
			if n := leavingArrivals(leaving) - arrivals; n != 0 {
				t.Errorf("%d arrivals at the leaving target after its first responses", n)
			}
			if n := len(leaving.Runs()) - runs; c.service == engineName && n != 0 {
				t.Errorf("%d reservations of the leaving target were used", n)
			}
			if !fx.log.contains(`"source":"response"`) {
				t.Error("the log names no target closed by a response")
			}
		})
	}
}

// Guards against a new incarnation that gets nothing because the earlier one at its address was
// leaving.
func TestNewIncarnationAtTheAddressOfLeavingTarget(t *testing.T) {
	fx := newFixture(t)
	old := fx.addServer(engineName, targetConfig(engineName, "i-old"))
	other := fx.addServer(engineName, targetConfig(engineName, "i-other"))
	fx.startHost()
	old.SetLeaving(true)
	fx.batchUntil("the target states that it is leaving", "POST", pathStream, func() bool { return leavingArrivals(old) > 0 })
	old.Close()
	cfg := targetConfig(engineName, "i-new")
	cfg.Address = old.Address()
	successor := fx.addServer(engineName, cfg)
	fx.batchUntil("the successor is used", "POST", pathStream, func() bool { return len(successor.Runs()) > 0 })
	if len(other.Runs()) == 0 {
		t.Error("the other target was not used")
	}
}

// Guards against a restarted host that keeps using a leaving target: its state is gone, so that
// one response has to tell it again.
func TestRestartedHostLearnsOfLeavingTargetAgain(t *testing.T) {
	fx := newFixture(t)
	leaving := fx.addServer(engineName, targetConfig(engineName, "i-leaving"))
	fx.addServer(engineName, targetConfig(engineName, "i-stays"))
	leaving.SetLeaving(true)
	arrivals := 0
	for restarts := range 2 {
		fx.startHost()
		fx.batchUntil("the target states that it is leaving", "POST", pathStream, func() bool { return leavingArrivals(leaving) > arrivals })
		arrivals = leavingArrivals(leaving)
		for range 10 {
			fx.batch("POST", pathStream)
		}
		if n := leavingArrivals(leaving) - arrivals; n != 0 {
			t.Errorf("%d arrivals at the leaving target after its first responses and %d restarts", n, restarts)
		}
		if err := fx.host.Stop(); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against requests to a target during the back-off that it asked for, in seconds or as a
// date, beside a store that is down, and against a target that gets nothing after it.
func TestBackOffOfTargetIsKept(t *testing.T) {
	const backOff = 1500 * time.Millisecond
	for _, c := range []struct {
		name, service, method, path string
		asDate, storeDown           bool
	}{
		{"engine", engineName, "POST", pathStream, false, false},
		{"engine, date", engineName, "POST", pathStream, true, true},
		{"plain", plainName, "GET", pathIdempotent, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			fx := newFixture(t)
			fx.addServer(c.service, targetConfig(c.service, "i-busy"))
			fx.addServer(c.service, targetConfig(c.service, "i-open"))
			fx.startHost()
			busy := fx.servers[0]
			if c.storeDown {
				fx.store.SetFaults(kvstore.Faults{Unavailable: true})
			}
			busy.PushBack(backOff, c.asDate)
			end := time.Now().Add(backOff)
			fx.batchUntil("the target pushes back", c.method, c.path, func() bool { return backOffArrivals(busy) > 0 })
			arrivals := backOffArrivals(busy)
			for time.Now().Before(end) {
				fx.batch(c.method, c.path)
			}
			if n := backOffArrivals(busy) - arrivals; n != 0 {
				t.Errorf("%d arrivals during the back-off after its first responses", n)
			}
			runs := len(busy.Runs())
			fx.batchUntil("the target is used after its back-off", c.method, c.path, func() bool { return len(busy.Runs()) > runs })
		})
	}
}

// Guards against a request that was granted a target, and waits for a reservation there, and that is
// sent although another response has meanwhile closed the target.
func TestGrantedRequestsArePickedAgain(t *testing.T) {
	// A round proves nothing if the host has given up the reservation before the closure.
	for range 20 {
		if closeDuringReservation(t) || t.Failed() {
			return
		}
	}
	t.Error("no reservation was granted in time after the closure")
}

// closeDuringReservation sends two requests to a target. The reservation of the first one is granted
// after that of the second one has closed the target. It reports whether the host has waited for the
// grant.
func closeDuringReservation(t *testing.T) (waited bool) {
	t.Helper()
	const granted, rejected = "200 OK\r\nContent-Length: 12\r\n\r\n{\"hold\":\"h\"}", "503 Busy\r\nNot-Executed: 1\r\nRetry-After: 20\r\nContent-Length: 0\r\n\r\n"
	fx := newFixture(t)
	var arrivals, sends atomic.Int32
	var open atomic.Bool
	closed := make(chan struct{})
	fx.addListener(engineName, "i-busy", func(c net.Conn) {
		defer c.Close()
		br := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			io.Copy(io.Discard, r.Body)
			if r.URL.Path != "/-/hold-take" {
				sends.Add(1)
			}
			response := rejected
			if arrivals.Add(1) == 1 {
				<-closed
				response = granted
			}
			fmt.Fprintf(c, "HTTP/1.1 %s", response)
		}
	})
	fx.addRawEngine(engineName, "i-open", open.Load, func(c net.Conn, r *http.Request) bool {
		writeHead(c, r, "Content-Type: text/event-stream")
		fmt.Fprint(c, streamEvents(1, 3))
		return false
	})
	fx.startHost()
	timedOut := func() bool { return fx.log.contains(`"event":306`) }
	first, second := fx.dial(), fx.dial()
	fx.send(first, "POST", pathStream, "prompt")
	fx.eventually("a reservation is requested", func() bool { return arrivals.Load() > 0 })
	fx.send(second, "POST", pathStream, "prompt")
	fx.eventually("the target is closed", func() bool { return fx.log.contains(`"event":312`) || timedOut() })
	waited = !timedOut()
	open.Store(true)
	close(closed)
	responses := []response{fx.read(first), fx.read(second)}
	if n := sends.Load(); n != 0 {
		t.Errorf("%d requests reached the target after its closure", n)
	}
	waited = waited && !timedOut()
	if !waited {
		return false
	}
	if n := arrivals.Load(); n != 2 {
		t.Errorf("%d arrivals at the target, want only the two reservations", n)
	}
	for _, resp := range responses {
		if resp.status != http.StatusOK || resp.body != streamEvents(1, 3) {
			t.Errorf("response %+v", resp)
		}
	}
	return true
}

// Guards against callers that are refused, or told to return too early, while the only target
// is in a back-off: they wait for a short one, and a refusal names the time left of a long one.
func TestAllTargetsInBackOff(t *testing.T) {
	fx := newFixture(t)
	s := fx.addServer(plainName, slotengine.Config{ID: "i-only"})
	fx.startHost()
	s.PushBack(300*time.Millisecond, false)
	if resp := fx.call("GET", pathIdempotent, ""); resp.status != 200 {
		t.Errorf("short back-off: response %+v", resp)
	}
	if n := backOffArrivals(s); n != 1 {
		t.Errorf("%d arrivals during the short back-off, want 1", n)
	}
	s.PushBack(20*time.Second, false)
	fx.call("GET", pathIdempotent, "")
	resp := fx.call("GET", pathIdempotent, "")
	after, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
	if resp.status != http.StatusServiceUnavailable || resp.header.Get("Sardinefront-Ran") != "not-run" || err != nil || after < 15 || after > 25 {
		t.Errorf("long back-off: response %+v", resp)
	}
	if n := backOffArrivals(s); n != 2 {
		t.Errorf("%d arrivals during both back-offs, want 2", n)
	}
}

// Guards against a broken Retry-After that closes a target.
func TestUnusableRetryAfterIsIgnored(t *testing.T) {
	for _, value := range []string{"soon", "-5", "1e9", "999999999"} {
		t.Run(value, func(t *testing.T) {
			fx := newFixture(t)
			s := fx.addServer(plainName, slotengine.Config{ID: "i-only"})
			fx.startHost()
			s.PushBackWith(100*time.Millisecond, value)
			fx.call("GET", pathIdempotent, "")
			fx.eventually("the target is used again", func() bool {
				return fx.call("GET", pathIdempotent, "").status == 200
			})
			if !fx.log.contains(`"event":314`) {
				t.Error("the value was not logged")
			}
		})
	}
}

// Guards against a request that runs twice, or is reported as not run, because a 503 with
// Retry-After counts as a statement that it was not run.
func TestPushBackWithoutNotRunIsNoGuarantee(t *testing.T) {
	fx := newFixture(t)
	var arrivals atomic.Int32
	fx.addRawServer(plainName, "i-raw", func(c net.Conn, r *http.Request) bool {
		arrivals.Add(1)
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nRetry-After: 7\r\nServer-Stamp: s\r\nContent-Length: 4\r\n\r\nbusy", r.Header.Get("Request-Id"))
		return true
	})
	fx.addServer(plainName, slotengine.Config{}).SetPersistentFault(slotengine.Shed)
	fx.startHost()
	for arrivals.Load() == 0 {
		resp := fx.call("POST", pathNonIdempotent, "order")
		if arrivals.Load() == 0 {
			continue // the other target has rejected it
		}
		if resp.status != http.StatusBadGateway || resp.header.Get("Sardinefront-Ran") != "unknown" || resp.header.Get("Server-Stamp") != "" {
			t.Errorf("response %+v", resp)
		}
	}
	if n := arrivals.Load(); n != 1 {
		t.Errorf("%d requests reached the target", n)
	}
}

// Guards against a leaving that other hosts are not told of, and against one that a peer
// reports and this host ignores.
func TestLeavingTargetsAreExchangedByHeartbeats(t *testing.T) {
	fx := newFixture(t)
	leaving := fx.addServer(engineName, targetConfig(engineName, "i-leaving"))
	told := fx.addServer(engineName, targetConfig(engineName, "i-told"))
	fx.addServer(engineName, targetConfig(engineName, "i-stays"))
	fx.startHost()
	leaving.SetLeaving(true)
	fx.batchUntil("the target states that it is leaving", "POST", pathStream, func() bool { return leavingArrivals(leaving) > 0 })
	h := peers.Heartbeat{IntervalMs: 250}
	fx.host.FillHeartbeat(&h, false, time.Now())
	if len(h.LeavingAgesMs) != 1 {
		t.Fatalf("leaving targets in the heartbeat: %v, want one", h.LeavingAgesMs)
	}
	for name := range h.LeavingAgesMs {
		if name != fx.targetKey("i-leaving") {
			t.Errorf("the heartbeat names %s", name)
		}
	}
	fx.host.HandleHeartbeat(&peers.Heartbeat{
		Name: "host-2", Address: "127.0.0.1:1", IntervalMs: 250, ListAgeMs: -1, LeavingAgesMs: map[string]uint32{fx.targetKey("i-told"): 0},
	}, time.Now())
	runs := len(told.Runs())
	for range 10 {
		fx.batch("POST", pathStream)
	}
	if n := len(told.Runs()) - runs; n != 0 {
		t.Errorf("%d runs at a target that a peer reports as leaving", n)
	}
	h = peers.Heartbeat{IntervalMs: 250}
	fx.host.FillHeartbeat(&h, true, time.Now())
	if len(h.LeavingAgesMs) != 1 {
		t.Errorf("a peer's report is passed on: %v", h.LeavingAgesMs)
	}
}

// targetKey returns the name of a listed target's incarnation.
func (fx *fixture) targetKey(id string) string {
	fx.t.Helper()
	t, err := wire.DecodeTarget(wire.PrefixTargets+id, fx.store.Value(wire.PrefixTargets+id), time.Now())
	if err != nil {
		fx.t.Fatal(err)
	}
	return t.Key()
}
