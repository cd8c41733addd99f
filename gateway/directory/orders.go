package directory

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sardinefront.dev/core/event"
	"sardinefront.dev/gateway/peers"
	"sardinefront.dev/platform"
	"sardinefront.dev/sched/reserve"
)

// orderState is the newest known state of an operator order.
type orderState struct {
	// revision is 0 for an order that is held over; see adoptEra.
	revision int64
	removed  bool
	value    []byte
}

// missingOrders returns the removal of each operator order that a complete listing as of a revision
// lacks. Orders that are held over are not removed.
func (d *Directory) missingOrders(listed []platform.Entry, asOf int64) []platform.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []platform.Entry
	for key, o := range d.orders {
		isListed := slices.ContainsFunc(listed, func(e platform.Entry) bool { return e.Key == key })
		if !isListed && !o.removed && o.revision <= asOf && (o.revision > 0 || !d.era.holding()) {
			out = append(out, platform.Entry{Key: key, Revision: asOf, Deleted: true})
		}
	}
	return out
}

// recordOrder records an operator order or its removal, and reports whether it is newer than the known
// one. The caller holds the lock.
func (d *Directory) recordOrder(c platform.Entry, from source, now time.Time) (newer bool) {
	if d.orders[c.Key].revision >= c.Revision {
		return false
	}
	d.orders[c.Key] = orderState{revision: c.Revision, removed: c.Deleted, value: c.Value}
	if from == fromStore {
		d.recentChanges = append(d.recentChanges, recentChange{c, now})
	}
	return true
}

// applyRolloutOrder applies a rollout order, or its removal.
func (d *Directory) applyRolloutOrder(c platform.Entry, from source, now time.Time) {
	d.mu.Lock()
	age := d.maxOrderAge(from, now)
	newer := d.recordOrder(c, from, now)
	d.mu.Unlock()
	if !newer || d.cfg.OnRolloutOrder == nil {
		return
	}
	d.cfg.OnRolloutOrder(strings.TrimPrefix(c.Key, d.cfg.Layout.RolloutPrefix), c, age)
	if from == fromStore {
		d.triggerHeartbeats()
	}
}

// maxOrderAge returns how long ago an order that was just received may have been written: at most
// since the last read of the store by any host. A peer reports the age of its orders itself. The
// caller holds the lock.
func (d *Directory) maxOrderAge(from source, now time.Time) time.Duration {
	if from != fromStore || d.freshAt.IsZero() {
		return 0
	}
	return min(now.Sub(d.freshAt), maxUnreadTime)
}

// evacuations is the set of evacuated availability zones. It is replaced and never modified.
type evacuations struct {
	zones reserve.Zones
	// digest is a hash of the zones, 0 for none.
	digest uint64
}

// isEvacuation reports whether a key is that of the evacuation of a zone.
func (l *Layout) isEvacuation(key string) bool {
	return l.EvacuationPrefix != "" && strings.HasPrefix(key, l.EvacuationPrefix)
}

// isOrder reports whether a key is that of an operator order.
func (l *Layout) isOrder(key string) bool {
	return strings.HasPrefix(key, l.RolloutPrefix) || l.isEvacuation(key)
}

// EvacuatedZones returns the availability zones that the operator has evacuated. The result must
// not be modified.
func (d *Directory) EvacuatedZones() reserve.Zones {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.evacuations.zones
}

// applyEvacuation applies the evacuation of a zone, or its removal.
func (d *Directory) applyEvacuation(c platform.Entry, from source, now time.Time) {
	d.mu.Lock()
	old, known := d.orders[c.Key]
	wasEvacuated := known && !old.removed
	changed := d.recordOrder(c, from, now) && wasEvacuated == c.Deleted
	if changed {
		d.evacuations = d.currentEvacuations()
	}
	d.mu.Unlock()
	if !changed {
		return
	}
	d.evacuationChanged(c, from)
}

// evacuationChanged logs a change of the evacuated zones and passes it on.
func (d *Directory) evacuationChanged(c platform.Entry, from source) {
	line := event.ZoneEvacuated
	if c.Deleted {
		line = event.ZoneReopened
	}
	line.Log(d.cfg.Log, slog.String("zone", strings.TrimPrefix(c.Key, d.cfg.Layout.EvacuationPrefix)), slog.Int64("revision", c.Revision))
	d.cfg.OnChange()
	if from == fromStore {
		d.triggerHeartbeats()
	}
}

// currentEvacuations returns the evacuations among the orders. The caller holds the lock.
func (d *Directory) currentEvacuations() evacuations {
	out := evacuations{zones: reserve.Zones{}}
	for key, o := range d.orders {
		if !o.removed && d.cfg.Layout.isEvacuation(key) {
			out.zones[strings.TrimPrefix(key, d.cfg.Layout.EvacuationPrefix)] = true
			out.digest ^= xxhash.Sum64String(key)
		}
	}
	return out
}

// orderEntries returns the evacuations and their removals, for a host that can't reach the store.
// If the store has an era, it also returns the rollout orders, for a host that has not listed the era
// yet. The caller holds the lock.
func (d *Directory) orderEntries() []peers.Change {
	var out []peers.Change
	for key, o := range d.orders {
		if o.revision > 0 && (d.era.current > 0 || d.cfg.Layout.isEvacuation(key)) {
			out = append(out, peers.Change{Key: key, Value: o.value, Revision: o.revision, Deleted: o.removed})
		}
	}
	return out
}

// digest returns a hash of the target list and the evacuated zones. The caller holds the lock.
func (d *Directory) digest() uint64 { return d.list.Digest() ^ d.evacuations.digest }
