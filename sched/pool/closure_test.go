package pool

import (
	"fmt"
	"testing"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/drain"
)

const run1 = "10.0.0.1:80"

// newListedPool returns a pool of the only host with n targets whose run is run1.
func newListedPool(kind Kind, n int) *Pool {
	p := New(Config{Name: "p", Kind: kind, Limits: Limits{InitialRequests: 4}})
	p.SetTargets(listedTargets(n, run1), start)
	return p
}

func listedTargets(n int, run string) []Target {
	var ts []Target
	for i := range n {
		ts = append(ts, Target{Name: fmt.Sprint("t", i), Local: true, Incarnation: drain.Incarnation{ID: run}})
	}
	return ts
}

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func leavingNotice(run string) Notice {
	return Notice{Incarnation: drain.Incarnation{ID: run}, Leaving: true, SentAt: start}
}

func backOffNotice(d time.Duration) Notice {
	return Notice{Incarnation: drain.Incarnation{ID: run1}, SentAt: start, BackOff: d}
}

// dispatchedTo submits n requests and returns how many were dispatched to each target. The
// requests end at once.
func dispatchedTo(p *Pool, first, n int, now time.Time) map[string]int {
	counts := map[string]int{}
	for k := range n {
		r := newRequest(first+k, request.Interactive)
		r.Arrived = now
		for _, a := range p.Submit(r, now) {
			if a.Kind == Dispatch {
				counts[a.Target]++
			}
		}
		p.Done(r.ID, OK, now)
	}
	return counts
}

// Guards against a target that says in a response that it is leaving and gets new requests
// because the list does not say so yet, even while all others are ejected.
func TestLeavingTargetIsNotPickedWhileTheListIsStale(t *testing.T) {
	p := newListedPool(Engine, 3)
	closing := singleAction(t, p.RecordNotice("t0", leavingNotice(run1), after(10)), Close)
	if closing.Target != "t0" || closing.Instance != run1 || closing.Source != drain.FromResponse || closing.Closure != drain.Leaving {
		t.Errorf("action %+v", closing)
	}
	p.SetTargets(listedTargets(3, run1), after(20))
	if n := dispatchedTo(p, 0, 30, after(30))["t0"]; n != 0 {
		t.Errorf("%d requests at the leaving target", n)
	}
	for _, name := range []string{"t1", "t2"} {
		for range 40 {
			r := newRequest(1000, request.Interactive)
			for _, a := range p.Submit(r, after(40)) {
				if a.Kind == Dispatch && a.Target == "t0" {
					t.Fatalf("request at the leaving target while %s fails", name)
				}
			}
			p.Done(r.ID, Failed, after(40))
		}
	}
	if !p.Stats(after(40)).PanicMode {
		t.Error("the other targets are not ejected, so the test shows nothing")
	}
	if p.Admits("t0", true, after(50)) || !p.Admits("t0", false, after(50)) {
		t.Error("the leaving target admits new work, or nothing that continues earlier work")
	}
}

// Guards against a new run of a target that gets nothing because its predecessor was leaving,
// and against late responses of the predecessor.
func TestNewRunOfLeavingTargetStartsAfresh(t *testing.T) {
	p := newListedPool(Engine, 1)
	p.RecordNotice("t0", leavingNotice(run1), after(10))
	singleAction(t, p.SetTargets(listedTargets(1, "10.0.0.1:81"), after(20)), Reopen)
	if out := p.RecordNotice("t0", leavingNotice(run1), after(30)); len(out) != 0 {
		t.Errorf("late response of the predecessor: %+v", out)
	}
	if n := dispatchedTo(p, 0, 3, after(40))["t0"]; n != 3 {
		t.Errorf("%d of 3 requests at the new run", n)
	}
}

// Guards against a successor at the same address that gets nothing, whether the list or its own
// response tells it apart.
func TestSuccessorAtTheSameAddressStartsAfresh(t *testing.T) {
	first, later := drain.Incarnation{ID: run1, StartedUnixMs: 1000}, drain.Incarnation{ID: run1, StartedUnixMs: 2000}
	told := map[string]func(p *Pool) []Action{
		"response": func(p *Pool) []Action {
			return p.RecordNotice("t0", Notice{Incarnation: later, SentAt: after(20)}, after(30))
		},
		"list": func(p *Pool) []Action {
			return p.SetTargets([]Target{{Name: "t0", Local: true, Incarnation: later}}, after(30))
		},
	}
	for source, tell := range told {
		p := newListedPool(Service, 1)
		p.RecordNotice("t0", Notice{Incarnation: first, Leaving: true, SentAt: start, BackOff: time.Minute}, after(10))
		if out := p.SetTargets(listedTargets(1, run1), after(20)); len(out) != 0 {
			t.Errorf("%s: a list without start times: %+v", source, out)
		}
		singleAction(t, tell(p), Reopen)
		if n := dispatchedTo(p, 0, 3, after(40))["t0"]; n != 3 {
			t.Errorf("%s: %d of 3 requests at the successor", source, n)
		}
	}
}

// Guards against a target that receives requests in its back-off, because it is the only one,
// because all are ejected or because its load report is due; and against one that stays closed.
func TestBackedOffTargetGetsNothingUntilTheEnd(t *testing.T) {
	p := newListedPool(Engine, 2)
	p.RecordNotice("t0", backOffNotice(2*time.Second), start)
	closing := singleAction(t, p.RecordNotice("t1", backOffNotice(2*time.Second), start), Close)
	if closing.Closure != drain.BackedOff || closing.Until.Before(after(2000)) {
		t.Errorf("action %+v", closing)
	}
	if out := p.RecordNotice("t1", Notice{Incarnation: drain.Incarnation{ID: run1}, SentAt: after(5)}, after(10)); len(out) != 0 {
		t.Errorf("a later response without a back-off: %+v", out)
	}
	r := newRequest(1, request.Urgent)
	p.Submit(r, after(20))
	for ms := 50; ms < 2000; ms += 50 {
		for _, a := range p.Tick(after(ms)) {
			if a.Kind == Dispatch || a.Kind == Probe {
				t.Fatalf("%s of %s after %d ms", a.Kind, a.Target, ms)
			}
		}
		if p.Admits("t0", false, after(ms)) {
			t.Fatalf("target admits a request after %d ms", ms)
		}
	}
	dispatched := 0
	for ms := 2000; ms <= 3000; ms += 50 {
		for _, a := range p.Tick(after(ms)) {
			if a.Kind == Dispatch {
				dispatched++
			}
		}
	}
	if dispatched != 1 {
		t.Errorf("%d dispatches after the end, want 1", dispatched)
	}
}

// Guards against a request that is lost, counted as a failure of the target or paid from the
// retry budget because the target closed after the choice.
func TestDeclinedRequestIsPickedAgain(t *testing.T) {
	p := newListedPool(Service, 2)
	p.retryBudget.credit = 0
	r := newRequest(1, request.Interactive)
	first := singleAction(t, p.Submit(r, start), Dispatch).Target
	p.RecordNotice(first, backOffNotice(time.Second), start)
	again := singleAction(t, p.Done(r.ID, Declined, start), Dispatch)
	if again.Target == first || !again.Retry {
		t.Errorf("dispatched to %s again: %+v", first, again)
	}
	for range 20 {
		p.RecordNotice(again.Target, backOffNotice(time.Second), start)
		p.Done(r.ID, Declined, start)
	}
	if s := p.Stats(start); s.Ejected != 0 {
		t.Errorf("%d targets ejected", s.Ejected)
	}
	if s := p.Stats(start); s.Waiting[request.Interactive] != 1 {
		t.Errorf("waiting %v, want the request that no target admits", s.Waiting)
	}
}

// Guards against callers that wait for a deadline that they cannot meet, get a Retry-After
// before the first target returns, or all return at once, and against a refusal of those that
// can wait.
func TestRefusalsFitTheEarliestEnd(t *testing.T) {
	p := newListedPool(Service, 2)
	p.RecordNotice("t0", backOffNotice(8*time.Second), start)
	p.RecordNotice("t1", backOffNotice(4*time.Second), start)
	waits := map[time.Duration]bool{}
	for k := range 20 {
		r := newRequest(k, request.Interactive)
		r.Deadline = after(2000)
		ref := singleAction(t, p.Submit(r, start), Refuse).Refusal
		if ref.Reason != refusal.TargetsBackedOff || ref.RunState != refusal.NotRun || ref.RetryAfter < 4*time.Second || ref.RetryAfter > 5500*time.Millisecond {
			t.Errorf("refusal %v, Retry-After %s", ref, ref.RetryAfter)
		}
		waits[ref.RetryAfter] = true
	}
	if len(waits) < 10 {
		t.Errorf("%d different Retry-After of 20", len(waits))
	}
	if out := p.Submit(newRequest(100, request.Interactive), start); len(out) != 0 {
		t.Errorf("a request with a late deadline: %+v", out)
	}
	p.RecordNotice("t0", leavingNotice(run1), after(10))
	r := newRequest(101, request.Interactive)
	r.Deadline = after(2000)
	if ref := singleAction(t, p.Submit(r, after(10)), Refuse).Refusal; ref.Reason != refusal.TargetsBackedOff {
		t.Errorf("beside a leaving target: %v", ref)
	}
}

// Guards against waiting requests of a lower tier that start before a higher one when the first
// target returns from its back-off.
func TestTiersStartInOrderAfterBackOff(t *testing.T) {
	p := newListedPool(Service, 1)
	p.RecordNotice("t0", backOffNotice(time.Second), start)
	for k, tier := range []request.Tier{request.Patient, request.Interactive, request.Urgent, request.Patient, request.Urgent} {
		p.Submit(newRequest(k, tier), start)
	}
	last := request.Urgent
	for ms := 50; ms < 8000; ms += 50 {
		out := p.Tick(after(ms))
		for len(out) > 0 {
			a := out[0]
			out = out[1:]
			if a.Kind != Dispatch {
				continue
			}
			if a.Request.Tier < last {
				t.Errorf("%s request after %s", a.Request.Tier, last)
			}
			last = a.Request.Tier
			out = append(out, p.Done(a.Request.ID, OK, after(ms))...)
		}
	}
	if last != request.Patient {
		t.Error("not all requests were dispatched")
	}
}

// Guards against a host that learns of a leaving only from the list, although a peer knows, and
// against a peer's word about an earlier run or older than a response.
func TestPeersTellOfLeaving(t *testing.T) {
	digest := func(run string, now time.Time) Digest {
		p := New(Config{Name: "p", HostCount: 2})
		p.SetTargets(listedTargets(2, run), start)
		p.RecordNotice("t1", leavingNotice(run), after(100))
		return p.EncodeDigest(now)
	}
	p := newListedPool(Engine, 2)
	out, err := p.ApplyPeerDigest("peer", digest(run1, after(300)), after(400))
	closing := singleAction(t, out, Close)
	if err != nil || closing.Target != "t1" || closing.Source != drain.FromPeer || closing.Age != 300*time.Millisecond {
		t.Errorf("action %+v, %v", closing, err)
	}
	if n := dispatchedTo(p, 0, 20, after(500))["t1"]; n != 0 {
		t.Errorf("%d requests at the leaving target", n)
	}
	forwarded := newListedPool(Engine, 2)
	out, _ = forwarded.ApplyPeerDigest("p", p.EncodeDigest(after(500)), after(600))
	if closing := singleAction(t, out, Close); closing.Age < 500*time.Millisecond {
		t.Errorf("forwarded report appears %s old", closing.Age)
	}
	successor := New(Config{Name: "p"})
	successor.SetTargets(listedTargets(2, "10.0.0.1:81"), start)
	if out, _ := successor.ApplyPeerDigest("peer", digest(run1, after(300)), after(400)); len(out) != 0 {
		t.Errorf("report about an earlier run: %+v", out)
	}
	newer := newListedPool(Engine, 2)
	newer.RecordNotice("t1", Notice{Incarnation: drain.Incarnation{ID: run1}, SentAt: after(350)}, after(400))
	if out, _ := newer.ApplyPeerDigest("peer", digest(run1, after(300)), after(400)); len(out) != 0 {
		t.Errorf("report older than a response: %+v", out)
	}
}

// Guards against a paused request that is lost at a leaving target, where alone its stream
// exists, or that is resumed there during a back-off.
func TestPausedRequestsOfClosedTargets(t *testing.T) {
	p := newListedPool(Engine, 2)
	p.RecordNotice("t0", Notice{Incarnation: drain.Incarnation{ID: run1}, Leaving: true, SentAt: start, BackOff: time.Second}, start)
	if out := p.Resume(newRequest(1, request.Patient), 3, "t0", start); len(out) != 0 {
		t.Errorf("resumed during the back-off: %+v", out)
	}
	resumed := 0
	for ms := 50; ms < 2000; ms += 50 {
		for _, a := range p.Tick(after(ms)) {
			if a.Kind == Dispatch && a.Resume && a.Target == "t0" && ms >= 1000 {
				resumed++
			}
		}
	}
	if resumed != 1 {
		t.Errorf("%d resumptions after the back-off, want 1", resumed)
	}
}
