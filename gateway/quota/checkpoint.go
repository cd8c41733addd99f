package quota

import "time"

// Histories returns what all hosts have used lately, by organisation.
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

// Restore takes histories of the given age from a checkpoint. Use may have gone on
// unseen for a while after it.
func (m *Meter) Restore(histories map[string]History, age, unseen time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.restored, m.restoredAt, m.unseen = histories, now.Add(-max(0, age)), unseen
	for name := range m.buckets {
		m.raise(name, now)
	}
}

// raise puts the restored history of an organisation into its window.
func (m *Meter) raise(name string, now time.Time) {
	h, ok := m.restored[name]
	age := now.Sub(m.restoredAt)
	if b := m.buckets[name]; ok && b.window != nil && age <= m.tolerance.Window {
		b.window.raise(h, age, m.unseen, now)
	}
}

// Pressed reports whether an organisation has used so much of a window that hosts
// which have forgotten it could exceed the window.
func (m *Meter) CheckpointNeeded(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, b := range m.buckets {
		if b.window == nil {
			continue
		}
		b.window.advance(now)
		if b.window.total > pressedPart*b.most {
			return true
		}
	}
	return false
}
