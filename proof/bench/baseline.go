package bench

import "sardinefront.dev/core/refusal"

// baseline dispatches each request on arrival. Each host picks targets
// independently of the others. Tiers are ignored, and no request is refused
// before its deadline.
type baseline struct {
	w               *world
	leastInProgress bool             // pick the fewest requests of this host in progress; else round-robin
	inProgress      [][]int          // requests in progress by host and target, all pools
	lastTarget      [][poolCount]int // last picked target by host and pool
}

func newRoundRobin(w *world) scheduler { return newBaseline(w, false) }

func newLeastInProgress(w *world) scheduler { return newBaseline(w, true) }

func newBaseline(w *world, leastInProgress bool) *baseline {
	b := &baseline{
		w: w, leastInProgress: leastInProgress,
		lastTarget: make([][poolCount]int, w.deployment.hosts),
	}
	for h := range w.deployment.hosts {
		b.inProgress = append(b.inProgress, make([]int, w.deployment.engines+w.deployment.services))
		for p := range poolCount {
			b.lastTarget[h][p] = w.rnd.IntN(w.deployment.engines)
		}
	}
	return b
}

// countIndex returns the index of a target in inProgress of a host.
func (b *baseline) countIndex(pool, target int) int {
	if pool == servicePool {
		return b.w.deployment.engines + target
	}
	return target
}

// submit starts the search after the last picked target, so that ties rotate.
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
