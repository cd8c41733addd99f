package pick

import (
	"math/bits"
	"math/rand/v2"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/prefix"
)

const (
	// maxCandidates bounds the targets scored before the scan.
	maxCandidates = 48
	// maxDepths bounds the prefixes that are looked up, longest first.
	maxDepths = 24
	// enoughHolders ends the lookup of shorter prefixes.
	enoughHolders = 8
	// homeLevels is the number of prefix lengths whose homes are considered:
	// the largest power of two that the prompt has blocks for, and the next
	// smaller ones. Powers of two stay the same while a conversation grows.
	homeLevels = 3
	// hotUse is the expected number of requests in progress with one prefix,
	// as a part of the home's limit, from which the next home is used too.
	hotUse = 0.5
	// holdSeconds is the run time assumed for estimating that number.
	holdSeconds = 3
)

// The chance that a home holds a prefix that this host has not seen there: by
// whether this host has seen the prefix at all, and by rank. An overflow goes
// to the second home rather than to a random target so that all hosts agree.
const (
	seenChance   = 0.6
	unseenChance = 0.35
)

var rankChance = [prefix.Replicas]float64{1, 0.4, 0.2}

// candidate is a target to score with the prompt tokens it may hold.
type candidate struct {
	index int32
	reuse float64
}

// picker is the state of one Pick; it lives on the stack.
type picker struct {
	s      *Snapshot
	r      *request.Request
	skip   func(int) bool
	tokens int
	part   float64 // part of the limits that may be filled
	n      int
	list   [maxCandidates]candidate
	choice Choice
	// borrowCost is the cost in milliseconds of exceeding the allowance.
	borrowCost float64
}

func (p *picker) init(s *Snapshot, r *request.Request, skip func(int) bool) {
	p.s, p.r, p.skip = s, r, skip
	p.tokens = r.Tokens()
	p.borrowCost = borrowCost
}

// add makes target i a candidate, or raises what it may hold.
func (p *picker) add(i int32, reuse float64) {
	for k := range p.list[:p.n] {
		if p.list[k].index == i {
			p.list[k].reuse = max(p.list[k].reuse, reuse)
			return
		}
	}
	if p.n < maxCandidates {
		p.list[p.n] = candidate{i, reuse}
		p.n++
	}
}

// tokensAt returns the prompt tokens in the first depth blocks.
func (p *picker) tokensAt(depth int) float64 {
	return float64(p.r.PromptTokens) * float64(depth) / float64(len(p.r.Prefix))
}

// addHolders adds the targets that the history names, longest prefix first.
func (p *picker) addHolders(now time.Time) {
	var holders [prefix.MaxHolders]prefix.Holder
	looked := 0
	for d := len(p.r.Prefix); d > 0 && looked < maxDepths && p.n < enoughHolders; d-- {
		looked++
		n, _ := p.s.history.Holders(p.r.Prefix[d-1], now, &holders)
		for _, h := range holders[:n] {
			if p.usable(h.Target) {
				p.add(h.Target, h.Probability*p.tokensAt(d))
			}
		}
	}
}

// usable reports whether a target from the history or the homes is open and in
// this zone.
func (p *picker) usable(i int32) bool {
	if i < 0 || int(i) >= len(p.s.targets) {
		return false
	}
	t := &p.s.targets[i]
	return t.Load != nil && t.Schedulable && t.Local
}

// addHomes adds the home targets of the prefixes whose length is a power of
// two.
func (p *picker) addHomes(now time.Time) {
	depth := 1 << (bits.Len(uint(len(p.r.Prefix))) - 1)
	for level := 0; level < homeLevels && depth > 0; level++ {
		p.addHomesAt(depth, now)
		depth /= 2
	}
}

func (p *picker) addHomesAt(depth int, now time.Time) {
	var holders [prefix.MaxHolders]prefix.Holder
	key := p.r.Prefix[depth-1]
	known, rate := p.s.history.Holders(key, now, &holders)
	chance := unseenChance
	if known > 0 {
		chance = seenChance
	}
	inProgress := rate * float64(max(1, p.s.cfg.HostCount)) * holdSeconds
	for rank, i := range p.s.homes.Targets(key) {
		if !p.usable(i) {
			continue
		}
		c := chance * rankChance[rank]
		if rank > 0 && inProgress > float64(rank)*hotUse*p.s.targets[i].Load.RequestLimit.Get() {
			c = chance
		}
		p.add(i, c*p.tokensAt(depth))
	}
}

// addSample adds random local targets.
func (p *picker) addSample(rnd *rand.Rand) {
	n := len(p.s.local)
	if n == 0 {
		return
	}
	k := p.s.sampleSize()
	if k >= n {
		// A random start breaks ties; else all hosts would prefer the first.
		first := rnd.IntN(n)
		for j := range n {
			p.add(p.s.local[(first+j)%n], 0)
		}
		return
	}
	if p.s.cfg.PreferFresh && p.addFresh(rnd, k) {
		return
	}
	for range k {
		p.add(p.s.local[rnd.IntN(n)], 0)
	}
}

// addFresh adds random targets with a recent report. It reports whether it
// found at least two.
func (p *picker) addFresh(rnd *rand.Rand, k int) bool {
	found := 0
	for range 3 * k {
		i := p.s.local[rnd.IntN(len(p.s.local))]
		if p.s.targets[i].Load.ReportWeight.Get() > freshEnough {
			p.add(i, 0)
			found++
		}
	}
	return found >= 2
}

// score keeps the cheapest candidates with room.
func (p *picker) score() {
	for k := range p.list[:p.n] {
		c := p.list[k]
		borrow := 0.0
		if 2*c.reuse > float64(p.r.PromptTokens) {
			borrow = reuseBorrow
		}
		p.consider(c.index, c.reuse, p.part, borrow)
	}
}

// consider scores one target and reports whether it has room. Targets whose
// use would exceed maxUse are taken as full, and where the host's allowance is
// used, those whose use would exceed borrow.
func (p *picker) consider(i int32, reuse, maxUse, borrow float64) bool {
	p.choice.ScoredCount++
	if p.skip != nil && p.skip(int(i)) {
		return false
	}
	t := &p.s.targets[i]
	if t.HighTierOnly && p.r.Tier == request.Patient {
		return false
	}
	l := t.Load
	u := l.room(p.r.Tier, p.tokens, &p.s.cfg)
	if u.borrowed {
		maxUse = min(maxUse, borrow)
	}
	if t.HighTierOnly && p.r.Tier == request.Interactive {
		maxUse = min(maxUse, expressUse)
	}
	if u.full || (maxUse < 1 && u.part > maxUse && !u.idle) {
		return false
	}
	if !t.Local && l.ReportWeight.Get() < spillFresh {
		return false
	}
	slow := l.Slowdown.Get()
	uncached := max(0, float64(p.r.PromptTokens)-reuse)
	wait := float64(l.PendingPrefillTokens.Load()) * l.PrefillMsPerToken.Get() * slow
	cost := reuseWeight*uncached*l.PrefillMsPerToken.Get()*slow + loadCost*u.part*u.part + slowCost*(slow-1) + pendingWeight*wait
	if u.part > riskFrom {
		cost += riskCost * (1 - l.ReportWeight.Get()) * (u.part - riskFrom) / (1 - riskFrom)
	}
	if u.borrowed {
		cost += p.borrowCost
	}
	if t.HighTierOnly && p.r.Tier == request.Urgent {
		cost -= expressGain
	}
	if l.PatientOnly.Load() {
		cost -= unfitGain
	}
	p.keep(ScoredTarget{i, float32(cost)}, reuse)
	return true
}

// keep inserts a scored target into the best ones.
func (p *picker) keep(s ScoredTarget, reuse float64) {
	c := &p.choice
	k := c.BestCount
	for k > 0 && c.Best[k-1].Cost > s.Cost {
		k--
	}
	if k == MaxAlternatives {
		return
	}
	if k == 0 {
		c.CachedTokens = reuse
	}
	copy(c.Best[k+1:], c.Best[k:MaxAlternatives-1])
	c.Best[k] = s
	c.BestCount = min(c.BestCount+1, MaxAlternatives)
}

// scan looks for room from a random start until it has a few targets. It runs
// only when the sample has no room, that is when most targets are full. Targets
// beyond the host's allowance are taken only if there are no others.
func (p *picker) scan(list []int32, rnd *rand.Rand, maxUse float64) {
	if len(list) == 0 {
		return
	}
	start, found := rnd.IntN(len(list)), 0
	p.borrowCost = scanBorrowCost
	for k := range list {
		i := list[(start+k)%len(list)]
		if p.consider(i, 0, maxUse, 1) && p.choice.Best[0].Cost < scanBorrowCost {
			found++
		}
		if found >= scanEnough {
			return
		}
	}
}
