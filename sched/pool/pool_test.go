package pool

import (
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
)

var start = time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)

func small(kind Kind, versions ...string) *Pool {
	p := New(Config{Name: "p", Kind: kind, Limits: Limits{InitialRequests: 4}})
	var ts []Target
	for i, v := range versions {
		ts = append(ts, Target{Name: fmt.Sprint("t", i), Version: v, Local: true})
	}
	p.SetTargets(ts, start)
	return p
}

func req(id int, tier request.Tier) *request.Request {
	return &request.Request{ID: fmt.Sprint(id), Organisation: "a", Tier: tier, Arrived: start, Deadline: start.Add(time.Minute), PromptTokens: 100, MaxTokens: 100}
}

// only returns the single action of a kind.
func only(t *testing.T, as []Action, kind ActionKind) Action {
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

// Guards against a bad version that receives more than its share, against
// urgent requests on it, and against any traffic once its share is 0.
func TestVersionShares(t *testing.T) {
	p := small(Engine, "7", "7", "7", "8")
	version := map[string]string{"t0": "7", "t1": "7", "t2": "7", "t3": "8"}
	p.SetVersionShares(map[string]float64{"7": 1}, start)
	run := func(n int, first int, tiers ...request.Tier) (int, int) {
		unproven, urgent := 0, 0
		for k := range n {
			r := req(first+k, tiers[k%len(tiers)])
			a := only(t, p.Submit(r, start), Dispatch)
			if version[a.Target] == "8" {
				unproven++
				if r.Tier == request.Urgent {
					urgent++
				}
			}
			p.Done(r.ID, OK, start)
		}
		return unproven, urgent
	}
	if n, _ := run(100, 0, request.Interactive); n != 0 {
		t.Errorf("%d requests to a version without a share", n)
	}
	p.SetVersionShares(map[string]float64{"7": 0.95, "8": 0.05}, start)
	n, urgent := run(1000, 1000, request.Urgent, request.Interactive, request.Patient)
	if n < 45 || n > 50 || urgent > 0 {
		t.Errorf("%d of 1000 requests, %d urgent, at a share of 5%%", n, urgent)
	}
	p.SetVersionShares(map[string]float64{"7": 1, "8": 0}, start)
	if n, _ := run(100, 3000, request.Interactive); n != 0 {
		t.Errorf("%d requests after the version was halted", n)
	}
	p.SetVersionShares(map[string]float64{"8": 1}, start)
	if n, urgent := run(100, 4000, request.Urgent); n != 100 || urgent != 100 {
		t.Errorf("%d of 100 on the version that has all traffic", n)
	}
}

// Guards against a retry at the target that was not reached, a retry of work
// that was dispatched before, and retries beyond the budget.
func TestNotSent(t *testing.T) {
	p := small(Engine, "1", "1", "1")
	a := only(t, p.Submit(req(1, request.Interactive), start), Dispatch)
	b := only(t, p.Done("1", NotSent, start), Dispatch)
	if b.Target == a.Target || !b.Retry {
		t.Errorf("retried at %s after %s, retry %v", b.Target, a.Target, b.Retry)
	}
	f := only(t, p.Done("1", NotSent, start), Refuse).Refusal
	if f.Reason != refusal.TargetUnreachable || f.Ran != refusal.NotRun {
		t.Errorf("refused with %v", f)
	}
	c := only(t, p.Resume(req(2, request.Patient), 50, "t2", start), Dispatch)
	if c.Target != "t2" || c.Offset != 50 || !c.Resume {
		t.Errorf("taken-over work: %+v", c)
	}
	d := only(t, p.Done("2", NotSent, start), Dispatch)
	if d.Target != "t2" || !d.Resume {
		t.Errorf("work that was dispatched before went to %s", d.Target)
	}
}

// Guards against starting or pausing work wrongly around one floor.
func TestFloorPausesAndResumes(t *testing.T) {
	p := small(Engine, "1")
	a := only(t, p.Submit(req(1, request.Patient), start), Dispatch)
	p.RecordFirstByte("1", start)
	p.RecordProgress("1", 7, start)
	pause := only(t, p.ApplyPeerFloor(request.Urgent, start.Add(time.Second), "peer", start), Pause)
	if pause.Target != a.Target || pause.Offset != 7 {
		t.Errorf("paused %+v", pause)
	}
	for _, tier := range []request.Tier{request.Interactive, request.Patient} {
		if as := p.Submit(req(10+int(tier), tier), start); len(as) != 0 {
			t.Errorf("%s request under an urgent floor: %+v", tier, as)
		}
	}
	only(t, p.Submit(req(20, request.Urgent), start), Dispatch)
	if as := p.Done("1", Cancelled, start); len(as) != 0 {
		t.Errorf("late end of a paused stream: %+v", as)
	}
	p.Done("20", OK, start)
	resumed := false
	for _, a := range p.Tick(start.Add(time.Second)) {
		resumed = resumed || (a.Kind == Dispatch && a.Resume && a.Request.ID == "1" && a.Offset == 7)
	}
	if !resumed {
		t.Error("paused work was not resumed after the floor")
	}
}

// Guards against two floors with a gap between them that look like one.
func TestFloorSince(t *testing.T) {
	p := small(Engine, "1")
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	p.ApplyPeerFloor(request.Urgent, at(200), "peer", at(0))
	p.ApplyPeerFloor(request.Urgent, at(400), "peer", at(150))
	if s := p.Stats(at(300)); !s.FloorSince.Equal(at(0)) {
		t.Errorf("a renewed floor began %s, want %s", s.FloorSince, at(0))
	}
	p.ApplyPeerFloor(request.Urgent, at(700), "peer", at(500))
	if s := p.Stats(at(600)); !s.FloorSince.Equal(at(500)) {
		t.Errorf("a floor after a gap began %s, want %s", s.FloorSince, at(500))
	}
}

// Guards against prefill for a request that cannot end in time, and against
// taking in more than the bound.
func TestRefusalsBeforeDispatch(t *testing.T) {
	p := New(Config{Name: "p", Limits: Limits{MaxWaiting: [request.TierCount]int{1, 1, 1}}})
	r := req(1, request.Urgent)
	r.MaxTokens, r.Deadline = 100000, start.Add(time.Second)
	f := only(t, p.Submit(r, start), Refuse).Refusal
	if f.Reason != refusal.DeadlinePassed || f.Ran != refusal.NotRun {
		t.Errorf("refused with %v", f)
	}
	p.Submit(req(2, request.Patient), start)
	if f := only(t, p.Submit(req(3, request.Patient), start), Refuse).Refusal; f.Reason != refusal.QueueFull {
		t.Errorf("refused with %v", f)
	}
	p.Submit(req(4, request.Interactive), start)
	as := p.Tick(start.Add(2 * time.Minute))
	if len(as) < 3 {
		t.Errorf("expired requests: %+v", as)
	}
	if only(t, as, RaiseFloor).Tier != request.Interactive {
		t.Error("no floor was raised with the refusal")
	}
}

// Guards against a failing plain service that stays in use, and against
// pausing a call that has no offset to resume from.
func TestServicePool(t *testing.T) {
	p := small(Service, "", "", "")
	ejected := ""
	for k := range 40 {
		r := req(k, request.Patient)
		a := only(t, p.Submit(r, start), Dispatch)
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
		t.Errorf("ejected %q", ejected)
	}
	p.Submit(req(100, request.Patient), start)
	if as := p.ApplyPeerFloor(request.Urgent, start.Add(time.Second), "peer", start); len(as) != 0 {
		t.Errorf("actions for a running call of a service: %+v", as)
	}
}

// Guards against a target that loses its limit or is ejected because one of its
// connections has gone silent, and against one that keeps both although all of
// its streams have stopped.
func TestSilentConnectionAndSilentTarget(t *testing.T) {
	for _, silent := range []int{1, 4} {
		p := small(Engine, "1", "1")
		now := start
		for k := range 8 {
			r := req(k, request.Urgent)
			only(t, p.Submit(r, now), Dispatch)
			p.RecordFirstByte(r.ID, now)
		}
		sick := append([]*entry(nil), p.byName["t0"].runs...)
		ejected := false
		for step := 1; step < 150; step++ {
			now = now.Add(50 * time.Millisecond)
			for id, e := range p.entries {
				if step < 10 || e.target.Name != "t0" || e.run >= silent {
					p.RecordProgress(id, step*2, now)
				}
			}
			for _, a := range p.Tick(now) {
				ejected = ejected || a.Kind == Eject
			}
		}
		if want := silent == len(sick); ejected != want {
			t.Errorf("%d of %d streams silent: ejected %v", silent, len(sick), ejected)
		}
	}
}

// Guards against a host that was paused and takes its own pause for slowness of
// all targets, and tells its peers so.
func TestPausedHostBlamesNoTarget(t *testing.T) {
	p := small(Engine, "1", "1")
	now := start
	for k := range 8 {
		only(t, p.Submit(req(k, request.Urgent), now), Dispatch)
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
		t.Errorf("limit %.1f after the pause, %.1f before; alarm %v", tt.limiter.RequestLimit(), before, tt.alarmAt)
	}
}

// Guards against a digest that loses numbers, or that a peer cannot refuse.
func TestDigestRoundTripAndMalformed(t *testing.T) {
	p := New(Config{Name: "p", HostCount: 40})
	var ts []Target
	for i := range 50 {
		ts = append(ts, Target{Name: fmt.Sprint("t", i), Local: true})
	}
	p.SetTargets(ts, start)
	for k := range 30 {
		p.Submit(req(k, request.Urgent), start)
	}
	p.RecordLoadReport("t7", LoadReport{Running: 5, Queued: 300, MeasuredAt: start}, start.Add(250*time.Millisecond))
	p.ApplyPeerFloor(request.Urgent, start.Add(2*time.Second), "x", start)
	p.byName["t9"].alarm, p.byName["t9"].alarmAt = 2, start
	d := p.EncodeDigest(start.Add(time.Second))
	m, err := decode(d)
	own := 0
	for _, it := range m.items {
		own += it.own
		if it.hash == shortHash(p.byName["t7"].hash) && (it.total != 305 || it.age != 1100*time.Millisecond) {
			t.Errorf("report in digest: %+v", it)
		}
		if it.hash == shortHash(p.byName["t9"].hash) && (it.alarm != 2 || it.alarmAge != 1100*time.Millisecond) {
			t.Errorf("alarm in digest: %+v", it)
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
		_ = q.ApplyPeerDigest("peer", bad, start)
	}
}

// Guards against a decision that an operator cannot reconstruct.
func TestExplain(t *testing.T) {
	p := small(Engine, "1", "1", "1")
	p.Submit(req(1, request.Urgent), start)
	d := p.Explain("1")
	if len(d) != 1 || d[0].Kind != Dispatch || len(d[0].Considered) != 3 || d[0].Considered[0].Target != d[0].Target {
		t.Errorf("%+v", d)
	}
	for k := range 3 * ringSize {
		p.Submit(req(1, request.Urgent), start)
		p.Done("1", Cancelled, start)
		_ = k
	}
	if len(p.ring.records) != ringSize {
		t.Errorf("%d decisions kept", len(p.ring.records))
	}
}

// Guards against data races and against lost counts under concurrent use; its
// value lies in the race detector.
func TestConcurrentUse(t *testing.T) {
	p := small(Engine, "1", "1", "1", "1")
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for k := range 300 {
				id := g*1000 + k
				r := req(id, request.Tier(k%3))
				p.Submit(r, start)
				p.RecordFirstByte(r.ID, start)
				p.RecordProgress(r.ID, 5, start)
				p.Snapshot().Targets()
				_ = p.ApplyPeerDigest(fmt.Sprint(g), p.EncodeDigest(start), start)
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
		t.Errorf("left over: %+v", s)
	}
}
