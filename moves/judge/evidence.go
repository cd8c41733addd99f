package judge

import (
	"sort"
	"time"
)

// Key names a cell within a window.
type Key struct {
	Route string
	// Urgent requests are compared among themselves, because they reach the new
	// version later and would change the mix of its requests.
	Urgent bool
	// New is set for the version that the move introduces.
	New   bool
	Group uint8
}

// Window is the evidence that one host collected in one window.
type Window map[Key]Cell

func (w Window) requests() uint64 {
	var n uint64
	for _, c := range w {
		n += c.Requests
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
type Evidence struct {
	open     map[int64]map[string]Window // window, origin
	closed   map[int64]Window
	baseline Window // old version, older than the longest horizon
	latest   int64
}

// NewEvidence returns empty evidence.
func NewEvidence() *Evidence {
	return &Evidence{open: map[int64]map[string]Window{}, closed: map[int64]Window{}, baseline: Window{}}
}

// Observe counts one request of the host named origin.
func (e *Evidence) Observe(origin string, now time.Time, k Key, r Result, firstToken, betweenTokens time.Duration) {
	w := WindowOf(now)
	e.advance(w)
	if w <= e.latest-openWindows {
		return
	}
	byOrigin := e.origins(w)
	if byOrigin[origin] == nil {
		byOrigin[origin] = Window{}
	}
	c := byOrigin[origin][k]
	c.Add(r, firstToken, betweenTokens)
	byOrigin[origin][k] = c
}

// Adopt takes a peer's window. Repeats and older states of the same window have
// no effect, so digests may be lost, repeated and reordered. It reports whether
// the window was taken.
func (e *Evidence) Adopt(origin string, number int64, w Window, now time.Time) bool {
	e.advance(WindowOf(now))
	if number <= e.latest-openWindows || number > e.latest+1 {
		return false
	}
	byOrigin := e.origins(number)
	if byOrigin[origin].requests() >= w.requests() {
		return false
	}
	byOrigin[origin] = w
	return true
}

// Own returns the numbers of the open windows of the origin, newest first.
func (e *Evidence) Own(origin string, now time.Time) []int64 {
	e.advance(WindowOf(now))
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
func (e *Evidence) At(origin string, number int64) Window { return e.open[number][origin] }

func (e *Evidence) origins(n int64) map[string]Window {
	if e.open[n] == nil {
		e.open[n] = map[string]Window{}
	}
	return e.open[n]
}

// advance closes and evicts windows up to the current one.
func (e *Evidence) advance(current int64) {
	if current <= e.latest {
		return
	}
	e.latest = current
	for n, by := range e.open {
		if n <= current-openWindows {
			e.closed[n] = mergeOrigins(by)
			delete(e.open, n)
		}
	}
	for n, w := range e.closed {
		if n <= current-ringLength {
			e.retire(w)
			delete(e.closed, n)
		}
	}
}

func mergeOrigins(by map[string]Window) Window {
	sum := Window{}
	for _, w := range by {
		addWindow(sum, w)
	}
	return sum
}

func addWindow(sum, w Window) {
	for k, c := range w {
		s := sum[k]
		s.Merge(c)
		sum[k] = s
	}
}

// retire moves the old version's counts of a window into the baseline.
func (e *Evidence) retire(w Window) {
	for k, c := range w {
		if k.New {
			continue
		}
		s := e.baseline[k]
		s.Merge(c)
		if s.Requests > baselineLimit {
			s.halve()
		}
		e.baseline[k] = s
	}
}

// span returns the evidence of the horizon that ends now, and the old version's
// evidence from before it.
func (e *Evidence) span(now time.Time, h time.Duration) (recent, before Window) {
	e.advance(WindowOf(now))
	first := WindowOf(now.Add(-h))
	recent, before = Window{}, Window{}
	addWindow(before, e.baseline)
	place := func(n int64, w Window) {
		if n > first {
			addWindow(recent, w)
			return
		}
		addWindow(before, w)
	}
	for n, w := range e.closed {
		place(n, w)
	}
	for n, by := range e.open {
		for _, w := range by {
			place(n, w)
		}
	}
	return recent, before
}
