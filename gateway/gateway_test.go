package gateway_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"sardinefront.dev/core/freeport"
	"sardinefront.dev/core/telemetry"
	"sardinefront.dev/gateway"
	"sardinefront.dev/gateway/protocol"
	"sardinefront.dev/gateway/settings"
	"sardinefront.dev/platform/store"
	"sardinefront.dev/platform/wire"
	"sardinefront.dev/standin/fleetuser"
	"sardinefront.dev/standin/kvstore"
	"sardinefront.dev/standin/slotengine"
)

// fixture runs a stand-in store, stand-in servers and an entry host on loopback.
type fixture struct {
	t       *testing.T
	store   *kvstore.Store
	servers []*slotengine.Server
	host    *gateway.Gateway
	callers string
	ready   string
	nextID  int
	// graceSeconds is the grace period of the host; 0 means 8.
	graceSeconds float64
	// regions are those of the zones in the settings.
	regions map[string]string
	// settings are the settings that the host was started with.
	settings settings.Settings
	codec    protocol.Codec
	log      logBuffer
}

// logBuffer collects the log of the host. It is safe for concurrent use.
type logBuffer struct {
	mu sync.Mutex
	b  strings.Builder
	// holdText, if not empty, is the text of the line at which the host is held.
	holdText      string
	held, endHold chan struct{}
}

// hold holds the host at the first log line that contains the text: held is closed then, and the
// host goes on once end is closed. It must be called before the host starts.
func (l *logBuffer) hold(text string) (held <-chan struct{}, end chan<- struct{}) {
	l.holdText, l.held, l.endHold = text, make(chan struct{}), make(chan struct{})
	return l.held, l.endHold
}

func (l *logBuffer) Write(p []byte) (int, error) {
	if l.holdText != "" && strings.Contains(string(p), l.holdText) { // the handler serialises writes
		l.holdText = ""
		close(l.held)
		<-l.endHold
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) contains(s string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.b.String(), s)
}

// Paths of the routes of the test configuration.
const (
	pathStream        = "/stream/x"             // resumable, two attempts
	pathNonResumable  = "/once/x"               // stream that is not resumable
	pathNonIdempotent = "/unsafe/x"             // one attempt
	pathIdempotent    = "/safe/x"               // two attempts
	testHost          = fleetuser.VirtualHost   // host of all routes
	testKey           = fleetuser.APIKey        // key of the organisation
	engineName        = fleetuser.EngineService // service of engines
	plainName         = fleetuser.PlainService  // plain service
	orgName           = fleetuser.Organisation  // the organisation
	timeoutMs         = 2000                    // of all routes
	longBodyBytes     = 64 << 10                // bytes, more than the socket buffers of a write
	shortPause        = time.Millisecond
)

func configuration(version, rate int) []byte {
	return fleetuser.Configuration(version, timeoutMs, rate, 2)
}

func freePort(t *testing.T) uint16 {
	t.Helper()
	port, err := freeport.Loopback()
	if err != nil {
		t.Fatal(err)
	}
	return port
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	s, err := kvstore.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	fx := &fixture{t: t, store: s, codec: wire.Codec{}}
	s.Put(wire.KeyConfig, configuration(1, 0))
	return fx
}

// addServer starts a server and adds it to the target list.
func (fx *fixture) addServer(service string, cfg slotengine.Config) *slotengine.Server {
	fx.t.Helper()
	if cfg.ID == "" {
		cfg.ID = fmt.Sprintf("i-%d", len(fx.servers))
	}
	if cfg.Slots == 0 {
		cfg.Slots = 2
	}
	s, err := slotengine.Start(cfg)
	if err != nil {
		fx.t.Fatal(err)
	}
	fx.t.Cleanup(s.Close)
	fx.servers = append(fx.servers, s)
	fx.listServer(service, cfg.ID, s.Address(), "ready")
	return s
}

func (fx *fixture) listServer(service, id, address, state string) {
	fx.t.Helper()
	fx.store.Put(wire.PrefixTargets+id, fleetuser.TargetEntry{
		Service: service, Address: address, Zone: "z", Slots: 2, Draining: state == "draining",
	}.Encode())
}

// startHost starts the entry host and waits until it is ready.
func (fx *fixture) startHost() {
	fx.t.Helper()
	var s settings.Settings
	s.Host.Name, s.Host.Zone, s.Host.Address = "host-1", "z", "127.0.0.1"
	s.Zones = fx.regions
	s.Listen.Callers = fmt.Sprintf("127.0.0.1:%d", freePort(fx.t))
	s.Listen.Ready = fmt.Sprintf("127.0.0.1:%d", freePort(fx.t))
	s.Listen.InternalPorts = []uint16{freePort(fx.t)}
	s.Store.Address = fx.store.Address()
	s.Stop.GraceSeconds = 8
	if fx.graceSeconds > 0 {
		s.Stop.GraceSeconds = fx.graceSeconds
	}
	s.Rollout.ExposeShare = 0.1
	s.RetryBudget.Ratio, s.RetryBudget.Slack, s.RetryBudget.WindowSeconds = 0.2, 50, 10
	metrics, err := telemetry.New()
	if err != nil {
		fx.t.Fatal(err)
	}
	kv := store.New(store.Config{Address: s.Store.Address})
	fx.host = gateway.New(gateway.Config{
		Settings: s, Store: kv, Records: kv,
		Rollouts: wire.RolloutLayout(), CheckpointKey: wire.KeyCheckpoint,
		Layout: wire.DirectoryLayout(),
		Codec:  fx.codec, ReadyPath: wire.ReadyPath, Metrics: metrics, Log: slog.New(slog.NewJSONHandler(&fx.log, nil)),
	})
	if err := fx.host.Start(); err != nil {
		fx.t.Fatal(err)
	}
	host := fx.host
	fx.t.Cleanup(func() { stopAtOnce(host, s) })
	fx.settings = s
	fx.callers, fx.ready = s.Listen.Callers, s.Listen.Ready
	fx.eventually("the host is ready", fx.isReady)
}

// stopAtOnce ends a host with its requests. A host that outlives its test goes on to call its store
// and targets, whose ports the system assigns again, also to the fixtures of other processes.
func stopAtOnce(host *gateway.Gateway, s settings.Settings) {
	s.Stop.GraceSeconds = shortPause.Seconds()
	host.Reload(s)
	_ = host.Stop() // reports the requests that were still in progress
}

func (fx *fixture) isReady() bool {
	resp, err := http.Get("http://" + fx.ready + wire.ReadyPath)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (fx *fixture) eventually(what string, ok func() bool) {
	fx.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	fx.t.Fatalf("condition not met within 10 s: %s", what)
}

// response is what a caller received; err is set if it was truncated.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// caller is a client connection to the host.
type caller struct {
	net.Conn
	br *bufio.Reader
}

func (fx *fixture) dial() *caller {
	fx.t.Helper()
	c, err := net.Dial("tcp4", fx.callers)
	if err != nil {
		fx.t.Fatal(err)
	}
	fx.t.Cleanup(func() { c.Close() })
	return &caller{c, bufio.NewReader(c)}
}

// send writes a request and returns its id.
func (fx *fixture) send(c *caller, method, path, body string, extra ...string) string {
	fx.t.Helper()
	fx.nextID++
	id := fmt.Sprintf("req-%d", fx.nextID)
	head := append([]string{"Host: " + testHost, "Request-Id: " + id, "Authorization: Bearer " + testKey, "Token-Count: 100,20"}, extra...)
	if !slices.ContainsFunc(extra, func(line string) bool { return strings.HasPrefix(line, "Request-Deadline:") }) {
		head = append(head, "Request-Deadline: 5000")
	}
	if body != "" {
		head = append(head, fmt.Sprintf("Content-Length: %d", len(body)))
	}
	if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\n%s\r\n\r\n%s", method, path, strings.Join(head, "\r\n"), body); err != nil {
		fx.t.Fatal(err)
	}
	return id
}

func (fx *fixture) read(c *caller) response {
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return response{err: err}
	}
	b, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(b), err}
}

func (fx *fixture) call(method, path, body string, extra ...string) response {
	fx.t.Helper()
	c := fx.dial()
	defer c.Close()
	fx.send(c, method, path, body, extra...)
	return fx.read(c)
}

func streamEvents(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece-%d\n\n", i, i)
	}
	return b.String()
}

// Guards against lost, repeated or partial events when a target closes the connection in
// the middle of an event and another target resumes the stream after the last complete one.
func TestCutStreamResumesAtAnotherTarget(t *testing.T) {
	fx := newFixture(t)
	fx.addServer(engineName, slotengine.Config{StreamEvents: 10, ResponseDelay: 20 * time.Millisecond}).InjectFaults(slotengine.TruncatedStream)
	fx.startHost()
	c := fx.dial()
	fx.send(c, "POST", pathStream, "prompt")
	fx.eventually("the stream runs", func() bool { return fx.servers[0].ActiveRuns() == 1 })
	fx.addServer(engineName, slotengine.Config{StreamEvents: 10, ResponseDelay: shortPause})
	resp := fx.read(c)
	if resp.err != nil || resp.status != 200 || resp.body != streamEvents(1, 10) {
		t.Fatalf("response %+v", resp)
	}
	var runs []slotengine.Run
	for _, s := range fx.servers {
		runs = append(runs, s.Runs()...)
	}
	if len(runs) != 2 || runs[0].RequestID != runs[1].RequestID || runs[0].LastEventID+runs[1].LastEventID != "4" {
		t.Errorf("runs %+v", runs)
	}
	if n := len(resp.header["Server-Stamp"]); n != 1 {
		t.Errorf("%d signatures", n)
	}
}

// Guards against sending a stream that is not resumable to a second target, and against a
// truncated response that looks complete to the caller.
func TestNonResumableStreamIsAborted(t *testing.T) {
	fx := newFixture(t)
	for range 2 {
		fx.addServer(engineName, slotengine.Config{StreamEvents: 10, ResponseDelay: shortPause}).InjectFaults(slotengine.TruncatedStream)
	}
	fx.startHost()
	resp := fx.call("POST", pathNonResumable, "prompt")
	if resp.err == nil || !strings.HasPrefix(streamEvents(1, 10), resp.body) {
		t.Errorf("response %+v", resp)
	}
	if n := len(fx.servers[0].Runs()) + len(fx.servers[1].Runs()); n != 1 {
		t.Errorf("%d runs", n)
	}
}

// Guards against a second run of a non-idempotent request after a failure at the target,
// and against a status that guarantees that it has not run.
func TestNonIdempotentRequestRunsOnce(t *testing.T) {
	for _, f := range []slotengine.Fault{slotengine.Disconnect, slotengine.NoResponse, slotengine.Fail} {
		fx := newFixture(t)
		fx.addServer(plainName, slotengine.Config{}).SetPersistentFault(f)
		fx.addServer(plainName, slotengine.Config{}).SetPersistentFault(f)
		fx.startHost()
		resp := fx.call("POST", pathNonIdempotent, "order")
		if n := len(fx.servers[0].Runs()) + len(fx.servers[1].Runs()); n != 1 {
			t.Errorf("%s: %d runs", f, n)
		}
		if resp.status != 502 && resp.status != 504 && resp.status != 500 {
			t.Errorf("%s: status %d", f, resp.status)
		}
	}
}

// Guards against reporting that a non-idempotent request may have run although the target
// stated that it did not run it.
func TestRejectedNonIdempotentRequestIsRefusedAsNotRun(t *testing.T) {
	fx := newFixture(t)
	fx.addServer(plainName, slotengine.Config{}).SetPersistentFault(slotengine.Shed)
	fx.startHost()
	resp := fx.call("POST", pathNonIdempotent, "order")
	if resp.status != 503 || resp.header.Get("Retry-After") == "" || len(fx.servers[0].Runs()) != 0 {
		t.Errorf("response %+v, runs %v", resp, fx.servers[0].Runs())
	}
}

// Guards against a failed idempotent request that is not retried at another target, for
// each kind of failure.
func TestIdempotentRequestIsRetriedElsewhere(t *testing.T) {
	for _, f := range []slotengine.Fault{slotengine.Disconnect, slotengine.NoResponse, slotengine.Fail, slotengine.Shed} {
		fx := newFixture(t)
		fx.addServer(plainName, slotengine.Config{}).SetPersistentFault(f)
		good := fx.addServer(plainName, slotengine.Config{})
		fx.startHost()
		for range 4 {
			if resp := fx.call("GET", pathIdempotent, ""); resp.status != 200 || resp.body != "plain from i-1" {
				t.Errorf("%s: response %+v", f, resp)
			}
		}
		if len(good.Runs()) != 4 {
			t.Errorf("%s: %d runs at the good server", f, len(good.Runs()))
		}
	}
}

// Guards against a caller that receives the response of another request after a target sent
// an extra, crossed or unframed response on a connection that would be reused.
func TestEachCallerGetsItsOwnAnswer(t *testing.T) {
	for _, f := range []slotengine.Fault{slotengine.ExtraResponse, slotengine.MismatchedResponse, slotengine.UnframedResponse} {
		fx := newFixture(t)
		s := fx.addServer(plainName, slotengine.Config{})
		fx.startHost()
		c := fx.dial()
		for i := range 6 {
			if i%2 == 1 {
				s.InjectFaults(f)
			}
			id := fx.send(c, "POST", pathNonIdempotent, fmt.Sprintf("order %d", i))
			resp := fx.read(c)
			if resp.err != nil || resp.status != 200 || resp.body != "plain from i-0" || resp.header.Get("Request-Id") != id {
				t.Errorf("%s, request %d: %+v", f, i, resp)
			}
		}
		if n := len(s.Runs()); n != 6 {
			t.Errorf("%s: %d runs of 6 requests", f, n)
		}
	}
}

// Guards against callers that set headers reserved for the host, an API key that reaches the
// target, and a body that is altered, with a length or chunked.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	fx := newFixture(t)
	s := fx.addServer(plainName, slotengine.Config{})
	fx.startHost()
	body := strings.Repeat("0123456789abcdef", longBodyBytes/16)
	fx.call("POST", pathNonIdempotent+"?q=a%2fb", body, "Tenant: thief", "Hold: h", "Pin-Ms: 9", "X-Own: kept", "Connection: X-Drop", "X-Drop: 1", "Expect-Instance: other")
	c := fx.dial()
	fx.send(c, "POST", pathNonIdempotent, "", "Transfer-Encoding: chunked")
	fmt.Fprint(c, "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n")
	fx.read(c)
	runs := s.Runs()
	if len(runs) != 2 {
		t.Fatalf("%d runs", len(runs))
	}
	r := runs[0]
	if r.URI != pathNonIdempotent+"?q=a%2fb" || string(r.Body) != body || r.Organisation != orgName {
		t.Errorf("uri %s, %d bytes, organisation %s", r.URI, len(r.Body), r.Organisation)
	}
	if h := r.Header; h.Get("Authorization")+h.Get("Hold")+h.Get("Pin-Ms")+h.Get("X-Drop") != "" || h.Get("X-Own") != "kept" || h.Get("Expect-Instance") != "i-0" {
		t.Errorf("headers %v", h)
	}
	if string(runs[1].Body) != "hello world" {
		t.Errorf("body in chunks: %q", runs[1].Body)
	}
}

// Guards against request smuggling by two lengths, by a length with chunked encoding, and
// by an unknown transfer encoding.
func TestAmbiguousLengthRunsAtMostOneRequest(t *testing.T) {
	fx := newFixture(t)
	s := fx.addServer(plainName, slotengine.Config{})
	fx.startHost()
	inner := "POST " + pathNonIdempotent + " HTTP/1.1\r\nHost: " + testHost + "\r\nRequest-Id: smuggled\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: 0\r\n\r\n"
	for _, head := range []string{
		fmt.Sprintf("Content-Length: %d\r\nContent-Length: 3", len(inner)),
		fmt.Sprintf("Transfer-Encoding: chunked, identity\r\nContent-Length: %d", len(inner)),
		"Transfer-Encoding: xchunked",
	} {
		c := fx.dial()
		fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: outer\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n%s", pathNonIdempotent, testHost, testKey, head, inner)
		if resp := fx.read(c); resp.status == 200 {
			t.Errorf("%q is accepted", head)
		}
	}
	for _, r := range s.Runs() {
		if r.RequestID == "smuggled" {
			t.Error("a smuggled request ran")
		}
	}
}

// Guards against serving requests of callers that have disconnected, both queued and
// running at a target.
func TestDisconnectedCallerIsNotServed(t *testing.T) {
	fx := newFixture(t)
	s := fx.addServer(engineName, slotengine.Config{StreamEvents: 1000, ResponseDelay: 20 * time.Millisecond, Slots: 2})
	fx.startHost()
	var callers []*caller
	for i := range 3 { // two run, one waits
		c := fx.dial()
		fx.send(c, "POST", pathStream, "prompt")
		callers = append(callers, c)
		fx.eventually("the first two run", func() bool { return s.ActiveRuns() == min(i+1, 2) })
	}
	time.Sleep(100 * time.Millisecond)
	callers[2].Close()
	time.Sleep(100 * time.Millisecond)
	for _, c := range callers[:2] {
		c.Close()
	}
	fx.eventually("the server is idle", func() bool { return s.ActiveRuns() == 0 })
	time.Sleep(200 * time.Millisecond)
	if n := len(s.Runs()); n != 2 {
		t.Errorf("%d runs, the third caller had left", n)
	}
}

// Guards against more concurrent runs at an engine than it has slots, and against requests
// that are lost while they wait for a slot.
func TestRequestsWaitForAFreeSlot(t *testing.T) {
	fx := newFixture(t)
	s := fx.addServer(engineName, slotengine.Config{StreamEvents: 5, ResponseDelay: 5 * time.Millisecond, Slots: 2})
	fx.startHost()
	results := make(chan response, 10)
	for range cap(results) {
		c := fx.dial()
		fx.send(c, "POST", pathStream, "prompt")
		go func() { results <- fx.read(c) }()
	}
	for range cap(results) {
		if resp := <-results; resp.status != 200 || resp.body != streamEvents(1, 5) {
			t.Errorf("response %+v", resp)
		}
	}
	if s.PeakRuns() > 2 {
		t.Errorf("%d runs at once, two slots", s.PeakRuns())
	}
	for _, r := range s.Runs() {
		if r.ReservationID == "" {
			t.Error("a request ran without a reservation")
		}
	}
}

// Guards against 401 and 404 for valid requests when the store is unreachable at the start
// and the host has no configuration yet.
func TestMissingConfigurationIsNotDenied(t *testing.T) {
	fx := newFixture(t)
	fx.store.SetFaults(kvstore.Faults{Unavailable: true})
	go func() {
		time.Sleep(300 * time.Millisecond)
		fx.store.SetFaults(kvstore.Faults{})
	}()
	fx.addServer(plainName, slotengine.Config{})
	fx.startHost()
	for _, c := range []struct {
		path, key string
		want      int
	}{{"/none/x", testKey, 404}, {pathIdempotent, "wrong", 401}, {pathIdempotent, testKey, 200}} {
		if resp := fx.call("GET", c.path, "", "Authorization: Bearer "+c.key); resp.status != c.want && c.key == testKey {
			t.Errorf("%s with %s: status %d, want %d", c.path, c.key, resp.status, c.want)
		}
	}
}

// Guards against a configuration that is not active within two seconds, and against going
// back to an older version after the store lost its history.
func TestConfigurationFollowsTheStore(t *testing.T) {
	fx := newFixture(t)
	fx.addServer(plainName, slotengine.Config{})
	fx.startHost()
	fx.store.Put(wire.KeyConfig, configuration(7, 1))
	began := time.Now()
	fx.eventually("the quota is active", func() bool { return fx.call("GET", pathIdempotent, "").status == 429 })
	if d := time.Since(began); d > 2*time.Second {
		t.Errorf("configuration active after %s, want at most 2 s", d)
	}
	fx.store.CompactHistory()
	fx.store.Put(wire.KeyConfig, configuration(6, 0))
	time.Sleep(time.Second)
	fx.call("GET", pathIdempotent, "")
	if resp := fx.call("GET", pathIdempotent, ""); resp.status != 429 {
		t.Errorf("status %d, want 429: an older configuration is active", resp.status)
	}
}

// Guards against losing the measured speeds of engines when all hosts stop and start again.
func TestSpeedsSurviveFullRestart(t *testing.T) {
	fx := newFixture(t)
	fx.addServer(engineName, slotengine.Config{StreamEvents: 8, ResponseDelay: shortPause})
	fx.startHost()
	if resp := fx.call("POST", pathStream, "prompt"); resp.status != http.StatusOK {
		t.Fatalf("status %d", resp.status)
	}
	fx.eventually("a checkpoint is in the store", func() bool { return fx.store.Value(wire.KeyCheckpoint) != nil })
	if err := fx.host.Stop(); err != nil {
		t.Fatal(err)
	}
	fx.startHost()
	fx.eventually("the checkpoint is restored", func() bool { return fx.log.contains(`"organisations":0,"speeds":1`) })
}

// Guards against requests sent to a draining target, and against requests that fail because
// a target drains.
func TestDrainingTargetGetsNoRequests(t *testing.T) {
	fx := newFixture(t)
	draining := fx.addServer(plainName, slotengine.Config{})
	fx.addServer(plainName, slotengine.Config{})
	fx.startHost()
	fx.listServer(plainName, "i-0", draining.Address(), "draining")
	time.Sleep(1500 * time.Millisecond)
	before := len(draining.Runs())
	for range 10 {
		if resp := fx.call("GET", pathIdempotent, ""); resp.status != 200 {
			t.Errorf("status %d", resp.status)
		}
	}
	if n := len(draining.Runs()) - before; n != 0 {
		t.Errorf("%d requests at a draining target", n)
	}
}

// runRollout orders a rollout of the plain service to v2 within three seconds, sends
// requests until it ends and returns its final state in the store. The server with v2 has the
// fault; empty for none. extra are further headers of the requests.
func (fx *fixture) runRollout(fault slotengine.Fault, extra ...string) string {
	fx.t.Helper()
	fx.addServer(plainName, slotengine.Config{Slots: 8})
	fresh := fx.addServer(plainName, slotengine.Config{Slots: 8})
	b, err := json.Marshal(map[string]any{"service": plainName, "address": fresh.Address(), "zone": "z", "version": "v2", "slots": 8, "state": "ready"})
	if err != nil {
		fx.t.Fatal(err)
	}
	fx.store.Put(wire.PrefixTargets+"i-1", b)
	fresh.SetPersistentFault(fault)
	fx.startHost()
	fx.store.Put(wire.PrefixRollout+plainName, []byte(`{"service":"plain","target":"v2","overS":3}`))
	status := func() string {
		var s struct{ State, Target string }
		if v := fx.store.Value(wire.PrefixRolloutStatus + plainName); v != nil && json.Unmarshal(v, &s) != nil {
			fx.t.Errorf("status %s", v)
		}
		return s.State
	}
	fx.eventually("the rollout runs", func() bool { return status() == "running" })
	fx.eventually("the rollout ends", func() bool {
		fx.call("POST", pathNonIdempotent, "order", extra...)
		return status() != "running"
	})
	return status()
}

// Guards against a rollout of a good version that is not completed.
func TestGoodVersionCompletesRollout(t *testing.T) {
	fx := newFixture(t)
	if got := fx.runRollout(""); got != "done" {
		t.Errorf("state %q", got)
	}
	fx.eventually("all requests go to the new version", func() bool {
		before := len(fx.servers[0].Runs())
		fx.call("POST", pathNonIdempotent, "order")
		return len(fx.servers[0].Runs()) == before
	})
}

// Guards against a bad version that is not rolled back, or that receives requests afterwards.
func TestBadVersionIsRolledBack(t *testing.T) {
	fx := newFixture(t)
	if got := fx.runRollout(slotengine.Fail); got != "rolled_back" {
		t.Errorf("state %q", got)
	}
	before := len(fx.servers[1].Runs())
	for range 50 {
		fx.call("POST", pathNonIdempotent, "order")
	}
	if n := len(fx.servers[1].Runs()) - before; n != 0 {
		t.Errorf("%d requests at a version that was rolled back", n)
	}
}

// Guards against a changed setting that Reload ignores, and against a setting that needs a
// restart without Reload reporting it.
func TestReload(t *testing.T) {
	fx := newFixture(t)
	fx.addServer(plainName, slotengine.Config{}).SetPersistentFault(slotengine.Fail)
	fx.addServer(plainName, slotengine.Config{}).SetPersistentFault(slotengine.Fail)
	fx.startHost()
	runs := func() int { return len(fx.servers[0].Runs()) + len(fx.servers[1].Runs()) }
	fx.call("GET", pathIdempotent, "")
	if n := runs(); n != 2 {
		t.Fatalf("%d runs with a retry budget, want 2", n)
	}
	changed := fx.settings
	changed.RetryBudget.Ratio, changed.RetryBudget.Slack = 0, 0
	if fx.host.Reload(changed) {
		t.Error("a retry budget needs a restart")
	}
	resp := fx.call("GET", pathIdempotent, "")
	if n := runs(); n != 3 {
		t.Errorf("%d runs after the retry budget was set to 0, want 3", n)
	}
	if resp.status != 500 || resp.header.Get("Server-Stamp") == "" || resp.body != "failed" {
		t.Errorf("the target's error response was replaced: %+v", resp)
	}
	changed.Listen.Callers = "127.0.0.1:1"
	if !fx.host.Reload(changed) {
		t.Error("a new address needs no restart")
	}
}

// Guards against a stop that aborts requests in progress, and against a stopping host that
// still answers readiness probes with 200.
func TestStopFinishesStreams(t *testing.T) {
	const events, streamTimeoutMs = 40, 8000 // longer than the stream
	fx := newFixture(t)
	fx.store.Put(wire.KeyConfig, fleetuser.Configuration(1, streamTimeoutMs, 0, 2))
	fx.addServer(engineName, slotengine.Config{StreamEvents: events, ResponseDelay: 100 * time.Millisecond})
	fx.startHost()
	c := fx.dial()
	fx.send(c, "POST", pathStream, "prompt", "Request-Deadline: 8000")
	fx.eventually("the stream runs", func() bool { return fx.servers[0].ActiveRuns() == 1 })
	stopped := fx.stop()
	resp := fx.read(c)
	if resp.err != nil || resp.status != 200 || resp.body != streamEvents(1, events) {
		t.Errorf("status %d, %v, %d bytes", resp.status, resp.err, len(resp.body))
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
