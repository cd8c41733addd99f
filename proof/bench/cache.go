package bench

import "container/list"

// holderCounts holds the number of engines that cache each prompt block.
type holderCounts map[uint64]int

// prefixCache is the LRU cache of prompt blocks of one engine.
type prefixCache struct {
	capacity int        // blocks
	lru      *list.List // blocks, most recently used first
	blocks   map[uint64]*list.Element
	holders  holderCounts // shared by all engines
	events   []cacheEvent // not published yet
}

// cacheEvent is one entry of the engine's cache event log: a block was stored
// or evicted.
type cacheEvent struct {
	block  uint64
	stored bool
}

func newPrefixCache(capacity int, holders holderCounts) *prefixCache {
	return &prefixCache{
		capacity: capacity, holders: holders,
		lru: list.New(), blocks: make(map[uint64]*list.Element, capacity),
	}
}

// match returns the number of leading blocks of the prompt that are cached.
func (c *prefixCache) match(prompt []uint64) int {
	for i, b := range prompt {
		if c.blocks[b] == nil {
			return i
		}
	}
	return len(prompt)
}

// insert adds the blocks of a computed prompt. It adds the last block first, so
// that a prompt is evicted from its end and its shorter prefixes stay usable.
func (c *prefixCache) insert(prompt []uint64) {
	for i := len(prompt) - 1; i >= 0; i-- {
		b := prompt[i]
		if e := c.blocks[b]; e != nil {
			c.lru.MoveToFront(e)
			continue
		}
		c.blocks[b] = c.lru.PushFront(b)
		c.holders[b]++
		c.events = append(c.events, cacheEvent{b, true})
	}
	for len(c.blocks) > c.capacity {
		c.evict(c.lru.Back())
	}
}

// clear drops all blocks, as a crash does.
func (c *prefixCache) clear() {
	for c.lru.Len() > 0 {
		c.evict(c.lru.Back())
	}
}

func (c *prefixCache) evict(e *list.Element) {
	b := c.lru.Remove(e).(uint64)
	delete(c.blocks, b)
	if c.holders[b]--; c.holders[b] == 0 {
		delete(c.holders, b)
	}
	c.events = append(c.events, cacheEvent{b, false})
}

// cachedElsewhere returns the number of consecutive blocks, from index own of
// the prompt, that some engine caches. The calling engine must not cache them,
// because its own cache is included in the counts.
func (h holderCounts) cachedElsewhere(prompt []uint64, own int) int {
	n := 0
	for _, b := range prompt[own:] {
		if h[b] == 0 {
			break
		}
		n++
	}
	return n
}
