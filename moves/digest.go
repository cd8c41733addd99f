package moves

import (
	"fmt"
	"slices"
	"time"

	"sardinefront.dev/moves/analysis"
	"sardinefront.dev/moves/control"
)

// Digest returns an encoded digest of at most limit bytes with this host's own
// samples for the pool's running move, newest windows first, or nil if there
// are none. A peer that receives one digest per minute misses nothing, because
// each window is repeated while it is open.
func (t *Tracker) Digest(pool string, now time.Time, limit int) ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.pools[pool]
	if m == nil || m.state.Phase != control.Running {
		return nil, nil
	}
	d := digest{MoveID: m.state.ID, Origin: t.host}
	var out []byte
	for _, n := range m.samples.OpenWindows(t.host, now) {
		d.Windows = append(d.Windows, windowDigest{
			Number: n, Routes: analysis.EncodeWindow(m.samples.OpenWindow(t.host, n))})
		b, err := encoder.Marshal(d)
		if err != nil {
			return nil, fmt.Errorf("encode sample digest: %w", err)
		}
		if len(b) > limit {
			break
		}
		out = b
	}
	return out, nil
}

// MergeDigest adds the samples of a peer's digest. Digests may be repeated,
// reordered or lost.
func (t *Tracker) MergeDigest(b []byte, now time.Time) error {
	var d digest
	if err := decoder.Unmarshal(b, &d); err != nil {
		return fmt.Errorf("decode sample digest: %w", err)
	}
	windows := make([]analysis.Window, len(d.Windows))
	for i, w := range d.Windows {
		window, err := analysis.DecodeWindow(w.Routes)
		if err != nil {
			return fmt.Errorf("decode sample digest of host %s: %w", d.Origin, err)
		}
		windows[i] = window
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.findMove(d.MoveID)
	if m == nil || d.Origin == t.host {
		return nil
	}
	for i, w := range d.Windows {
		m.samples.MergeWindow(d.Origin, w.Number, windows[i], now)
	}
	return nil
}

func (t *Tracker) findMove(id string) *trackedMove {
	for _, m := range t.pools {
		if m.state.ID == id || slices.Contains(m.state.Aliases, id) {
			return m
		}
	}
	return nil
}

// EncodedState returns the pool's encoded state and its sequence number, to
// send to a peer with a smaller one. The state is nil if there is none.
func (t *Tracker) EncodedState(pool string) (state []byte, seq uint64, err error) {
	s, ok := t.State(pool)
	if !ok {
		return nil, 0, nil
	}
	b, err := EncodeState(s)
	return b, s.Seq, err
}

// ApplyEncodedState decodes and applies a state: the value of the store's key
// StateKey(pool), or a peer's EncodedState. See ApplyState.
func (t *Tracker) ApplyEncodedState(pool string, value []byte, now time.Time) (bool, error) {
	s, err := DecodeState(value)
	if err != nil {
		return false, err
	}
	return t.ApplyState(pool, s, now), nil
}

// StateKey returns the store's key of a pool's move state.
func StateKey(pool string) string { return "moves/" + pool + "/state" }
