package bench

import (
	"testing"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
)

func testJob(id string, tier request.Tier, at time.Duration, prompt ...uint64) *job {
	return &job{
		arrival: at, target: -1, deadline: at + time.Minute,
		promptTokens: len(prompt)*blockTokens + 1, answerTokens: 4,
		req: &request.Request{ID: id, Tier: tier, Prefix: prompt, MaxTokens: 4},
	}
}

// TestInversionCheck guards against a check that misses a start of a lower tier,
// or that counts a start before the floor has reached all hosts.
func TestInversionCheck(t *testing.T) {
	for _, c := range []struct {
		name  string
		zone  int
		tier  request.Tier
		start time.Duration
		want  bool
	}{
		{"while it waits", 0, request.Patient, 100 * time.Millisecond, true},
		{"before the floor has spread", 0, request.Patient, floorPropagation / 2, false},
		{"after the refusal", 0, request.Patient, 2 * time.Second, false},
		{"same tier", 0, request.Interactive, 100 * time.Millisecond, false},
		{"other zone", 1, request.Patient, 100 * time.Millisecond, false},
	} {
		starts := newStartLog(2)
		starts.record(c.zone, testJob("low", c.tier, 0), c.start)
		trace := starts.findInversion(0, testJob("high", request.Interactive, 0),
			time.Second, time.Second, refusal.Shed)
		if (trace != "") != c.want {
			t.Errorf("start of a lower tier, case %q: trace %q, want a trace: %t", c.name, trace, c.want)
		}
	}
}

// TestFairnessDetectsDifference guards against a comparison that does not detect a
// difference, or that includes times when only one organisation has waiting
// requests.
func TestFairnessDetectsDifference(t *testing.T) {
	f := newFairness(fjellvarsel)
	var jobs [2][]*job
	for range 400 {
		for org := range 2 {
			j := testJob("", request.Interactive, 0)
			j.org, j.req.PromptTokens = org, 1000
			f.requestQueued(j)
			jobs[org] = append(jobs[org], j)
		}
	}
	for i := range 200 {
		f.requestLeftQueue(jobs[0][i], true)
		if i%2 == 0 {
			f.requestLeftQueue(jobs[1][i/2], true)
		}
	}
	if got := f.figures(); got.Intervals != 1 || got.MaxDifference < 0.49 || got.MaxDifference > 0.51 {
		t.Errorf("two organisations at 2 to 1: %+v, want a difference of 0.5 in one interval", got)
	}
}

// recorder is a scheduler that records how requests ended and decides nothing.
type recorder struct{ ended map[string]string }

func (r *recorder) submit(*job)     {}
func (r *recorder) firstToken(*job) {}
func (r *recorder) progress(*job)   {}
func (r *recorder) finished(j *job) { r.ended[j.req.ID] = "finished" }
func (r *recorder) lost(j *job)     { r.ended[j.req.ID] = "lost" }
func (r *recorder) notSent(j *job)  { r.ended[j.req.ID] = "not sent" }
func (r *recorder) cancel(*job)     {}

func testWorld() (*world, *recorder) {
	s := &scenario{deployment: fjellvarsel, duration: time.Minute}
	r := &recorder{ended: map[string]string{}}
	w := &world{deployment: s.deployment, sched: r}
	w.meter = newMeter(w, s)
	w.buildTargets(false)
	w.clk.now = warmUp
	return w, r
}

// TestWastedPrefill guards against wasted prompt tokens that are counted under the
// wrong cause or not at all.
func TestWastedPrefill(t *testing.T) {
	w, r := testWorld()
	send := func(id string, target int, wait time.Duration) *job {
		j := testJob(id, request.Patient, w.clk.now, 1, 2)
		w.dispatch(j, target, false)
		w.clk.runUntil(w.clk.now + wait)
		return j
	}
	send("first", 0, time.Second)
	send("same engine", 0, time.Second)
	if got := w.meter.res.Waste; got != [wasteCauseCount]int{} {
		t.Errorf("wasted tokens by cause before any waste: %v, want none", got)
	}
	send("other engine", 1, time.Second)
	if got := w.meter.res.Waste[wasteCachedElsewhere]; got != 2*blockTokens {
		t.Errorf("wasted while cached elsewhere: %d tokens, want %d", got, 2*blockTokens)
	}
	paused := send("paused", 2, 30*time.Millisecond)
	w.pause(paused)
	w.dispatch(paused, 2, true)
	w.clk.runUntil(w.clk.now + time.Second)
	if got := w.meter.res.Waste[wasteCancelled]; got <= 0 || paused.dispatches != 1 || r.ended["paused"] != "finished" {
		t.Errorf("paused: %d tokens, %d dispatches, %s", got, paused.dispatches, r.ended["paused"])
	}
	crashed := send("crashed", 3, 30*time.Millisecond)
	w.engines[3].crash()
	send("refused", 3, time.Second)
	if got := w.meter.res.Waste[wasteLost]; got <= 0 || r.ended["crashed"] != "lost" || r.ended["refused"] != "not sent" {
		t.Errorf("crash at %v: %d tokens lost, %v", crashed.arrival, got, r.ended)
	}
}

// TestCacheEviction guards against a cache that exceeds its capacity or evicts the
// wrong block, and against wrong holder counts.
func TestCacheEviction(t *testing.T) {
	shared := holderCounts{}
	c := newPrefixCache(3, shared)
	c.insert([]uint64{1, 2, 3})
	c.insert([]uint64{1, 9})
	if c.match([]uint64{1, 2, 3}) != 2 || c.match([]uint64{1, 9}) != 2 || shared[3] != 0 || shared[9] != 1 {
		t.Errorf("the end of the older prompt should be evicted first: holders %v", shared)
	}
	if n := (holderCounts{1: 1, 2: 1}).cachedElsewhere([]uint64{1, 2, 3}, 1); n != 1 {
		t.Errorf("%d further blocks cached elsewhere, want 1", n)
	}
}
