// Package simulate runs the membership and configuration state machines of whole fleets
// in virtual time, with partitions, pauses, restarts and a faulty store. Its results
// depend only on the seed.
package simulate

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"sardinefront.dev/fleet/member"
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_800_000_000, 0)

// task is a function to run at a point in virtual time. Of tasks at the same time, the
// one with the lower seq runs first.
type task struct {
	at  time.Time
	seq uint64
	run func()
}

// taskQueue is a heap of tasks, the next one first.
type taskQueue []task

func (a taskQueue) Len() int { return len(a) }
func (a taskQueue) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].seq < a[j].seq
}
func (a taskQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *taskQueue) Push(x any)   { *a = append(*a, x.(task)) }
func (a *taskQueue) Pop() any {
	old := *a
	last := old[len(old)-1]
	old[len(old)-1] = task{}
	*a = old[:len(old)-1]
	return last
}

// Layout is the shape of a fleet.
type Layout struct {
	Zones          int
	HostsPerZone   int
	ZonesPerRegion int // zones of one region; 3 if 0
	// DigestBytes is the length of the digest attached to probes.
	DigestBytes int
	// TickInterval is the interval between ticks of the state machines; 100 ms if 0.
	TickInterval time.Duration
	// LossRate is the fraction of messages that are lost.
	LossRate float64
}

// World is one simulated fleet. It is not safe for concurrent use.
type World struct {
	Layout
	Now   time.Time
	Hosts []*Host
	Store *Store

	rnd    *rand.Rand
	tasks  taskQueue
	seq    uint64
	byName map[string]*Host
	// partitions holds the pairs of host indexes, sender first, between which
	// messages are dropped.
	partitions map[[2]int]bool
	// connLastUse holds the last use of each connection by the pair of host indexes,
	// the lower first; see chargeConnection.
	connLastUse map[[2]int]time.Time
	// OnAdopt is called after a host has adopted a rules file.
	OnAdopt func(h *Host)
	// OnEvent is called for each member event of a host.
	OnEvent func(h *Host, e Event)
}

// New returns a fleet whose hosts are not started.
func New(seed uint64, l Layout) *World {
	if l.ZonesPerRegion == 0 {
		l.ZonesPerRegion = 3
	}
	if l.TickInterval == 0 {
		l.TickInterval = 100 * time.Millisecond
	}
	w := &World{
		Layout: l, Now: epoch, rnd: rand.New(rand.NewPCG(seed, 0)),
		byName: make(map[string]*Host), partitions: make(map[[2]int]bool), connLastUse: make(map[[2]int]time.Time),
	}
	w.Store = newStore(w)
	for z := range l.Zones {
		for i := range l.HostsPerZone {
			h := &Host{
				world: w, index: len(w.Hosts), Name: fmt.Sprintf("host-%d-%02d", z, i), zone: z,
				Zone: fmt.Sprintf("zone-%d", z), Address: fmt.Sprintf("10.%d.0.%d:7400", z, i+1),
			}
			w.Hosts = append(w.Hosts, h)
			w.byName[h.Name] = h
		}
	}
	return w
}

// Rand returns the world's random number generator.
func (w *World) Rand() *rand.Rand { return w.rnd }

// Schedule runs f after the virtual time d.
func (w *World) Schedule(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.tasks, task{w.Now.Add(d), w.seq, f})
}

// Run advances virtual time by d and runs the tasks that become due.
func (w *World) Run(d time.Duration) {
	end := w.Now.Add(d)
	for len(w.tasks) > 0 && !w.tasks[0].at.After(end) {
		t := heap.Pop(&w.tasks).(task)
		w.Now = t.at
		t.run()
	}
	w.Now = end
}

// RunUntil advances virtual time until done returns true, checked every 50 ms. It returns
// the time taken and true, or limit and false if done does not return true in time.
func (w *World) RunUntil(limit time.Duration, done func() bool) (time.Duration, bool) {
	start := w.Now
	for !done() {
		if w.Now.Sub(start) >= limit {
			return limit, false
		}
		w.Run(50 * time.Millisecond)
	}
	return w.Now.Sub(start), true
}

// StartAll starts every host at a random time within the given duration.
func (w *World) StartAll(within time.Duration) {
	for _, h := range w.Hosts {
		w.Schedule(time.Duration(w.rnd.Int64N(int64(within)+1)), h.Start)
	}
	w.Run(within)
}

// StartConverged starts every host in the state of a fleet that has run for a while:
// every host has records of all members, and no updates are queued for gossip.
func (w *World) StartConverged() {
	for _, h := range w.Hosts {
		h.Start()
	}
	var all []member.Update
	for _, h := range w.Hosts {
		all = append(all, h.core.Membership.Snapshot()[0])
	}
	for _, h := range w.Hosts {
		h.core.Membership.MergeSnapshot(all, w.Now)
	}
}

// Partition drops messages from a to b, and also from b to a if both is set.
func (w *World) Partition(a, b *Host, both bool) {
	w.partitions[[2]int{a.index, b.index}] = true
	if both {
		w.partitions[[2]int{b.index, a.index}] = true
	}
}

// PartitionZone drops all messages between a zone and the rest of the fleet, and blocks
// the store for the zone.
func (w *World) PartitionZone(zone int) {
	for _, a := range w.Hosts {
		if a.zone != zone {
			continue
		}
		a.StoreBlocked = true
		for _, b := range w.Hosts {
			if b.zone != zone {
				w.Partition(a, b, true)
			}
		}
	}
}

// Heal removes all partitions and unblocks the store for all hosts.
func (w *World) Heal() {
	clear(w.partitions)
	for _, h := range w.Hosts {
		h.StoreBlocked = false
	}
}

// latency returns the one-way delay between two hosts: up to 1 ms in a zone, up to 3 ms
// in a region, up to 80 ms between regions.
func (w *World) latency(a, b *Host) time.Duration {
	low, high := 30*time.Millisecond, 80*time.Millisecond
	switch {
	case a.zone == b.zone:
		low, high = 200*time.Microsecond, time.Millisecond
	case a.zone/w.ZonesPerRegion == b.zone/w.ZonesPerRegion:
		low, high = time.Millisecond, 3*time.Millisecond
	}
	return low + time.Duration(w.rnd.Int64N(int64(high-low)))
}

// delivers decides whether a message from a to b arrives.
func (w *World) delivers(a, b *Host) bool {
	if !a.up || !b.up || w.partitions[[2]int{a.index, b.index}] {
		return false
	}
	return w.LossRate == 0 || w.rnd.Float64() >= w.LossRate
}
