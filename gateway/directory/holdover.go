package directory

import (
	"time"

	"sardinefront.dev/platform"
)

// HoldOver keeps all targets until RemoveHeldOver, whatever a listing lacks, and forgets their
// revisions. The store has come back from an older copy of its content, and targets need some time
// to write their entries again.
func (l *List) HoldOver() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, e := range l.entries {
		if e.target == nil {
			delete(l.entries, key)
			continue
		}
		e.revision, e.valueRevision = 0, 0
	}
	clear(l.delayed)
	l.holding = true
}

// EndHold makes the next listing count for targets that were draining; see withdrawsDraining.
func (l *List) EndHold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holding = false
}

// RemoveHeldOver removes the targets that have not been listed since HoldOver, and returns the
// removals.
func (l *List) RemoveHeldOver(asOf int64, now time.Time) []platform.Entry {
	l.mu.Lock()
	var out []platform.Entry
	for key, e := range l.entries {
		if e.revision == 0 {
			out = append(out, platform.Entry{Key: key, Revision: max(1, asOf), Deleted: true})
		}
	}
	l.mu.Unlock()
	return l.Apply(out, false, now)
}

// withdrawsDraining reports whether a change lists a held over target as ready that was draining.
// The older copy may be from before the target began to drain. The caller holds the lock.
func (l *List) withdrawsDraining(e *entry, c platform.Entry, now time.Time) bool {
	if e.revision > 0 || e.target == nil || !e.target.Draining || c.Deleted {
		return false
	}
	t, err := l.decode(c.Key, c.Value, now)
	return err == nil && !t.Draining && t.Key() == e.target.Key()
}
