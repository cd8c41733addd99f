package bench

import "sardinefront.dev/core/refusal"

// baseline sends each request at once to a target that each host chooses by
// itself. It knows no tiers and refuses nothing before the deadline.
type baseline struct {
	w               *world
	leastInProgress bool             // least in progress by the host's own count; else round-robin
	inProgress      [][]int          // requests in progress by host and target, all pools
	lastTarget      [][poolCount]int // last choice by host and pool
}

func newRoundRobin(w *world) scheduler { return newBaseline(w, false) }

func newLeastInProgress(w *world) scheduler { return newBaseline(w, true) }

func newBaseline(w *world, least bool) *baseline {
	b := &baseline{w: w, leastInProgress: least, lastTarget: make([][poolCount]int, w.d.hosts)}
	for h := range w.d.hosts {
		b.inProgress = append(b.inProgress, make([]int, w.d.engines+w.d.services))
		for p := range poolCount {
			b.lastTarget[h][p] = w.rnd.IntN(w.d.engines)
		}
	}
	return b
}

// index returns the position of a target in the host's counts.
func (b *baseline) countIndex(pool, target int) int {
	if pool == servicePool {
		return b.w.d.engines + target
	}
	return target
}

// submit starts the search behind the host's last choice, so that ties rotate.
func (b *baseline) submit(j *job) {
	n := len(b.w.targets[j.pool])
	first := (b.lastTarget[j.host][j.pool] + 1) % n
	best := first
	if b.leastInProgress {
		for i := range n {
			t := (first + i) % n
			if b.inProgress[j.host][b.countIndex(j.pool, t)] < b.inProgress[j.host][b.countIndex(j.pool, best)] {
				best = t
			}
		}
	}
	b.lastTarget[j.host][j.pool] = best
	b.inProgress[j.host][b.countIndex(j.pool, best)]++
	b.w.dispatch(j, best, false)
}

func (b *baseline) release(j *job) {
	b.inProgress[j.host][b.countIndex(j.pool, j.target)]--
}

func (b *baseline) firstToken(*job) {}
func (b *baseline) progress(*job)   {}
func (b *baseline) finished(j *job) { b.release(j) }
func (b *baseline) lost(j *job)     { b.release(j) }
func (b *baseline) notSent(j *job)  { b.release(j); b.w.refuse(j, refusal.TargetUnreachable) }
func (b *baseline) cancel(j *job)   { b.release(j); b.w.stop(j) }
