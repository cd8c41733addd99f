package analysis

import (
	"sort"
	"time"
)

// CellKey identifies a cell within a window.
type CellKey struct {
	RouteKey
	// NewVersion is set for the version that the move introduces.
	NewVersion bool
	// Group is the target group.
	Group uint8
}

// RouteKey identifies a set of requests that is compared between the versions.
type RouteKey struct {
	Route string
	// Urgent is set for urgent requests. They are compared separately, because
	// they are sent to the new version at a later step and would change the mix
	// of its requests.
	Urgent bool
}

func (k RouteKey) String() string {
	if k.Urgent {
		return k.Route + " (urgent)"
	}
	return k.Route
}

// newVersionBit is set in the index of the cells of the new version.
const newVersionBit = GroupCount

// Cells holds the cells of one route. The index is the target group for the old
// version, and the target group with newVersionBit set for the new one.
type Cells [2 * GroupCount]Cell

func (c *Cells) merge(o *Cells) {
	for i := range o {
		if o[i].Requests > 0 {
			c[i].Merge(o[i])
		}
	}
}

func (k CellKey) cellIndex() uint8 {
	i := k.Group % GroupCount
	if k.NewVersion {
		i |= newVersionBit
	}
	return i
}

// Window holds the samples of one time window of WindowLength.
type Window map[RouteKey]*Cells

// cellsOf returns the cells of the route and adds them if they are absent.
func (w Window) cellsOf(k RouteKey) *Cells {
	c := w[k]
	if c == nil {
		c = &Cells{}
		w[k] = c
	}
	return c
}

func (w Window) merge(o Window) {
	for k, c := range o {
		w.cellsOf(k).merge(c)
	}
}

func (w Window) hasNewVersion() bool {
	for _, cells := range w {
		for i := newVersionBit; i < len(cells); i++ {
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

// openWindowCount is the number of windows, including the current one, that a
// digest may still change. Digests for older windows are dropped.
const openWindowCount = 5

// maxBaselineRequests limits the requests per baseline cell. A cell above the
// limit is halved, so that the baseline follows slow changes.
const maxBaselineRequests = 4000

// Samples pools the windows of all hosts for one move. It is not safe for
// concurrent use.
type Samples struct {
	open   map[int64]map[string]Window // by window number and origin
	closed map[int64]Window            // by window number
	// baseline sums the windows from before the new version's first request
	// that are too old for closed. It records each target's behaviour on the
	// old version. Later windows must not be added: for the targets that were
	// loaded first they hold no requests on the old version, so the targets'
	// baselines would cover different times.
	baseline       Window
	firstNewWindow int64 // window of the new version's first request; 0 if there is none
	latestWindow   int64
	// closedSums caches the sums over the closed windows, by lookback. It is
	// reset when a window closes and when firstNewWindow changes.
	closedSums map[time.Duration]lookbackSums
	// results holds the last results.
	results map[resultKey]lookbackResult
}

// resultKey identifies a kind of evaluation.
type resultKey struct {
	lookback  time.Duration
	ungrouped bool
}

// lookbackSums holds the sums over a lookback (recent) and over the time before
// the new version's first request (before).
type lookbackSums struct{ recent, before Window }

// NewSamples returns an empty Samples.
func NewSamples() *Samples {
	return &Samples{
		open: map[int64]map[string]Window{}, closed: map[int64]Window{}, baseline: Window{},
		results: map[resultKey]lookbackResult{},
	}
}

// Observe counts one request that the host named origin sent. A latency of 0
// means not measured. Requests in windows that are no longer open are ignored.
func (s *Samples) Observe(origin string, now time.Time, k CellKey, r Result, firstToken, betweenTokens time.Duration) {
	w := WindowNumber(now)
	s.advance(w)
	if w <= s.latestWindow-openWindowCount {
		return
	}
	byOrigin := s.openByOrigin(w)
	if byOrigin[origin] == nil {
		byOrigin[origin] = Window{}
	}
	if k.NewVersion {
		s.noteNewVersion(w)
	}
	byOrigin[origin].cellsOf(k.RouteKey)[k.cellIndex()].Add(r, firstToken, betweenTokens)
}

// MergeWindow stores a peer's window if it has more requests than the stored
// window of the same origin and number, and reports whether it did. Digests may
// therefore be lost, repeated or reordered.
func (s *Samples) MergeWindow(origin string, number int64, w Window, now time.Time) bool {
	s.advance(WindowNumber(now))
	if number <= s.latestWindow-openWindowCount || number > s.latestWindow+1 {
		return false
	}
	byOrigin := s.openByOrigin(number)
	if byOrigin[origin].requests() >= w.requests() {
		return false
	}
	byOrigin[origin] = w
	if w.hasNewVersion() {
		s.noteNewVersion(number)
	}
	return true
}

// noteNewVersion records that the window has requests on the new version.
func (s *Samples) noteNewVersion(window int64) {
	if s.firstNewWindow == 0 || window < s.firstNewWindow {
		s.firstNewWindow = window
		s.closedSums = map[time.Duration]lookbackSums{}
	}
}

// beforeNewVersion reports whether the window is older than the new version's
// first request.
func (s *Samples) beforeNewVersion(window int64) bool {
	return s.firstNewWindow == 0 || window < s.firstNewWindow
}

// OpenWindows returns the numbers of the origin's open windows, newest first.
func (s *Samples) OpenWindows(origin string, now time.Time) []int64 {
	s.advance(WindowNumber(now))
	var found []int64
	for n, byOrigin := range s.open {
		if len(byOrigin[origin]) > 0 {
			found = append(found, n)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i] > found[j] })
	return found
}

// OpenWindow returns the origin's open window with the given number, or nil.
// The caller must not change it.
func (s *Samples) OpenWindow(origin string, number int64) Window { return s.open[number][origin] }

func (s *Samples) openByOrigin(n int64) map[string]Window {
	if s.open[n] == nil {
		s.open[n] = map[string]Window{}
	}
	return s.open[n]
}

// advance makes current the latest window. It closes windows that are no longer
// open and removes those older than the longest lookback.
func (s *Samples) advance(current int64) {
	if current <= s.latestWindow {
		return
	}
	s.latestWindow = current
	s.closedSums = map[time.Duration]lookbackSums{}
	for n, byOrigin := range s.open {
		if n <= current-openWindowCount {
			s.closed[n] = mergeOrigins(byOrigin)
			delete(s.open, n)
		}
	}
	for n, w := range s.closed {
		if n < current-keptWindowCount {
			if s.beforeNewVersion(n) {
				s.addToBaseline(w)
			}
			delete(s.closed, n)
		}
	}
}

func mergeOrigins(byOrigin map[string]Window) Window {
	sum := Window{}
	for _, w := range byOrigin {
		sum.merge(w)
	}
	return sum
}

// addToBaseline adds the old version's counts in the window to the baseline.
func (s *Samples) addToBaseline(w Window) {
	for k, cells := range w {
		base := s.baseline.cellsOf(k)
		for g := range newVersionBit {
			base[g].Merge(cells[g])
			if base[g].Requests > maxBaselineRequests {
				base[g].halve()
			}
		}
	}
}

// sumsOver returns the sums over the lookback that ends now, and over the time
// before the new version's first request. The caller must not change them.
func (s *Samples) sumsOver(now time.Time, lookback time.Duration) lookbackSums {
	s.advance(WindowNumber(now))
	first := s.latestWindow - int64(lookback/WindowLength)
	closed, ok := s.closedSums[lookback]
	if !ok {
		closed = lookbackSums{Window{}, Window{}}
		closed.before.merge(s.baseline)
		for n, w := range s.closed {
			s.addWindow(closed, n, first, w)
		}
		s.closedSums[lookback] = closed
	}
	sums := lookbackSums{Window{}, closed.before}
	sums.recent.merge(closed.recent)
	if s.beforeNewVersion(s.latestWindow - openWindowCount + 1) {
		// The loop below adds open windows to sums.before. Copy the cached sum
		// so that they are not added to the cache.
		sums.before = Window{}
		sums.before.merge(closed.before)
	}
	for n, byOrigin := range s.open {
		for _, w := range byOrigin {
			s.addWindow(sums, n, first, w)
		}
	}
	return sums
}

// Requests returns the numbers of requests of both versions over the longest lookback that ends
// now.
func (s *Samples) Requests(now time.Time) (oldVersion, newVersion uint64) {
	longest := Lookbacks[len(Lookbacks)-1]
	newVersion, oldVersion = s.sumsOver(now, longest).allRoutes().requests()
	return oldVersion, newVersion
}

// addWindow adds window number n to the sums that it belongs to. first is the
// number of the first window of the lookback.
func (s *Samples) addWindow(sums lookbackSums, n, first int64, w Window) {
	if n >= first {
		sums.recent.merge(w)
	}
	if s.beforeNewVersion(n) {
		sums.before.merge(w)
	}
}
