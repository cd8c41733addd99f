package engine

import (
	"container/list"
	"math/rand/v2"
	"sync"
	"time"

	"sardinefront.dev/target"
)

// maxCacheEvents is the number of events that remain when the event log is trimmed, at
// twice this length. Readers see the trimmed events as a gap in the sequence numbers.
const maxCacheEvents = 65536

type delayedEvent struct {
	target.CacheEvent
	visibleAt time.Time
}

// cache is an LRU set of prefix hashes that records its insertions and evictions as
// events.
type cache struct {
	maxBlocks     int
	eventLag      time.Duration
	eventLossRate float64

	mu       sync.Mutex
	recency  *list.List // most recently used first, values are uint64
	items    map[uint64]*list.Element
	sequence int64
	events   []delayedEvent
	rnd      *rand.Rand
}

func newCache(cfg Config) *cache {
	var seed uint64
	for _, b := range []byte(cfg.Name) {
		seed = seed*31 + uint64(b)
	}
	return &cache{
		maxBlocks: cfg.CacheBlocks, eventLag: cfg.CacheEventLag, eventLossRate: cfg.CacheEventLossRate,
		recency: list.New(), items: make(map[uint64]*list.Element),
		rnd: rand.New(rand.NewPCG(seed, 1)),
	}
}

// lookupAndStore marks the blocks of a prompt as used, stores the missing ones and
// returns the number of leading blocks that were already cached.
func (c *cache) lookupAndStore(prefixes []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := 0
	for i, p := range prefixes {
		if c.touch(p) && cached == i {
			cached++
		}
	}
	return cached
}

func (c *cache) store(prefix uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.touch(prefix)
}

// touch stores a prefix or moves it to the front, and reports whether it was
// already stored. The caller holds the lock.
func (c *cache) touch(prefix uint64) bool {
	if el, ok := c.items[prefix]; ok {
		c.recency.MoveToFront(el)
		return true
	}
	c.items[prefix] = c.recency.PushFront(prefix)
	c.recordEvent(prefix, false)
	for c.recency.Len() > c.maxBlocks {
		c.evict(c.recency.Back())
	}
	return false
}

func (c *cache) evict(el *list.Element) {
	prefix := c.recency.Remove(el).(uint64)
	delete(c.items, prefix)
	c.recordEvent(prefix, true)
}

// clear evicts all prefixes. A model load empties the cache.
func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.recency.Len() > 0 {
		c.evict(c.recency.Back())
	}
}

func (c *cache) contains(prefix uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.items[prefix]
	return ok
}

func (c *cache) size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.items)
}

// recordEvent appends an event. For the configured fraction it only increments the
// sequence number, so that readers see a lost event.
func (c *cache) recordEvent(prefix uint64, evicted bool) {
	c.sequence++
	if c.eventLossRate > 0 && c.rnd.Float64() < c.eventLossRate {
		return
	}
	ev := target.CacheEvent{Sequence: c.sequence, Prefix: prefix, Evicted: evicted}
	c.events = append(c.events, delayedEvent{CacheEvent: ev, visibleAt: time.Now().Add(c.eventLag)})
	if len(c.events) > 2*maxCacheEvents {
		c.events = append([]delayedEvent(nil), c.events[len(c.events)-maxCacheEvents:]...)
	}
}

// eventsAfter returns the events with a greater sequence number that are older than
// the configured lag.
func (c *cache) eventsAfter(sequence int64, now time.Time) []target.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	events := []target.CacheEvent{}
	for _, ev := range c.events {
		if ev.visibleAt.After(now) {
			break
		}
		if ev.Sequence > sequence {
			events = append(events, ev.CacheEvent)
		}
	}
	return events
}
