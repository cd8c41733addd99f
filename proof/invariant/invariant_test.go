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

// at returns an event at a time in milliseconds after the start.
func at(ms int, e Event) Event {
	e.At = start.Add(time.Duration(ms) * time.Millisecond)
	return e
}

func submitted(ms int, id string, tier request.Tier) Event {
	return at(ms, Event{Kind: Submitted, Host: "a", Request: id, Tier: tier, Pool: "p", Digest: 7})
}

func order(ms int, id string) Event {
	e := submitted(ms, id, request.Interactive)
	e.Effect = request.NonIdempotent
	return e
}

// decided says when a host decided on a dispatch.
func decided(ms int, e Event) Event {
	e.Decided = at(ms, Event{}).At
	return e
}

func run(ms int, id, target, version string) Event {
	return at(ms, Event{Kind: Dispatched, Request: id, Target: target, Version: version})
}

func refused(ms int, id string, ran refusal.RunState) Event {
	return at(ms, Event{Kind: Refused, Host: "a", Request: id, Reason: "r", Ran: ran})
}

func outcome(ms int, id, state string, ran refusal.RunState) Event {
	return at(ms, Event{Kind: Outcome, Request: id, State: state, Ran: ran, Digest: 7})
}

func accepted(ms int, id string) Event { return at(ms, Event{Kind: Accepted, Request: id}) }

func number(ms int, kind Kind, host string, n int64) Event {
	return at(ms, Event{Kind: kind, Host: host, Number: n})
}

func up(ms int, host string) Event { return at(ms, Event{Kind: HostUp, Host: host}) }

// many returns dispatches of which the first few go to the new version.
func many(bad, total int) []Event {
	events := []Event{at(0, Event{Kind: VersionShare, Pool: "p", Version: "2", Share: 0.05})}
	for i := range total {
		version := "1"
		if i < bad {
			version = "2"
		}
		events = append(events, at(i, Event{Kind: Dispatched, Request: "r", Pool: "p", Version: version}))
	}
	return append(events, at(total, Event{Kind: VersionBad, Pool: "p", Version: "2"}))
}

// Guards each checker: a history that breaks its invariant is caught with the
// expected words, and one that comes close is not.
func TestCheckers(t *testing.T) {
	floor := at(0, Event{Kind: Floor, Host: "a", Pool: "p", Tier: request.Urgent, Until: start.Add(2 * time.Second)})
	shed := at(500, Event{Kind: Shed, Host: "a", Request: "u", Tier: request.Urgent, Pool: "p"})
	cases := []struct {
		name   string
		id     ID
		broken []Event
		want   string
		fine   []Event
	}{
		{"two dispatches of one submission", I1,
			[]Event{submitted(0, "x", request.Urgent), run(1, "x", "t", ""), run(2, "x", "t", "")}, "2 times, 1 allowed",
			[]Event{submitted(0, "x", request.Urgent), run(1, "x", "t", ""), submitted(5, "x", request.Urgent), run(6, "x", "t", "")}},
		{"repeat of a patient request runs again", I1,
			[]Event{submitted(0, "x", request.Patient), run(1, "x", "t", ""), submitted(2, "x", request.Patient), run(3, "x", "t", "")}, "1 allowed",
			[]Event{submitted(0, "x", request.Patient), run(1, "x", "t", ""), submitted(2, "x", request.Patient)}},
		{"lower tier starts after a higher one was shed", I2,
			[]Event{submitted(0, "u", request.Urgent), submitted(0, "l", request.Patient), shed, run(900, "l", "t", "")}, "of tier patient started",
			[]Event{submitted(0, "u", request.Urgent), submitted(0, "l", request.Patient), run(400, "l", "t", ""), shed, submitted(600, "v", request.Urgent), run(900, "v", "t", "")}},
		{"lower tier starts under a floor", I2,
			[]Event{floor, submitted(0, "l", request.Interactive), run(1000, "l", "t", "")}, "of tier interactive started",
			[]Event{floor, submitted(0, "l", request.Interactive), run(100, "l", "t", ""), submitted(0, "m", request.Interactive), run(2100, "m", "t", "")}},
		{"lower tier is sent under a floor to a target that starts late", I2,
			[]Event{floor, submitted(0, "l", request.Interactive), decided(300, run(1000, "l", "t", ""))}, "of tier interactive started",
			[]Event{floor, submitted(0, "l", request.Interactive), decided(-100, run(1000, "l", "t", ""))}},
		{"bad version gets too much", I3, many(20, 100), "got 20 of 100", many(7, 100)},
		{"bad version gets work after its fault is visible", I3,
			append(many(0, 1), at(2100, Event{Kind: Dispatched, Request: "r", Pool: "p", Version: "2"})), "after its fault was visible",
			append(many(0, 1), at(1900, Event{Kind: Dispatched, Request: "r", Pool: "p", Version: "2"}), at(2100, Event{Kind: Dispatched, Request: "r", Pool: "p", Version: "1"}))},
		{"answer of another request", I4,
			[]Event{submitted(0, "x", request.Urgent), at(1, Event{Kind: Answered, Request: "x", Digest: 8})}, "digest 8",
			[]Event{submitted(0, "x", request.Urgent), at(1, Event{Kind: Answered, Request: "x", Digest: 7})}},
		{"refused as not run and run", I5,
			[]Event{order(0, "x"), refused(1, "x", refusal.NotRun), run(2, "x", "t", "")}, "1 refused as not run, 1 dispatches",
			[]Event{order(0, "x"), refused(1, "x", refusal.NotRun), order(2, "x"), run(3, "x", "t", ""), submitted(4, "y", request.Urgent), run(5, "y", "t", ""), refused(6, "y", refusal.RunUnknown)}},
		{"outcome says not run", I5,
			[]Event{submitted(0, "x", request.Patient), run(1, "x", "t", ""), outcome(2, "x", "failed", refusal.NotRun)}, "1 dispatches",
			[]Event{submitted(0, "x", request.Patient), outcome(2, "x", "failed", refusal.NotRun)}},
		{"order runs twice", I6,
			[]Event{order(0, "x"), run(1, "x", "t", ""), order(2, "x"), run(3, "x", "s", "")}, "x ran 2 times",
			[]Event{order(0, "x"), run(1, "x", "t", ""), order(2, "x"), order(3, "y"), run(4, "y", "t", "")}},
		{"leaving target gets work", I7,
			[]Event{at(0, Event{Kind: TargetLeaving, Target: "t"}), run(3100, "x", "t", "")}, "after it was listed as leaving",
			[]Event{at(0, Event{Kind: TargetLeaving, Target: "t"}), run(2900, "x", "t", ""), run(3100, "y", "s", "")}},
		{"planned stop cuts a request", I8,
			[]Event{at(0, Event{Kind: ShutdownBegun, Host: "a"}), at(1, Event{Kind: ConnectionCut, Host: "a", Count: 2})}, "cut off 2 requests",
			[]Event{at(0, Event{Kind: ShutdownBegun, Host: "a"}), at(1, Event{Kind: ConnectionCut, Host: "b"}), at(2, Event{Kind: HostDown, Host: "a"}), at(3, Event{Kind: ConnectionCut, Host: "a"})}},
		{"configuration goes back after a restart", I9,
			[]Event{up(0, "a"), number(1, ConfigAdopted, "a", 3), at(2, Event{Kind: HostDown, Host: "a"}), up(3, "a"), number(4, ConfigAdopted, "a", 2)}, "from configuration 3 to 2",
			[]Event{up(0, "a"), number(1, ConfigAdopted, "a", 3), at(2, Event{Kind: HostDown, Host: "a"}), up(3, "a"), number(4, ConfigAdopted, "a", 3)}},
		{"configuration is late on a host", I9,
			[]Event{up(0, "a"), up(0, "b"), number(1, ConfigAccepted, "", 1), number(2, ConfigAdopted, "a", 1), up(6000, "c")}, "host b has configuration 0",
			[]Event{up(0, "a"), up(0, "b"), number(1, ConfigAccepted, "", 1), number(2, ConfigAdopted, "a", 2), number(4000, ConfigAdopted, "b", 1), up(6000, "c")}},
		{"accepted request without outcome", I10,
			[]Event{submitted(0, "x", request.Patient), accepted(1, "x")}, "has no outcome",
			[]Event{submitted(0, "x", request.Patient), accepted(1, "x"), outcome(2, "x", "unknown", refusal.RunUnknown), outcome(3, "x", "answered", refusal.RunCompleted)}},
		{"outcome changes", I10,
			[]Event{submitted(0, "x", request.Patient), accepted(1, "x"), outcome(2, "x", "answered", refusal.RunCompleted), outcome(3, "x", "unknown", refusal.RunUnknown)}, "changed from answered to unknown",
			[]Event{submitted(0, "x", request.Patient), accepted(1, "x"), outcome(2, "x", "failed", refusal.NotRun)}},
		{"accepted request is forgotten", I10,
			[]Event{submitted(0, "x", request.Patient), accepted(1, "x"), outcome(2, "x", "answered", refusal.RunCompleted), at(3, Event{Kind: Lost, Request: "x"})}, "no longer on record",
			[]Event{submitted(0, "x", request.Patient), at(1, Event{Kind: Lost, Request: "x"})}},
	}
	covered := make(map[ID]bool)
	for _, c := range cases {
		covered[c.id] = true
		found := Check(c.broken, Limits{}, c.id)
		if len(found) != 1 || found[0].Invariant != c.id || !strings.Contains(found[0].String(), c.want) {
			t.Errorf("%s: found %v, want one violation of %s with %q", c.name, found, c.id, c.want)
		}
		if found := Check(c.fine, Limits{}, c.id); len(found) > 0 {
			t.Errorf("%s: false alarm: %v", c.name, found)
		}
	}
	for _, id := range All() {
		if !covered[id] {
			t.Errorf("%s has no case", id)
		}
	}
}

// Guards against events lost or out of order under concurrent use; the race
// detector looks at the rest.
func TestRecorderIsConcurrent(t *testing.T) {
	r := NewRecorder(Limits{}, nil)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for i := range 100 {
				r.Record(at(i, Event{Kind: Shed}))
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
