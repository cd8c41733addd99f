package bench

import "sardinefront.dev/core/refusal"

// baseline sends each request at once to a target that each host chooses by
// itself. It knows no tiers and refuses nothing before the deadline.
type baseline struct {
	w     *world
	least bool             // least in progress by the host's own count; else round-robin
	count [][]int          // requests in progress by host and target, all pools
	next  [][poolCount]int // last choice by host and pool
}

func newRoundRobin(w *world) scheduler { return newBaseline(w, false) }

func newLeastInProgress(w *world) scheduler { return newBaseline(w, true) }

func newBaseline(w *world, least bool) *baseline {
	b := &baseline{w: w, least: least, next: make([][poolCount]int, w.d.hosts)}
	for h := range w.d.hosts {
		b.count = append(b.count, make([]int, w.d.engines+w.d.services))
		for p := range poolCount {
			b.next[h][p] = w.rnd.IntN(w.d.engines)
		}
	}
	return b
}

// index returns the position of a target in the host's counts.
func (b *baseline) index(pool, target int) int {
	if pool == servicePool {
		return b.w.d.engines + target
	}
	return target
}

// submit starts the search behind the host's last choice, so that ties rotate.
func (b *baseline) submit(j *job) {
	n := len(b.w.pools[j.pool])
	first := (b.next[j.host][j.pool] + 1) % n
	best := first
	if b.least {
		for i := range n {
			t := (first + i) % n
			if b.count[j.host][b.index(j.pool, t)] < b.count[j.host][b.index(j.pool, best)] {
				best = t
			}
		}
	}
	b.next[j.host][j.pool] = best
	b.count[j.host][b.index(j.pool, best)]++
	b.w.dispatch(j, best, false)
}

func (b *baseline) release(j *job) {
	b.count[j.host][b.index(j.pool, j.target)]--
}

func (b *baseline) firstToken(*job) {}
func (b *baseline) progress(*job)   {}
func (b *baseline) finished(j *job) { b.release(j) }
func (b *baseline) lost(j *job)     { b.release(j) }
func (b *baseline) notSent(j *job)  { b.release(j); b.w.refuse(j, refusal.TargetUnreachable) }
func (b *baseline) leave(j *job)    { b.release(j); b.w.stop(j) }
