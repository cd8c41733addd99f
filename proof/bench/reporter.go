package bench

import (
	"math/rand/v2"
	"time"

	"sardinefront.dev/sched/pool"
)

// Reports of load and of cache events become visible between reportDelayMin
// and reportDelayMax after the engine made them, once per reportEvery.
const (
	reportEvery    = 500 * time.Millisecond
	reportDelayMin = 500 * time.Millisecond
	reportDelayMax = 2 * time.Second
)

// eventGap is the part of published batches of cache events that get lost.
const eventGap = 0.05

// eventLog is the number of cache events that an engine keeps.
const eventLog = 2000

// reporter publishes what targets say about themselves, late and with gaps.
type reporter struct {
	w   *world
	rnd *rand.Rand
	// latest is the newest visible report by pool and target.
	latest [poolCount][]load
	events []eventStream // by engine
}

// eventStream is the visible end of an engine's cache event log.
type eventStream struct {
	first int // number of the first event in list
	list  []pool.CacheEvent
	holes []int // numbers before which events are missing
}

func newReporter(w *world) *reporter {
	r := &reporter{w: w, rnd: rand.New(rand.NewPCG(w.seed, 55)), events: make([]eventStream, len(w.engines))}
	for i := range poolCount {
		r.latest[i] = make([]load, len(w.pools[i]))
		for t := range w.pools[i] {
			phase := time.Duration(r.rnd.Int64N(int64(reportEvery)))
			w.clk.every(phase, reportEvery, func() { r.publish(i, t) })
		}
	}
	return r
}

func (r *reporter) delay() time.Duration {
	return reportDelayMin + time.Duration(r.rnd.Int64N(int64(reportDelayMax-reportDelayMin)))
}

func (r *reporter) publish(poolIndex, target int) {
	l := r.w.pools[poolIndex][target].load()
	delay := r.delay()
	r.w.clk.after(delay, func() {
		if l.at >= r.latest[poolIndex][target].at {
			r.latest[poolIndex][target] = l
		}
	})
	if poolIndex == enginePool {
		c := r.w.engines[target].cache
		batch := c.changes
		c.changes = nil
		r.w.clk.after(delay, func() { r.events[target].add(batch, r.rnd.Float64() < eventGap) })
	}
}

func (s *eventStream) add(batch []cacheChange, lost bool) {
	if lost && len(batch) > 0 {
		// An event without a block stands for the lost ones.
		s.holes = append(s.holes, s.first+len(s.list))
		batch = []cacheChange{{}}
	}
	for _, c := range batch {
		s.list = append(s.list, pool.CacheEvent{Prefix: c.block, Stored: c.added})
	}
	if drop := len(s.list) - eventLog; drop > 0 {
		s.list = append([]pool.CacheEvent(nil), s.list[drop:]...)
		s.first += drop
	}
}

// after returns the events from number n on, and whether some before them are
// missing.
func (s *eventStream) after(n int) (events []pool.CacheEvent, gap bool, next int) {
	gap = n < s.first
	for _, h := range s.holes {
		gap = gap || h >= n
	}
	next = s.first + len(s.list)
	return s.list[max(0, n-s.first):], gap, next
}

// ask answers a host's probe with the latest visible report, and with the
// cache events since the host's last probe.
func (r *reporter) ask(h *entryHost, poolIndex, target int) {
	w := r.w
	w.clk.after(2*nearDelay, func() {
		if !w.pools[poolIndex][target].up() {
			return
		}
		now, p, name := w.clk.wall(), h.pools[poolIndex], targetName(poolIndex, target)
		if l := r.latest[poolIndex][target]; l.at > 0 {
			p.RecordLoadReport(name, pool.LoadReport{Running: l.running, Queued: l.waiting, Tokens: l.tokens, MeasuredAt: epoch.Add(l.at)}, now)
		}
		if poolIndex != enginePool {
			return
		}
		events, gap, next := r.events[target].after(h.seen[poolIndex][target])
		h.seen[poolIndex][target] = next
		if len(events) > 0 || gap {
			p.RecordCacheEvents(name, events, gap, now)
		}
	})
}
