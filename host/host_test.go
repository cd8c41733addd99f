package host

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sardinefront.dev/core/telemetry"
	"sardinefront.dev/host/settings"
	"sardinefront.dev/standin/engine"
	"sardinefront.dev/standin/service"
	"sardinefront.dev/target"
)

const testRules = `pool llm is engine, orders fenced, orders checked  # Kari
pool desk is service  # Kari
send POST /llm/** to llm  # Kari
send any /desk/** to desk  # Kari
call POST /llm/reviews/** is patient, answer within 1h  # Ola
call POST /llm/** is urgent, answer within 30s  # Ola
call POST /desk/orders is interactive and non-idempotent, answer within 10s  # Ola
call GET /desk/** is interactive and idempotent, answer within 10s  # Ola
serve llm version 1  # Kari
`

// fixture is a host without peers that uses an embedded store, a simulated engine and a
// simulated service.
type fixture struct {
	host    *Host
	engine  *engine.Server
	service *service.Server
}

func newFixture(t *testing.T, e engine.Config, change func(*settings.Settings)) *fixture {
	t.Helper()
	f := &fixture{engine: engine.New(e), service: service.New(service.Config{})}
	if err := f.engine.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.engine.Close() })
	if err := f.service.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.service.Close() })
	s := settings.Defaults()
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0"}
	s.Rules.File = filepath.Join(t.TempDir(), "rules")
	if err := os.WriteFile(s.Rules.File, []byte(testRules), 0o600); err != nil {
		t.Fatal(err)
	}
	s.Targets = []settings.Target{
		{Name: "llm-1", Address: f.engine.Addr(), Pool: "llm", Version: "1"},
		{Name: "desk-1", Address: f.service.Addr(), Pool: "desk", Version: "1"},
	}
	if change != nil {
		change(&s)
	}
	metrics, err := telemetry.New()
	if err != nil {
		t.Fatal(err)
	}
	f.host, err = Build(s, slog.New(slog.DiscardHandler), metrics)
	if err != nil {
		t.Fatal(err)
	}
	if err := f.host.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		f.host.Stop(ctx)
	})
	eventually(t, "the pools have targets", func() bool {
		st := f.host.Status()
		return len(st.Pools) == 2 && f.hasTargets()
	})
	return f
}

func (f *fixture) hasTargets() bool {
	for _, runner := range *f.host.pools.Load() {
		if len(*runner.backends.Load()) == 0 {
			return false
		}
	}
	return true
}

// eventually waits up to 20 s until ok returns true.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("condition not reached within 20 s: %s", what)
}

// send sends a request of organisation "a" and returns the response with its body.
func (f *fixture) send(t *testing.T, ctx context.Context, method, path, id, body string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.host.CallerAddress()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(headerOrganisation, "a")
	req.Header.Set(headerRequestID, id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}

// Guards against a non-idempotent request that runs twice because the caller repeats it, and
// against a duplicate that does not receive the response to the first one.
func TestRepeatedOrderRunsOnce(t *testing.T) {
	f := newFixture(t, engine.Config{}, nil)
	var responses []string
	for range 3 {
		resp, text, err := f.send(t, t.Context(), "POST", "/desk/orders", "o1", `{"n":1}`)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("got %v, error %v, body %s, want status 200", resp, err, text)
		}
		responses = append(responses, text)
	}
	if responses[0] != responses[1] || responses[0] != responses[2] {
		t.Errorf("responses differ: %q", responses)
	}
	if runs := f.service.RunCounts()["a~o1"]; runs != 1 {
		t.Errorf("the order ran %d times, want once", runs)
	}
}

// Guards against an accepted patient request that never has an outcome.
func TestPatientRequestEndsInFetchableAnswer(t *testing.T) {
	f := newFixture(t, engine.Config{}, nil)
	resp, text, err := f.send(t, t.Context(), "POST", "/llm/reviews/1", "r1", `{"prompt":"p","max_tokens":3}`)
	if err != nil || resp.StatusCode != http.StatusAccepted {
		t.Fatalf("got %v, error %v, body %s, want status 202", resp, err, text)
	}
	eventually(t, "the outcome is a response", func() bool {
		resp, text, err = f.send(t, t.Context(), "GET", outcomePath+"r1", "", "")
		return err == nil && resp.StatusCode == http.StatusOK
	})
	if want := strings.TrimSpace(engine.ExpectedText("a~r1", "p", 3)); !strings.Contains(text, want) {
		t.Errorf("response %q does not contain %q", text, want)
	}
}

// Guards against a generation that continues after its caller has disconnected.
func TestCallerLeavesMidStream(t *testing.T) {
	f := newFixture(t, engine.Config{TokensPerSecond: 5}, nil)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _, _ = f.send(t, ctx, "POST", "/llm/x", "s1", `{"prompt":"p","max_tokens":500,"stream":true}`)
	}()
	eventually(t, "the engine runs the request", func() bool { return f.engine.RunCounts()["a~s1"] == 1 })
	cancel()
	<-done
	eventually(t, "the host has nothing in progress", func() bool { return f.host.Status().Active == 0 })
	eventually(t, "the engine has nothing in progress", func() bool {
		r, err := target.NewEngine(target.Config{Address: f.engine.Addr()}).LoadReport(t.Context())
		return err == nil && r.Running+r.Waiting == 0
	})
}

// Guards against a truncated response that reaches the caller as a complete one.
func TestCutAnswerIsNeverPassedAsWhole(t *testing.T) {
	f := newFixture(t, engine.Config{}, nil)
	f.service.AddFault(service.Fault{Kind: "cut", Share: 1})
	resp, _, err := f.send(t, t.Context(), "GET", "/desk/x", "g1", "")
	if err == nil && resp.StatusCode < 500 {
		t.Errorf("a truncated response arrived with status %d and without an error", resp.StatusCode)
	}
}

// Guards against a caller that keeps a connection open forever by not sending the rest of its
// request.
func TestSlowCallerIsCutOff(t *testing.T) {
	f := newFixture(t, engine.Config{}, func(s *settings.Settings) { s.Limits.ReadTimeout = 200 * time.Millisecond })
	conn, err := net.Dial("tcp", f.host.CallerAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, "POST /desk/orders HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n{")
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	response, err := io.ReadAll(conn)
	if err != nil {
		t.Fatalf("connection still open: %v", err)
	}
	if !strings.Contains(string(response), headerReason+": caller-timeout") {
		t.Errorf("got response %q, want reason caller-timeout", response)
	}
}

// Guards against a graceful shutdown that cuts off a stream in progress.
func TestStopWaitsForStream(t *testing.T) {
	f := newFixture(t, engine.Config{TokensPerSecond: 50}, nil)
	type result struct {
		text string
		err  error
	}
	got := make(chan result, 1)
	go func() {
		_, text, err := f.send(t, t.Context(), "POST", "/llm/x", "s1", `{"prompt":"p","max_tokens":50,"stream":true}`)
		got <- result{text, err}
	}()
	eventually(t, "the engine runs the request", func() bool { return f.engine.RunCounts()["a~s1"] == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if left := f.host.Stop(ctx); left != 0 {
		t.Errorf("%d requests cut off, want none", left)
	}
	r := <-got
	if r.err != nil || !strings.Contains(r.text, "data: [DONE]") {
		t.Errorf("stream ended with %v, %q", r.err, r.text)
	}
}
