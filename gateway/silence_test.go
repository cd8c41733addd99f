package gateway_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sardinefront.dev/platform/wire"
	"sardinefront.dev/standin/fleetuser"
)

const (
	// targetPause is a pause of a sound target. It is longer than the time after which another
	// target is sought and than the time that a failed request may wait for one.
	targetPause = 1500 * time.Millisecond
	// endlessPause exceeds the timeout of all routes.
	endlessPause = 5 * time.Second
)

// pausingTarget is a target that pauses during each response. It grants one reservation.
type pausingTarget struct {
	pause time.Duration
	// beforeHead moves the pause from after the second event to before the response.
	beforeHead bool
	granted    atomic.Int32
	runs       atomic.Int32
	// cut is set when the host closes the connection of a stream.
	cut atomic.Bool
}

func (p *pausingTarget) reserve() bool { return p.granted.Add(1) == 1 }

func (p *pausingTarget) respond(c net.Conn, r *http.Request) bool {
	p.runs.Add(1)
	if p.beforeHead {
		time.Sleep(p.pause)
	}
	writeHead(c, r, "Content-Type: text/event-stream", "Connection: close")
	fmt.Fprint(c, streamEvents(1, 2))
	if !p.beforeHead && !p.sleepConnected(c) {
		return false
	}
	fmt.Fprint(c, streamEvents(3, 5))
	return false
}

// sleepConnected pauses and reports whether the host kept the connection open.
func (p *pausingTarget) sleepConnected(c net.Conn) bool {
	c.SetReadDeadline(time.Now().Add(p.pause))
	_, err := c.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	p.cut.Store(!ok || !timeout.Timeout())
	return !p.cut.Load()
}

// Guards against a stream that is cut while its target is silent but sound: the connection was
// closed after 0.5 s, before another target was known to have capacity, and none had.
func TestSilentStreamIsKeptUntilAnotherTargetIsReady(t *testing.T) {
	for name, beforeHead := range map[string]bool{"between events": false, "before the response": true} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			silent := &pausingTarget{pause: targetPause, beforeHead: beforeHead}
			fx.addRawEngine(engineName, "i-silent", silent.reserve, silent.respond)
			fx.startHost()
			resp := fx.call("POST", pathStream, "prompt")
			if resp.err != nil || resp.status != http.StatusOK || resp.body != streamEvents(1, 5) {
				t.Errorf("response %+v", resp)
			}
			if n := silent.runs.Load(); n != 1 {
				t.Errorf("%d runs", n)
			}
			if !fx.log.contains("target silent") || !fx.log.contains("target responsive") {
				t.Error("the silence is not logged")
			}
		})
	}
}

// Guards against a silent target that is given up before its successor has granted a
// reservation, and against a stream that stays at a target which is silent for good.
func TestSilentStreamMovesOnceAnotherTargetIsReady(t *testing.T) {
	fx := newFixture(t)
	silent := &pausingTarget{pause: endlessPause}
	fx.addRawEngine(engineName, "i-silent", silent.reserve, silent.respond)
	var refused atomic.Int32
	var cutBefore atomic.Bool
	fx.addRawEngine(engineName, "i-next", func() bool {
		if silent.runs.Load() == 0 {
			return false // the stream starts at the other target
		}
		cutBefore.Store(silent.cut.Load())
		return refused.Add(1) > 3
	}, func(c net.Conn, r *http.Request) bool {
		writeHead(c, r, "Content-Type: text/event-stream", "Connection: close")
		if r.Header.Get("Last-Event-Id") == "2" {
			fmt.Fprint(c, streamEvents(3, 5))
		}
		return false
	})
	fx.startHost()
	resp := fx.call("POST", pathStream, "prompt")
	if resp.err != nil || resp.body != streamEvents(1, 5) {
		t.Errorf("response %+v", resp)
	}
	if cutBefore.Load() {
		t.Error("the silent target was given up before another one had granted a reservation")
	}
	fx.eventually("the silent target is given up", silent.cut.Load)
}

// Guards against a search for another target that leaves its reservation or its slot behind
// when the silent target goes on.
func TestUnusedReplacementIsReturned(t *testing.T) {
	fx := newFixture(t)
	var silentRuns, asked, runs atomic.Int32
	reservationAsked, answered := make(chan struct{}), make(chan struct{})
	fx.addRawEngine(engineName, "i-silent", func() bool { return silentRuns.Load() == 0 }, func(c net.Conn, r *http.Request) bool {
		silentRuns.Add(1)
		writeHead(c, r, "Content-Type: text/event-stream", "Connection: close")
		fmt.Fprint(c, streamEvents(1, 2))
		<-reservationAsked
		fmt.Fprint(c, streamEvents(3, 5))
		return false
	})
	fx.startHost()
	c := fx.dial()
	fx.send(c, "POST", pathStream, "prompt")
	fx.eventually("the stream runs", func() bool { return silentRuns.Load() == 1 })
	fx.addRawEngine(engineName, "i-slow", func() bool {
		if asked.Add(1) == 1 {
			close(reservationAsked)
			<-answered
		}
		return true
	}, func(c net.Conn, r *http.Request) bool {
		runs.Add(1)
		writeHead(c, r, "Content-Type: text/event-stream", "Connection: close")
		fmt.Fprint(c, streamEvents(1, 5))
		return false
	})
	resp := fx.read(c)
	close(answered)
	if resp.err != nil || resp.body != streamEvents(1, 5) {
		t.Errorf("response %+v", resp)
	}
	if asked.Load() == 0 || runs.Load() != 0 {
		t.Errorf("%d reservations asked for, %d runs at the other target", asked.Load(), runs.Load())
	}
	for range 4 { // more than the target's slots
		if resp := fx.call("POST", pathStream, "prompt"); resp.err != nil || resp.status != http.StatusOK {
			t.Errorf("response %+v after the search", resp)
		}
	}
}

// Guards against an idempotent request that is sent a second time to the only target of its
// service because that was silent.
func TestSilentIdempotentRequestStaysAtItsOnlyTarget(t *testing.T) {
	fx := newFixture(t)
	var runs atomic.Int32
	fx.addRawServer(plainName, "i-plain", func(c net.Conn, r *http.Request) bool {
		runs.Add(1)
		time.Sleep(targetPause)
		writeHead(c, r, "Content-Length: 2")
		fmt.Fprint(c, "ok")
		return true
	})
	fx.startHost()
	if resp := fx.call("GET", pathIdempotent, ""); resp.status != http.StatusOK || resp.body != "ok" {
		t.Errorf("response %+v", resp)
	}
	if n := runs.Load(); n != 1 {
		t.Errorf("%d runs", n)
	}
}

// Guards against a stream whose events have no id and which is cut because its target was silent:
// no other target could go on with it.
func TestSilentStreamWithoutIDsStaysAtItsTarget(t *testing.T) {
	fx := newFixture(t)
	const first, second = "data: a\n\n", "data: b\n\n"
	silent := &pausingTarget{pause: targetPause}
	serve := func(c net.Conn, r *http.Request) bool {
		writeHead(c, r, "Content-Type: text/event-stream", "Connection: close")
		fmt.Fprint(c, first)
		if silent.sleepConnected(c) {
			fmt.Fprint(c, second)
		}
		return false
	}
	fx.addRawServer(engineName, "i-1", serve)
	fx.addRawServer(engineName, "i-2", serve)
	fx.startHost()
	if resp := fx.call("POST", pathStream, "prompt"); resp.err != nil || resp.body != first+second {
		t.Errorf("response %+v", resp)
	}
}

// Guards against a caller that reads slowly and is taken for a silent target: its stream was sent
// to a second target.
func TestSlowReaderIsNoSilentTarget(t *testing.T) {
	// The events exceed what the host's connection to the caller holds: callerBufferBytes and a
	// send buffer of at most 4 MB.
	const events, eventBytes, callerBufferBytes = 100, 64 << 10, 64 << 10
	const streamTimeoutMs = 8000 // much longer than the pause and the transfer
	fx := newFixture(t)
	fx.store.Put(wire.KeyConfig, fleetuser.Configuration(1, streamTimeoutMs, 0, 2))
	data := strings.Repeat("x", eventBytes)
	var runs atomic.Int32
	respond := func(c net.Conn, r *http.Request) bool {
		runs.Add(1)
		writeHead(c, r, "Content-Type: text/event-stream", "Connection: close")
		for i := 1; i <= events; i++ {
			if _, err := fmt.Fprintf(c, "id: %d\ndata: %s\n\n", i, data); err != nil {
				return false
			}
		}
		return false
	}
	fx.addRawServer(engineName, "i-1", respond)
	fx.addRawServer(engineName, "i-2", respond)
	fx.startHost()
	c := fx.dial()
	if err := c.Conn.(*net.TCPConn).SetReadBuffer(callerBufferBytes); err != nil {
		t.Fatal(err)
	}
	fx.send(c, "POST", pathStream, "prompt", fmt.Sprintf("Request-Deadline: %d", streamTimeoutMs))
	fx.eventually("the stream runs", func() bool { return runs.Load() == 1 })
	time.Sleep(targetPause)
	resp := fx.read(c)
	if resp.err != nil || strings.Count(resp.body, "data: ") != events {
		t.Errorf("%d events of %d, error %v", strings.Count(resp.body, "data: "), events, resp.err)
	}
	if n := runs.Load(); n != 1 {
		t.Errorf("%d runs", n)
	}
	if fx.log.contains("target silent") {
		t.Error("the target counts as silent")
	}
}

// Guards against a request that stays at a silent target although another one is listed after the
// search for it has begun.
func TestSearchFindsTargetThatIsListedLater(t *testing.T) {
	fx := newFixture(t)
	ended := make(chan struct{})
	defer close(ended)
	fx.addRawServer(plainName, "i-silent", func(net.Conn, *http.Request) bool {
		<-ended
		return false
	})
	fx.startHost()
	c := fx.dial()
	fx.send(c, "GET", pathIdempotent, "")
	fx.eventually("the target is silent", func() bool { return fx.log.contains("target silent") })
	fx.addRawServer(plainName, "i-next", func(c net.Conn, r *http.Request) bool {
		writeHead(c, r, "Content-Length: 2")
		fmt.Fprint(c, "ok")
		return true
	})
	if resp := fx.read(c); resp.status != http.StatusOK || resp.body != "ok" {
		t.Errorf("response %+v", resp)
	}
}

// Guards against a request that stays at a silent target until its deadline because the retry budget
// was used up when another target was first ready.
func TestSearchGoesOnOnceTheRetryBudgetAllowsIt(t *testing.T) {
	const timeoutMs = 8000
	fx := newFixture(t)
	fx.store.Put(wire.KeyConfig, fleetuser.Configuration(1, timeoutMs, 0, 2))
	ended := make(chan struct{})
	defer close(ended)
	fx.addRawServer(plainName, "i-silent", func(net.Conn, *http.Request) bool {
		<-ended
		return false
	})
	fx.startHost()
	exhausted := fx.settings
	exhausted.RetryBudget.Ratio, exhausted.RetryBudget.Slack = 0, 0
	fx.host.Reload(exhausted)
	c := fx.dial()
	fx.send(c, "GET", pathIdempotent, "", fmt.Sprintf("Request-Deadline: %d", timeoutMs))
	fx.eventually("the target is silent", func() bool { return fx.log.contains("target silent") })
	var runs atomic.Int32
	fx.addRawServer(plainName, "i-next", func(c net.Conn, r *http.Request) bool {
		runs.Add(1)
		writeHead(c, r, "Content-Length: 2")
		fmt.Fprint(c, "ok")
		return true
	})
	time.Sleep(targetPause) // the target is listed meanwhile
	if n := runs.Load(); n != 0 {
		t.Errorf("%d runs without a retry budget", n)
	}
	fx.host.Reload(fx.settings)
	if resp := fx.read(c); resp.status != http.StatusOK || resp.body != "ok" {
		t.Errorf("response %+v", resp)
	}
}

// Guards against an idempotent request that leaves a silent target for one which refuses it or fails:
// the silent target may still respond.
func TestSilentTargetIsKeptUntilAnotherOneResponds(t *testing.T) {
	const fromSilent, fromNext = "silent", "next"
	notRun := func(c net.Conn, r *http.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 503 Full\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
		return true
	}
	fail := func(c net.Conn, r *http.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 500 Failed\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
		return true
	}
	respond := func(c net.Conn, r *http.Request, body string) bool {
		writeHead(c, r, fmt.Sprintf("Content-Length: %d", len(body)))
		fmt.Fprint(c, body)
		return true
	}
	ended := make(chan struct{})
	defer close(ended)
	cases := map[string]struct {
		next func(net.Conn, *http.Request) bool
		want string
	}{
		"refused":  {notRun, fromSilent},
		"failed":   {fail, fromSilent},
		"cut":      {func(net.Conn, *http.Request) bool { return false }, fromSilent},
		"silent":   {func(net.Conn, *http.Request) bool { <-ended; return false }, fromSilent},
		"answered": {func(c net.Conn, r *http.Request) bool { return respond(c, r, fromNext) }, fromNext},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			fx.store.Put(wire.KeyConfig, fleetuser.Configuration(1, longTimeoutMs, 0, 2))
			var nextRuns atomic.Int32
			answer := make(chan struct{})
			fx.addRawServer(plainName, "i-silent", func(conn net.Conn, r *http.Request) bool {
				<-answer
				return respond(conn, r, fromSilent)
			})
			fx.startHost()
			caller := fx.dial()
			fx.send(caller, "GET", pathIdempotent, "", fmt.Sprintf("Request-Deadline: %d", longTimeoutMs))
			fx.eventually("the target is silent", func() bool { return fx.log.contains("target silent") })
			fx.addRawServer(plainName, "i-next", func(conn net.Conn, r *http.Request) bool {
				nextRuns.Add(1)
				return c.next(conn, r)
			})
			fx.eventually("the request is sent to the other target", func() bool { return nextRuns.Load() == 1 })
			if c.want == fromSilent {
				time.Sleep(50 * time.Millisecond)
				close(answer)
			}
			if resp := fx.read(caller); resp.status != http.StatusOK || resp.body != c.want {
				t.Errorf("response %+v, want %q", resp, c.want)
			}
			if c.want != fromSilent {
				close(answer)
			}
			if n := nextRuns.Load(); n != 1 {
				t.Errorf("sent to the other target %d times", n)
			}
		})
	}
}

// Guards against an idempotent request that stays at a target which falls silent in the middle of a
// plain response, or on a route without a goal, although another target is ready.
func TestSilentIdempotentRequestMovesToAReadyTarget(t *testing.T) {
	for name, c := range map[string]struct {
		goalMs int
		begin  string
	}{"inside the body": {300, "half of"}, "no goal": {0, ""}} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			fx.store.Put(wire.KeyConfig, configurationWithGoal(t, c.goalMs))
			ended := make(chan struct{})
			defer close(ended)
			var requests atomic.Int32
			for _, id := range []string{"i-1", "i-2"} {
				fx.addRawServer(plainName, id, func(conn net.Conn, r *http.Request) bool {
					first := requests.Add(1) == 1
					if !first || c.begin != "" {
						writeHead(conn, r, "Content-Length: 10")
					}
					if first {
						fmt.Fprint(conn, c.begin)
						<-ended
						return false
					}
					fmt.Fprint(conn, "half of it")
					return true
				})
			}
			fx.startHost()
			resp := fx.call("GET", pathIdempotent, "", "Request-Deadline: 8000")
			if resp.err != nil || resp.status != http.StatusOK || resp.body != "half of it" {
				t.Errorf("response %+v", resp)
			}
			if n := requests.Load(); n != 2 {
				t.Errorf("%d sends", n)
			}
		})
	}
}

// Guards against a sound target whose plain response comes slowly and that is given up for another
// one: it is not silent.
func TestSlowBodyIsNoSilence(t *testing.T) {
	const parts, interval = 20, 100 * time.Millisecond // longer than the time after which a target is silent
	fx := newFixture(t)
	fx.store.Put(wire.KeyConfig, configurationWithGoal(t, 300))
	var runs atomic.Int32
	for _, id := range []string{"i-1", "i-2"} {
		fx.addRawServer(plainName, id, func(c net.Conn, r *http.Request) bool {
			runs.Add(1)
			writeHead(c, r, fmt.Sprintf("Content-Length: %d", parts))
			for range parts {
				time.Sleep(interval)
				fmt.Fprint(c, "x")
			}
			return true
		})
	}
	fx.startHost()
	if resp := fx.call("GET", pathIdempotent, "", "Request-Deadline: 8000"); resp.err != nil || len(resp.body) != parts {
		t.Errorf("response %+v", resp)
	}
	if n := runs.Load(); n != 1 || fx.log.contains("target silent") {
		t.Errorf("%d runs, or the target counts as silent", n)
	}
}

// configurationWithGoal returns a configuration whose routes have the given goal, none for 0.
func configurationWithGoal(t *testing.T, goalMs int) []byte {
	t.Helper()
	var c struct {
		Version  int              `json:"version"`
		Routes   []map[string]any `json:"routes"`
		Services json.RawMessage  `json:"services"`
		Limits   json.RawMessage  `json:"limits"`
		Tenants  json.RawMessage  `json:"tenants"`
	}
	if err := json.Unmarshal(fleetuser.Configuration(1, longTimeoutMs, 0, 2), &c); err != nil {
		t.Fatal(err)
	}
	for _, route := range c.Routes {
		route["goalMs"] = goalMs
	}
	b, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return b
}
