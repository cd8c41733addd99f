package rollout

import "time"

// StoreRestored makes all orders wait for their new revisions, because the store has come back from an
// older copy of its content. Revisions and final states of the earlier era may be lost.
func (t *Tracker) StoreRestored() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, st := range t.rollouts {
		st.order.Revision = 0
		st.rewrite = st.stored
	}
}

// isRewritten reports whether an order is this one, with its revision after StoreRestored.
func (st *rolloutState) isRewritten(o Order) bool {
	known := st.order
	known.Revision = o.Revision
	return st.order.Revision == 0 && known == o
}

// StartedAt returns the start of a rollout whose order the tracker had before StoreRestored, if o is
// that order written again. Start then goes on with it.
func (t *Tracker) StartedAt(o Order) (at time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.rollouts[o.Service]
	if st == nil || !st.isRewritten(o) {
		return time.Time{}, false
	}
	return st.startedAt, true
}
