package bench

import (
	"math/rand/v2"
	"time"

	"sardinefront.dev/sched/pool"
)

// A target publishes its load and its cache events once per reportInterval. They
// become visible to hosts between minReportDelay and maxReportDelay later.
const (
	reportInterval = 500 * time.Millisecond
	minReportDelay = 500 * time.Millisecond
	maxReportDelay = 2 * time.Second
)

// batchLossRate is the fraction of the published batches of cache events that are
// lost.
const batchLossRate = 0.05

// maxCacheEvents is the number of cache events that an engine retains.
const maxCacheEvents = 2000

// reporter publishes load reports and cache events of the targets, with delays and
// gaps.
type reporter struct {
	w   *world
	rnd *rand.Rand
	// latestLoad is the latest visible load by pool and target.
	latestLoad  [poolCount][]targetLoad
	cacheEvents []eventStream // by engine
}

// eventStream holds the visible and retained part of an engine's cache event log.
type eventStream struct {
	firstNumber int // number of the first event in events
	events      []pool.CacheEvent
	gaps        []int // numbers of the events that replace lost batches
}

func newReporter(w *world) *reporter {
	r := &reporter{
		w: w, rnd: rand.New(rand.NewPCG(w.seed, 55)),
		cacheEvents: make([]eventStream, len(w.engines)),
	}
	for i := range poolCount {
		r.latestLoad[i] = make([]targetLoad, len(w.targets[i]))
		for t := range w.targets[i] {
			phase := time.Duration(r.rnd.Int64N(int64(reportInterval)))
			w.clk.every(phase, reportInterval, func() { r.publish(i, t) })
		}
	}
	return r
}

func (r *reporter) delay() time.Duration {
	return minReportDelay + time.Duration(r.rnd.Int64N(int64(maxReportDelay-minReportDelay)))
}

func (r *reporter) publish(poolIndex, target int) {
	l := r.w.targets[poolIndex][target].currentLoad()
	delay := r.delay()
	r.w.clk.after(delay, func() {
		if l.at >= r.latestLoad[poolIndex][target].at {
			r.latestLoad[poolIndex][target] = l
		}
	})
	if poolIndex == enginePool {
		c := r.w.engines[target].cache
		batch := c.events
		c.events = nil
		r.w.clk.after(delay, func() { r.cacheEvents[target].add(batch, r.rnd.Float64() < batchLossRate) })
	}
}

func (s *eventStream) add(batch []cacheEvent, lost bool) {
	if lost && len(batch) > 0 {
		// A single event without a block replaces the lost batch.
		s.gaps = append(s.gaps, s.firstNumber+len(s.events))
		batch = []cacheEvent{{}}
	}
	for _, c := range batch {
		s.events = append(s.events, pool.CacheEvent{Prefix: c.block, Stored: c.stored})
	}
	if drop := len(s.events) - maxCacheEvents; drop > 0 {
		s.events = append([]pool.CacheEvent(nil), s.events[drop:]...)
		s.firstNumber += drop
	}
}

// since returns the events from number n on, whether some of these are missing,
// and the number from which to read next.
func (s *eventStream) since(n int) (events []pool.CacheEvent, gap bool, next int) {
	gap = n < s.firstNumber
	for _, h := range s.gaps {
		gap = gap || h >= n
	}
	next = s.firstNumber + len(s.events)
	return s.events[max(0, n-s.firstNumber):], gap, next
}

// probe answers the probe of a target by a host with the latest visible load and
// the cache events since the host's previous probe.
func (r *reporter) probe(h *entryHost, poolIndex, target int) {
	w := r.w
	w.clk.after(2*sameZoneDelay, func() {
		if !w.targets[poolIndex][target].up() {
			return
		}
		now, p, name := w.clk.wallTime(), h.pools[poolIndex], targetName(poolIndex, target)
		if l := r.latestLoad[poolIndex][target]; l.at > 0 {
			p.RecordLoadReport(name, pool.LoadReport{
				Running: l.running, Queued: l.waiting, Tokens: l.tokens, MeasuredAt: wallEpoch.Add(l.at),
			}, now)
		}
		if poolIndex != enginePool {
			return
		}
		events, gap, next := r.cacheEvents[target].since(h.nextCacheEvent[poolIndex][target])
		h.nextCacheEvent[poolIndex][target] = next
		if len(events) > 0 || gap {
			p.RecordCacheEvents(name, events, gap, now)
		}
	})
}
