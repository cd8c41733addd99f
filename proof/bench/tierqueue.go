package bench

import (
	"container/heap"
	"time"

	"sardinefront.dev/core/request"
)

// tierQueue is the omniscient scheduler's queue of one tier. It implements
// start-time fair queueing over estimated tokens with weight 1 for every
// organisation. Requests that can no longer meet maxTimeToFirstToken are moved to
// a second queue with the same virtual time and finish tags.
type tierQueue struct {
	virtualTime float64
	seq         int             // number of activations, to break ties
	finishTags  map[int]float64 // finish tag of the last started request, by organisation
	onTime      orgQueues
	late        orgQueues
	onLate      func(*job) // called for each request moved to late
}

// orgQueues holds one queue per organisation. active holds the queues that are
// not empty, ordered by the start tag of their first request.
type orgQueues struct {
	orgs   map[int]*orgQueue
	active orgHeap
}

type orgQueue struct {
	org      int
	jobs     []*job
	startTag float64 // of the first request
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

func (t *tierQueue) push(j *job) { t.enqueue(&t.onTime, j) }

func (t *tierQueue) enqueue(queues *orgQueues, j *job) {
	q := queues.orgs[j.org]
	if q == nil {
		q = &orgQueue{org: j.org}
		queues.orgs[j.org] = q
	}
	q.jobs = append(q.jobs, j)
	if len(q.jobs) == 1 {
		t.activate(queues, q)
	}
}

func (t *tierQueue) activate(queues *orgQueues, q *orgQueue) {
	t.seq++
	q.seq = t.seq
	q.startTag = max(t.virtualTime, t.finishTags[q.org])
	heap.Push(&queues.active, q)
}

// peek returns the request to start next, or nil. It removes requests that have
// ended and moves late ones to the late queue.
func (t *tierQueue) peek(now time.Duration) *job {
	for len(t.onTime.active) > 0 {
		j := t.onTime.active[0].jobs[0]
		late := j.pool == enginePool && j.req.Tier != request.Patient && now > j.arrival+maxTimeToFirstToken
		if !j.ended() && !late {
			return j
		}
		t.moveToLate()
	}
	return nil
}

// moveToLate moves the next request to the late queue, or removes it if it has
// ended.
func (t *tierQueue) moveToLate() {
	j := t.onTime.active[0].jobs[0]
	t.removeFirst(&t.onTime)
	if !j.ended() {
		t.onLate(j)
		t.enqueue(&t.late, j)
	}
}

// peekLate returns the late request to start next, or nil.
func (t *tierQueue) peekLate() *job {
	for len(t.late.active) > 0 {
		if j := t.late.active[0].jobs[0]; !j.ended() {
			return j
		}
		t.removeFirst(&t.late)
	}
	return nil
}

// pop removes the request that peek returned and charges its tokens to the
// organisation.
func (t *tierQueue) pop() { t.start(&t.onTime) }

// popLate removes the request that peekLate returned and charges its tokens to the
// organisation.
func (t *tierQueue) popLate() { t.start(&t.late) }

func (t *tierQueue) start(queues *orgQueues) {
	q := queues.active[0]
	t.virtualTime = max(t.virtualTime, q.startTag)
	t.finishTags[q.org] = max(q.startTag, t.finishTags[q.org]) + float64(q.jobs[0].req.EstimatedTokens())
	t.removeFirst(queues)
}

func (t *tierQueue) removeFirst(queues *orgQueues) {
	q := heap.Pop(&queues.active).(*orgQueue)
	q.jobs = q.jobs[1:]
	if len(q.jobs) > 0 {
		t.activate(queues, q)
	}
}
