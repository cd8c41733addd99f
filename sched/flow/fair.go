package flow

import "container/heap"

// fair is the queue of one tier. The organisation with the smallest virtual
// start time is served next; serving cost c at weight w advances its start time
// by c/w. Only the head of an organisation has a start time, so removing a
// waiting item charges nothing.
type fair struct {
	organisations map[string]*organisation
	waiting       startHeap // organisations with items
	idle          startHeap // organisations without items, ahead of virtual time
	virtual       float64
	count         int
	// other is the queue of the same organisations' late items, or the reverse.
	// An organisation that is in both has the same start time in both.
	other *fair
}

// maxIdle bounds the organisations of a tier that are remembered without
// waiting work; each takes about 150 bytes.
const maxIdle = 1024

// organisation is the state of one organisation in one tier.
type organisation struct {
	name   string
	weight float64
	start  float64
	items  []*Item // nil where an item was removed
	first  int     // index of the head in items
	live   int
	index  int // in the heap that holds it
}

func (f *fair) add(it *Item, front bool, weight float64) {
	o := f.organisations[it.Request.Organisation]
	if o == nil {
		o = &organisation{name: it.Request.Organisation, start: f.virtual, index: -1}
		if s := f.sibling(o.name); s != nil {
			o.start = max(o.start, s.start)
		}
		f.organisations[o.name] = o
	}
	o.weight = weight
	if o.live == 0 && o.index >= 0 {
		heap.Remove(&f.idle, o.index)
	}
	if front {
		o.start = max(0, o.start-it.Cost/o.weight)
		o.prepend(it)
	} else {
		o.start = max(o.start, f.startFor(o))
		o.append(it)
	}
	it.org = o
	f.count++
	if o.live == 1 {
		heap.Push(&f.waiting, o)
	} else {
		heap.Fix(&f.waiting, o.index)
	}
}

// startFor returns the least start time of an organisation that becomes
// backlogged; one that already waits keeps its own.
func (f *fair) startFor(o *organisation) float64 {
	if o.live > 0 {
		return o.start
	}
	if s := f.sibling(o.name); s != nil && s.live > 0 {
		return s.start
	}
	return f.virtual
}

// sibling returns the state of the organisation in the other queue, or nil.
func (f *fair) sibling(name string) *organisation {
	if f.other == nil {
		return nil
	}
	return f.other.organisations[name]
}

// mirror gives the organisation the same start time in the other queue.
func (f *fair) mirror(o *organisation) {
	if f.other == nil {
		return
	}
	f.other.virtual = max(f.other.virtual, f.virtual)
	s := f.other.organisations[o.name]
	if s == nil {
		return
	}
	s.start = o.start
	if s.live > 0 {
		heap.Fix(&f.other.waiting, s.index)
	} else {
		heap.Fix(&f.other.idle, s.index)
	}
}

// lead returns the start time of the head's organisation.
func (f *fair) lead() float64 { return f.waiting[0].start }

func (f *fair) head() *Item {
	if len(f.waiting) == 0 {
		return nil
	}
	o := f.waiting[0]
	return o.items[o.first]
}

func (f *fair) take(it *Item) {
	o := it.org
	f.virtual = max(f.virtual, o.start)
	o.start += it.Cost / o.weight
	f.remove(it)
	f.mirror(o)
}

func (f *fair) remove(it *Item) {
	o := it.org
	o.remove(it)
	f.count--
	if o.live > 0 {
		heap.Fix(&f.waiting, o.index)
	} else {
		heap.Remove(&f.waiting, o.index)
		heap.Push(&f.idle, o)
	}
	f.trim()
}

// trim forgets idle organisations whose start time would be the virtual time
// again. When nothing waits there is no one to be fair to, so all go. Beyond
// maxIdle, virtual time advances to the earliest idle one, but not past the
// next item to be served.
func (f *fair) trim() {
	for len(f.idle) > 0 && (f.count == 0 || len(f.idle) > maxIdle || f.idle[0].start <= f.virtual) {
		o := heap.Pop(&f.idle).(*organisation)
		delete(f.organisations, o.name)
		next := o.start
		if len(f.waiting) > 0 {
			next = min(next, f.waiting[0].start)
		}
		f.virtual = max(f.virtual, next)
	}
}

func (o *organisation) append(it *Item) {
	it.place = len(o.items)
	o.items = append(o.items, it)
	o.live++
}

func (o *organisation) prepend(it *Item) {
	if o.first == 0 {
		o.items = append([]*Item{nil}, o.items...)
		o.first = 1
		for i, other := range o.items {
			if other != nil {
				other.place = i
			}
		}
	}
	o.first--
	o.items[o.first] = it
	it.place = o.first
	o.live++
}

func (o *organisation) remove(it *Item) {
	o.items[it.place] = nil
	o.live--
	for o.first < len(o.items) && o.items[o.first] == nil {
		o.first++
	}
	if o.live == 0 {
		o.items, o.first = nil, 0
		return
	}
	// Compacts once half of the slice is behind the head.
	if o.first > 32 && o.first > len(o.items)/2 {
		o.items = append([]*Item(nil), o.items[o.first:]...)
		o.first = 0
		for i, other := range o.items {
			if other != nil {
				other.place = i
			}
		}
	}
}

// startHeap orders organisations by start time, then by name so that equal
// inputs give equal orders.
type startHeap []*organisation

func (h startHeap) Len() int { return len(h) }

func (h startHeap) Less(i, j int) bool {
	if h[i].start == h[j].start {
		return h[i].name < h[j].name
	}
	return h[i].start < h[j].start
}

func (h startHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *startHeap) Push(x any) {
	o := x.(*organisation)
	o.index = len(*h)
	*h = append(*h, o)
}

// Pop implements heap.Interface.
func (h *startHeap) Pop() any {
	old := *h
	o := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	o.index = -1
	return o
}
