package bench

import "time"

// wallEpoch is the wall time at virtual time 0. The figures do not depend on it.
var wallEpoch = time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)

// clock is an event queue in virtual time. Events at the same time run in the
// order in which they were added.
type clock struct {
	now  time.Duration
	seq  uint64  // number of events added
	heap []event // binary min-heap
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

func (e *event) before(o *event) bool {
	return e.at < o.at || e.at == o.at && e.seq < o.seq
}

// wallTime returns the current virtual time as a time.Time.
func (c *clock) wallTime() time.Time { return wallEpoch.Add(c.now) }

// after runs f once, at d from now.
func (c *clock) after(d time.Duration, f func()) { c.at(c.now+d, f) }

// at runs f at virtual time t, which must not be in the past.
func (c *clock) at(t time.Duration, f func()) {
	c.seq++
	c.heap = append(c.heap, event{t, c.seq, f})
	i := len(c.heap) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !c.heap[i].before(&c.heap[parent]) {
			return
		}
		c.heap[i], c.heap[parent] = c.heap[parent], c.heap[i]
		i = parent
	}
}

// every runs f at t and then once per period.
func (c *clock) every(t, period time.Duration, f func()) {
	var tick func()
	tick = func() {
		f()
		c.after(period, tick)
	}
	c.at(t, tick)
}

// runUntil runs all events up to and including virtual time end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.heap) > 0 && c.heap[0].at <= end {
		e := c.pop()
		c.now = e.at
		e.run()
	}
	c.now = end
}

func (c *clock) pop() event {
	top := c.heap[0]
	last := len(c.heap) - 1
	c.heap[0] = c.heap[last]
	c.heap[last] = event{}
	c.heap = c.heap[:last]
	c.siftDown(0)
	return top
}

func (c *clock) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(c.heap) {
			return
		}
		if child+1 < len(c.heap) && c.heap[child+1].before(&c.heap[child]) {
			child++
		}
		if !c.heap[child].before(&c.heap[i]) {
			return
		}
		c.heap[i], c.heap[child] = c.heap[child], c.heap[i]
		i = child
	}
}
