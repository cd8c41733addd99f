package host

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"sardinefront.dev/host/settings"
	"sardinefront.dev/sched/drain"
	"sardinefront.dev/standin/engine"
	"sardinefront.dev/standin/service"
)

// newPairFixture returns a fixture with a second service, desk-2.
func newPairFixture(t *testing.T) (*fixture, *service.Server) {
	t.Helper()
	second := service.New(service.Config{Name: "desk-2"})
	if err := second.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(second.Close)
	f := newFixture(t, engine.Config{}, func(s *settings.Settings) {
		s.Targets = append(s.Targets, settings.Target{Name: "desk-2", Address: second.Addr(), Pool: "desk", Version: "1"})
	})
	return f, second
}

// sendMany sends n requests at the same time and returns the number of each status.
func (f *fixture) sendMany(t *testing.T, method, path, id string, n int) map[int]int {
	t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	counts := map[int]int{}
	for i := range n {
		wg.Go(func() {
			resp, _, err := f.send(t, context.Background(), method, path, fmt.Sprintf("%s-%d", id, i), "")
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				counts[resp.StatusCode]++
			}
		})
	}
	wg.Wait()
	return counts
}

func total(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

// Guards against requests at a target after one of its responses has stated that it is leaving.
func TestLeavingTargetGetsNoRequestAfterItsResponse(t *testing.T) {
	f, second := newPairFixture(t)
	f.service.SetLeaving(true)
	for i := 0; total(f.service.RunCounts()) == 0; i++ {
		f.sendMany(t, http.MethodGet, "/desk/x", fmt.Sprint("first-", i), 1)
	}
	before := total(f.service.RunCounts())
	if counts := f.sendMany(t, http.MethodGet, "/desk/x", "later", 40); counts[http.StatusOK] != 40 {
		t.Errorf("statuses %v, want 40 times 200", counts)
	}
	if n := total(f.service.RunCounts()); n != before || total(second.RunCounts()) < 40 {
		t.Errorf("%d requests at the leaving target after its statement", n-before)
	}
	closed := f.closedTargets("desk")
	if len(closed) != 1 || closed[0].Target != "desk-1" || closed[0].Reason != drain.Leaving.String() || closed[0].Source != drain.FromResponse.String() {
		t.Errorf("closed targets in the status: %+v", closed)
	}
}

func (f *fixture) closedTargets(pool string) []ClosedTargetStatus {
	for _, p := range f.host.Status().Pools {
		if p.Name == pool {
			return p.Closed
		}
	}
	return nil
}

// Guards against requests at a target in its back-off, in any form of Retry-After, and against
// requests that are refused although another target serves them.
func TestPushedBackRequestsRunElsewhere(t *testing.T) {
	for _, push := range []engine.PushBack{{DurationMS: 3000}, {DurationMS: 3000, AsDate: true}} {
		f, _ := newPairFixture(t)
		f.service.SetPushBack(push)
		if counts := f.sendMany(t, http.MethodPost, "/desk/orders", "first", 20); counts[http.StatusOK] != 20 {
			t.Errorf("%+v: statuses %v, want 20 times 200", push, counts)
		}
		first, _ := f.service.Rejected()
		if first == 0 {
			t.Fatal("no request reached the target, so the test shows nothing")
		}
		if counts := f.sendMany(t, http.MethodPost, "/desk/orders", "later", 20); counts[http.StatusOK] != 20 {
			t.Errorf("%+v: statuses %v, want 20 times 200", push, counts)
		}
		if n, _ := f.service.Rejected(); n != first {
			t.Errorf("%+v: %d requests at the target in its back-off", push, n-first)
		}
	}
}

// Guards against a non-idempotent request that is repeated on a 503 that does not state that it
// did not run.
func TestUnstated503IsNotRepeated(t *testing.T) {
	f, second := newPairFixture(t)
	push := engine.PushBack{DurationMS: 60_000, Unstated: true}
	f.service.SetPushBack(push)
	second.SetPushBack(push)
	resp, _, err := f.send(t, context.Background(), http.MethodPost, "/desk/orders", "order", "")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(headerRan) == "not-run" {
		t.Errorf("%v, %v", resp, err)
	}
	a, _ := f.service.Rejected()
	b, _ := second.Rejected()
	if a+b != 1 {
		t.Errorf("the request reached targets %d times, want 1", a+b)
	}
}

// Guards against callers that get no refusal, or a Retry-After before the first target returns,
// when all targets of a pool are in a back-off.
func TestRefusalWhenAllTargetsBackOff(t *testing.T) {
	f, second := newPairFixture(t)
	f.service.SetPushBack(engine.PushBack{DurationMS: 40_000})
	second.SetPushBack(engine.PushBack{DurationMS: 60_000})
	resp, _, err := f.send(t, context.Background(), http.MethodGet, "/desk/x", "a", "")
	for i := 0; err == nil && resp.StatusCode == http.StatusGatewayTimeout && i < 2; i++ {
		resp, _, err = f.send(t, context.Background(), http.MethodGet, "/desk/x", fmt.Sprint("b", i), "")
	}
	if err != nil {
		t.Fatal(err)
	}
	wait, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(headerRan) != "not-run" || wait < 20 || wait > 42 {
		t.Errorf("status %d, ran %q, Retry-After %d", resp.StatusCode, resp.Header.Get(headerRan), wait)
	}
}

// Guards against a value of Retry-After that nobody can mean and that closes or ejects a target.
func TestRejectedRetryAfterChangesNothingElse(t *testing.T) {
	for _, value := range []string{"-5", "soon", "999999999"} {
		f := newFixture(t, engine.Config{}, nil)
		f.service.SetPushBack(engine.PushBack{DurationMS: 200, RetryAfter: value, Unstated: true})
		resp, _, err := f.send(t, context.Background(), http.MethodGet, "/desk/x", "a", "")
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("%s: %v, %v", value, resp, err)
		}
		if closed := f.closedTargets("desk"); len(closed) != 0 {
			t.Errorf("%s: closed targets %+v", value, closed)
		}
	}
}

// Guards against a stream that is cut off at a target that begins to leave or asks for a
// back-off while it runs.
func TestRunningStreamFinishesAtClosedTarget(t *testing.T) {
	f := newFixture(t, engine.Config{TokensPerSecond: 100}, nil)
	done := make(chan error, 1)
	go func() {
		resp, text, err := f.send(t, context.Background(), http.MethodPost, "/llm/v1/completions", "long", `{"prompt":"p","max_tokens":60,"stream":true}`)
		if err == nil && (resp.StatusCode != http.StatusOK || len(text) == 0) {
			err = fmt.Errorf("status %d, %q", resp.StatusCode, text)
		}
		done <- err
	}()
	eventually(t, "the stream runs", func() bool { return total(f.engine.RunCounts()) == 1 })
	f.engine.SetLeaving(true)
	f.engine.SetPushBack(engine.PushBack{DurationMS: 5000})
	eventually(t, "the target is closed", func() bool { return len(f.closedTargets("llm")) == 1 })
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Guards against load reports that are requested from a target in its back-off.
func TestNoProbeDuringBackOff(t *testing.T) {
	f := newFixture(t, engine.Config{}, nil)
	f.engine.SetPushBack(engine.PushBack{DurationMS: 2500})
	eventually(t, "the target is closed", func() bool { return len(f.closedTargets("llm")) == 1 })
	time.Sleep(1500 * time.Millisecond)
	if all, late := f.engine.Rejected(); late > 0 {
		t.Errorf("%d of %d requests more than half a second after the first rejection", late, all)
	}
}
