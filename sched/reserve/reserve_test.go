package reserve_test

import (
	"fmt"
	"testing"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/reserve"
)

var start = time.Unix(1000, 0)

const ms = time.Millisecond

// waiter returns a request of a tier that arrived at the given time, is fresh for 500 ms, and
// whose caller waits 4 s for the first byte.
func waiter(id string, tier request.Tier, org string, at time.Time) *reserve.Waiter {
	return &reserve.Waiter{
		Request:          &request.Request{ID: id, Tier: tier, Organisation: org, Arrived: at, Deadline: at.Add(10 * time.Second)},
		FirstByteTimeout: 4 * time.Second, FreshUntil: at.Add(500 * ms),
	}
}

func engines(n, slots int) []reserve.Target {
	var out []reserve.Target
	for i := range n {
		out = append(out, reserve.Target{Name: fmt.Sprintf("e%d", i), Local: true, Slots: slots})
	}
	return out
}

func submit(t *testing.T, p *reserve.Pool, w *reserve.Waiter, now time.Time) {
	t.Helper()
	if ref := p.Submit(w, now); ref != nil {
		t.Fatalf("%s: %v", w.Request.ID, ref)
	}
}

// dispatchedIDs returns the ids of the requests that are dispatched now.
func dispatchedIDs(p *reserve.Pool, now time.Time) (out []string) {
	grants, _ := p.Dispatch(now)
	for _, g := range grants {
		out = append(out, g.Waiter.Request.ID)
	}
	return out
}

func grantsOnly(grants []reserve.Grant, _ []reserve.Expired) []reserve.Grant { return grants }

func expectIDs(t *testing.T, got []string, want ...string) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// Guards against refusing requests while targets are free: the time that a retried request spent
// at an unresponsive target must not count as queueing time.
func TestTimeAtFailedTargetIsNotQueueingTime(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetTargets(engines(2, 4))
	retried := waiter("retried", request.Urgent, "o", start)
	submit(t, p, retried, start)
	g := grantsOnly(p.Dispatch(start))
	now := start.Add(2 * time.Second)
	p.EndGrant(g[0].Target, reserve.TimedOut, reserve.Sample{}, now)
	retried.Exclude("e0")
	retried.Exclude("e1")
	retried.ExtendWait(now, now)
	p.Resubmit(retried)
	submit(t, p, waiter("new", request.Urgent, "o", now), now)
}

// Guards against head-of-line blocking: a request that has failed at the only free target must
// not keep the requests behind it from using that target.
func TestExcludedRequestDoesNotBlockOthers(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetTargets(engines(2, 1))
	submit(t, p, waiter("a", request.Urgent, "o", start), start)
	submit(t, p, waiter("b", request.Urgent, "o", start), start)
	grants := grantsOnly(p.Dispatch(start))
	if len(grants) != 2 {
		t.Fatalf("%d grants, want 2", len(grants))
	}
	failed := grants[0]
	now := start.Add(100 * ms)
	p.EndGrant(failed.Target, reserve.ErrorResponse, reserve.Sample{}, now)
	failed.Waiter.Exclude(failed.Target)
	failed.Waiter.ExtendWait(now, now)
	p.Resubmit(failed.Waiter)
	submit(t, p, waiter("c", request.Urgent, "o", now), now)
	expectIDs(t, dispatchedIDs(p, now), "c")
	p.EndGrant(grants[1].Target, reserve.OK, reserve.Sample{}, now)
	expectIDs(t, dispatchedIDs(p, now), failed.Waiter.Request.ID)
}

// Guards against urgent requests on unmeasured engines, which may be slow: requests that can wait
// measure them, and urgent ones use engines known to be fast.
func TestUnmeasuredEnginesAreTriedByPatientRequests(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetTargets(engines(6, 8))
	for i := range 4 {
		p.RecordSpeed(fmt.Sprintf("e%d", i), 15*ms, start)
	}
	for i := range 8 {
		id := fmt.Sprintf("urgent-%d", i)
		submit(t, p, waiter(id, request.Urgent, "o", start), start)
		for _, g := range grantsOnly(p.Dispatch(start)) {
			if g.Target == "e4" || g.Target == "e5" {
				t.Errorf("%s went to %s, which is unmeasured", id, g.Target)
			}
		}
	}
	submit(t, p, waiter("patient", request.Patient, "o", start), start)
	if g := grantsOnly(p.Dispatch(start)); len(g) != 1 || g[0].Target != "e4" && g[0].Target != "e5" {
		t.Errorf("the patient request got %v, want an unmeasured engine", g)
	}
}

// Guards against a burst in which late urgent requests make fresh interactive ones late, or
// patient requests precede either.
func TestLanesUnderABurst(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetTargets(engines(1, 1))
	submit(t, p, waiter("running", request.Urgent, "o", start), start)
	expectIDs(t, dispatchedIDs(p, start), "running")
	now := start.Add(600 * ms)
	submit(t, p, waiter("patient", request.Patient, "o", now), now)
	submit(t, p, waiter("late-urgent", request.Urgent, "o", start), now)
	submit(t, p, waiter("interactive", request.Interactive, "o", now), now)
	submit(t, p, waiter("urgent", request.Urgent, "o", now), now)
	for _, want := range []string{"urgent", "interactive", "late-urgent", "patient"} {
		p.EndGrant("e0", reserve.OK, reserve.Sample{}, now)
		expectIDs(t, dispatchedIDs(p, now), want)
	}
}

// Guards against dispatching fresh requests to a slow engine, where they would miss their goal.
// Requests that are late already or can wait may use it.
func TestFreshRequestsWaitForFastEngines(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetTargets(engines(4, 1))
	for i := range 4 {
		gap := 10 * ms
		if i == 3 {
			gap = 45 * ms
		}
		p.RecordSpeed(fmt.Sprintf("e%d", i), gap, start)
	}
	for i := range 4 {
		submit(t, p, waiter(fmt.Sprintf("urgent-%d", i), request.Urgent, "o", start), start)
	}
	if got := dispatchedIDs(p, start); len(got) != 3 {
		t.Fatalf("%v dispatched, but only three engines are fast", got)
	}
	submit(t, p, waiter("patient", request.Patient, "o", start), start)
	expectIDs(t, dispatchedIDs(p, start), "patient")
	p.EndGrant("e3", reserve.OK, reserve.Sample{}, start)
	expectIDs(t, dispatchedIDs(p, start.Add(501*ms)), "urgent-3")
}

// Guards against an overload of urgent requests with long prompts in which every short request
// is late: the fast engines are taken, and slow ones were kept from fresh requests although they
// read a short prompt in time.
func TestShortRequestsAreInTimeAtSlowEngines(t *testing.T) {
	const goal = 500 * ms
	withPrompt := func(id string, tier request.Tier, prefill time.Duration) *reserve.Waiter {
		w := waiter(id, tier, "o", start)
		w.LatencyGoal, w.PrefillTime = goal, prefill
		return w
	}
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetTargets(engines(4, 1))
	for i := range 4 {
		gap := 10 * ms
		if i == 3 {
			gap = 40 * ms // reads prompts four times slower
		}
		p.RecordSpeed(fmt.Sprintf("e%d", i), gap, start)
	}
	for i := range 4 {
		submit(t, p, withPrompt(fmt.Sprintf("long-%d", i), request.Urgent, 150*ms), start)
	}
	submit(t, p, withPrompt("short", request.Interactive, 15*ms), start)
	expectIDs(t, dispatchedIDs(p, start), "long-0", "long-1", "long-2", "short")
	p.EndGrant("e3", reserve.OK, reserve.Sample{}, start)
	submit(t, p, withPrompt("too-long", request.Interactive, 40*ms), start)
	expectIDs(t, dispatchedIDs(p, start))
}

// Guards against a backlog after a burst that makes all further requests late: late interactive
// requests must not precede patient ones that can still be in time. Urgent requests come first,
// late or not.
func TestFreshRequestsPrecedeTheBacklogOfLateOnes(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	now := start.Add(600 * ms) // after FreshUntil of the early requests
	submit(t, p, waiter("late-patient", request.Patient, "o", start), start)
	submit(t, p, waiter("late-interactive", request.Interactive, "o", start), start)
	submit(t, p, waiter("late-urgent", request.Urgent, "o", start), start)
	submit(t, p, waiter("patient", request.Patient, "o", now), now)
	submit(t, p, waiter("interactive", request.Interactive, "o", now), now)
	submit(t, p, waiter("urgent", request.Urgent, "o", now), now)
	p.SetTargets(engines(6, 1))
	expectIDs(t, dispatchedIDs(p, now), "urgent", "interactive", "late-urgent", "patient", "late-interactive", "late-patient")
}

// Guards against patient requests that take the slots for which urgent requests wait on another
// host.
func TestFloorOfAnotherHost(t *testing.T) {
	a, b := reserve.New(reserve.Config{Reservations: true}), reserve.New(reserve.Config{Reservations: true})
	a.SetTargets(engines(6, 1))
	b.SetTargets(engines(1, 1))
	urgent := waiter("urgent", request.Urgent, "o", start)
	submit(t, a, urgent, start)
	if a.StarvedLane(start) != reserve.LaneCount {
		t.Error("a request that has just arrived counts as starved")
	}
	now := start.Add(30 * ms)
	for range 6 {
		if a.StarvedLane(now) != reserve.LaneCount {
			t.Error("a few refusals count as overload")
		}
		for _, g := range grantsOnly(a.Dispatch(now)) {
			a.RecordFull(g.Target, now)
			a.Resubmit(g.Waiter)
		}
	}
	b.SetFloor("a", a.StarvedLane(now), now.Add(300*ms))
	submit(t, b, waiter("patient", request.Patient, "o", now), now)
	expectIDs(t, dispatchedIDs(b, now))
	submit(t, b, waiter("urgent-b", request.Urgent, "o", now), now)
	expectIDs(t, dispatchedIDs(b, now), "urgent-b")
	b.EndGrant("e0", reserve.OK, reserve.Sample{}, now)
	expectIDs(t, dispatchedIDs(b, now.Add(301*ms)), "patient")
}

// Guards against polling a full engine on each event, and against not trying a full engine when
// a request of this host ends there.
func TestRefusedReservation(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetTargets(engines(1, 2))
	w := waiter("a", request.Urgent, "o", start)
	submit(t, p, waiter("first", request.Urgent, "o", start), start)
	submit(t, p, w, start)
	expectIDs(t, dispatchedIDs(p, start), "first", "a")
	p.RecordFull("e0", start)
	p.Resubmit(w)
	expectIDs(t, dispatchedIDs(p, start.Add(ms)))
	if wake := p.NextWake(start); wake.Sub(start) < 10*ms || wake.Sub(start) > 50*ms {
		t.Errorf("the next attempt is after %s, want 10 to 50 ms", wake.Sub(start))
	}
	p.EndGrant("e0", reserve.OK, reserve.Sample{}, start.Add(2*ms))
	expectIDs(t, dispatchedIDs(p, start.Add(2*ms)), "a")
}

// Guards against queueing requests until their callers give up: a request whose caller would
// give up first is refused on arrival, but only if its own organisation's requests wait.
func TestRequestsThatWouldWaitTooLongAreRefusedAtOnce(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetTargets(nil)
	submit(t, p, waiter("old", request.Patient, "hot", start), start)
	now := start.Add(1700 * ms)
	if ref := p.Submit(waiter("new", request.Patient, "hot", now), now); ref == nil {
		t.Error("a request behind one that has waited for 1.7 s is queued")
	}
	submit(t, p, waiter("other", request.Patient, "cold", now), now)
	submit(t, p, waiter("urgent", request.Urgent, "hot", now), now)
	if _, expired := p.Dispatch(start.Add(2700 * ms)); len(expired) != 1 || expired[0].Waiter.Request.ID != "old" {
		t.Errorf("expired: %v", expired)
	}
}

// Guards against an engine that fails some of its requests and keeps getting its share.
func TestFailingEngineGetsNoRequests(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetTargets(engines(3, 4))
	for i := range 3 {
		p.RecordSpeed(fmt.Sprintf("e%d", i), 10*ms, start)
	}
	p.EndGrant("e1", reserve.BrokenResponse, reserve.Sample{}, start)
	for i := range 8 {
		submit(t, p, waiter(fmt.Sprint(i), request.Urgent, "o", start), start)
	}
	grants, _ := p.Dispatch(start)
	for _, g := range grants {
		if g.Target == "e1" {
			t.Errorf("%s is dispatched to the engine that has just failed", g.Waiter.Request.ID)
		}
	}
}

// Guards against each host having to detect an unresponsive engine by itself, and against
// ejecting an engine only because another host has ejected it.
func TestEngineEjectedByAnotherHostIsAvoided(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetTargets(engines(2, 1))
	p.RecordPeerEjection("e0", start)
	for _, id := range []string{"a", "b"} {
		submit(t, p, waiter(id, request.Urgent, "o", start), start)
	}
	grants, _ := p.Dispatch(start)
	if len(grants) != 2 || grants[0].Target != "e1" || grants[1].Target != "e0" {
		t.Errorf("grants %+v", grants)
	}
}

// Guards against refusing a request as overload whose stream breaks late, although its caller
// waits for the next event.
func TestFailedRequestGetsExtendedWait(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetTargets(engines(1, 1))
	w := waiter("a", request.Urgent, "o", start)
	submit(t, p, w, start)
	expectIDs(t, dispatchedIDs(p, start), "a")
	now := start.Add(3500 * ms)
	p.EndGrant("e0", reserve.TimedOut, reserve.Sample{}, now)
	p.SetTargets(nil)
	w.ExtendWait(now, start.Add(w.FirstByteTimeout))
	p.Resubmit(w)
	if _, expired := p.Dispatch(now.Add(600 * ms)); len(expired) != 0 {
		t.Error("a resubmitted request expired within the extended wait")
	}
	if _, expired := p.Dispatch(now.Add(800 * ms)); len(expired) != 1 {
		t.Error("a resubmitted request did not expire after the extended wait")
	}
}

// Guards against a request that waits until its caller gives up, because each refused
// reservation extends its wait.
func TestRefusedReservationsDoNotExtendTheWait(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetTargets(engines(1, 1))
	w := waiter("a", request.Urgent, "o", start)
	submit(t, p, w, start)
	for now := start; now.Before(start.Add(4 * time.Second)); now = now.Add(10 * ms) {
		grants, expired := p.Dispatch(now)
		if len(expired) == 1 {
			return
		}
		for range grants {
			p.RecordFull("e0", now)
			p.Resubmit(w)
		}
	}
	t.Error("still waiting after its caller has given up")
}

// Guards against a host that polls every full engine: with all engines full, attempts are paced,
// but an engine where a request of this host ends is tried at once.
func TestFullFleetIsNotPolled(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetTargets(engines(90, 5))
	p.SetHostCount(60)
	for i := range 20 {
		submit(t, p, waiter(fmt.Sprint(i), request.Urgent, "o", start), start)
	}
	attempts := 0
	for now := start; now.Before(start.Add(time.Second)); now = now.Add(ms) {
		grants, _ := p.Dispatch(now)
		for _, g := range grants {
			attempts++
			p.RecordFull(g.Target, now)
			p.Resubmit(g.Waiter)
		}
	}
	if attempts < 10 || attempts > 60 {
		t.Errorf("%d attempts in a second, want 10 to 60", attempts)
	}
	now := start.Add(time.Second)
	p.EndGrant("e7", reserve.OK, reserve.Sample{}, now)
	if grants, _ := p.Dispatch(now); len(grants) == 0 || grants[0].Target != "e7" {
		t.Errorf("grants %v after a slot became free at e7", grants)
	}
}

// Guards against a rollout version that gets more than its share, and against a full rollout
// version that blocks the requests behind.
func TestRolloutRestrictsVersions(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	list := engines(2, 1)
	list[1].Version = "v2"
	p.SetTargets(list)
	target := func(id string, old bool) string {
		w := waiter(id, request.Urgent, "o", start)
		w.RolloutVersion, w.AvoidRolloutVersion = "v2", old
		submit(t, p, w, start)
		grants, _ := p.Dispatch(start)
		if len(grants) == 0 {
			return ""
		}
		return grants[0].Target
	}
	if got := target("new", false); got != "e1" {
		t.Errorf("a request for the new version is dispatched to %q", got)
	}
	if got := target("overflow", false); got != "e0" {
		t.Errorf("a request that finds the new version full is dispatched to %q", got)
	}
	p.EndGrant("e1", reserve.OK, reserve.Sample{}, start)
	if got := target("old", true); got != "" {
		t.Errorf("a request that must not use the new version is dispatched to %q", got)
	}
}

// Guards against dispatching requests to draining targets, or to targets that the request has
// excluded.
func TestDrainingAndExcludedTargetsGetNoRequests(t *testing.T) {
	p := reserve.New(reserve.Config{})
	list := engines(3, 4)
	list[0].Draining = true
	p.SetTargets(list)
	w := waiter("a", request.Urgent, "o", start)
	w.Exclude("e1")
	submit(t, p, w, start)
	grants, _ := p.Dispatch(start)
	if len(grants) != 1 || grants[0].Target != "e2" {
		t.Fatalf("grants %v, only e2 is left", grants)
	}
	submit(t, p, waiter("b", request.Urgent, "o", start), start)
	p.SetTargets(list[:1])
	expectIDs(t, dispatchedIDs(p, start))
}

// Guards against a request that waits until it expires because it has excluded the only target.
func TestOnlyTargetIsTriedAgain(t *testing.T) {
	p := reserve.New(reserve.Config{})
	p.SetTargets(engines(1, 4))
	w := waiter("a", request.Urgent, "o", start)
	w.Exclude("e0")
	submit(t, p, w, start)
	expectIDs(t, dispatchedIDs(p, start), "a")
}

// Guards against dispatching a request after its caller has disconnected.
func TestRemovedRequestIsNotStarted(t *testing.T) {
	p := reserve.New(reserve.Config{})
	w := waiter("a", request.Urgent, "o", start)
	submit(t, p, w, start)
	if !p.Remove(w) || p.Remove(w) {
		t.Error("Remove must return true once for a waiting request")
	}
	p.SetTargets(engines(1, 4))
	expectIDs(t, dispatchedIDs(p, start))
}

// Guards against a large fleet in which there is always some host that raises a floor because
// six of many engines were full, and against never raising a floor.
func TestFewFullEnginesOfManyAreNotStarvation(t *testing.T) {
	starved := func(targets, refusals int, waited time.Duration) bool {
		p := reserve.New(reserve.Config{Reservations: true})
		p.SetTargets(engines(targets, 1))
		submit(t, p, waiter("a", request.Urgent, "o", start), start)
		now := start
		for n := 0; n < refusals; now = now.Add(ms) {
			for _, g := range grantsOnly(p.Dispatch(now)) {
				p.RecordFull(g.Target, now)
				p.Resubmit(g.Waiter)
				n++
			}
		}
		return p.StarvedLane(start.Add(waited)) == 0
	}
	if starved(60, 8, 80*ms) {
		t.Error("8 of 60 full engines count as starvation after 80 ms")
	}
	if !starved(60, 8, 120*ms) || !starved(60, 30, 80*ms) || !starved(12, 6, 20*ms) {
		t.Error("a request that waits long, or finds half of the engines full, is not starved")
	}
}

// Guards against urgent requests that retry as rarely as patient ones when all engines are full.
func TestUrgentRequestsRetryMoreOften(t *testing.T) {
	attempts := func(tier request.Tier) int {
		p := reserve.New(reserve.Config{Reservations: true})
		p.SetTargets(engines(90, 5))
		p.SetHostCount(60)
		submit(t, p, waiter("a", tier, "o", start), start)
		n := 0
		for now := start; now.Before(start.Add(400 * ms)); now = now.Add(ms) {
			for _, g := range grantsOnly(p.Dispatch(now)) {
				n++
				p.RecordFull(g.Target, now)
				p.Resubmit(g.Waiter)
			}
		}
		return n
	}
	if urgent, patient := attempts(request.Urgent), attempts(request.Patient); urgent < 2*patient {
		t.Errorf("%d urgent and %d patient attempts", urgent, patient)
	}
}

// Guards against a target that is measured as slow because of a stall, and then gets no requests
// by which it would be measured again.
func TestStaleSlowTargetIsTriedAgain(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetTargets(engines(4, 4))
	for i := range 4 {
		gap := 10 * ms
		if i == 3 {
			gap = 500 * ms
		}
		p.RecordSpeed(fmt.Sprintf("e%d", i), gap, start)
	}
	tried := func(tier request.Tier, now time.Time) bool {
		for i := range 3 {
			p.RecordPeerSpeed(fmt.Sprintf("e%d", i), 10*ms, now)
		}
		submit(t, p, waiter(fmt.Sprintf("%d-%s", tier, now), tier, "o", now), now)
		g := grantsOnly(p.Dispatch(now))
		if len(g) != 1 {
			t.Fatalf("%d grants, want 1", len(g))
		}
		p.EndGrant(g[0].Target, reserve.OK, reserve.Sample{Gap: 10 * ms}, now)
		return g[0].Target == "e3"
	}
	if now := start.Add(reserve.SpeedTTL / 2); tried(request.Patient, now) {
		t.Error("a slow target is used while others are free")
	}
	now := start.Add(2 * reserve.SpeedTTL)
	if tried(request.Urgent, now) {
		t.Error("an urgent request is dispatched to a target with a stale measurement")
	}
	if !tried(request.Patient, now) {
		t.Error("the patient request does not measure the target again")
	}
	for i := range 16 {
		submit(t, p, waiter(fmt.Sprint(i), request.Urgent, "o", now), now)
	}
	if g := grantsOnly(p.Dispatch(now)); len(g) != 16 {
		t.Errorf("%d urgent requests dispatched, want 16: the target was measured as fast", len(g))
	}
}

// Guards against a wrong speed from a peer that is never replaced.
func TestNewerSpeedsReplaceOlderOnes(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetTargets(engines(1, 1))
	expectGap := func(want time.Duration) {
		t.Helper()
		if s := p.Speeds(); len(s) != 1 || s[0].Gap != want {
			t.Errorf("speeds %v, want %s", s, want)
		}
	}
	p.RecordPeerSpeed("e0", 400*ms, start)
	p.RecordPeerSpeed("e0", 10*ms, start.Add(ms))
	expectGap(10 * ms)
	p.RecordSpeed("e0", 20*ms, start.Add(2*ms))
	p.RecordPeerSpeed("e0", 400*ms, start.Add(3*ms))
	expectGap(20 * ms)
}

// Guards against a slot that stays idle while hosts search for one among many engines: it is
// offered to the host whose starved requests have the highest priority, unless a request of this
// host takes it.
func TestFreedSlotIsOffered(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetTargets(engines(4, 1))
	for i := range 4 {
		gap := 10 * ms
		if i == 3 {
			gap = 100 * ms
		}
		p.RecordSpeed(fmt.Sprintf("e%d", i), gap, start)
	}
	p.Dispatch(start)
	run := func(tier request.Tier) string {
		submit(t, p, waiter("a", tier, "o", start), start)
		g := grantsOnly(p.Dispatch(start))
		p.EndGrant(g[0].Target, reserve.OK, reserve.Sample{}, start)
		return g[0].Target
	}
	target := run(request.Urgent)
	if host := p.SelectSlotRecipient(target, start); host != "" {
		t.Errorf("offered to %s, which has no starved requests", host)
	}
	p.SetFloor("patient", 4, start.Add(300*ms))
	p.SetFloor("urgent", 0, start.Add(300*ms))
	if host := p.SelectSlotRecipient(target, start); host != "urgent" {
		t.Errorf("offered to %q, want the host with urgent requests", host)
	}
	if host := p.SelectSlotRecipient("e3", start); host != "" {
		t.Errorf("offered to %q a target without a freed slot", host)
	}
	p.SlotFreed("e3")
	submit(t, p, waiter("x", request.Patient, "o", start), start)
	if host := p.SelectSlotRecipient("e3", start); host != "patient" {
		t.Errorf("a slow target is offered to %q, want the host with patient requests", host)
	}
	if g := grantsOnly(p.Dispatch(start)); len(g) != 1 || g[0].Target != "e3" {
		t.Fatalf("grants %v, want e3: fast targets are reserved for the urgent host by its floor", g)
	}
	if host := p.SelectSlotRecipient("e3", start); host != "" {
		t.Errorf("offered to %q a slot that a request of this host has taken", host)
	}
	if host := p.SelectSlotRecipient(target, start.Add(time.Second)); host != "" {
		t.Errorf("offered to %q, whose floor has expired", host)
	}
}

// Guards against a host that keeps backing off from an engine after a notification of a free
// slot there.
func TestFreedSlotIsTriedAtOnce(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetTargets(engines(3, 1))
	w := waiter("a", request.Urgent, "o", start)
	submit(t, p, w, start)
	for now := start; ; now = now.Add(ms) {
		g := grantsOnly(p.Dispatch(now))
		if len(g) == 0 {
			p.SlotFreed("e2")
			if g := grantsOnly(p.Dispatch(now)); len(g) != 1 || g[0].Target != "e2" {
				t.Errorf("grants %v", g)
			}
			return
		}
		p.RecordFull(g[0].Target, now)
		p.Resubmit(w)
	}
}

// Guards against an overload that lasts because new engines get no requests: urgent requests
// use engines known to be fast, and patient ones are blocked by a floor.
func TestNewEnginesAreUsedUnderOverload(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetHostCount(60)
	p.SetTargets(engines(40, 4))
	for i := range 38 {
		p.RecordSpeed(fmt.Sprintf("e%d", i), 10*ms, start)
	}
	p.SetFloor("other", 0, start.Add(time.Second))
	submit(t, p, waiter("patient", request.Patient, "o", start), start)
	if g := grantsOnly(p.Dispatch(start)); len(g) != 1 || g[0].Target != "e38" && g[0].Target != "e39" {
		t.Errorf("the patient request got %v, want one of the new engines", g)
	}
	for i := range 4 {
		submit(t, p, waiter(fmt.Sprintf("urgent-%d", i), request.Urgent, "o", start), start)
	}
	attempts := 0
	for now := start; now.Before(start.Add(100 * ms)); now = now.Add(ms) {
		for _, g := range grantsOnly(p.Dispatch(now)) {
			if g.Target == "e38" || g.Target == "e39" {
				return
			}
			attempts++
			p.RecordFull(g.Target, now)
			p.Resubmit(g.Waiter)
		}
	}
	t.Errorf("%d attempts at full engines within 100 ms, none at a new one", attempts)
}

// Guards against speeds restored from a checkpoint that replace newer ones on each change of the
// list of targets.
func TestRestoredSpeedsDoNotReplaceNewerOnes(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetTargets(engines(1, 1))
	for _, c := range []struct {
		record func()
		want   time.Duration
	}{
		{func() { p.RestoreSpeed("e0", 400*ms, start) }, 400 * ms},
		{func() { p.RecordPeerSpeed("e0", 10*ms, start) }, 10 * ms},
		{func() { p.RestoreSpeed("e0", 400*ms, start) }, 10 * ms},
	} {
		c.record()
		if s := p.Speeds(); len(s) != 1 || s[0].Gap != c.want {
			t.Errorf("speeds %v, want %s", s, c.want)
		}
	}
}

// Guards against a heartbeat that takes time and memory for each of thousands of targets: only
// the few that this host has measured lately are listed.
func TestMeasuredSpeedsAreThoseOfThisHost(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetTargets(engines(3000, 1))
	now := start.Add(10 * time.Second)
	for i := range 2999 {
		p.RecordPeerSpeed(fmt.Sprintf("e%d", i), 20*ms, now)
	}
	p.RecordSpeed("e2998", 20*ms, start)
	p.RecordSpeed("e2999", 20*ms, now)
	since := now.Add(-time.Second)
	if got := p.MeasuredSpeeds(since); len(got) != 1 || got[0].Target != "e2999" {
		t.Errorf("%d speeds: %v", len(got), got[:min(3, len(got))])
	}
	if n := testing.AllocsPerRun(10, func() { p.MeasuredSpeeds(since) }); n > 2 {
		t.Errorf("%.0f allocations", n)
	}
}

// Guards against refusing new requests, and against floors at the other hosts, because a request
// that still runs at a silent target waits for another one.
func TestStandbyRequestIsNoSignOfOverload(t *testing.T) {
	p := reserve.New(reserve.Config{})
	p.SetTargets(engines(1, 1))
	running := waiter("running", request.Urgent, "o", start)
	submit(t, p, running, start)
	if n := len(grantsOnly(p.Dispatch(start))); n != 1 {
		t.Fatalf("%d grants, want 1", n)
	}
	running.Exclude("e0")
	running.StandBy(running.Request.Deadline)
	p.Resubmit(running)
	now := start.Add(3 * time.Second)
	if _, expired := p.Dispatch(now); len(expired) > 0 {
		t.Errorf("expired before its deadline: %v", expired[0].Refusal)
	}
	if l := p.StarvedLane(now); l != reserve.LaneCount {
		t.Errorf("lane %d is starved", l)
	}
	submit(t, p, waiter("new", request.Urgent, "o", now), now)
}

// Guards against requests that wait for the old version of a rollout although no target of it is
// left, beside sound targets of the new version, and against requests to a version that was rolled
// back.
func TestRequestsDoNotWaitForALostVersion(t *testing.T) {
	for _, rolledBack := range []bool{false, true} {
		p := reserve.New(reserve.Config{Reservations: true})
		list := engines(2, 4)
		list[0].Version, list[1].Version = "v1", "v2"
		p.SetTargets(list)
		p.SetTargets(list[1:]) // the target of the old version is lost
		w := waiter("old", request.Urgent, "o", start)
		w.RolloutVersion, w.AvoidRolloutVersion, w.RolledBack = "v2", true, rolledBack
		submit(t, p, w, start)
		grants, _ := p.Dispatch(start)
		if granted := len(grants) == 1; granted == rolledBack {
			t.Errorf("rolled back %v: grants %v", rolledBack, grants)
		}
	}
}
