package moves

import (
	"fmt"
	"slices"
	"time"

	"sardinefront.dev/moves/judge"
	"sardinefront.dev/moves/steer"
)

// Digest returns this host's own evidence on the pool's running move, newest
// windows first, in at most limit bytes; nil if there is none. A peer that
// receives any digest within a minute misses nothing, because each window is
// repeated while it is open to merging.
func (t *Tracker) Digest(pool string, now time.Time, limit int) ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tr := t.pools[pool]
	if tr == nil || tr.state.Phase != steer.Running {
		return nil, nil
	}
	d := digest{Move: tr.state.ID, Origin: t.host}
	var out []byte
	for _, n := range tr.evidence.OpenWindows(t.host, now) {
		d.Windows = append(d.Windows, windowDigest{Number: n, Routes: judge.EncodeWindow(tr.evidence.OpenWindow(t.host, n))})
		b, err := encoder.Marshal(d)
		if err != nil {
			return nil, fmt.Errorf("evidence digest: %w", err)
		}
		if len(b) > limit {
			break
		}
		out = b
	}
	return out, nil
}

// Merge adds a peer's digest. Repeated, reordered and lost digests do no harm.
func (t *Tracker) MergeDigest(b []byte, now time.Time) error {
	var d digest
	if err := decoder.Unmarshal(b, &d); err != nil {
		return fmt.Errorf("evidence digest: %w", err)
	}
	windows := make([]judge.Window, len(d.Windows))
	for i, w := range d.Windows {
		u, err := judge.DecodeWindow(w.Routes)
		if err != nil {
			return fmt.Errorf("evidence digest of %s: %w", d.Origin, err)
		}
		windows[i] = u
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	tr := t.byMove(d.Move)
	if tr == nil || d.Origin == t.host {
		return nil
	}
	for i, w := range d.Windows {
		tr.evidence.MergeWindow(d.Origin, w.Number, windows[i], now)
	}
	return nil
}

func (t *Tracker) byMove(id string) *track {
	for _, tr := range t.pools {
		if tr.state.ID == id || slices.Contains(tr.state.Aliases, id) {
			return tr
		}
	}
	return nil
}

// StateBytes returns the pool's state in its stored form with its sequence
// number, to be given to a peer that holds a smaller one; nil if there is none.
func (t *Tracker) EncodedState(pool string) (state []byte, seq uint64, err error) {
	s, ok := t.State(pool)
	if !ok {
		return nil, 0, nil
	}
	b, err := EncodeState(s)
	return b, s.Seq, err
}

// AdoptBytes is Adopt for a value of the store's key StateKey(pool), or for a
// peer's StateBytes.
func (t *Tracker) ApplyEncodedState(pool string, value []byte, now time.Time) (bool, error) {
	s, err := DecodeState(value)
	if err != nil {
		return false, err
	}
	return t.ApplyState(pool, s, now), nil
}

// StateKey is the store's key of a pool's move state.
func StateKey(pool string) string { return "moves/" + pool + "/state" }
