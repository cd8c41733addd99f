package member

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var start = time.Unix(1_800_000_000, 0)

func newMachine(name string) *Machine {
	return New(Config{Name: name, Zone: "z", Address: name + ":1", Incarnation: 100}, start)
}

func probeMessage(from Update, updates ...Update) Message {
	return Message{Kind: Probe, Seq: 1, From: from, Updates: updates}
}

// Guards against an order of updates that is not strict and total. All hosts converge
// on the same update, whatever the order of arrival, only if it is.
func TestSupersedesIsAStrictOrder(t *testing.T) {
	props := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(3))
	update := func(n uint16) Update {
		return Update{State: State(n % 4), Incarnation: uint64(n / 4 % 3), Refutation: uint32(n / 12 % 3)}
	}
	props.Property("antisymmetric and transitive", prop.ForAll(func(x, y, z uint16) bool {
		a, b, c := update(x), update(y), update(z)
		if a == b {
			return !a.Supersedes(b)
		}
		transitive := !a.Supersedes(b) || !b.Supersedes(c) || a.Supersedes(c)
		return a.Supersedes(b) != b.Supersedes(a) && transitive
	}, gen.UInt16(), gen.UInt16(), gen.UInt16()))
	props.TestingRun(t)
}

// Guards against late messages of the previous process of a restarted host: they must
// not win over the new process, however many refutations they carry.
func TestLateUpdatesOfThePreviousProcessAreIgnored(t *testing.T) {
	m := newMachine("a")
	old := Update{Name: "b", Zone: "z", Address: "b:1", Incarnation: 5, Refutation: 9}
	restarted := Update{Name: "b", Zone: "z", Address: "b:2", Incarnation: 6}
	m.Receive(probeMessage(old), start)
	out := m.Receive(probeMessage(restarted), start)
	if len(out.Events) != 1 || out.Events[0].Kind != BecameAlive || out.Events[0].Member.Incarnation != 6 {
		t.Errorf("events at the restart: %+v", out.Events)
	}
	m.Receive(probeMessage(old), start)
	dead := old
	dead.State, dead.Refutation = Dead, 50
	m.Receive(probeMessage(Update{Name: "c", Zone: "z", Address: "c:1", Incarnation: 1}, dead), start)
	if got, _ := m.Lookup("b"); got.Incarnation != 6 || got.State != Alive || got.Address != "b:2" {
		t.Errorf("after late messages: %+v", got)
	}
}

// Guards against a host whose clock went back before a restart: its start time is
// lower than that of the previous process, and its incarnation must be higher
// nevertheless.
func TestIncarnationExceedsAPredecessorWithALaterClock(t *testing.T) {
	m := newMachine("a")
	m.Receive(probeMessage(Update{Name: "b", Zone: "z", Address: "b:1", Incarnation: 1},
		Update{Name: "a", State: Dead, Incarnation: 500}), start)
	if got := m.Self(); got.Incarnation != 501 || got.State != Alive {
		t.Errorf("self: %+v", got)
	}
}

// Guards the limits on records, whatever peers send, on the bytes of updates in a
// message, and on records of dead members when hosts are replaced under new names.
func TestMemoryAndMessagesAreBounded(t *testing.T) {
	m := New(Config{Name: "a", Zone: "z", Address: "a:1", Incarnation: 1, MaxMembers: 360}, start)
	now := start
	longest := 0
	for i := range 5000 {
		name := fmt.Sprintf("replaced-host-%d", i)
		out := m.Receive(probeMessage(Update{Name: name, Zone: "z", Address: name + ":7400", Incarnation: 1}), now)
		m.Receive(Message{Kind: Gossip, From: Update{Name: name, Incarnation: 1, State: Left}}, now)
		out.Events = nil
		now = now.Add(98 * time.Second) // the interval of 880 restarts a day
		tick := m.Tick(now)
		for _, s := range append(out.Messages, tick.Messages...) {
			size := 0
			for _, u := range s.Message.Updates {
				size += u.maxEncodedBytes()
			}
			longest = max(longest, size)
		}
		if n := len(m.records); n > 12 {
			t.Fatalf("%d records after %d replaced hosts", n, i)
		}
	}
	if longest > m.cfg.MaxPiggybackBytes {
		t.Errorf("%d bytes of updates in a message", longest)
	}
	for i := range 5000 {
		name := fmt.Sprintf("invented-%d", i)
		m.Receive(probeMessage(Update{Name: name, Zone: "y", Address: name, Incarnation: 1}), now)
	}
	if len(m.records) != 360 || len(m.gossipQueue) > 360 {
		t.Errorf("%d records, %d updates to spread", len(m.records), len(m.gossipQueue))
	}
}

// Guards against malformed updates: they must neither win over valid ones nor use
// memory.
func TestInvalidUpdatesAreIgnored(t *testing.T) {
	m := newMachine("a")
	b := Update{Name: "b", Zone: "z", Address: "b:1", Incarnation: 5}
	state := b
	state.State = 77
	long := Update{Name: strings.Repeat("n", 1000), Zone: "z", Address: "x:1", Incarnation: 1}
	m.Receive(probeMessage(b, state, long, Update{Zone: "z", Address: "y:1", Incarnation: 1}), start)
	if got, _ := m.Lookup("b"); got.State != Alive || len(m.records) != 1 {
		t.Errorf("%d records, b is %v", len(m.records), got.State)
	}
}
