package gateway_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/platform/wire"
	"sardinefront.dev/standin/fleetuser"
)

// logLine is a line of the host's log.
type logLine struct {
	Event      int
	ID         string
	Reason     string
	DeadlineIn time.Duration
	Events     int
	Bytes      int
	Silent     time.Duration
}

// line returns the first line of an event about a request, and waits for it.
func (fx *fixture) line(e event.Event, id string) (found logLine) {
	fx.t.Helper()
	fx.eventually(fmt.Sprintf("event %d of request %s is logged", e.Number, id), func() bool {
		fx.log.mu.Lock()
		defer fx.log.mu.Unlock()
		for text := range strings.Lines(fx.log.b.String()) {
			var l logLine
			if json.Unmarshal([]byte(text), &l) == nil && l.Event == e.Number && l.ID == id {
				found = l
				return true
			}
		}
		return false
	})
	return found
}

// Guards against one reason, target-silent, for requests that a silent target, their deadline,
// their caller or a planned stop ended: the log did not tell them apart.
func TestEndsOfRequestsAreToldApart(t *testing.T) {
	const longTimeoutMs = 8000
	endless := func(c net.Conn, r *http.Request) bool { // two events, then silence
		writeHead(c, r, "Content-Type: text/event-stream", "Connection: close")
		fmt.Fprint(c, streamEvents(1, 2))
		time.Sleep(endlessPause)
		return false
	}
	mute := func(net.Conn, *http.Request) bool {
		time.Sleep(endlessPause)
		return false
	}
	leave := func(_ *fixture, callers ...*caller) {
		for _, c := range callers {
			c.Close()
		}
	}
	stop := func(fx *fixture, _ ...*caller) { fx.stop() }
	for name, end := range map[string]struct {
		deadlineMs int
		cause      func(*fixture, ...*caller) // nil: the deadline is reached
		reason     string
		status     int // of the request without a response, 0 for none
	}{
		"deadline":     {deadlineMs: 400, reason: "deadline-after-send", status: http.StatusGatewayTimeout},
		"caller":       {deadlineMs: longTimeoutMs, cause: leave, reason: "caller-gone"},
		"planned stop": {deadlineMs: longTimeoutMs, cause: stop, reason: "stopped-after-send", status: http.StatusGatewayTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			fx.graceSeconds = 3
			fx.store.Put(wire.KeyConfig, fleetuser.Configuration(1, longTimeoutMs, 0, 2))
			fx.addRawServer(engineName, "i-stream", endless)
			fx.addRawServer(plainName, "i-plain", mute)
			fx.startHost()
			deadline := fmt.Sprintf("Request-Deadline: %d", end.deadlineMs)
			stream, order := fx.dial(), fx.dial()
			streamID := fx.send(stream, "POST", pathNonResumable, "prompt", deadline)
			orderID := fx.send(order, "POST", pathNonIdempotent, "order", deadline)
			if end.cause != nil {
				time.Sleep(200 * time.Millisecond)
				end.cause(fx, stream, order)
			}
			if end.status != 0 {
				if resp := fx.read(order); resp.status != end.status || resp.header.Get("Sardinefront-Reason") != end.reason || resp.header.Get("Sardinefront-Ran") != "unknown" {
					t.Errorf("response %+v", resp)
				}
			}
			for _, line := range []logLine{
				fx.line(event.TargetFailure, streamID), fx.line(event.ResponseAborted, streamID),
				fx.line(event.TargetFailure, orderID), fx.line(event.RequestRefused, orderID),
			} {
				events := 0
				if line.ID == streamID {
					events = 2
				}
				if reached := line.DeadlineIn <= 0; line.Reason != end.reason || reached != (end.cause == nil) || line.Events != events || line.Silent < 100*time.Millisecond {
					t.Errorf("%+v", line)
				}
			}
		})
	}
}

// Guards against the reason of the host's own ends for a target that is silent.
func TestSilentTargetIsNamedAsReason(t *testing.T) {
	fx := newFixture(t)
	silent := &pausingTarget{pause: endlessPause}
	fx.addRawEngine(engineName, "i-silent", silent.reserve, silent.respond)
	fx.startHost()
	c := fx.dial()
	id := fx.send(c, "POST", pathStream, "prompt")
	fx.eventually("the stream runs", func() bool { return silent.runs.Load() == 1 })
	fx.addRawServer(engineName, "i-next", func(c net.Conn, r *http.Request) bool {
		writeHead(c, r, "Content-Type: text/event-stream", "Connection: close")
		fmt.Fprint(c, streamEvents(3, 5))
		return false
	})
	if resp := fx.read(c); resp.body != streamEvents(1, 5) {
		t.Errorf("response %+v", resp)
	}
	if line := fx.line(event.TargetFailure, id); line.Reason != "target-silent" || line.DeadlineIn <= 0 || line.Events != 2 || line.Silent < 400*time.Millisecond {
		t.Errorf("%+v", line)
	}
}
