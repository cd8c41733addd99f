package engine

import (
	"container/list"
	"math/rand/v2"
	"sync"
	"time"

	"sardinefront.dev/target"
)

// maxCacheEvents bounds the log of events; older ones become a gap.
const maxCacheEvents = 65536

type timedEvent struct {
	target.CacheEvent
	visible time.Time
}

// cache holds prefix hashes in least-recently-used order and logs its changes.
type cache struct {
	limit int
	lag   time.Duration
	gap   float64

	mu       sync.Mutex
	order    *list.List // most recent first, values are uint64
	items    map[uint64]*list.Element
	sequence int64
	events   []timedEvent
	rnd      *rand.Rand
}

func newCache(cfg Config) *cache {
	var seed uint64
	for _, b := range []byte(cfg.Name) {
		seed = seed*31 + uint64(b)
	}
	return &cache{
		limit: cfg.CacheBlocks, lag: cfg.CacheEventLag, gap: cfg.CacheEventLossRate,
		order: list.New(), items: make(map[uint64]*list.Element),
		rnd: rand.New(rand.NewPCG(seed, 1)),
	}
}

// use marks the blocks of a prompt as used, stores the missing ones and returns
// how many leading blocks were cached.
func (c *cache) use(prefixes []uint64) int {
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

func (c *cache) put(prefix uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.touch(prefix)
}

// touch stores a prefix or moves it to the front, and reports whether it was
// stored before.
func (c *cache) touch(p uint64) bool {
	if el, ok := c.items[p]; ok {
		c.order.MoveToFront(el)
		return true
	}
	c.items[p] = c.order.PushFront(p)
	c.log(p, false)
	for c.order.Len() > c.limit {
		c.evict(c.order.Back())
	}
	return false
}

func (c *cache) evict(el *list.Element) {
	p := c.order.Remove(el).(uint64)
	delete(c.items, p)
	c.log(p, true)
}

// clear evicts everything, as a model load does.
func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.order.Len() > 0 {
		c.evict(c.order.Back())
	}
}

func (c *cache) has(p uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.items[p]
	return ok
}

func (c *cache) size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.items)
}

// log appends an event or, for the configured share, leaves a gap.
func (c *cache) log(p uint64, evicted bool) {
	c.sequence++
	if c.gap > 0 && c.rnd.Float64() < c.gap {
		return
	}
	ev := target.CacheEvent{Sequence: c.sequence, Prefix: p, Evicted: evicted}
	c.events = append(c.events, timedEvent{CacheEvent: ev, visible: time.Now().Add(c.lag)})
	if len(c.events) > 2*maxCacheEvents {
		c.events = append([]timedEvent(nil), c.events[len(c.events)-maxCacheEvents:]...)
	}
}

// after returns the visible events with a greater sequence number.
func (c *cache) after(n int64, now time.Time) []target.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := []target.CacheEvent{}
	for _, ev := range c.events {
		if ev.visible.After(now) {
			break
		}
		if ev.Sequence > n {
			found = append(found, ev.CacheEvent)
		}
	}
	return found
}
