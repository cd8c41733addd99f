package engine_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"sardinefront.dev/standin/engine"
	"sardinefront.dev/target"
)

func start(t *testing.T, cfg engine.Config) (*engine.Server, *target.Engine) {
	t.Helper()
	s := engine.New(cfg)
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	e := target.NewEngine(target.Config{Name: "e", Address: s.Addr(), FirstByteTimeout: 3 * time.Second})
	t.Cleanup(func() {
		e.Close()
		s.Close()
	})
	return s, e
}

func completion(id, prompt string, n int, stream bool) target.Request {
	body := fmt.Sprintf(`{"prompt":%q,"max_tokens":%d,"stream":%t}`, prompt, n, stream)
	return target.Request{ID: id, Method: http.MethodPost, Path: "/v1/completions", Body: []byte(body), Stream: stream}
}

// readTokens returns the text of the next maxEvents events. At the end of the stream it
// returns io.EOF with the text so far.
func readTokens(b target.Body, maxEvents int) (string, error) {
	var sb strings.Builder
	for n := 0; n < maxEvents; n++ {
		part, err := b.Next()
		if err != nil {
			return sb.String(), err
		}
		_, data, _ := strings.Cut(string(part), "data: ")
		sb.WriteString(eventText([]byte(data)))
	}
	return sb.String(), nil
}

func eventText(data []byte) string {
	var ev struct {
		Choices []struct{ Text string }
	}
	if json.Unmarshal(data, &ev) != nil || len(ev.Choices) == 0 {
		return ""
	}
	return ev.Choices[0].Text
}

// Guards against output that differs from ExpectedText, which other tests use to verify
// complete responses, and against a lost or repeated token when a stream is resumed on
// a new connection after the connection was closed and the run was cancelled.
func TestStreamResumeCancel(t *testing.T) {
	s, e := start(t, engine.Config{TokensPerSecond: 200})
	ctx := context.Background()
	want := engine.ExpectedText("a", "hello", 40)

	resp, err := e.Do(ctx, completion("a", "hello", 40, true))
	if err != nil {
		t.Fatal(err)
	}
	first, err := readTokens(resp.Body, 10)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if err := e.Cancel(ctx, "a"); err != nil {
		t.Fatal(err)
	}
	resp, err = e.Resume(ctx, "a", 10)
	if err != nil {
		t.Fatal(err)
	}
	rest, err := readTokens(resp.Body, 1000)
	if err != io.EOF || first+rest != want {
		t.Fatalf("got %q + %q, %v, expected %q", first, rest, err, want)
	}
	if n := s.RunCounts()["a"]; n != 1 {
		t.Fatalf("ran %d times", n)
	}
	if _, err := e.Resume(ctx, "b", 0); !errors.Is(err, target.ErrUnknownStream) {
		t.Fatalf("unknown stream: %v", err)
	}
	if err := e.Cancel(ctx, "b"); !errors.Is(err, target.ErrUnknownStream) {
		t.Fatalf("unknown stream: %v", err)
	}
}

// Guards against a fault that a caller can't distinguish from a correct response: a truncated or
// mismatched response has to return its error, an empty one no text, and a failure
// status 500. No fault may run a request twice.
func TestFaults(t *testing.T) {
	s, e := start(t, engine.Config{TokensPerSecond: 2000})
	for _, streamed := range []bool{true, false} {
		for _, kind := range []engine.Fault{{Kind: engine.FaultTruncated}, {Kind: engine.FaultMismatched}, {Kind: engine.FaultEmpty}, {Kind: engine.FaultFail}} {
			s.AddFault(engine.Fault{Kind: engine.FaultNone})
			s.AddFault(kind)
			id := fmt.Sprintf("%s-%t", kind.Kind, streamed)
			resp, err := e.Do(context.Background(), completion(id, "p", 8, streamed))
			var body []byte
			if err == nil {
				body, err = target.ReadAll(resp.Body, 1<<20)
			}
			var truncated *target.TruncatedError
			var mismatch *target.MismatchError
			switch kind.Kind {
			case engine.FaultTruncated:
				if !errors.As(err, &truncated) || (streamed && truncated.Offset != 4) {
					t.Errorf("%s: %v", id, err)
				}
			case engine.FaultMismatched:
				if !errors.As(err, &mismatch) {
					t.Errorf("%s: %v", id, err)
				}
			case engine.FaultEmpty:
				empty := string(body) == "data: [DONE]\n\n" || strings.Contains(string(body), `"text":"",`)
				if err != nil || !empty {
					t.Errorf("%s: %v %s", id, err, body)
				}
			case engine.FaultFail:
				if err != nil || resp.Status != 500 {
					t.Errorf("%s: %v", id, err)
				}
			}
		}
	}
	for id, n := range s.RunCounts() {
		if n != 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
}

// Guards against a load command with a stale fencing token that is executed, and
// against a load report that shows a version before the engine serves it.
func TestLoadFencing(t *testing.T) {
	s, e := start(t, engine.Config{Model: "m", LoadDuration: 20 * time.Millisecond})
	ctx := context.Background()
	if err := e.LoadModel(ctx, target.LoadCommand{Model: "m", Version: "2", FencingToken: 7}); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(5 * time.Second); ; {
		r, err := e.LoadReport(ctx)
		if err != nil || time.Now().After(deadline) {
			t.Fatalf("%+v, %v", r, err)
		}
		if r.Version == "2" && r.LoadingVersion == "" {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	var stale *target.StaleTokenError
	err := e.LoadModel(ctx, target.LoadCommand{Model: "m", Version: "1", FencingToken: 6})
	if !errors.As(err, &stale) || stale.Sent != 6 || stale.Current != 7 {
		t.Fatalf("command with a stale fencing token: %v", err)
	}
	if s.Version() != "2" {
		t.Fatalf("version %s", s.Version())
	}
}

// Guards against prefix hashes that differ between cache events, KV transfers and
// target.PrefixHashes.
func TestCacheTransfer(t *testing.T) {
	_, from := start(t, engine.Config{TokensPerSecond: 2000})
	_, to := start(t, engine.Config{})
	ctx := context.Background()
	prompt := strings.Repeat("x", 2*target.PromptBlockBytes+10)
	resp, err := from.Do(ctx, completion("a", prompt, 2, false))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := target.ReadAll(resp.Body, 1<<20); err != nil {
		t.Fatal(err)
	}
	hashes := target.PrefixHashes([]byte(prompt))
	events, err := from.CacheEvents(ctx, 0)
	if err != nil || len(events) != 2 || events[1].Prefix != hashes[1] {
		t.Fatalf("%v, %v, expected %v", events, err, hashes)
	}
	block, err := from.ExportCache(ctx, hashes[1])
	if err != nil {
		t.Fatal(err)
	}
	if err := to.ImportCache(ctx, hashes[1], block); err != nil {
		t.Fatal(err)
	}
	if events, err = to.CacheEvents(ctx, 0); err != nil || len(events) != 1 {
		t.Fatalf("%v, %v", events, err)
	}
	if _, err := to.ExportCache(ctx, hashes[0]); !errors.Is(err, target.ErrNotCached) {
		t.Fatalf("missing prefix: %v", err)
	}
}

// Guards against load reports and cache events without the delays and losses of real
// engines. A scheduler that depends on exact data would then pass its tests and fail in
// production.
func TestLateReportsAndGaps(t *testing.T) {
	ctx := context.Background()
	prompt := strings.Repeat("x", 40*target.PromptBlockBytes)
	events := func(cfg engine.Config) []target.CacheEvent {
		cfg.TokensPerSecond, cfg.PrefillTokensPerSecond = 2000, 1e6
		_, e := start(t, cfg)
		resp, err := e.Do(ctx, completion("a", prompt, 1, false))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := target.ReadAll(resp.Body, 1<<20); err != nil {
			t.Fatal(err)
		}
		r, err := e.LoadReport(ctx)
		if late := cfg.LoadReportLag > 0; err != nil || (r.CachedBlocks == 0) != late {
			t.Fatalf("report with lag %s: %+v, %v", cfg.LoadReportLag, r, err)
		}
		evs, err := e.CacheEvents(ctx, 0)
		if err != nil {
			t.Fatal(err)
		}
		return evs
	}
	if n := len(events(engine.Config{CacheEventLag: time.Hour, LoadReportLag: time.Hour})); n != 0 {
		t.Errorf("%d cache events are readable before the lag has passed", n)
	}
	evs := events(engine.Config{CacheEventLossRate: 0.5})
	if n := len(evs); n < 8 || n > 32 || evs[n-1].Sequence < int64(n)+4 {
		t.Errorf("%d of 40 events with a loss rate of 0.5: %+v", n, evs)
	}
}
