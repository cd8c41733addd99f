package gateway_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"sardinefront.dev/core/telemetry"
	"sardinefront.dev/gateway"
	"sardinefront.dev/gateway/settings"
	"sardinefront.dev/platform/store"
	"sardinefront.dev/platform/wire"
	"sardinefront.dev/standin/fleetuser"
	"sardinefront.dev/standin/kvstore"
	"sardinefront.dev/standin/slotengine"
)

// world is a store, servers and one or more entry hosts on loopback.
type world struct {
	t       *testing.T
	store   *kvstore.Store
	servers []*slotengine.Server
	host    *gateway.Gateway
	callers string
	ready   string
	nextID  int
	// settings are those that the host was started with.
	settings settings.Settings
	log      logBuffer
}

// logBuffer collects the lines that hosts write.
type logBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
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
	pathStream = "/stream/x"       // resumable, two attempts
	pathOnce   = "/once/x"         // stream that is not resumable
	pathUnsafe = "/unsafe/x"       // one attempt
	pathSafe   = "/safe/x"         // two attempts
	testHost   = fleetuser.Host    // host of all routes
	testKey    = fleetuser.Key     // key of the organisation
	engineName = fleetuser.Engines // service of engines
	plainName  = fleetuser.Plain   // plain service
	orgName    = fleetuser.Tenant  // the organisation
	timeoutMs  = 2000              // of all routes
	longBody   = 64 << 10          // bytes, more than the socket buffers of a write
	oneEvent   = time.Millisecond
)

func configuration(version, rate int) []byte {
	return fleetuser.Configuration(version, timeoutMs, rate, 2)
}

func freePort(t *testing.T) uint16 {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return uint16(l.Addr().(*net.TCPAddr).Port)
}

func newWorld(t *testing.T) *world {
	t.Helper()
	s, err := kvstore.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	w := &world{t: t, store: s}
	s.Put(wire.KeyConfig, configuration(1, 0))
	return w
}

// add starts a server and lists it.
func (w *world) add(service string, cfg slotengine.Config) *slotengine.Server {
	w.t.Helper()
	if cfg.ID == "" {
		cfg.ID = fmt.Sprintf("i-%d", len(w.servers))
	}
	if cfg.Slots == 0 {
		cfg.Slots = 2
	}
	s, err := slotengine.Start(cfg)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(s.Close)
	w.servers = append(w.servers, s)
	w.list(service, cfg.ID, s.Address(), "ready")
	return s
}

func (w *world) list(service, id, address, state string) {
	w.t.Helper()
	w.store.Put(wire.PrefixTargets+id, fleetuser.Server{
		Service: service, Address: address, Zone: "z", Slots: 2, Draining: state == "draining",
	}.Entry())
}

// start starts the entry host and waits until it is ready.
func (w *world) start() {
	w.t.Helper()
	var s settings.Settings
	s.Host.Name, s.Host.Zone, s.Host.Address = "host-1", "z", "127.0.0.1"
	s.Listen.Callers = fmt.Sprintf("127.0.0.1:%d", freePort(w.t))
	s.Listen.Ready = fmt.Sprintf("127.0.0.1:%d", freePort(w.t))
	s.Listen.InternalPorts = []uint16{freePort(w.t)}
	s.Store.Address = w.store.Address()
	s.Stop.GraceSeconds = 8
	s.Rollout.ExposeShare = 0.1
	s.RetryBudget.Ratio, s.RetryBudget.Slack, s.RetryBudget.WindowSeconds = 0.2, 50, 10
	metrics, err := telemetry.New()
	if err != nil {
		w.t.Fatal(err)
	}
	kv := store.New(store.Config{Address: s.Store.Address})
	w.host = gateway.New(gateway.Config{
		Settings: s, Store: kv, Records: kv,
		Rollouts: wire.RolloutLayout(), CheckpointKey: wire.KeyCheckpoint,
		Layout: wire.DirectoryLayout(),
		Codec:  wire.Codec{}, ReadyPath: wire.ReadyPath, Metrics: metrics, Log: slog.New(slog.NewJSONHandler(&w.log, nil)),
	})
	if err := w.host.Start(); err != nil {
		w.t.Fatal(err)
	}
	w.settings = s
	w.callers, w.ready = s.Listen.Callers, s.Listen.Ready
	w.until("the host is ready", w.isReady)
}

func (w *world) isReady() bool {
	resp, err := http.Get("http://" + w.ready + wire.ReadyPath)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (w *world) until(what string, ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	w.t.Fatalf("%s: not within 10 s", what)
}

// answer is what a caller got; err is set if the connection ended before it was whole.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// caller is one connection of a caller.
type caller struct {
	net.Conn
	br *bufio.Reader
}

func (w *world) dial() *caller {
	w.t.Helper()
	c, err := net.Dial("tcp4", w.callers)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { c.Close() })
	return &caller{c, bufio.NewReader(c)}
}

// send writes a request and returns its id.
func (w *world) send(c *caller, method, path, body string, extra ...string) string {
	w.t.Helper()
	w.nextID++
	id := fmt.Sprintf("req-%d", w.nextID)
	head := append([]string{"Host: " + testHost, "Request-Id: " + id, "Authorization: Bearer " + testKey, "Token-Count: 100,20", "Request-Deadline: 5000"}, extra...)
	if body != "" {
		head = append(head, fmt.Sprintf("Content-Length: %d", len(body)))
	}
	if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\n%s\r\n\r\n%s", method, path, strings.Join(head, "\r\n"), body); err != nil {
		w.t.Fatal(err)
	}
	return id
}

func (w *world) read(c *caller) answer {
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return answer{err: err}
	}
	b, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(b), err}
}

func (w *world) call(method, path, body string, extra ...string) answer {
	w.t.Helper()
	c := w.dial()
	defer c.Close()
	w.send(c, method, path, body, extra...)
	return w.read(c)
}

func pieces(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece-%d\n\n", i, i)
	}
	return b.String()
}

// Guards against a stream that is joined wrongly: its target breaks off in the middle
// of an event, and another one goes on after the last whole one.
func TestCutStreamGoesOnAtAnotherTarget(t *testing.T) {
	w := newWorld(t)
	w.add(engineName, slotengine.Config{Events: 10, Pause: 20 * time.Millisecond}).Next(slotengine.CutStream)
	w.start()
	c := w.dial()
	w.send(c, "POST", pathStream, "prompt")
	w.until("the stream runs", func() bool { return w.servers[0].Busy() == 1 })
	w.add(engineName, slotengine.Config{Events: 10, Pause: oneEvent})
	a := w.read(c)
	if a.err != nil || a.status != 200 || a.body != pieces(1, 10) {
		t.Fatalf("answer %+v", a)
	}
	var runs []slotengine.Run
	for _, s := range w.servers {
		runs = append(runs, s.Runs()...)
	}
	if len(runs) != 2 || runs[0].ID != runs[1].ID || runs[0].After+runs[1].After != "4" {
		t.Errorf("runs %+v", runs)
	}
	if n := len(a.header["Server-Stamp"]); n != 1 {
		t.Errorf("%d signatures", n)
	}
}

// Guards against a stream that may not be resumed and is sent to a second target, or
// whose cut answer looks complete.
func TestCutStreamThatMayNotBeResumedIsCutForTheCaller(t *testing.T) {
	w := newWorld(t)
	for range 2 {
		w.add(engineName, slotengine.Config{Events: 10, Pause: oneEvent}).Next(slotengine.CutStream)
	}
	w.start()
	a := w.call("POST", pathOnce, "prompt")
	if a.err == nil || !strings.HasPrefix(pieces(1, 10), a.body) {
		t.Errorf("answer %+v", a)
	}
	if n := len(w.servers[0].Runs()) + len(w.servers[1].Runs()); n != 1 {
		t.Errorf("%d runs", n)
	}
}

// Guards against a second run of a request that must not run twice, and against a
// refusal that promises that it has not run.
func TestUnsafeRequestRunsOnce(t *testing.T) {
	for _, f := range []slotengine.Fault{slotengine.Reset, slotengine.Mute, slotengine.Fail} {
		w := newWorld(t)
		w.add(plainName, slotengine.Config{}).Always(f)
		w.add(plainName, slotengine.Config{}).Always(f)
		w.start()
		a := w.call("POST", pathUnsafe, "order")
		if n := len(w.servers[0].Runs()) + len(w.servers[1].Runs()); n != 1 {
			t.Errorf("%s: %d runs", f, n)
		}
		if a.status != 502 && a.status != 504 && a.status != 500 {
			t.Errorf("%s: status %d", f, a.status)
		}
	}
}

// Guards against an unsafe request that is given up though a server said that it did
// not run it.
func TestRejectedUnsafeRequestIsRefusedAsNotRun(t *testing.T) {
	w := newWorld(t)
	w.add(plainName, slotengine.Config{}).Always(slotengine.Shed)
	w.start()
	a := w.call("POST", pathUnsafe, "order")
	if a.status != 503 || a.header.Get("Retry-After") == "" || len(w.servers[0].Runs()) != 0 {
		t.Errorf("answer %+v, runs %v", a, w.servers[0].Runs())
	}
}

// Guards against a failed idempotent request that is not tried elsewhere, for each way
// to fail.
func TestSafeRequestIsRepeatedElsewhere(t *testing.T) {
	for _, f := range []slotengine.Fault{slotengine.Reset, slotengine.Mute, slotengine.Fail, slotengine.Shed} {
		w := newWorld(t)
		w.add(plainName, slotengine.Config{}).Always(f)
		good := w.add(plainName, slotengine.Config{})
		w.start()
		for range 4 {
			if a := w.call("GET", pathSafe, ""); a.status != 200 || a.body != "plain from i-1" {
				t.Errorf("%s: answer %+v", f, a)
			}
		}
		if len(good.Runs()) != 4 {
			t.Errorf("%s: %d runs at the good server", f, len(good.Runs()))
		}
	}
}

// Guards against answers of other requests and spoiled connections: extra, crossed and
// unframed answers on kept connections, with requests that follow.
func TestEachCallerGetsItsOwnAnswer(t *testing.T) {
	for _, f := range []slotengine.Fault{slotengine.Extra, slotengine.Crossed, slotengine.Unframed} {
		w := newWorld(t)
		s := w.add(plainName, slotengine.Config{})
		w.start()
		c := w.dial()
		for i := range 6 {
			if i%2 == 1 {
				s.Next(f)
			}
			id := w.send(c, "POST", pathUnsafe, fmt.Sprintf("order %d", i))
			a := w.read(c)
			if a.err != nil || a.status != 200 || a.body != "plain from i-0" || a.header.Get("Request-Id") != id {
				t.Errorf("%s, request %d: %+v", f, i, a)
			}
		}
		if n := len(s.Runs()); n != 6 {
			t.Errorf("%s: %d runs of 6 requests", f, n)
		}
	}
}

// Guards against headers that only the system sets, a key that is passed on, and a
// body that changes on the way, also in chunks.
func TestRequestIsPassedOnUnchanged(t *testing.T) {
	w := newWorld(t)
	s := w.add(plainName, slotengine.Config{})
	w.start()
	body := strings.Repeat("0123456789abcdef", longBody/16)
	w.call("POST", pathUnsafe+"?q=a%2fb", body, "Tenant: thief", "Hold: h", "Pin-Ms: 9", "X-Own: kept", "Connection: X-Drop", "X-Drop: 1", "Expect-Instance: other")
	c := w.dial()
	w.send(c, "POST", pathUnsafe, "", "Transfer-Encoding: chunked")
	fmt.Fprint(c, "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n")
	w.read(c)
	runs := s.Runs()
	if len(runs) != 2 {
		t.Fatalf("%d runs", len(runs))
	}
	r := runs[0]
	if r.URI != pathUnsafe+"?q=a%2fb" || string(r.Body) != body || r.Organisation != orgName {
		t.Errorf("uri %s, %d bytes, organisation %s", r.URI, len(r.Body), r.Organisation)
	}
	if h := r.Header; h.Get("Authorization")+h.Get("Hold")+h.Get("Pin-Ms")+h.Get("X-Drop") != "" || h.Get("X-Own") != "kept" || h.Get("Expect-Instance") != "i-0" {
		t.Errorf("headers %v", h)
	}
	if string(runs[1].Body) != "hello world" {
		t.Errorf("body in chunks: %q", runs[1].Body)
	}
}

// Guards against a smuggled second request: both a length and chunks, or two lengths.
func TestAmbiguousLengthRunsAtMostOneRequest(t *testing.T) {
	w := newWorld(t)
	s := w.add(plainName, slotengine.Config{})
	w.start()
	inner := "POST " + pathUnsafe + " HTTP/1.1\r\nHost: " + testHost + "\r\nRequest-Id: smuggled\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: 0\r\n\r\n"
	for _, head := range []string{
		fmt.Sprintf("Content-Length: %d\r\nContent-Length: 3", len(inner)),
		fmt.Sprintf("Transfer-Encoding: chunked, identity\r\nContent-Length: %d", len(inner)),
		"Transfer-Encoding: xchunked",
	} {
		c := w.dial()
		fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: outer\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n%s", pathUnsafe, testHost, testKey, head, inner)
		if a := w.read(c); a.status == 200 {
			t.Errorf("%q is accepted", head)
		}
	}
	for _, r := range s.Runs() {
		if r.ID == "smuggled" {
			t.Error("a smuggled request ran")
		}
	}
}

// Guards against work that goes on for a caller that has left, in the queue and at a
// target.
func TestCallerThatLeavesIsNotServed(t *testing.T) {
	w := newWorld(t)
	s := w.add(engineName, slotengine.Config{Events: 1000, Pause: 20 * time.Millisecond, Slots: 2})
	w.start()
	var callers []*caller
	for i := range 3 { // two run, one waits
		c := w.dial()
		w.send(c, "POST", pathStream, "prompt")
		callers = append(callers, c)
		w.until("the first two run", func() bool { return s.Busy() == min(i+1, 2) })
	}
	time.Sleep(100 * time.Millisecond)
	callers[2].Close()
	time.Sleep(100 * time.Millisecond)
	for _, c := range callers[:2] {
		c.Close()
	}
	w.until("the server is idle", func() bool { return s.Busy() == 0 })
	time.Sleep(200 * time.Millisecond)
	if n := len(s.Runs()); n != 2 {
		t.Errorf("%d runs, the third caller had left", n)
	}
}

// Guards against more runs at an engine than it has slots, and against requests that
// are lost while they wait for one.
func TestRequestsWaitForAFreeSlot(t *testing.T) {
	w := newWorld(t)
	s := w.add(engineName, slotengine.Config{Events: 5, Pause: 5 * time.Millisecond, Slots: 2})
	w.start()
	results := make(chan answer, 10)
	for range cap(results) {
		c := w.dial()
		w.send(c, "POST", pathStream, "prompt")
		go func() { results <- w.read(c) }()
	}
	for range cap(results) {
		if a := <-results; a.status != 200 || a.body != pieces(1, 5) {
			t.Errorf("answer %+v", a)
		}
	}
	if s.Most() > 2 {
		t.Errorf("%d runs at once, two slots", s.Most())
	}
	for _, r := range s.Runs() {
		if r.Reservation == "" {
			t.Error("a request ran without a reservation")
		}
	}
}

// Guards against statuses that say more than is known: no configuration yet is no
// reason for 401 or 404.
func TestUnknownIsNotDenied(t *testing.T) {
	w := newWorld(t)
	w.store.SetFaults(kvstore.Faults{Down: true})
	go func() {
		time.Sleep(300 * time.Millisecond)
		w.store.SetFaults(kvstore.Faults{})
	}()
	w.add(plainName, slotengine.Config{})
	w.start()
	for _, c := range []struct {
		path, key string
		want      int
	}{{"/none/x", testKey, 404}, {pathSafe, "wrong", 401}, {pathSafe, testKey, 200}} {
		if a := w.call("GET", c.path, "", "Authorization: Bearer "+c.key); a.status != c.want && c.key == testKey {
			t.Errorf("%s with %s: status %d, want %d", c.path, c.key, a.status, c.want)
		}
	}
}

// Guards against a configuration that is not in force within two seconds, and against
// one that goes back when the store forgets its history.
func TestConfigurationFollowsTheStore(t *testing.T) {
	w := newWorld(t)
	w.add(plainName, slotengine.Config{})
	w.start()
	w.store.Put(wire.KeyConfig, configuration(7, 1))
	began := time.Now()
	w.until("the quota is in force", func() bool { return w.call("GET", pathSafe, "").status == 429 })
	if d := time.Since(began); d > 2*time.Second {
		t.Errorf("in force after %s", d)
	}
	w.store.Forget()
	w.store.Put(wire.KeyConfig, configuration(6, 0))
	time.Sleep(time.Second)
	w.call("GET", pathSafe, "")
	if a := w.call("GET", pathSafe, ""); a.status != 429 {
		t.Errorf("status %d: an older configuration is in force", a.status)
	}
}

// Guards against hosts that all stop and know nothing of the engines' speeds when they
// start again.
func TestSpeedsOutliveAFullStop(t *testing.T) {
	w := newWorld(t)
	w.add(engineName, slotengine.Config{Events: 8, Pause: oneEvent})
	w.start()
	if a := w.call("POST", pathStream, "prompt"); a.status != http.StatusOK {
		t.Fatalf("status %d", a.status)
	}
	w.until("a checkpoint is in the store", func() bool { return w.store.Value(wire.KeyCheckpoint) != nil })
	if err := w.host.Stop(); err != nil {
		t.Fatal(err)
	}
	w.start()
	w.until("the checkpoint is restored", func() bool { return w.log.contains(`"organisations":0,"speeds":1`) })
}

// Guards against work for a target that leaves or is gone, and against requests that
// fail because of it.
func TestLeavingTargetGetsNoWork(t *testing.T) {
	w := newWorld(t)
	leaving := w.add(plainName, slotengine.Config{})
	w.add(plainName, slotengine.Config{})
	w.start()
	w.list(plainName, "i-0", leaving.Address(), "draining")
	time.Sleep(1500 * time.Millisecond)
	before := len(leaving.Runs())
	for range 10 {
		if a := w.call("GET", pathSafe, ""); a.status != 200 {
			t.Errorf("status %d", a.status)
		}
	}
	if n := len(leaving.Runs()) - before; n != 0 {
		t.Errorf("%d requests at a leaving target", n)
	}
}

// order asks for a rollout of the plain service to v2 within two seconds, while
// requests come, and returns the state that stands in the store at the end.
func (w *world) order(fail bool) string {
	w.t.Helper()
	w.add(plainName, slotengine.Config{Slots: 8})
	fresh := w.add(plainName, slotengine.Config{Slots: 8})
	b, err := json.Marshal(map[string]any{"service": plainName, "address": fresh.Address(), "zone": "z", "version": "v2", "slots": 8, "state": "ready"})
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put(wire.PrefixTargets+"i-1", b)
	if fail {
		fresh.Always(slotengine.Fail)
	}
	w.start()
	w.store.Put(wire.PrefixRollout+plainName, []byte(`{"service":"plain","target":"v2","overS":3}`))
	status := func() string {
		var s struct{ State, Target string }
		if v := w.store.Value(wire.PrefixRolloutStatus + plainName); v != nil && json.Unmarshal(v, &s) != nil {
			w.t.Errorf("status %s", v)
		}
		return s.State
	}
	w.until("the rollout runs", func() bool { return status() == "running" })
	w.until("the rollout ends", func() bool {
		w.call("POST", pathUnsafe, "order")
		return status() != "running"
	})
	return status()
}

// Guards against a good version that is not reported as done.
func TestRolloutEnds(t *testing.T) {
	w := newWorld(t)
	if got := w.order(false); got != "done" {
		t.Errorf("state %q", got)
	}
	w.until("all requests go to the new version", func() bool {
		before := len(w.servers[0].Runs())
		w.call("POST", pathUnsafe, "order")
		return len(w.servers[0].Runs()) == before
	})
}

// Guards against a bad version that is not taken back, or gets requests afterwards.
func TestBadVersionIsTakenBack(t *testing.T) {
	w := newWorld(t)
	if got := w.order(true); got != "rolled_back" {
		t.Errorf("state %q", got)
	}
	before := len(w.servers[1].Runs())
	for range 50 {
		w.call("POST", pathUnsafe, "order")
	}
	if n := len(w.servers[1].Runs()) - before; n != 0 {
		t.Errorf("%d requests at a version that was taken back", n)
	}
}

// Guards against a change of the settings that is ignored, and against one that a
// running process cannot follow and does not report.
func TestReload(t *testing.T) {
	w := newWorld(t)
	w.add(plainName, slotengine.Config{}).Always(slotengine.Fail)
	w.add(plainName, slotengine.Config{}).Always(slotengine.Fail)
	w.start()
	runs := func() int { return len(w.servers[0].Runs()) + len(w.servers[1].Runs()) }
	w.call("GET", pathSafe, "")
	if n := runs(); n != 2 {
		t.Fatalf("%d runs with a retry budget, want 2", n)
	}
	changed := w.settings
	changed.RetryBudget.Ratio, changed.RetryBudget.Slack = 0, 0
	if w.host.Reload(changed) {
		t.Error("a retry budget needs a restart")
	}
	a := w.call("GET", pathSafe, "")
	if n := runs(); n != 3 {
		t.Errorf("%d runs after the retry budget was taken away, want 3", n)
	}
	if a.status != 500 || a.header.Get("Server-Stamp") == "" || a.body != "failed" {
		t.Errorf("the target's own failure is replaced: %+v", a)
	}
	changed.Listen.Callers = "127.0.0.1:1"
	if !w.host.Reload(changed) {
		t.Error("a new address needs no restart")
	}
}

// Guards against a stop that cuts a request in progress, or that goes on saying that
// the host is ready.
func TestStopFinishesStreams(t *testing.T) {
	w := newWorld(t)
	w.add(engineName, slotengine.Config{Events: 40, Pause: 100 * time.Millisecond})
	w.start()
	c := w.dial()
	w.send(c, "POST", pathStream, "prompt", "Request-Deadline: 8000")
	w.until("the stream runs", func() bool { return w.servers[0].Busy() == 1 })
	stopped := make(chan error, 1)
	go func() { stopped <- w.host.Stop() }()
	w.until("the host is not ready", func() bool { return !w.isReady() })
	a := w.read(c)
	if a.err != nil && a.body != pieces(1, 19) || a.status != 200 {
		t.Errorf("status %d, %v, %d bytes", a.status, a.err, len(a.body))
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
