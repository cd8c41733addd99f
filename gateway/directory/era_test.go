package directory_test

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"sardinefront.dev/gateway/peers"
)

// withRestore runs check at a host that has read the store, which has a copy of the state of setUp and
// has been through after since. The store then comes back from the copy.
func withRestore(t *testing.T, setUp, after func(s *memoryStore), check func(t *testing.T, h *testHost)) {
	t.Helper()
	withHost(t, func(t *testing.T, h *testHost) {
		h.store.update(func() { h.store.era = 1 })
		setUp(h.store)
		time.Sleep(2 * time.Second)
		h.store.keepCopy()
		after(h.store)
		time.Sleep(2 * time.Second)
		h.store.restore()
		check(t, h)
		synctest.Wait() // the host may be writing to its log
		if n := strings.Count(h.log.String(), `"event":611`); n != 1 {
			t.Errorf("%d restores logged", n)
		}
	})
}

func nothing(*memoryStore) {}

func (h *testHost) targets() (out []string) {
	for _, t := range h.Targets() {
		state := ""
		if t.Draining {
			state = "-"
		}
		out = append(out, t.ID+state)
	}
	return out
}

func (h *testHost) expectTargets(t *testing.T, when string, want ...string) {
	t.Helper()
	if got := h.targets(); !slices.Equal(got, want) {
		t.Errorf("targets %v %s, want %v", got, when, want)
	}
}

// Guards against a host without targets after a restore, against targets that are never removed, and
// against new entries that are ignored because revisions went back.
func TestTargetsAreKeptUntilTheyAreListedAgain(t *testing.T) {
	churn := func(s *memoryStore) {
		for range 20 {
			s.put("t/i-1", "ready 1")
		}
		s.put("t/i-2", "ready 1")
		s.put("t/i-3", "ready 1")
	}
	withRestore(t, nothing, churn, func(t *testing.T, h *testHost) {
		for range 12 {
			time.Sleep(100 * time.Millisecond)
			h.expectTargets(t, "before the targets write again", "i-1", "i-2", "i-3")
		}
		h.store.put("t/i-1", "ready 1")
		h.store.put("t/i-2", "draining 1")
		time.Sleep(700 * time.Millisecond)
		h.expectTargets(t, "after a new entry with a low revision", "i-1", "i-2-", "i-3")
		time.Sleep(2 * time.Second)
		h.expectTargets(t, "after the second listing", "i-1", "i-2-")
		h.store.remove("t/i-1")
		time.Sleep(time.Second)
		h.expectTargets(t, "after a removal", "i-2-")
	})
}

// Guards against requests to a target that began to drain after the copy, and against one that stays
// draining although it says otherwise.
func TestDrainingTargetIsNotReadyInAnOlderCopy(t *testing.T) {
	withHost(t, func(t *testing.T, h *testHost) {
		h.store.update(func() { h.store.era = 1 })
		time.Sleep(time.Second)
		h.store.put("t/i-1", "draining 1")
		time.Sleep(time.Second)
		h.store.update(func() {
			h.store.entries["t/i-1"] = put("i-1", "ready 1", 2)
			h.store.history, h.store.revision, h.store.era = nil, 2, 2
		})
		time.Sleep(2 * time.Second)
		h.expectTargets(t, "before it writes again", "i-1-")
		time.Sleep(2 * time.Second)
		h.expectTargets(t, "after the second listing", "i-1")
	})
}

// Guards against requests to an evacuated zone because the store has lost the order, and against an
// evacuation that never ends.
func TestEvacuationIsKeptUntilItIsWrittenAgain(t *testing.T) {
	for _, again := range []bool{true, false} {
		withRestore(t, nothing, func(s *memoryStore) { s.put(zoneKey, "{}") }, func(t *testing.T, h *testHost) {
			h.expectEvacuated(t, true, 1500*time.Millisecond)
			if again {
				h.store.put(zoneKey, "{}")
			}
			h.expectEvacuated(t, again, 5*time.Second)
		})
	}
}

// Guards against a host that replaces its configuration by the older one of the copy, and against one
// that ignores the next one.
func TestOlderConfigurationOfTheCopyIsNotTaken(t *testing.T) {
	withRestore(t, nothing, func(s *memoryStore) { s.put("o/config", "5") }, func(t *testing.T, h *testHost) {
		time.Sleep(5 * time.Second)
		if v := h.current.Version(); v != 5 {
			t.Errorf("version %d, want 5", v)
		}
		h.store.put("o/config", "6")
		time.Sleep(time.Second)
		if v := h.current.Version(); v != 6 {
			t.Errorf("version %d, want 6", v)
		}
	})
}

// Guards against the return of an order that a later one has replaced, and against a later one that is
// lost or removed while the operator writes it again.
func TestEarlierRolloutOrderOfTheCopyIsNotBelieved(t *testing.T) {
	withRestore(t, func(s *memoryStore) { s.put(orderKey, "v2") }, func(s *memoryStore) { s.put(orderKey, "v3") }, func(t *testing.T, h *testHost) {
		time.Sleep(1500 * time.Millisecond)
		h.store.put(orderKey, "v3")
		time.Sleep(5 * time.Second)
		synctest.Wait()
		var got []string
		for _, o := range h.orders {
			got = append(got, string(o.Value))
		}
		if want := []string{"v2", "v3", "v3"}; !slices.Equal(got, want) {
			t.Errorf("orders %v, want %v", got, want)
		}
	})
	withRestore(t, nothing, func(s *memoryStore) { s.put(orderKey, "v2") }, func(t *testing.T, h *testHost) {
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if n := len(h.orders); n != 2 || !h.orders[1].Deleted {
			t.Errorf("orders %+v, want one and its removal after it was not written again", h.orders)
		}
	})
}

// Guards against changes of an earlier era, from a peer that does not know of the restore, that are
// newer by revision, and against a host that does not learn the era from a peer.
func TestPeersOfAnotherEra(t *testing.T) {
	withRestore(t, nothing, nothing, func(t *testing.T, reader *testHost) {
		reader.store.put("t/i-1", "ready 1")
		reader.store.put("t/i-4", "ready 1")
		time.Sleep(time.Second)
		change := peers.Change{Key: "t/i-4", Revision: 1000, Deleted: true}
		reader.HandleHeartbeat(&peers.Heartbeat{Name: "old", Address: "old", ListAgeMs: -1, StoreEra: 1, Changes: []peers.Change{change}}, time.Now())
		reader.expectTargets(t, "after an earlier era's change", "i-1", "i-4")
		cut := &testHost{store: newMemoryStore(), fakePeers: &fakePeers{snapshot: reader.Snapshot}}
		cut.Directory = newDirectory(cut)
		cut.store.update(func() { cut.store.era, cut.store.revision = 1, 500 })
		cut.store.put("o/config", "1")
		cut.store.put("t/i-1", "ready 1")
		cut.store.put("t/i-9", "ready 1")
		stop := run(t, cut.Directory)
		defer stop()
		time.Sleep(time.Second)
		cut.store.update(func() { cut.store.down = true })
		hear := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
				h := &peers.Heartbeat{IntervalMs: 250}
				reader.FillHeartbeat(h, time.Now())
				h.Name, h.Address = "good", "good"
				cut.HandleHeartbeat(h, time.Now())
			}
		}
		hear(time.Second)
		cut.expectTargets(t, "when it has heard the era", "i-1", "i-4", "i-9")
		hear(4 * time.Second)
		cut.expectTargets(t, "after the second listing", "i-1", "i-4")
	})
}

// Guards against a store without eras that is listed more often than before.
func TestNoEraTakesNoFurtherCalls(t *testing.T) {
	withHost(t, func(t *testing.T, h *testHost) {
		h.store.put(zoneKey, "{}")
		h.hear(peers.Change{Key: "t/i-1", Revision: 1})
		time.Sleep(20 * time.Second)
		if h.store.lists != 2 {
			t.Errorf("%d listings, want the two of the first read", h.store.lists)
		}
	})
}
