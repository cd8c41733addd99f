// Package flow queues requests in front of a pool of targets: three tiers in strict priority
// order, and start-time fair queueing across organisations within a tier. It decides which
// request is served next, not by which target.
package flow

import (
	"container/heap"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
)

// Config configures a Queue.
type Config struct {
	// MaxWaiting is the maximum number of waiting items per tier.
	MaxWaiting [request.TierCount]int
	// Weights holds the weights of organisations; an absent or non-positive
	// weight counts as 1.
	Weights map[string]float64
}

// Item is one waiting request. It belongs to the queue from Push until it is dequeued,
// removed or expired.
type Item struct {
	Request *request.Request
	// Cost is what the organisation is charged for the item, in estimated tokens.
	Cost float64
	// LatestStart is when the item expires. Zero means never.
	LatestStart time.Time
	// FreshUntil is when the item misses the objective for its first token. From then on
	// it is late and waits behind the fresh items of its tier. Zero means never.
	FreshUntil time.Time

	queue         *fairQueue
	due           bool // late, but served before the fresh items for fairness
	org           *organisation
	itemIndex     int // index in org.items while the item waits
	deadlineIndex int // index in the deadline heap, -1 if it never expires
}

// Expired is an item that was not started by its LatestStart.
type Expired struct {
	Item    *Item
	Refusal *refusal.Refusal
}

// Queue holds the waiting requests of one pool on one host. It is not safe for concurrent
// use. Each tier may have a floor: until a floor expires, Next returns no item of a lower
// tier.
type Queue struct {
	cfg       Config
	tiers     [request.TierCount]fairQueue // fresh items
	late      [request.TierCount]fairQueue // items past their FreshUntil
	items     map[string]*Item
	deadlines deadlineHeap
	floors    [request.TierCount]time.Time // when the floor of each tier expires
}

// New returns an empty queue.
func New(c Config) *Queue {
	q := &Queue{cfg: c, items: map[string]*Item{}}
	for t := range q.tiers {
		q.tiers[t].organisations = map[string]*organisation{}
		q.late[t].organisations = map[string]*organisation{}
		q.late[t].paired, q.tiers[t].paired = &q.tiers[t], &q.late[t]
	}
	return q
}

// Push adds an item. It returns a refusal if the tier already holds MaxWaiting items.
func (q *Queue) Push(it *Item, now time.Time) *refusal.Refusal {
	tier := it.Request.Tier
	if n := q.Len(tier); n >= q.cfg.MaxWaiting[tier] {
		return refusal.New(refusal.QueueFull, "%d %s requests are waiting", n, tier)
	}
	q.add(it, false)
	return nil
}

// PushFront puts back an item that was dequeued but not started. It refunds the charge to the
// organisation, and the item precedes the organisation's other items.
func (q *Queue) PushFront(it *Item) {
	q.add(it, true)
}

func (q *Queue) add(it *Item, front bool) {
	q.items[it.Request.ID] = it
	it.deadlineIndex = -1
	if !it.LatestStart.IsZero() {
		heap.Push(&q.deadlines, it)
	}
	it.queue = &q.tiers[it.Request.Tier]
	it.queue.add(it, front, q.weight(it.Request.Organisation))
}

func (q *Queue) weight(organisation string) float64 {
	if w := q.cfg.Weights[organisation]; w > 0 {
		return w
	}
	return 1
}

// SetWeights replaces the weights. They apply to items added from now on.
func (q *Queue) SetWeights(weights map[string]float64) { q.cfg.Weights = weights }

// Next returns the item to start next without removing it, or nil. It also removes and
// returns the expired items. Items below an active floor are not returned as the next item.
func (q *Queue) Next(now time.Time) (*Item, []Expired) {
	expired := q.expire(now)
	floor, _ := q.Floor(now)
	for t := range q.tiers {
		if request.Tier(t) > floor {
			break
		}
		fresh, late := q.nextFresh(request.Tier(t), now), q.late[t].head()
		switch {
		case fresh != nil && late != nil && q.late[t].headStart()+maxLateLagTokens < q.tiers[t].headStart():
			late.due = true
			return late, expired
		case fresh != nil:
			return fresh, expired
		case late != nil:
			late.due = false
			return late, expired
		}
	}
	return nil, expired
}

// ShedLate removes one late item of a tier if more than keep of them wait, and returns it,
// else nil. It takes the oldest late item of the organisation that has the most late items.
func (q *Queue) ShedLate(t request.Tier, keep int) *Item {
	f := &q.late[t]
	if f.count <= keep {
		return nil
	}
	var most *organisation
	for _, o := range f.organisations {
		if most == nil || o.pending > most.pending || (o.pending == most.pending && o.name < most.name) {
			most = o
		}
	}
	it := most.items[most.headIndex]
	q.RemoveItem(it)
	return it
}

// maxLateLagTokens is how many tokens of service an organisation whose requests are all late
// may be behind the organisation of the next fresh request before it is served first. It
// bounds the unfairness of serving fresh requests first.
const maxLateLagTokens = 800

// nextFresh returns the next fresh item of a tier, or nil. It moves items that have become
// late to the late queue without a charge: serving them first would make the others late too.
func (q *Queue) nextFresh(t request.Tier, now time.Time) *Item {
	f := &q.tiers[t]
	for it := f.head(); it != nil; it = f.head() {
		if it.FreshUntil.IsZero() || now.Before(it.FreshUntil) {
			return it
		}
		f.remove(it)
		it.queue = &q.late[t]
		it.queue.add(it, false, q.weight(it.Request.Organisation))
	}
	return nil
}

// Head returns the next fresh item of a tier, or its next late item, without removing it, or
// nil. It ignores floors. It is for callers that order fresh and late items across tiers
// themselves.
func (q *Queue) Head(t request.Tier, late bool, now time.Time) *Item {
	if fresh := q.nextFresh(t, now); !late {
		return fresh
	}
	it := q.late[t].head()
	if it != nil {
		it.due = false
	}
	return it
}

// Expire removes and returns the items whose LatestStart has passed.
func (q *Queue) Expire(now time.Time) []Expired { return q.expire(now) }

func (q *Queue) expire(now time.Time) []Expired {
	var out []Expired
	for len(q.deadlines) > 0 && !q.deadlines[0].LatestStart.After(now) {
		it := q.deadlines[0]
		q.RemoveItem(it)
		wait := now.Sub(it.Request.Arrived).Round(time.Millisecond)
		out = append(out, Expired{it, refusal.New(refusal.DeadlineExceeded, "the deadline cannot be met after %s in the queue", wait)})
	}
	return out
}

// Dequeue removes an item that Next or Head returned and charges its organisation.
func (q *Queue) Dequeue(it *Item) {
	q.unindex(it)
	it.queue.dequeue(it)
}

// Remove removes a waiting item without a charge and returns it, or nil if no item with this
// id waits.
func (q *Queue) Remove(id string) *Item {
	it := q.items[id]
	if it != nil {
		q.RemoveItem(it)
	}
	return it
}

// RemoveItem removes a waiting item without a charge.
func (q *Queue) RemoveItem(it *Item) {
	q.unindex(it)
	it.queue.remove(it)
}

func (q *Queue) unindex(it *Item) {
	if q.items[it.Request.ID] == it {
		delete(q.items, it.Request.ID)
	}
	if it.deadlineIndex >= 0 {
		heap.Remove(&q.deadlines, it.deadlineIndex)
	}
}

// SetFloor keeps items of the tiers below t from being started until the given time. It never
// shortens the floor of a tier. Floors of different tiers are independent: the floor of a
// lower tier still applies after that of a higher tier has expired.
func (q *Queue) SetFloor(t request.Tier, until time.Time) {
	if until.After(q.floors[t]) {
		q.floors[t] = until
	}
}

// Floor returns the lowest tier whose items may start, and whether a floor is active.
func (q *Queue) Floor(now time.Time) (request.Tier, bool) {
	for t, until := range q.floors {
		if now.Before(until) {
			return request.Tier(t), true
		}
	}
	return request.Patient, false
}

// FloorUntil returns when the floor of a tier expires or expired, zero if it had none.
func (q *Queue) FloorUntil(t request.Tier) time.Time { return q.floors[t] }

// Len returns the number of waiting items of a tier.
func (q *Queue) Len(t request.Tier) int { return q.tiers[t].count + q.late[t].count }

// Late reports whether the item is in the late queue, except if Next last returned it ahead
// of the fresh items because its organisation was behind.
func (it *Item) Late(q *Queue) bool { return it.queue == &q.late[it.Request.Tier] && !it.due }

// HasWaiting reports whether an item with this request id waits.
func (q *Queue) HasWaiting(id string) bool { return q.items[id] != nil }

// OrganisationCount returns the number of organisation states held, over all tiers.
func (q *Queue) OrganisationCount() int {
	n := 0
	for t := range q.tiers {
		n += len(q.tiers[t].organisations) + len(q.late[t].organisations)
	}
	return n
}

// NextExpiry returns when the next item expires, or the zero time if none does.
func (q *Queue) NextExpiry() time.Time {
	if len(q.deadlines) == 0 {
		return time.Time{}
	}
	return q.deadlines[0].LatestStart
}

// deadlineHeap orders items by LatestStart.
type deadlineHeap []*Item

func (h deadlineHeap) Len() int { return len(h) }

// Less orders by LatestStart and, where these are equal, puts lower tiers first: items that
// expire at the same time are refused in the order of load shedding.
func (h deadlineHeap) Less(i, j int) bool {
	if h[i].LatestStart.Equal(h[j].LatestStart) {
		return h[i].Request.Tier > h[j].Request.Tier
	}
	return h[i].LatestStart.Before(h[j].LatestStart)
}

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].deadlineIndex, h[j].deadlineIndex = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	it := x.(*Item)
	it.deadlineIndex = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.deadlineIndex = -1
	return it
}
