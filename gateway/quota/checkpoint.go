package quota

import "time"

// Histories returns the recent use of all hosts, by organisation.
func (m *Meter) Histories(now time.Time) map[string]History {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]History{}
	for name, b := range m.buckets {
		if b.window != nil && b.spent(now) > 0 {
			out[name] = b.window.history(now)
		}
	}
	return out
}

// Restore applies the histories from a checkpoint of the given age. Hosts may have gone on using
// quotas for the unrecorded time after the checkpoint.
func (m *Meter) Restore(histories map[string]History, age, unrecorded time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.restored, m.restoredAt, m.unrecorded = histories, now.Add(-max(0, age)), unrecorded
	for name := range m.buckets {
		m.restoreWindow(name, now)
	}
}

// restoreWindow adds the restored history of an organisation to its window.
func (m *Meter) restoreWindow(name string, now time.Time) {
	h, ok := m.restored[name]
	age := now.Sub(m.restoredAt)
	if b := m.buckets[name]; ok && b.window != nil && age <= m.tolerance.Window {
		b.window.restore(h, age, m.unrecorded, now)
	}
}

// CheckpointNeeded reports whether an organisation has used so much of its window that hosts
// which restart without a checkpoint could exceed the window's limit.
func (m *Meter) CheckpointNeeded(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, b := range m.buckets {
		if b.window == nil {
			continue
		}
		b.window.advance(now)
		if b.window.total > checkpointFraction*b.windowLimit {
			return true
		}
	}
	return false
}
