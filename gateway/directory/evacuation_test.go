package directory_test

import (
	"testing"
	"time"

	"sardinefront.dev/gateway/peers"
)

const zoneKey = "o/e/north"

// expectEvacuated checks whether the zone is evacuated after a time in which the host may read.
func (h *testHost) expectEvacuated(t *testing.T, want bool, after time.Duration) {
	t.Helper()
	time.Sleep(after)
	if got := h.EvacuatedZones().Contain("north"); got != want {
		t.Errorf("evacuated: %t after %s, want %t", got, after, want)
	}
}

func (h *testHost) hear(changes ...peers.Change) {
	h.HandleHeartbeat(&peers.Heartbeat{Name: "good", Address: "good", ListAgeMs: -1, Changes: changes}, time.Now())
}

// Guards against an evacuation that takes more than a second to be known, or that is lost with the
// store, with the history of its removal, or at a host that was cut off from the store meanwhile.
func TestEvacuationFollowsTheStore(t *testing.T) {
	withHost(t, func(t *testing.T, h *testHost) {
		h.expectEvacuated(t, false, 0)
		h.store.put(zoneKey, "{}")
		h.expectEvacuated(t, true, time.Second)
		h.store.update(func() { h.store.down = true })
		h.expectEvacuated(t, true, time.Minute)
		h.store.remove(zoneKey)
		h.store.update(func() { h.store.down, h.store.compacted, h.store.history = false, h.store.revision, nil })
		h.expectEvacuated(t, false, time.Second)
		h.store.put(zoneKey, "{}")
		h.expectEvacuated(t, true, time.Second)
		h.store.remove(zoneKey)
		h.expectEvacuated(t, false, time.Second)
	})
}

// Guards against an older change that arrives late and undoes a newer one.
func TestEvacuationChangesInAnyOrder(t *testing.T) {
	withHost(t, func(t *testing.T, h *testHost) {
		h.hear(peers.Change{Key: zoneKey, Revision: 12, Deleted: true})
		h.hear(peers.Change{Key: zoneKey, Revision: 11})
		h.expectEvacuated(t, false, 0)
		h.hear(peers.Change{Key: zoneKey, Revision: 14})
		h.hear(peers.Change{Key: zoneKey, Revision: 13, Deleted: true})
		h.expectEvacuated(t, true, 0)
	})
}

// Guards against a host without the store that starts, or returns from a partition, and never learns
// of an evacuation or its removal, which heartbeats tell for some seconds only.
func TestEvacuationIsLearntFromAPeer(t *testing.T) {
	withHost(t, func(t *testing.T, reader *testHost) {
		reader.store.put(zoneKey, "{}")
		reader.expectEvacuated(t, true, 10*time.Second)
		cut := &testHost{store: newMemoryStore(), fakePeers: &fakePeers{snapshot: reader.Snapshot}}
		cut.store.down = true
		cut.Directory = newDirectory(cut)
		stop := run(t, cut.Directory)
		defer stop()
		listen := func() {
			for range 20 {
				h := &peers.Heartbeat{IntervalMs: 250}
				reader.FillHeartbeat(h, time.Now())
				h.Name, h.Address = "good", "good"
				cut.HandleHeartbeat(h, time.Now())
				time.Sleep(100 * time.Millisecond)
			}
		}
		listen()
		cut.expectEvacuated(t, true, 0)
		reader.store.remove(zoneKey)
		time.Sleep(10 * time.Second) // the reader does not tell the change any more
		listen()
		cut.expectEvacuated(t, false, 0)
	})
}
