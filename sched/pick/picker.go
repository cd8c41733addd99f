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
	maxPrefixLookups = 24
	// enoughHolders ends the lookup of shorter prefixes.
	enoughHolders = 8
	// homeLevels is the number of prefix lengths whose homes are considered:
	// the largest power of two that the prompt has blocks for, and the next
	// smaller ones. Powers of two stay the same while a conversation grows.
	homeLevels = 3
	// hotUse is the expected number of requests in progress with one prefix,
	// as a part of the home's limit, from which the next home is used too.
	hotPrefixUtilization = 0.5
	// holdSeconds is the run time assumed for estimating that number.
	assumedRunSeconds = 3
)

// The chance that a home holds a prefix that this host has not seen there: by
// whether this host has seen the prefix at all, and by rank. An overflow goes
// to the second home rather than to a random target so that all hosts agree.
const (
	seenProbability   = 0.6
	unseenProbability = 0.35
)

var rankProbability = [prefix.Replicas]float64{1, 0.4, 0.2}

// candidate is a target to score with the prompt tokens it may hold.
type candidate struct {
	index        int32
	cachedTokens float64
}

// picker is the state of one Pick; it lives on the stack.
type picker struct {
	snap           *Snapshot
	req            *request.Request
	skip           func(int) bool
	tokens         int
	maxUtilization float64 // part of the limits that may be filled
	count          int
	candidates     [maxCandidates]candidate
	choice         Choice
	// borrowCost is the cost in milliseconds of exceeding the allowance.
	overAllowanceCost float64
}

func (p *picker) init(s *Snapshot, r *request.Request, skip func(int) bool) {
	p.snap, p.req, p.skip = s, r, skip
	p.tokens = r.Tokens()
	p.overAllowanceCost = overAllowanceCostMs
}

// add makes target i a candidate, or raises what it may hold.
func (p *picker) add(i int32, reuse float64) {
	for k := range p.candidates[:p.count] {
		if p.candidates[k].index == i {
			p.candidates[k].cachedTokens = max(p.candidates[k].cachedTokens, reuse)
			return
		}
	}
	if p.count < maxCandidates {
		p.candidates[p.count] = candidate{i, reuse}
		p.count++
	}
}

// tokensAt returns the prompt tokens in the first depth blocks.
func (p *picker) prefixTokens(depth int) float64 {
	return float64(p.req.PromptTokens) * float64(depth) / float64(len(p.req.Prefix))
}

// addHolders adds the targets that the history names, longest prefix first.
func (p *picker) addHolders(now time.Time) {
	var holders [prefix.MaxHolders]prefix.Holder
	looked := 0
	for d := len(p.req.Prefix); d > 0 && looked < maxPrefixLookups && p.count < enoughHolders; d-- {
		looked++
		n, _ := p.snap.history.Holders(p.req.Prefix[d-1], now, &holders)
		for _, h := range holders[:n] {
			if p.isOpenLocal(h.Target) {
				p.add(h.Target, h.Probability*p.prefixTokens(d))
			}
		}
	}
}

// usable reports whether a target from the history or the homes is open and in
// this zone.
func (p *picker) isOpenLocal(i int32) bool {
	if i < 0 || int(i) >= len(p.snap.targets) {
		return false
	}
	t := &p.snap.targets[i]
	return t.Load != nil && t.Schedulable && t.Local
}

// addHomes adds the home targets of the prefixes whose length is a power of
// two.
func (p *picker) addHomes(now time.Time) {
	depth := 1 << (bits.Len(uint(len(p.req.Prefix))) - 1)
	for level := 0; level < homeLevels && depth > 0; level++ {
		p.addHomesAt(depth, now)
		depth /= 2
	}
}

func (p *picker) addHomesAt(depth int, now time.Time) {
	var holders [prefix.MaxHolders]prefix.Holder
	key := p.req.Prefix[depth-1]
	known, rate := p.snap.history.Holders(key, now, &holders)
	chance := unseenProbability
	if known > 0 {
		chance = seenProbability
	}
	inProgress := rate * float64(max(1, p.snap.cfg.HostCount)) * assumedRunSeconds
	for rank, i := range p.snap.homes.Targets(key) {
		if !p.isOpenLocal(i) {
			continue
		}
		c := chance * rankProbability[rank]
		if rank > 0 && inProgress > float64(rank)*hotPrefixUtilization*p.snap.targets[i].Load.RequestLimit.Get() {
			c = chance
		}
		p.add(i, c*p.prefixTokens(depth))
	}
}

// addSample adds random local targets.
func (p *picker) addRandom(rnd *rand.Rand) {
	n := len(p.snap.local)
	if n == 0 {
		return
	}
	k := p.snap.sampleSize()
	if k >= n {
		// A random start breaks ties; else all hosts would prefer the first.
		first := rnd.IntN(n)
		for j := range n {
			p.add(p.snap.local[(first+j)%n], 0)
		}
		return
	}
	if p.snap.cfg.PreferFresh && p.addRandomFresh(rnd, k) {
		return
	}
	for range k {
		p.add(p.snap.local[rnd.IntN(n)], 0)
	}
}

// addFresh adds random targets with a recent report. It reports whether it
// found at least two.
func (p *picker) addRandomFresh(rnd *rand.Rand, k int) bool {
	found := 0
	for range 3 * k {
		i := p.snap.local[rnd.IntN(len(p.snap.local))]
		if p.snap.targets[i].Load.ReportWeight.Get() > freshReportWeight {
			p.add(i, 0)
			found++
		}
	}
	return found >= 2
}

// score keeps the cheapest candidates with room.
func (p *picker) scoreCandidates() {
	for k := range p.candidates[:p.count] {
		c := p.candidates[k]
		borrow := 0.0
		if 2*c.cachedTokens > float64(p.req.PromptTokens) {
			borrow = cachedPrefixMaxUtilization
		}
		p.scoreTarget(c.index, c.cachedTokens, p.maxUtilization, borrow)
	}
}

// consider scores one target and reports whether it has room. Targets whose
// use would exceed maxUse are taken as full, and where the host's allowance is
// used, those whose use would exceed borrow.
func (p *picker) scoreTarget(i int32, reuse, maxUse, borrow float64) bool {
	p.choice.ScoredCount++
	if p.skip != nil && p.skip(int(i)) {
		return false
	}
	t := &p.snap.targets[i]
	if t.HighTierOnly && p.req.Tier == request.Patient {
		return false
	}
	l := t.Load
	u := l.project(p.req.Tier, p.tokens, &p.snap.cfg)
	if u.overAllowance {
		maxUse = min(maxUse, borrow)
	}
	if t.HighTierOnly && p.req.Tier == request.Interactive {
		maxUse = min(maxUse, interactiveMaxUtilization)
	}
	if u.full || (maxUse < 1 && u.utilization > maxUse && !u.idle) {
		return false
	}
	if !t.Local && l.ReportWeight.Get() < spilloverMinReportWeight {
		return false
	}
	slow := l.Slowdown.Get()
	uncached := max(0, float64(p.req.PromptTokens)-reuse)
	wait := float64(l.PendingPrefillTokens.Load()) * l.PrefillMsPerToken.Get() * slow
	cost := prefillWeight*uncached*l.PrefillMsPerToken.Get()*slow + loadCostMs*u.utilization*u.utilization + slowdownCostMs*(slow-1) + pendingPrefillWeight*wait
	if u.utilization > staleEstimateMinUtilization {
		cost += staleEstimateCostMs * (1 - l.ReportWeight.Get()) * (u.utilization - staleEstimateMinUtilization) / (1 - staleEstimateMinUtilization)
	}
	if u.overAllowance {
		cost += p.overAllowanceCost
	}
	if t.HighTierOnly && p.req.Tier == request.Urgent {
		cost -= highTierOnlyBonusMs
	}
	if l.PatientOnly.Load() {
		cost -= patientOnlyBonusMs
	}
	p.insertBest(ScoredTarget{i, float32(cost)}, reuse)
	return true
}

// keep inserts a scored target into the best ones.
func (p *picker) insertBest(s ScoredTarget, reuse float64) {
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
	p.overAllowanceCost = scanOverAllowanceCostMs
	for k := range list {
		i := list[(start+k)%len(list)]
		if p.scoreTarget(i, 0, maxUse, 1) && p.choice.Best[0].Cost < scanOverAllowanceCostMs {
			found++
		}
		if found >= scanStopCount {
			return
		}
	}
}
