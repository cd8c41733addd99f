package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"sardinefront.dev/standin/slotengine"
)

// Guards against requests with a part of a prompt that crashes one target after the other, and
// against refusals of sound requests that share their other parts and their key.
func TestPromptPartThatCrashesTargetsIsQuarantined(t *testing.T) {
	const engines, deadlyRequests, allowedCrashes = 8, 6, 3
	fx := newFixture(t)
	for range engines {
		fx.addServer(engineName, slotengine.Config{StreamEvents: 3, ResponseDelay: shortPause, CrashOnPart: "bad"})
	}
	fx.startHost()
	fx.call("POST", pathStream, "prompt", "Prompt-Prefix: shared:800,good:410,other:250")
	var last response
	for range deadlyRequests {
		last = fx.call("POST", pathStream, "prompt", "Prompt-Prefix: shared:800,bad:410,own:250")
	}
	crashed := 0
	for _, s := range fx.servers {
		for _, run := range s.Runs() {
			if strings.Contains(run.Header.Get("Prompt-Prefix"), "bad:") {
				crashed++
			}
		}
	}
	if crashed != allowedCrashes {
		t.Errorf("%d engines crashed, want %d", crashed, allowedCrashes)
	}
	if last.status != 503 || last.header.Get("Sardinefront-Reason") != "prompt-part-quarantined" || last.header.Get("Sardinefront-Ran") != "not-run" || last.header.Get("Retry-After") == "" {
		t.Errorf("refusal %+v", last)
	}
	for range 3 {
		if sound := fx.call("POST", pathStream, "prompt", "Prompt-Prefix: shared:800,good:410,other:250"); sound.status != 200 || sound.body != streamEvents(1, 3) {
			t.Errorf("sound request: %+v", sound)
		}
	}
	if deadly := fx.call("POST", pathStream, "prompt", "Prompt-Prefix: bad:410,other:250"); deadly.status != 503 {
		t.Errorf("request with the part alone: %+v", deadly)
	}
	if !fx.log.contains("prompt part quarantined") {
		t.Error("the quarantine was not logged")
	}
}

// Guards against a quarantine after broken connections of targets that go on: garbled, truncated
// and lost responses are no crashes.
func TestBrokenResponsesAreNoCrashes(t *testing.T) {
	fx := newFixture(t)
	for range 2 {
		fx.addServer(engineName, slotengine.Config{StreamEvents: 3, ResponseDelay: shortPause})
	}
	fx.startHost()
	for range 6 {
		for _, s := range fx.servers {
			s.InjectFaults(slotengine.Disconnect)
		}
		fx.call("POST", pathStream, "prompt", "Prompt-Prefix: shared:800,own:250")
	}
	if fx.log.contains("prompt part") {
		t.Error("a part was suspected")
	}
}

// countingListener counts the connections that it accepts.
type countingListener struct {
	net.Listener
	accepted atomic.Int32
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return c, err
}

// addCountedServer lists an engine that responds like one of addRawServer, and counts connections.
func (fx *fixture) addCountedServer(id string, respond func(net.Conn, *http.Request) bool) *countingListener {
	fx.t.Helper()
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fx.t.Fatal(err)
	}
	l := &countingListener{Listener: inner}
	fx.t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveRaw(c, func() bool { return true }, respond)
		}
	}()
	fx.listServer(engineName, id, inner.Addr().String(), "ready")
	return l
}

// Guards against a connect to a target that has just stated that it is leaving: a response that
// breaks off then must not lead to a check whether the target still listens.
func TestLeavingTargetIsNotCheckedForCrash(t *testing.T) {
	fx := newFixture(t)
	var requests atomic.Int32
	breakFirst := func(c net.Conn, r *http.Request) bool {
		if requests.Add(1) == 1 {
			writeHead(c, r, "Content-Type: text/event-stream", "Server-Leaving: 1")
			return false
		}
		writeHead(c, r, "Content-Type: text/event-stream")
		fmt.Fprint(c, streamEvents(1, 3))
		return false
	}
	first, second := fx.addCountedServer("i-raw1", breakFirst), fx.addCountedServer("i-raw2", breakFirst)
	fx.startHost()
	resp := fx.call("POST", pathStream, "prompt", "Prompt-Prefix: shared:800,own:250")
	if resp.status != 200 || resp.body != streamEvents(1, 3) || requests.Load() != 2 {
		t.Errorf("%d requests, response %+v", requests.Load(), resp)
	}
	if a, b := first.accepted.Load(), second.accepted.Load(); a != 1 || b != 1 {
		t.Errorf("%d and %d connections, want one for each request", a, b)
	}
}
