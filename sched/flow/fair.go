package flow

import "container/heap"

// fairQueue is the start-time fair queue of one tier's fresh or late items. The organisation
// with the smallest virtual start time is served next; serving an item of cost c at weight w
// advances its start time by c/w. Only the head item of an organisation has a start time, so
// removing a waiting item charges nothing.
type fairQueue struct {
	organisations map[string]*organisation
	waiting       startHeap // organisations with items
	idle          startHeap // organisations without items, ahead of virtual time
	virtualTime   float64
	count         int
	// paired is the queue of the tier's late items if this one holds the fresh items, and
	// the reverse. An organisation that is in both has the same start time in both.
	paired *fairQueue
}

// maxIdleOrganisations bounds the organisations without waiting items whose state a queue
// keeps; each takes about 150 bytes.
const maxIdleOrganisations = 1024

// organisation is the state of one organisation in one tier.
type organisation struct {
	name         string
	weight       float64
	virtualStart float64
	items        []*Item // nil where an item was removed
	headIndex    int     // index of the head item in items
	pending      int
	heapIndex    int // in the heap that holds it
}

func (f *fairQueue) add(it *Item, front bool, weight float64) {
	o := f.organisations[it.Request.Organisation]
	if o == nil {
		o = &organisation{name: it.Request.Organisation, virtualStart: f.virtualTime, heapIndex: -1}
		if s := f.pairedState(o.name); s != nil {
			o.virtualStart = max(o.virtualStart, s.virtualStart)
		}
		f.organisations[o.name] = o
	}
	o.weight = weight
	if o.pending == 0 && o.heapIndex >= 0 {
		heap.Remove(&f.idle, o.heapIndex)
	}
	if front {
		o.virtualStart = max(0, o.virtualStart-it.Cost/o.weight)
		o.prepend(it)
	} else {
		o.virtualStart = max(o.virtualStart, f.minStart(o))
		o.append(it)
	}
	it.org = o
	f.count++
	if o.pending == 1 {
		heap.Push(&f.waiting, o)
	} else {
		heap.Fix(&f.waiting, o.heapIndex)
	}
}

// minStart returns the lower bound of an organisation's start time when it gets a new item.
// An organisation with waiting items in either queue keeps its own start time.
func (f *fairQueue) minStart(o *organisation) float64 {
	if o.pending > 0 {
		return o.virtualStart
	}
	if s := f.pairedState(o.name); s != nil && s.pending > 0 {
		return s.virtualStart
	}
	return f.virtualTime
}

// pairedState returns the state of the organisation in the paired queue, or nil.
func (f *fairQueue) pairedState(name string) *organisation {
	if f.paired == nil {
		return nil
	}
	return f.paired.organisations[name]
}

// syncPaired copies the organisation's start time to the paired queue.
func (f *fairQueue) syncPaired(o *organisation) {
	if f.paired == nil {
		return
	}
	f.paired.virtualTime = max(f.paired.virtualTime, f.virtualTime)
	s := f.paired.organisations[o.name]
	if s == nil {
		return
	}
	s.virtualStart = o.virtualStart
	if s.pending > 0 {
		heap.Fix(&f.paired.waiting, s.heapIndex)
	} else {
		heap.Fix(&f.paired.idle, s.heapIndex)
	}
}

// headStart returns the start time of the head item's organisation. The queue must not be
// empty.
func (f *fairQueue) headStart() float64 { return f.waiting[0].virtualStart }

func (f *fairQueue) head() *Item {
	if len(f.waiting) == 0 {
		return nil
	}
	o := f.waiting[0]
	return o.items[o.headIndex]
}

func (f *fairQueue) dequeue(it *Item) {
	o := it.org
	f.virtualTime = max(f.virtualTime, o.virtualStart)
	o.virtualStart += it.Cost / o.weight
	f.remove(it)
	f.syncPaired(o)
}

func (f *fairQueue) remove(it *Item) {
	o := it.org
	o.remove(it)
	f.count--
	if o.pending > 0 {
		heap.Fix(&f.waiting, o.heapIndex)
	} else {
		heap.Remove(&f.waiting, o.heapIndex)
		heap.Push(&f.idle, o)
	}
	f.evictIdle()
}

// evictIdle removes idle organisations whose start time is not ahead of virtual time. An
// empty queue keeps no state, because no organisation is waiting that could be treated
// unfairly. Beyond maxIdleOrganisations, the organisations with the earliest start times are
// removed and virtual time advances to theirs, but not past the next item to be served.
func (f *fairQueue) evictIdle() {
	for len(f.idle) > 0 && (f.count == 0 || len(f.idle) > maxIdleOrganisations || f.idle[0].virtualStart <= f.virtualTime) {
		o := heap.Pop(&f.idle).(*organisation)
		delete(f.organisations, o.name)
		next := o.virtualStart
		if len(f.waiting) > 0 {
			next = min(next, f.waiting[0].virtualStart)
		}
		f.virtualTime = max(f.virtualTime, next)
	}
}

func (o *organisation) append(it *Item) {
	it.itemIndex = len(o.items)
	o.items = append(o.items, it)
	o.pending++
}

func (o *organisation) prepend(it *Item) {
	if o.headIndex == 0 {
		o.items = append([]*Item{nil}, o.items...)
		o.headIndex = 1
		for i, other := range o.items {
			if other != nil {
				other.itemIndex = i
			}
		}
	}
	o.headIndex--
	o.items[o.headIndex] = it
	it.itemIndex = o.headIndex
	o.pending++
}

func (o *organisation) remove(it *Item) {
	o.items[it.itemIndex] = nil
	o.pending--
	for o.headIndex < len(o.items) && o.items[o.headIndex] == nil {
		o.headIndex++
	}
	if o.pending == 0 {
		o.items, o.headIndex = nil, 0
		return
	}
	// Compacts once half of the slice is behind the head.
	if o.headIndex > 32 && o.headIndex > len(o.items)/2 {
		o.items = append([]*Item(nil), o.items[o.headIndex:]...)
		o.headIndex = 0
		for i, other := range o.items {
			if other != nil {
				other.itemIndex = i
			}
		}
	}
}

// startHeap orders organisations by start time, then by name so that equal
// inputs give equal orders.
type startHeap []*organisation

func (h startHeap) Len() int { return len(h) }

func (h startHeap) Less(i, j int) bool {
	if h[i].virtualStart == h[j].virtualStart {
		return h[i].name < h[j].name
	}
	return h[i].virtualStart < h[j].virtualStart
}

func (h startHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *startHeap) Push(x any) {
	o := x.(*organisation)
	o.heapIndex = len(*h)
	*h = append(*h, o)
}

// Pop implements heap.Interface.
func (h *startHeap) Pop() any {
	old := *h
	o := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	o.heapIndex = -1
	return o
}
