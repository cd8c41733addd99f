package bench

import "container/list"

// holders counts, for each prompt block, the engines that hold it.
type holderCounts map[uint64]int

// prefixCache holds prompt blocks up to a capacity and evicts the block that
// was not used for the longest time.
type prefixCache struct {
	capacity int // blocks
	lru      *list.List
	blocks   map[uint64]*list.Element
	holders  holderCounts
	events   []cacheEvent
}

// cacheChange is one entry of the engine's cache event log.
type cacheEvent struct {
	block  uint64
	stored bool
}

func newPrefixCache(capacity int, shared holderCounts) *prefixCache {
	return &prefixCache{
		capacity: capacity, holders: shared,
		lru: list.New(), blocks: make(map[uint64]*list.Element, capacity),
	}
}

// match returns how many leading blocks of the prompt are held.
func (c *prefixCache) match(prompt []uint64) int {
	for i, b := range prompt {
		if c.blocks[b] == nil {
			return i
		}
	}
	return len(prompt)
}

// insert adds the blocks of a computed prompt. It visits the longest prefix
// first, so that the longest prefix is also the first to be evicted.
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

// heldElsewhere returns how many blocks after the first own blocks of the
// prompt some engine holds. The engine that asks must not hold them.
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
