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
type tierQueue struct {
	virtualTime float64
	seq         int
	finishTags  map[int]float64 // tag at which an organisation's last start ends
	onTime      orgQueues
	late        orgQueues
	onLate      func(*job)
}

// fairQueues holds one queue for each organisation; those that are not empty
// are ordered by the start tag of their first request.
type orgQueues struct {
	orgs   map[int]*orgQueue
	active orgHeap
}

type orgQueue struct {
	org      int
	jobs     []*job
	startTag float64 // tag of the first request
	seq      int
}

type orgHeap []*orgQueue

func (h orgHeap) Len() int { return len(h) }
func (h orgHeap) Less(i, k int) bool {
	return h[i].startTag < h[k].startTag || h[i].startTag == h[k].startTag && h[i].seq < h[k].seq
}
func (h orgHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *orgHeap) Push(x any)   { *h = append(*h, x.(*orgQueue)) }
func (h *orgHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func newTierQueue(onLate func(*job)) *tierQueue {
	return &tierQueue{
		onLate:     onLate,
		finishTags: map[int]float64{},
		onTime:     orgQueues{orgs: map[int]*orgQueue{}},
		late:       orgQueues{orgs: map[int]*orgQueue{}},
	}
}

func (f *tierQueue) push(j *job) { f.enqueue(&f.onTime, j) }

func (f *tierQueue) enqueue(c *orgQueues, j *job) {
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

func (f *tierQueue) activate(c *orgQueues, q *orgQueue) {
	f.seq++
	q.seq = f.seq
	q.startTag = max(f.virtualTime, f.finishTags[q.org])
	heap.Push(&c.active, q)
}

// peek returns the request to start next, or nil. It drops requests that have
// ended and moves those that are late.
func (f *tierQueue) peek(now time.Duration) *job {
	for len(f.onTime.active) > 0 {
		j := f.onTime.active[0].jobs[0]
		late := j.pool == enginePool && j.req.Tier != request.Patient && now > j.arrival+maxTimeToFirstToken
		if !j.ended() && !late {
			return j
		}
		f.moveToLate()
	}
	return nil
}

// setLate moves the next request to those that have missed the objective, or
// drops it when it has ended.
func (f *tierQueue) moveToLate() {
	j := f.onTime.active[0].jobs[0]
	f.removeFirst(&f.onTime)
	if !j.ended() {
		f.onLate(j)
		f.enqueue(&f.late, j)
	}
}

// peekLate returns the late request to start next, or nil.
func (f *tierQueue) peekLate() *job {
	for len(f.late.active) > 0 {
		if j := f.late.active[0].jobs[0]; !j.ended() {
			return j
		}
		f.removeFirst(&f.late)
	}
	return nil
}

// pop removes the request that peek returned and charges its organisation.
func (f *tierQueue) pop() { f.start(&f.onTime) }

// popLate does the same for peekLate.
func (f *tierQueue) popLate() { f.start(&f.late) }

func (f *tierQueue) start(c *orgQueues) {
	q := c.active[0]
	f.virtualTime = max(f.virtualTime, q.startTag)
	f.finishTags[q.org] = max(q.startTag, f.finishTags[q.org]) + float64(q.jobs[0].req.EstimatedTokens())
	f.removeFirst(c)
}

func (f *tierQueue) removeFirst(c *orgQueues) {
	q := heap.Pop(&c.active).(*orgQueue)
	q.jobs = q.jobs[1:]
	if len(q.jobs) > 0 {
		f.activate(c, q)
	}
}
