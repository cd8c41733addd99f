package invariant

import (
	"strings"
	"sync"
	"testing"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
)

var start = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)

// eventAt sets the time of an event, in milliseconds after start.
func eventAt(ms int, e Event) Event {
	e.At = start.Add(time.Duration(ms) * time.Millisecond)
	return e
}

func submitted(ms int, id string, tier request.Tier) Event {
	return eventAt(ms, Event{Kind: Submitted, Host: "a", Request: id, Tier: tier, Pool: "p", Digest: 7})
}

func submittedNonIdempotent(ms int, id string) Event {
	e := submitted(ms, id, request.Interactive)
	e.Effect = request.NonIdempotent
	return e
}

// withDecision sets when a host decided on a dispatch, in milliseconds after start.
func withDecision(ms int, e Event) Event {
	e.DecidedAt = eventAt(ms, Event{}).At
	return e
}

func dispatched(ms int, id, target, version string) Event {
	return eventAt(ms, Event{Kind: Dispatched, Request: id, Target: target, Version: version})
}

func refused(ms int, id string, ran refusal.RunState) Event {
	return eventAt(ms, Event{Kind: Refused, Host: "a", Request: id, Reason: "r", RunState: ran})
}

func outcome(ms int, id, state string, ran refusal.RunState) Event {
	return eventAt(ms, Event{Kind: OutcomeFetched, Request: id, OutcomeState: state, RunState: ran, Digest: 7})
}

func accepted(ms int, id string) Event { return eventAt(ms, Event{Kind: Accepted, Request: id}) }

func configEvent(ms int, kind Kind, host string, n int64) Event {
	return eventAt(ms, Event{Kind: kind, Host: host, ConfigNumber: n})
}

func hostUp(ms int, host string) Event { return eventAt(ms, Event{Kind: HostUp, Host: host}) }

// versionTraffic returns total dispatches, of which the first bad ones go to version 2.
func versionTraffic(bad, total int) []Event {
	events := []Event{eventAt(0, Event{Kind: VersionShareLimit, Pool: "p", Version: "2", MaxShare: 0.05})}
	for i := range total {
		version := "1"
		if i < bad {
			version = "2"
		}
		events = append(events, eventAt(i, Event{Kind: Dispatched, Request: "r", Pool: "p", Version: version}))
	}
	return append(events, eventAt(total, Event{Kind: VersionFaultVisible, Pool: "p", Version: "2"}))
}

// Guards against checkers that miss a violation or report one falsely: for each
// invariant, a history that violates it yields exactly one violation with the
// expected message, and a similar history that is allowed yields none.
func TestCheckers(t *testing.T) {
	floor := eventAt(0, Event{Kind: FloorRaised, Host: "a", Pool: "p", Tier: request.Urgent, Until: start.Add(2 * time.Second)})
	shed := eventAt(500, Event{Kind: Shed, Host: "a", Request: "u", Tier: request.Urgent, Pool: "p"})
	cases := []struct {
		name      string
		id        ID
		violating []Event
		want      string
		allowed   []Event
	}{
		{"two dispatches of one submission", I1,
			[]Event{submitted(0, "x", request.Urgent), dispatched(1, "x", "t", ""), dispatched(2, "x", "t", "")}, "2 times, 1 allowed",
			[]Event{submitted(0, "x", request.Urgent), dispatched(1, "x", "t", ""), submitted(5, "x", request.Urgent), dispatched(6, "x", "t", "")}},
		{"repeat of a patient request runs again", I1,
			[]Event{submitted(0, "x", request.Patient), dispatched(1, "x", "t", ""), submitted(2, "x", request.Patient), dispatched(3, "x", "t", "")}, "1 allowed",
			[]Event{submitted(0, "x", request.Patient), dispatched(1, "x", "t", ""), submitted(2, "x", request.Patient)}},
		{"lower tier starts after a higher one was shed", I2,
			[]Event{submitted(0, "u", request.Urgent), submitted(0, "l", request.Patient), shed, dispatched(900, "l", "t", "")}, "of tier patient started",
			[]Event{submitted(0, "u", request.Urgent), submitted(0, "l", request.Patient), dispatched(400, "l", "t", ""), shed, submitted(600, "v", request.Urgent), dispatched(900, "v", "t", "")}},
		{"lower tier starts under a floor", I2,
			[]Event{floor, submitted(0, "l", request.Interactive), dispatched(1000, "l", "t", "")}, "of tier interactive started",
			[]Event{floor, submitted(0, "l", request.Interactive), dispatched(100, "l", "t", ""), submitted(0, "m", request.Interactive), dispatched(2100, "m", "t", "")}},
		{"lower tier is sent under a floor to a target that starts it late", I2,
			[]Event{floor, submitted(0, "l", request.Interactive), withDecision(300, dispatched(1000, "l", "t", ""))}, "of tier interactive started",
			[]Event{floor, submitted(0, "l", request.Interactive), withDecision(-100, dispatched(1000, "l", "t", ""))}},
		{"bad version exceeds its share", I3, versionTraffic(20, 100), "got 20 of 100", versionTraffic(7, 100)},
		{"bad version receives a request after its fault is visible", I3,
			append(versionTraffic(0, 1), eventAt(2100, Event{Kind: Dispatched, Request: "r", Pool: "p", Version: "2"})), "after its fault was visible",
			append(versionTraffic(0, 1), eventAt(1900, Event{Kind: Dispatched, Request: "r", Pool: "p", Version: "2"}), eventAt(2100, Event{Kind: Dispatched, Request: "r", Pool: "p", Version: "1"}))},
		{"caller receives the answer of another request", I4,
			[]Event{submitted(0, "x", request.Urgent), eventAt(1, Event{Kind: Answered, Request: "x", Digest: 8})}, "digest 8",
			[]Event{submitted(0, "x", request.Urgent), eventAt(1, Event{Kind: Answered, Request: "x", Digest: 7})}},
		{"request refused as not run was dispatched", I5,
			[]Event{submittedNonIdempotent(0, "x"), refused(1, "x", refusal.NotRun), dispatched(2, "x", "t", "")}, "1 refused as not run, 1 dispatches",
			[]Event{submittedNonIdempotent(0, "x"), refused(1, "x", refusal.NotRun), submittedNonIdempotent(2, "x"), dispatched(3, "x", "t", ""), submitted(4, "y", request.Urgent), dispatched(5, "y", "t", ""), refused(6, "y", refusal.RunUnknown)}},
		{"request whose outcome says not run was dispatched", I5,
			[]Event{submitted(0, "x", request.Patient), dispatched(1, "x", "t", ""), outcome(2, "x", "failed", refusal.NotRun)}, "1 dispatches",
			[]Event{submitted(0, "x", request.Patient), outcome(2, "x", "failed", refusal.NotRun)}},
		{"non-idempotent request runs twice", I6,
			[]Event{submittedNonIdempotent(0, "x"), dispatched(1, "x", "t", ""), submittedNonIdempotent(2, "x"), dispatched(3, "x", "s", "")}, "x ran 2 times",
			[]Event{submittedNonIdempotent(0, "x"), dispatched(1, "x", "t", ""), submittedNonIdempotent(2, "x"), submittedNonIdempotent(3, "y"), dispatched(4, "y", "t", "")}},
		{"leaving target receives a request", I7,
			[]Event{eventAt(0, Event{Kind: TargetLeaving, Target: "t"}), dispatched(3100, "x", "t", "")}, "after it was listed as leaving",
			[]Event{eventAt(0, Event{Kind: TargetLeaving, Target: "t"}), dispatched(2900, "x", "t", ""), dispatched(3100, "y", "s", "")}},
		{"planned stop cuts off requests", I8,
			[]Event{eventAt(0, Event{Kind: ShutdownStarted, Host: "a"}), eventAt(1, Event{Kind: ConnectionCut, Host: "a", RequestCount: 2})}, "cut off 2 requests",
			[]Event{eventAt(0, Event{Kind: ShutdownStarted, Host: "a"}), eventAt(1, Event{Kind: ConnectionCut, Host: "b"}), eventAt(2, Event{Kind: HostDown, Host: "a"}), eventAt(3, Event{Kind: ConnectionCut, Host: "a"})}},
		{"configuration reverts after a restart", I9,
			[]Event{hostUp(0, "a"), configEvent(1, ConfigAdopted, "a", 3), eventAt(2, Event{Kind: HostDown, Host: "a"}), hostUp(3, "a"), configEvent(4, ConfigAdopted, "a", 2)}, "from configuration 3 to 2",
			[]Event{hostUp(0, "a"), configEvent(1, ConfigAdopted, "a", 3), eventAt(2, Event{Kind: HostDown, Host: "a"}), hostUp(3, "a"), configEvent(4, ConfigAdopted, "a", 3)}},
		{"configuration is late on a host", I9,
			[]Event{hostUp(0, "a"), hostUp(0, "b"), configEvent(1, ConfigAccepted, "", 1), configEvent(2, ConfigAdopted, "a", 1), hostUp(6000, "c")}, "host b has configuration 0",
			[]Event{hostUp(0, "a"), hostUp(0, "b"), configEvent(1, ConfigAccepted, "", 1), configEvent(2, ConfigAdopted, "a", 2), configEvent(4000, ConfigAdopted, "b", 1), hostUp(6000, "c")}},
		{"accepted request without outcome", I10,
			[]Event{submitted(0, "x", request.Patient), accepted(1, "x")}, "has no outcome",
			[]Event{submitted(0, "x", request.Patient), accepted(1, "x"), outcome(2, "x", "unknown", refusal.RunUnknown), outcome(3, "x", "answered", refusal.RunCompleted)}},
		{"outcome changes", I10,
			[]Event{submitted(0, "x", request.Patient), accepted(1, "x"), outcome(2, "x", "answered", refusal.RunCompleted), outcome(3, "x", "unknown", refusal.RunUnknown)}, "changed from answered to unknown",
			[]Event{submitted(0, "x", request.Patient), accepted(1, "x"), outcome(2, "x", "failed", refusal.NotRun)}},
		{"accepted request is lost", I10,
			[]Event{submitted(0, "x", request.Patient), accepted(1, "x"), outcome(2, "x", "answered", refusal.RunCompleted), eventAt(3, Event{Kind: RequestLost, Request: "x"})}, "no longer on record",
			[]Event{submitted(0, "x", request.Patient), eventAt(1, Event{Kind: RequestLost, Request: "x"})}},
	}
	covered := make(map[ID]bool)
	for _, c := range cases {
		covered[c.id] = true
		found := Check(c.violating, Limits{}, c.id)
		if len(found) != 1 || found[0].Invariant != c.id || !strings.Contains(found[0].String(), c.want) {
			t.Errorf("%s: found %v, want one violation of %s with %q", c.name, found, c.id, c.want)
		}
		if found := Check(c.allowed, Limits{}, c.id); len(found) > 0 {
			t.Errorf("%s: violations in an allowed history: %v", c.name, found)
		}
	}
	for _, id := range All() {
		if !covered[id] {
			t.Errorf("no test case for %s", id)
		}
	}
}

// Guards against events that are lost or returned out of order when Record and
// Check are called concurrently. The race detector finds unsynchronised access.
func TestRecorderIsConcurrent(t *testing.T) {
	r := NewRecorder(Limits{}, nil)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for i := range 100 {
				r.Record(eventAt(i, Event{Kind: Shed}))
				if i%20 == 0 {
					r.Check(I2)
				}
			}
		})
	}
	wg.Wait()
	events := r.Events()
	for i := range events[1:] {
		if events[i+1].At.Before(events[i].At) {
			t.Fatalf("event %d is out of order", i+1)
		}
	}
	if len(events) != 800 {
		t.Errorf("%d events, want 800", len(events))
	}
}
