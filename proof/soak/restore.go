package soak

import (
	"math/rand/v2"
	"time"

	"sardinefront.dev/platform/wire"
	"sardinefront.dev/standin/fleetuser"
	"sardinefront.dev/standin/kvstore"
)

const (
	// maxCopyAge is the largest age of the copy from which the store comes back.
	maxCopyAge = 3 * time.Second
	// leaseLapse is when entries of servers that are gone lapse after a restore.
	leaseLapse = time.Second
)

// planRestore returns the fault in which the store comes back from an older copy, once in a run. It is
// drawn apart from the other faults, so that a seed keeps their schedule.
func planRestore(seed uint64, length time.Duration) []action {
	p := &planner{rnd: rand.New(rand.NewPCG(seed, seed+3))}
	at := length/2 + time.Duration(p.rnd.Int64N(int64(length/2)))
	var end func()
	p.add(at-p.durationBetween(time.Second/2, maxCopyAge), "copy of the store", func(w *world) { w.store.Backup() })
	p.add(at, "store away for a restore", func(w *world) {
		end = w.storeDisturbances.begin()
		w.store.SetFaults(kvstore.Faults{Unavailable: true})
	})
	back := at + p.durationBetween(200*time.Millisecond, time.Second)
	p.add(back, "store back from the copy", func(w *world) {
		w.store.Restore()
		w.store.SetFaults(kvstore.Faults{})
	})
	p.add(back+leaseLapse, "configuration written again, lapsed entries removed", (*world).rewriteStore)
	p.add(back+2*maxCopyAge, "end of the restore", func(*world) { end() })
	return p.actions
}

// rewriteStore writes what the operator has written, and removes the entries of servers that are gone.
// Live servers renew theirs.
func (w *world) rewriteStore() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.Put(wire.KeyConfig, fleetuser.Configuration(w.configVersion, timeoutMs, 0, engineSlots))
	for _, s := range w.servers {
		s.mu.Lock()
		if s.removed {
			w.store.Delete(wire.PrefixTargets + s.id)
		}
		s.mu.Unlock()
	}
}
