package simulate

import (
	"context"
	"testing"
	"time"

	"sardinefront.dev/fleet/config"
)

// push runs an operator that pushes the given version of the rules file, and waits until
// the push ends.
func push(t *testing.T, w *World, version int) config.Version {
	t.Helper()
	var pushed config.Version
	w.RunPublisher(func(ctx context.Context, p *config.Publisher) {
		base, err := config.Get(ctx, p.KV)
		if err != nil && version > 1 {
			t.Error(err)
		}
		v, err := p.Push(ctx, RulesText(300, version), "operator", "change", base.Number)
		if err != nil {
			t.Error(err)
		}
		pushed = v.Version()
	})
	if _, ok := w.RunUntil(time.Second, func() bool { return pushed.Number > 0 }); !ok {
		t.Fatal("the push did not end")
	}
	return pushed
}

// allHold reports whether all running hosts hold the wanted version or a newer one.
func allHold(hosts []*Host, want config.Version) func() bool {
	return func() bool {
		for _, h := range hosts {
			if h.Up() && want.Newer(h.Version()) {
				return false
			}
		}
		return true
	}
}

// Guards the limits on the time until all hosts hold a change: 5 s for today's fleets,
// 19 s at the target scale.
func TestChangePropagationTime(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		zones, perZone int
		limit          time.Duration
	}{{3, 3, 5 * time.Second}, {4, 2, 5 * time.Second}, {9, 40, 19 * time.Second}} {
		w := newFleet(t, c.zones, c.perZone, 0.01)
		for version := 1; version <= 4; version++ {
			want := push(t, w, version)
			within(t, w, c.limit, "change on all hosts", allHold(w.Hosts, want))
		}
	}
}

// Guards against hosts without a rules file when they restart while the store is down:
// they must fetch it from peers. Status must report the outage and its end.
func TestRestartWithStoreDown(t *testing.T) {
	t.Parallel()
	w := newFleet(t, 3, 3, 0)
	want := push(t, w, 1)
	w.Run(5 * time.Second)
	w.Store.Down = true
	for _, h := range []*Host{w.Hosts[0], w.Hosts[4]} {
		h.Crash()
		h.Start()
	}
	within(t, w, 5*time.Second, "file on restarted hosts", allHold(w.Hosts, want))
	w.Run(2 * time.Minute)
	if s := w.Hosts[0].Status(); !s.StoreUnreachable || s.Stale {
		t.Errorf("store down for two minutes: status %+v", s)
	}
	w.Store.Down = false
	within(t, w, 10*time.Second, "store reachable again", func() bool {
		for _, h := range w.Hosts {
			if h.Status().StoreUnreachable {
				return false
			}
		}
		return true
	})
}

// Guards against hosts that adopt an older file after the store was restored from a
// backup: they must reject and report it until Restore has updated the store.
func TestStoreRollback(t *testing.T) {
	t.Parallel()
	w := newFleet(t, 3, 3, 0)
	push(t, w, 1)
	backup := w.Store.Snapshot()
	push(t, w, 2)
	want := push(t, w, 3)
	within(t, w, 5*time.Second, "file on all hosts", allHold(w.Hosts, want))
	w.Store.RestoreSnapshot(backup)
	w.Run(10 * time.Second)
	behind := 0
	for _, h := range w.Hosts {
		if h.Version() != want {
			t.Errorf("%s holds %v", h.Name, h.Version())
		}
		if h.Status().StoreNumber == 1 {
			behind++
		}
	}
	if behind < 3*config.WatchersPerZone {
		t.Errorf("%d hosts report that the store is older", behind)
	}
	var restored config.RulesFile
	w.RunPublisher(func(ctx context.Context, p *config.Publisher) {
		var err error
		if restored, err = p.Restore(ctx, w.Hosts[0].LatestRules(), "operator", "restore"); err != nil {
			t.Error(err)
		}
	})
	w.Run(time.Second)
	if restored.Number != want.Number+1 {
		t.Fatalf("restored as number %d", restored.Number)
	}
	within(t, w, 5*time.Second, "restored file on all hosts", allHold(w.Hosts, restored.Version()))
}

// Guards the behaviour in a network partition: a partitioned zone keeps its rules file,
// reports that the store is unreachable, and receives the newer file after the partition
// ends. A zone that only cannot reach the store receives the file from peers.
func TestZonePartition(t *testing.T) {
	t.Parallel()
	w := newFleet(t, 3, 6, 0)
	before := push(t, w, 1)
	within(t, w, 5*time.Second, "first file on all hosts", allHold(w.Hosts, before))
	for _, h := range w.Hosts[12:] {
		h.StoreBlocked = true
	}
	w.PartitionZone(0)
	want := push(t, w, 2)
	within(t, w, 5*time.Second, "change outside the partitioned zone, also without the store", allHold(w.Hosts[6:], want))
	w.Run(2 * time.Minute)
	for i, h := range w.Hosts {
		if unreachable := h.Status().StoreUnreachable; unreachable != (i < 6) {
			t.Errorf("%s: store unreachable: %v", h.Name, unreachable)
		}
	}
	if w.Hosts[0].Version() != before {
		t.Errorf("the partitioned zone holds %v", w.Hosts[0].Version())
	}
	w.Heal()
	within(t, w, 10*time.Second, "change on all hosts after the partition", allHold(w.Hosts, want))
}
