package simulate

import (
	"context"
	"testing"
	"time"

	"sardinefront.dev/fleet/config"
)

// push lets an operator push the next version and waits for the answer.
func push(t *testing.T, w *World, version int) config.Version {
	t.Helper()
	var st config.Version
	w.RunPublisher(func(ctx context.Context, o *config.Publisher) {
		base, err := config.Get(ctx, o.KV)
		if err != nil && version > 1 {
			t.Error(err)
		}
		v, err := o.Push(ctx, RulesText(300, version), "operator", "change", base.Number)
		if err != nil {
			t.Error(err)
		}
		st = v.Version()
	})
	if _, ok := w.RunUntil(time.Second, func() bool { return st.Number > 0 }); !ok {
		t.Fatal("the push did not end")
	}
	return st
}

// allHold reports whether the hosts hold the value or a newer one.
func allHold(hosts []*Host, st config.Version) func() bool {
	return func() bool {
		for _, h := range hosts {
			if h.Up() && st.Newer(h.Version()) {
				return false
			}
		}
		return true
	}
}

// Guards the bounds on the time until a change is in force: 5 s today, 19 s at
// the target scale.
func TestChangeIsInForceInTime(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		zones, perZone int
		limit          time.Duration
	}{{3, 3, 5 * time.Second}, {4, 2, 5 * time.Second}, {9, 40, 19 * time.Second}} {
		w := fleetOf(t, c.zones, c.perZone, 0.01)
		for version := 1; version <= 4; version++ {
			st := push(t, w, version)
			within(t, w, c.limit, "in force everywhere", allHold(w.Hosts, st))
		}
	}
}

// Guards a restart while the store is down: the file comes from peers.
func TestRestartWithStoreDown(t *testing.T) {
	t.Parallel()
	w := fleetOf(t, 3, 3, 0)
	st := push(t, w, 1)
	w.Run(5 * time.Second)
	w.Store.Down = true
	for _, h := range []*Host{w.Hosts[0], w.Hosts[4]} {
		h.Crash()
		h.Start()
	}
	within(t, w, 5*time.Second, "restarted hosts hold the file", allHold(w.Hosts, st))
	w.Run(2 * time.Minute)
	if s := w.Hosts[0].Status(); !s.StoreUnreachable || s.Stale {
		t.Errorf("store down for two minutes: status %+v", s)
	}
	w.Store.Down = false
	within(t, w, 10*time.Second, "no longer cut off", func() bool {
		for _, h := range w.Hosts {
			if h.Status().StoreUnreachable {
				return false
			}
		}
		return true
	})
}

// Guards a store that was set back to a backup: hosts refuse and report the
// older file, and Restore brings the store up to date.
func TestStoreSetBack(t *testing.T) {
	t.Parallel()
	w := fleetOf(t, 3, 3, 0)
	push(t, w, 1)
	backup := w.Store.Snapshot()
	push(t, w, 2)
	st := push(t, w, 3)
	within(t, w, 5*time.Second, "in force", allHold(w.Hosts, st))
	w.Store.RestoreSnapshot(backup)
	w.Run(10 * time.Second)
	behind := 0
	for _, h := range w.Hosts {
		if h.Version() != st {
			t.Errorf("%s holds %v", h.Name, h.Version())
		}
		if h.Status().StoreNumber == 1 {
			behind++
		}
	}
	if behind < 3*config.WatchersPerZone {
		t.Errorf("%d hosts report the older store", behind)
	}
	var restored config.RulesFile
	w.RunPublisher(func(ctx context.Context, o *config.Publisher) {
		var err error
		if restored, err = o.Restore(ctx, w.Hosts[0].LatestRules(), "operator", "restore"); err != nil {
			t.Error(err)
		}
	})
	w.Run(time.Second)
	if restored.Number != st.Number+1 {
		t.Fatalf("restored as number %d", restored.Number)
	}
	within(t, w, 5*time.Second, "restored file in force", allHold(w.Hosts, restored.Version()))
}

// Guards a zone that is cut off: it goes on with its file, says so, and catches
// up after the cut. A zone that only lost the store hears of it from peers.
func TestZoneCutOff(t *testing.T) {
	t.Parallel()
	w := fleetOf(t, 3, 6, 0)
	before := push(t, w, 1)
	within(t, w, 5*time.Second, "in force", allHold(w.Hosts, before))
	for _, h := range w.Hosts[12:] {
		h.StoreBlocked = true
	}
	w.PartitionZone(0)
	st := push(t, w, 2)
	within(t, w, 5*time.Second, "in force outside, without the store too", allHold(w.Hosts[6:], st))
	w.Run(2 * time.Minute)
	for i, h := range w.Hosts {
		if cut := h.Status().StoreUnreachable; cut != (i < 6) {
			t.Errorf("%s: cut off %v", h.Name, cut)
		}
	}
	if w.Hosts[0].Version() != before {
		t.Errorf("the zone cut off holds %v", w.Hosts[0].Version())
	}
	w.Heal()
	within(t, w, 10*time.Second, "caught up", allHold(w.Hosts, st))
}
