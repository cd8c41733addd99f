package pool

import (
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/drain"
)

var start = time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)

// newTestPool returns a pool of the only host, with targets t0, t1, ... of the given
// versions and an initial limit of 4 requests each.
func newTestPool(kind Kind, versions ...string) *Pool {
	p := New(Config{Name: "p", Kind: kind, Limits: Limits{InitialRequests: 4}})
	var ts []Target
	for i, v := range versions {
		ts = append(ts, Target{Name: fmt.Sprint("t", i), Version: v, Local: true})
	}
	p.SetTargets(ts, start)
	return p
}

func newRequest(id int, tier request.Tier) *request.Request {
	return &request.Request{ID: fmt.Sprint(id), Organisation: "a", Tier: tier, Arrived: start, Deadline: start.Add(time.Minute), PromptTokens: 100, MaxTokens: 100}
}

// singleAction returns the action of a kind and fails the test unless there is exactly one.
func singleAction(t *testing.T, as []Action, kind ActionKind) Action {
	t.Helper()
	var found []Action
	for _, a := range as {
		if a.Kind == kind {
			found = append(found, a)
		}
	}
	if len(found) != 1 {
		t.Fatalf("%d actions of kind %s in %+v", len(found), kind, as)
	}
	return found[0]
}

// Guards against a canary version that receives more than its share, urgent requests while
// its share is small, or any request once its share is 0.
func TestVersionShares(t *testing.T) {
	p := newTestPool(Engine, "7", "7", "7", "8")
	version := map[string]string{"t0": "7", "t1": "7", "t2": "7", "t3": "8"}
	p.SetVersionShares(map[string]float64{"7": 1}, start)
	run := func(n int, first int, tiers ...request.Tier) (int, int) {
		canary, urgent := 0, 0
		for k := range n {
			r := newRequest(first+k, tiers[k%len(tiers)])
			a := singleAction(t, p.Submit(r, start), Dispatch)
			if version[a.Target] == "8" {
				canary++
				if r.Tier == request.Urgent {
					urgent++
				}
			}
			p.Done(r.ID, OK, start)
		}
		return canary, urgent
	}
	if n, _ := run(100, 0, request.Interactive); n != 0 {
		t.Errorf("%d requests to a version without a share", n)
	}
	p.SetVersionShares(map[string]float64{"7": 0.95, "8": 0.05}, start)
	n, urgent := run(1000, 1000, request.Urgent, request.Interactive, request.Patient)
	if n < 45 || n > 50 || urgent > 0 {
		t.Errorf("%d of 1000 requests, %d urgent, went to the version with a share of 5%%", n, urgent)
	}
	p.SetVersionShares(map[string]float64{"7": 1, "8": 0}, start)
	if n, _ := run(100, 3000, request.Interactive); n != 0 {
		t.Errorf("%d requests to the version after its share was set to 0", n)
	}
	p.SetVersionShares(map[string]float64{"8": 1}, start)
	if n, urgent := run(100, 4000, request.Urgent); n != 100 || urgent != 100 {
		t.Errorf("%d of 100 requests went to the version that has all traffic", n)
	}
}

// Guards against a retry at the target that was not reached, against a retry of previously
// dispatched requests at another target, and against retries beyond the budget.
func TestNotSent(t *testing.T) {
	p := newTestPool(Engine, "1", "1", "1")
	a := singleAction(t, p.Submit(newRequest(1, request.Interactive), start), Dispatch)
	b := singleAction(t, p.Done("1", NotSent, start), Dispatch)
	if b.Target == a.Target || !b.Retry {
		t.Errorf("retried at %s after %s, retry %v", b.Target, a.Target, b.Retry)
	}
	ref := singleAction(t, p.Done("1", NotSent, start), Refuse).Refusal
	if ref.Reason != refusal.TargetUnreachable || ref.RunState != refusal.NotRun {
		t.Errorf("refused with %v", ref)
	}
	c := singleAction(t, p.Resume(newRequest(2, request.Patient), 50, "t2", start), Dispatch)
	if c.Target != "t2" || c.Offset != 50 || !c.Resume {
		t.Errorf("taken-over request: %+v", c)
	}
	d := singleAction(t, p.Done("2", NotSent, start), Dispatch)
	if d.Target != "t2" || !d.Resume {
		t.Errorf("previously dispatched request was sent to %s, want t2", d.Target)
	}
}

// Guards against starting lower-tier requests during a floor, and against patient requests
// that are not paused at its start or not resumed at its end.
func TestFloorPausesAndResumes(t *testing.T) {
	p := newTestPool(Engine, "1")
	a := singleAction(t, p.Submit(newRequest(1, request.Patient), start), Dispatch)
	p.RecordFirstByte("1", start)
	p.RecordProgress("1", 7, start)
	pause := singleAction(t, p.ApplyPeerFloor(request.Urgent, start.Add(time.Second), "peer", start), Pause)
	if pause.Target != a.Target || pause.Offset != 7 {
		t.Errorf("paused %+v", pause)
	}
	for _, tier := range []request.Tier{request.Interactive, request.Patient} {
		if as := p.Submit(newRequest(10+int(tier), tier), start); len(as) != 0 {
			t.Errorf("%s request under an urgent floor: %+v", tier, as)
		}
	}
	singleAction(t, p.Submit(newRequest(20, request.Urgent), start), Dispatch)
	if as := p.Done("1", Cancelled, start); len(as) != 0 {
		t.Errorf("actions after the end of a paused stream: %+v", as)
	}
	p.Done("20", OK, start)
	resumed := false
	for _, a := range p.Tick(start.Add(time.Second)) {
		resumed = resumed || (a.Kind == Dispatch && a.Resume && a.Request.ID == "1" && a.Offset == 7)
	}
	if !resumed {
		t.Error("paused request was not resumed after the floor")
	}
}

// Guards against reporting two floors with a gap between them as one.
func TestFloorSince(t *testing.T) {
	p := newTestPool(Engine, "1")
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	p.ApplyPeerFloor(request.Urgent, at(200), "peer", at(0))
	p.ApplyPeerFloor(request.Urgent, at(400), "peer", at(150))
	if s := p.Stats(at(300)); !s.FloorSince.Equal(at(0)) {
		t.Errorf("renewed floor: FloorSince %s, want %s", s.FloorSince, at(0))
	}
	p.ApplyPeerFloor(request.Urgent, at(700), "peer", at(500))
	if s := p.Stats(at(600)); !s.FloorSince.Equal(at(500)) {
		t.Errorf("floor after a gap: FloorSince %s, want %s", s.FloorSince, at(500))
	}
}

// Guards against dispatching a request that cannot end before its deadline, and against
// queueing more requests than MaxWaiting.
func TestRefusalsBeforeDispatch(t *testing.T) {
	p := New(Config{Name: "p", Limits: Limits{MaxWaiting: [request.TierCount]int{1, 1, 1}}})
	r := newRequest(1, request.Urgent)
	r.MaxTokens, r.Deadline = 100000, start.Add(time.Second)
	ref := singleAction(t, p.Submit(r, start), Refuse).Refusal
	if ref.Reason != refusal.DeadlineExceeded || ref.RunState != refusal.NotRun {
		t.Errorf("refused with %v", ref)
	}
	p.Submit(newRequest(2, request.Patient), start)
	if ref := singleAction(t, p.Submit(newRequest(3, request.Patient), start), Refuse).Refusal; ref.Reason != refusal.QueueFull {
		t.Errorf("refused with %v", ref)
	}
	p.Submit(newRequest(4, request.Interactive), start)
	as := p.Tick(start.Add(2 * time.Minute))
	if len(as) < 3 {
		t.Errorf("expired requests: %+v", as)
	}
	if singleAction(t, as, RaiseFloor).Tier != request.Interactive {
		t.Error("no floor was raised with the refusal")
	}
}

// Guards against a failing plain service that is not ejected, and against pausing a
// service request, which has no offset to resume from.
func TestServicePool(t *testing.T) {
	p := newTestPool(Service, "", "", "")
	ejected := ""
	for k := range 40 {
		r := newRequest(k, request.Patient)
		a := singleAction(t, p.Submit(r, start), Dispatch)
		if a.Target == ejected {
			t.Fatal("dispatch to an ejected target")
		}
		res := OK
		if a.Target == "t1" {
			res = Failed
		}
		for _, a := range p.Done(r.ID, res, start) {
			if a.Kind == Eject {
				ejected = a.Target
			}
		}
	}
	if ejected != "t1" {
		t.Errorf("ejected %q, want t1", ejected)
	}
	p.Submit(newRequest(100, request.Patient), start)
	if as := p.ApplyPeerFloor(request.Urgent, start.Add(time.Second), "peer", start); len(as) != 0 {
		t.Errorf("actions for a running service request: %+v", as)
	}
}

// Guards against a target that loses its limit or is ejected because one of its connections
// is dead, and against one that keeps both although all of its streams have stalled.
func TestDeadConnectionAndStalledTarget(t *testing.T) {
	for _, stalled := range []int{1, 4} {
		p := newTestPool(Engine, "1", "1")
		now := start
		for k := range 8 {
			r := newRequest(k, request.Urgent)
			singleAction(t, p.Submit(r, now), Dispatch)
			p.RecordFirstByte(r.ID, now)
		}
		t0Streams := append([]*entry(nil), p.byName["t0"].runs...)
		ejected := false
		for step := 1; step < 150; step++ {
			now = now.Add(50 * time.Millisecond)
			for id, e := range p.entries {
				if step < 10 || e.target.Name != "t0" || e.runIndex >= stalled {
					p.RecordProgress(id, step*2, now)
				}
			}
			for _, a := range p.Tick(now) {
				ejected = ejected || a.Kind == Eject
			}
		}
		if want := stalled == len(t0Streams); ejected != want {
			t.Errorf("%d of %d streams stalled: ejected %v", stalled, len(t0Streams), ejected)
		}
	}
}

// Guards against a host that mistakes a pause of its own process for slow targets, lowers
// their limits and sends alarm limits to its peers.
func TestPausedHostLowersNoLimit(t *testing.T) {
	p := newTestPool(Engine, "1", "1")
	now := start
	for k := range 8 {
		singleAction(t, p.Submit(newRequest(k, request.Urgent), now), Dispatch)
	}
	progress := func(n int) {
		for k := range 8 {
			p.RecordProgress(fmt.Sprint(k), n, now)
		}
	}
	for n := range 50 {
		now = now.Add(20 * time.Millisecond)
		progress(n + 1)
		p.Tick(now)
	}
	before := p.byName["t0"].limiter.RequestLimit()
	now = now.Add(20 * time.Second)
	progress(51)
	p.Tick(now)
	for n := range 20 {
		now = now.Add(20 * time.Millisecond)
		progress(n + 52)
		p.Tick(now)
	}
	if tt := p.byName["t0"]; tt.limiter.RequestLimit() < before || !tt.alarmAt.IsZero() {
		t.Errorf("limit %.1f after the pause, %.1f before; alarm limit set at %v", tt.limiter.RequestLimit(), before, tt.alarmAt)
	}
}

// Guards against a digest that loses values, and against a malformed digest that crashes
// the receiver.
func TestDigestRoundTripAndMalformed(t *testing.T) {
	p := New(Config{Name: "p", HostCount: 40})
	var ts []Target
	for i := range 50 {
		ts = append(ts, Target{Name: fmt.Sprint("t", i), Local: true})
	}
	p.SetTargets(ts, start)
	for k := range 30 {
		p.Submit(newRequest(k, request.Urgent), start)
	}
	p.RecordLoadReport("t7", LoadReport{Running: 5, Queued: 300, MeasuredAt: start}, start.Add(250*time.Millisecond))
	p.ApplyPeerFloor(request.Urgent, start.Add(2*time.Second), "x", start)
	p.byName["t9"].alarmLimit, p.byName["t9"].alarmAt = 2, start
	p.RecordNotice("t11", Notice{Incarnation: drain.Incarnation{StartedUnixMs: 1 << 40}, Leaving: true}, start)
	d := p.EncodeDigest(start.Add(time.Second))
	m, err := decodeDigest(d)
	own := 0
	for _, it := range m.entries {
		own += it.ownRequests
		if it.hash == shortHash(p.byName["t7"].hash) && (it.totalRequests != 305 || it.reportAge != 1100*time.Millisecond) {
			t.Errorf("report in digest: %+v", it)
		}
		if it.hash == shortHash(p.byName["t9"].hash) && (it.alarmLimit != 2 || it.alarmAge != 1100*time.Millisecond) {
			t.Errorf("alarm limit in digest: %+v", it)
		}
		if it.leaving != (it.hash == shortHash(p.byName["t11"].hash)) || it.leaving && (it.startedUnixMs != 1<<40 || it.leavingAge != 1100*time.Millisecond) {
			t.Errorf("leaving report in digest: %+v", it)
		}
	}
	if err != nil || own != p.running[0] || m.floors[0] != time.Second {
		t.Errorf("decoded %d own of %d, floors %v, %v", own, p.running[0], m.floors, err)
	}
	const seed = 3
	t.Logf("seed %d", seed)
	rnd := rand.New(rand.NewSource(seed))
	q := New(Config{Name: "p", HostCount: 2})
	q.SetTargets(ts, start)
	for range 20000 {
		bad := append(Digest(nil), d[:rnd.Intn(len(d)+1)]...)
		for range rnd.Intn(4) {
			if len(bad) > 0 {
				bad[rnd.Intn(len(bad))] = byte(rnd.Intn(256))
			}
		}
		_, _ = q.ApplyPeerDigest("peer", bad, start)
	}
}

// Guards against a dispatch without a recorded decision and alternatives, and against a
// decision buffer that grows without bound.
func TestExplain(t *testing.T) {
	p := newTestPool(Engine, "1", "1", "1")
	p.Submit(newRequest(1, request.Urgent), start)
	d := p.Explain("1")
	if len(d) != 1 || d[0].Kind != Dispatch || len(d[0].Considered) != 3 || d[0].Considered[0].Target != d[0].Target {
		t.Errorf("%+v", d)
	}
	for k := range 3 * maxDecisions {
		p.Submit(newRequest(1, request.Urgent), start)
		p.Done("1", Cancelled, start)
		_ = k
	}
	if len(p.decisions.records) != maxDecisions {
		t.Errorf("%d decisions kept", len(p.decisions.records))
	}
}

// Guards against data races and lost counts under concurrent use. Run it with -race.
func TestConcurrentUse(t *testing.T) {
	p := newTestPool(Engine, "1", "1", "1", "1")
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for k := range 300 {
				id := g*1000 + k
				r := newRequest(id, request.Tier(k%3))
				p.Submit(r, start)
				p.RecordFirstByte(r.ID, start)
				p.RecordProgress(r.ID, 5, start)
				p.Snapshot().Targets()
				_, _ = p.ApplyPeerDigest(fmt.Sprint(g), p.EncodeDigest(start), start)
				p.RecordLoadReport("t1", LoadReport{Running: k % 5, MeasuredAt: start.Add(time.Duration(k))}, start)
				p.Tick(start.Add(time.Duration(k) * time.Millisecond))
				p.Explain(r.ID)
				p.Cancel(r.ID, start)
			}
		})
	}
	wg.Wait()
	s := p.Stats(start)
	if s.Running != [request.TierCount]int{} || s.Waiting != [request.TierCount]int{} || s.Paused != 0 {
		t.Errorf("requests left in the pool: %+v", s)
	}
}
