package judge

import (
	"sort"
	"time"
)

// Key names a cell within a window.
type CellKey struct {
	RouteKey
	// New is set for the version that the move introduces.
	NewVersion bool
	Group      uint8
}

// RouteKey names what is compared.
type RouteKey struct {
	Route string
	// Urgent requests are compared among themselves, because they reach the new
	// version later and would change the mix of its requests.
	Urgent bool
}

func (k RouteKey) String() string {
	if k.Urgent {
		return k.Route + " (urgent)"
	}
	return k.Route
}

// newBit marks the cells of the new version.
const newBit = GroupCount

// Cells holds the cells of one route: the group's number for the old version,
// with newBit for the new one.
type Cells [2 * GroupCount]Cell

func (c *Cells) merge(o *Cells) {
	for i := range o {
		if o[i].Requests > 0 {
			c[i].Merge(o[i])
		}
	}
}

func (k CellKey) index() uint8 {
	i := k.Group % GroupCount
	if k.NewVersion {
		i |= newBit
	}
	return i
}

// Window is the evidence of one window.
type Window map[RouteKey]*Cells

func (w Window) at(k RouteKey) *Cells {
	c := w[k]
	if c == nil {
		c = &Cells{}
		w[k] = c
	}
	return c
}

func (w Window) add(o Window) {
	for k, c := range o {
		w.at(k).merge(c)
	}
}

func (w Window) hasNew() bool {
	for _, cells := range w {
		for i := newBit; i < len(cells); i++ {
			if cells[i].Requests > 0 {
				return true
			}
		}
	}
	return false
}

func (w Window) requests() uint64 {
	var n uint64
	for _, cells := range w {
		for i := range cells {
			n += cells[i].Requests
		}
	}
	return n
}

// openWindows is the number of windows, the current one included, that may
// still change by a digest. A digest that is older is dropped.
const openWindows = 5

// baselineLimit bounds the weight of the baseline in requests per cell, so that
// it follows slow changes.
const baselineLimit = 4000

// Evidence pools the windows of all hosts for one move. It is not safe for
// concurrent use.
type Samples struct {
	open   map[int64]map[string]Window // window, origin
	closed map[int64]Window
	// baseline is what has left the ring of the time before the new version's
	// first request. It shows each target on the old version. Later records
	// must not enter it: they cover other times than those of the targets that
	// were loaded first.
	baseline Window
	firstNew int64 // window of the new version's first request; 0 for none
	latest   int64
	// spans holds, by horizon, the sums over the closed windows; it changes
	// only when a window closes.
	spans map[time.Duration]span
	// findings holds the last result by horizon.
	findings map[time.Duration]finding
}

// span is the evidence of a horizon, and of the time before the new version.
type span struct{ recent, before Window }

// NewEvidence returns empty evidence.
func NewSamples() *Samples {
	return &Samples{
		open: map[int64]map[string]Window{}, closed: map[int64]Window{}, baseline: Window{},
		findings: map[time.Duration]finding{},
	}
}

// Observe counts one request of the host named origin.
func (e *Samples) Observe(origin string, now time.Time, k CellKey, r Result, firstToken, betweenTokens time.Duration) {
	w := WindowNumber(now)
	e.advance(w)
	if w <= e.latest-openWindows {
		return
	}
	byOrigin := e.origins(w)
	if byOrigin[origin] == nil {
		byOrigin[origin] = Window{}
	}
	if k.NewVersion {
		e.begin(w)
	}
	byOrigin[origin].at(k.RouteKey)[k.index()].Add(r, firstToken, betweenTokens)
}

// Adopt takes a peer's window. Repeats and older states of the same window have
// no effect, so digests may be lost, repeated and reordered. It reports whether
// the window was taken.
func (e *Samples) MergeWindow(origin string, number int64, w Window, now time.Time) bool {
	e.advance(WindowNumber(now))
	if number <= e.latest-openWindows || number > e.latest+1 {
		return false
	}
	byOrigin := e.origins(number)
	if byOrigin[origin].requests() >= w.requests() {
		return false
	}
	byOrigin[origin] = w
	if w.hasNew() {
		e.begin(number)
	}
	return true
}

// begin notes that the new version answered in the window.
func (e *Samples) begin(window int64) {
	if e.firstNew == 0 || window < e.firstNew {
		e.firstNew = window
		e.spans = map[time.Duration]span{}
	}
}

// precedes reports whether the window belongs to the time before the new
// version.
func (e *Samples) precedes(window int64) bool { return e.firstNew == 0 || window < e.firstNew }

// Own returns the numbers of the open windows of the origin, newest first.
func (e *Samples) OpenWindows(origin string, now time.Time) []int64 {
	e.advance(WindowNumber(now))
	var found []int64
	for n, by := range e.open {
		if len(by[origin]) > 0 {
			found = append(found, n)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i] > found[j] })
	return found
}

// At returns the origin's open window; the caller must not change it.
func (e *Samples) OpenWindow(origin string, number int64) Window { return e.open[number][origin] }

func (e *Samples) origins(n int64) map[string]Window {
	if e.open[n] == nil {
		e.open[n] = map[string]Window{}
	}
	return e.open[n]
}

// advance closes and evicts windows up to the current one.
func (e *Samples) advance(current int64) {
	if current <= e.latest {
		return
	}
	e.latest = current
	e.spans = map[time.Duration]span{}
	for n, by := range e.open {
		if n <= current-openWindows {
			e.closed[n] = mergeOrigins(by)
			delete(e.open, n)
		}
	}
	for n, w := range e.closed {
		if n < current-ringLength {
			if e.precedes(n) {
				e.retire(w)
			}
			delete(e.closed, n)
		}
	}
}

func mergeOrigins(by map[string]Window) Window {
	sum := Window{}
	for _, w := range by {
		sum.add(w)
	}
	return sum
}

// retire moves the old version's counts of a window into the baseline.
func (e *Samples) retire(w Window) {
	for k, cells := range w {
		base := e.baseline.at(k)
		for g := range newBit {
			base[g].Merge(cells[g])
			if base[g].Requests > baselineLimit {
				base[g].halve()
			}
		}
	}
}

// over returns the evidence of the horizon that ends now, and that of the time
// before the new version. The caller may change neither.
func (e *Samples) over(now time.Time, h time.Duration) span {
	e.advance(WindowNumber(now))
	first := e.latest - int64(h/WindowLength)
	closed, ok := e.spans[h]
	if !ok {
		closed = span{Window{}, Window{}}
		closed.before.add(e.baseline)
		for n, w := range e.closed {
			e.place(closed, n, first, w)
		}
		e.spans[h] = closed
	}
	s := span{Window{}, closed.before}
	s.recent.add(closed.recent)
	if e.precedes(e.latest - openWindows + 1) {
		// Open windows belong to the record before the new version, so the
		// cached sum must not be extended in place.
		s.before = Window{}
		s.before.add(closed.before)
	}
	for n, by := range e.open {
		for _, w := range by {
			e.place(s, n, first, w)
		}
	}
	return s
}

func (e *Samples) place(s span, n, first int64, w Window) {
	if n >= first {
		s.recent.add(w)
	}
	if e.precedes(n) {
		s.before.add(w)
	}
}
