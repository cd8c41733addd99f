package bench

import (
	"container/heap"
	"time"

	"sardinefront.dev/core/request"
)

// fairOrder is the omniscient scheduler's queue of one tier: start-time fair
// queueing over estimated tokens, all organisations with weight 1. Requests
// that can no longer meet the first-token objective wait in a second queue,
// which charges the same organisations; onLate is called for each.
type fairOrder struct {
	virtual float64
	seq     int
	finish  map[int]float64 // tag at which an organisation's last start ends
	fresh   fairQueues
	late    fairQueues
	onLate  func(*job)
}

// fairQueues holds one queue for each organisation; those that are not empty
// are ordered by the start tag of their first request.
type fairQueues struct {
	orgs   map[int]*orgQueue
	active orgHeap
}

type orgQueue struct {
	org   int
	jobs  []*job
	start float64 // tag of the first request
	seq   int
}

type orgHeap []*orgQueue

func (h orgHeap) Len() int { return len(h) }
func (h orgHeap) Less(i, k int) bool {
	return h[i].start < h[k].start || h[i].start == h[k].start && h[i].seq < h[k].seq
}
func (h orgHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *orgHeap) Push(x any)   { *h = append(*h, x.(*orgQueue)) }
func (h *orgHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func newFairOrder(onLate func(*job)) *fairOrder {
	return &fairOrder{
		onLate: onLate,
		finish: map[int]float64{},
		fresh:  fairQueues{orgs: map[int]*orgQueue{}},
		late:   fairQueues{orgs: map[int]*orgQueue{}},
	}
}

func (f *fairOrder) push(j *job) { f.add(&f.fresh, j) }

func (f *fairOrder) add(c *fairQueues, j *job) {
	q := c.orgs[j.org]
	if q == nil {
		q = &orgQueue{org: j.org}
		c.orgs[j.org] = q
	}
	q.jobs = append(q.jobs, j)
	if len(q.jobs) == 1 {
		f.activate(c, q)
	}
}

func (f *fairOrder) activate(c *fairQueues, q *orgQueue) {
	f.seq++
	q.seq = f.seq
	q.start = max(f.virtual, f.finish[q.org])
	heap.Push(&c.active, q)
}

// peek returns the request to start next, or nil. It drops requests that have
// ended and moves those that are late.
func (f *fairOrder) peek(now time.Duration) *job {
	for len(f.fresh.active) > 0 {
		j := f.fresh.active[0].jobs[0]
		late := j.pool == enginePool && j.req.Tier != request.Patient && now > j.at+firstTokenLimit
		if !j.ended() && !late {
			return j
		}
		f.setLate()
	}
	return nil
}

// setLate moves the next request to those that have missed the objective, or
// drops it when it has ended.
func (f *fairOrder) setLate() {
	j := f.fresh.active[0].jobs[0]
	f.drop(&f.fresh)
	if !j.ended() {
		f.onLate(j)
		f.add(&f.late, j)
	}
}

// peekLate returns the late request to start next, or nil.
func (f *fairOrder) peekLate() *job {
	for len(f.late.active) > 0 {
		if j := f.late.active[0].jobs[0]; !j.ended() {
			return j
		}
		f.drop(&f.late)
	}
	return nil
}

// pop removes the request that peek returned and charges its organisation.
func (f *fairOrder) pop() { f.take(&f.fresh) }

// popLate does the same for peekLate.
func (f *fairOrder) popLate() { f.take(&f.late) }

func (f *fairOrder) take(c *fairQueues) {
	q := c.active[0]
	f.virtual = max(f.virtual, q.start)
	f.finish[q.org] = max(q.start, f.finish[q.org]) + float64(q.jobs[0].req.EstimatedTokens())
	f.drop(c)
}

func (f *fairOrder) drop(c *fairQueues) {
	q := heap.Pop(&c.active).(*orgQueue)
	q.jobs = q.jobs[1:]
	if len(q.jobs) > 0 {
		f.activate(c, q)
	}
}
