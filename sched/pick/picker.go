package pick

import (
	"math/bits"
	"math/rand/v2"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/prefix"
)

const (
	// maxCandidates bounds the targets that are scored before the fallback scan.
	maxCandidates = 48
	// maxPrefixLookups bounds the prefixes looked up in the history, longest first.
	maxPrefixLookups = 24
	// enoughHolders is the number of candidates from which shorter prefixes are not
	// looked up.
	enoughHolders = 8
	// preferredLevels is the number of prefix lengths whose preferred targets are candidates:
	// the largest power of two within the prompt's number of blocks, and the next smaller
	// ones. Prefixes of these lengths stay the same while a conversation grows.
	preferredLevels = 3
	// hotPrefixUtilization is the expected number of requests in progress with one
	// prefix, as a fraction of the preferred target's limit, from which the next-ranked
	// preferred target is used too.
	hotPrefixUtilization = 0.5
	// assumedRunSeconds is the run time, in seconds, that is assumed in the estimate of
	// that number.
	assumedRunSeconds = 3
)

// The probability that a preferred target holds a prefix that this host has not observed
// there depends on whether this host has seen the prefix at any target, and on the rank.
// Overflow goes to the second preferred target rather than to a random one, so that all
// hosts choose the same target.
const (
	seenProbability   = 0.6
	unseenProbability = 0.35
)

var rankProbability = [prefix.Replicas]float64{1, 0.4, 0.2}

// candidate is a target to score, with the prompt tokens expected in its cache.
type candidate struct {
	index        int32
	cachedTokens float64
}

// picker is the state of one Pick. It is allocated on the stack.
type picker struct {
	snap           *Snapshot
	req            *request.Request
	skip           func(int) bool
	tokens         int
	maxUtilization float64 // fraction of the limits that may be used
	count          int
	candidates     [maxCandidates]candidate
	choice         Choice
	// overAllowanceCost is the cost in milliseconds of exceeding the allowance.
	overAllowanceCost float64
}

func (p *picker) init(s *Snapshot, r *request.Request, skip func(int) bool) {
	p.snap, p.req, p.skip = s, r, skip
	p.tokens = r.EstimatedTokens()
	p.overAllowanceCost = overAllowanceCostMs
}

// add makes target i a candidate, or raises its expected cached tokens.
func (p *picker) add(i int32, cachedTokens float64) {
	for k := range p.candidates[:p.count] {
		if p.candidates[k].index == i {
			p.candidates[k].cachedTokens = max(p.candidates[k].cachedTokens, cachedTokens)
			return
		}
	}
	if p.count < maxCandidates {
		p.candidates[p.count] = candidate{i, cachedTokens}
		p.count++
	}
}

// prefixTokens returns the prompt tokens in the first depth blocks.
func (p *picker) prefixTokens(depth int) float64 {
	return float64(p.req.PromptTokens) * float64(depth) / float64(len(p.req.Prefix))
}

// addHolders adds the targets that hold a prefix according to the history, longest
// prefix first.
func (p *picker) addHolders(now time.Time) {
	var holders [prefix.MaxHolders]prefix.Holder
	lookups := 0
	for d := len(p.req.Prefix); d > 0 && lookups < maxPrefixLookups && p.count < enoughHolders; d-- {
		lookups++
		n, _ := p.snap.history.Holders(p.req.Prefix[d-1], now, &holders)
		for _, h := range holders[:n] {
			if p.isSchedulableLocal(h.Target) {
				p.add(h.Target, h.Probability*p.prefixTokens(d))
			}
		}
	}
}

// isSchedulableLocal reports whether index i, from the history or the affinity table, is a
// schedulable target of this zone.
func (p *picker) isSchedulableLocal(i int32) bool {
	if i < 0 || int(i) >= len(p.snap.targets) {
		return false
	}
	t := &p.snap.targets[i]
	return t.Load != nil && t.Schedulable && t.Local
}

// addPreferred adds the preferred targets of the longest prefixes whose length is a
// power of two.
func (p *picker) addPreferred(now time.Time) {
	depth := 1 << (bits.Len(uint(len(p.req.Prefix))) - 1)
	for level := 0; level < preferredLevels && depth > 0; level++ {
		p.addPreferredAt(depth, now)
		depth /= 2
	}
}

// addPreferredAt adds the preferred targets of the prefix that is depth blocks long.
func (p *picker) addPreferredAt(depth int, now time.Time) {
	var holders [prefix.MaxHolders]prefix.Holder
	key := p.req.Prefix[depth-1]
	holderCount, rate := p.snap.history.Holders(key, now, &holders)
	probability := unseenProbability
	if holderCount > 0 {
		probability = seenProbability
	}
	inProgress := rate * float64(max(1, p.snap.cfg.HostCount)) * assumedRunSeconds
	for rank, i := range p.snap.affinity.Targets(key) {
		if !p.isSchedulableLocal(i) {
			continue
		}
		holdProbability := probability * rankProbability[rank]
		if rank > 0 && inProgress > float64(rank)*hotPrefixUtilization*p.snap.targets[i].Load.RequestLimit.Get() {
			holdProbability = probability
		}
		p.add(i, holdProbability*p.prefixTokens(depth))
	}
}

// addRandom adds random local targets.
func (p *picker) addRandom(rnd *rand.Rand) {
	n := len(p.snap.local)
	if n == 0 {
		return
	}
	k := p.snap.sampleSize()
	if k >= n {
		// The random start breaks ties: otherwise all hosts would prefer the first
		// target.
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

// addRandomFresh adds random local targets with a recent load report. It reports whether
// it found at least two.
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

// scoreCandidates scores all candidates. A candidate with more than half of the prompt
// in its cache may be used above the host's allowance.
func (p *picker) scoreCandidates() {
	for k := range p.candidates[:p.count] {
		c := p.candidates[k]
		overAllowanceMax := 0.0
		if 2*c.cachedTokens > float64(p.req.PromptTokens) {
			overAllowanceMax = cachedPrefixMaxUtilization
		}
		p.scoreTarget(c.index, c.cachedTokens, p.maxUtilization, overAllowanceMax)
	}
}

// scoreTarget scores one target and reports whether it has capacity. A target counts as
// full if its utilization would exceed maxUtilization or, where the host would
// exceed its allowance, overAllowanceMax.
func (p *picker) scoreTarget(i int32, cachedTokens, maxUtilization, overAllowanceMax float64) bool {
	p.choice.ScoredCount++
	if p.skip != nil && p.skip(int(i)) {
		return false
	}
	t := &p.snap.targets[i]
	if t.HighTierOnly && p.req.Tier == request.Patient {
		return false
	}
	l := t.Load
	proj := l.project(p.req.Tier, p.tokens, &p.snap.cfg)
	if proj.overAllowance {
		maxUtilization = min(maxUtilization, overAllowanceMax)
	}
	if t.HighTierOnly && p.req.Tier == request.Interactive {
		maxUtilization = min(maxUtilization, interactiveMaxUtilization)
	}
	if proj.full || (maxUtilization < 1 && proj.utilization > maxUtilization && !proj.idle) {
		return false
	}
	if !t.Local && l.ReportWeight.Get() < spilloverMinReportWeight {
		return false
	}
	slowdown := l.Slowdown.Get()
	uncached := max(0, float64(p.req.PromptTokens)-cachedTokens)
	wait := float64(l.PendingPrefillTokens.Load()) * l.PrefillMsPerToken.Get() * slowdown
	cost := prefillWeight*uncached*l.PrefillMsPerToken.Get()*slowdown + loadCostMs*proj.utilization*proj.utilization + slowdownCostMs*(slowdown-1) + pendingPrefillWeight*wait
	if proj.utilization > staleEstimateMinUtilization {
		cost += staleEstimateCostMs * (1 - l.ReportWeight.Get()) * (proj.utilization - staleEstimateMinUtilization) / (1 - staleEstimateMinUtilization)
	}
	if proj.overAllowance {
		cost += p.overAllowanceCost
	}
	if t.HighTierOnly && p.req.Tier == request.Urgent {
		cost -= highTierOnlyBonusMs
	}
	if l.PatientOnly.Load() {
		cost -= patientOnlyBonusMs
	}
	p.insertBest(ScoredTarget{i, float32(cost)}, cachedTokens)
	return true
}

// insertBest inserts a scored target into the sorted list of the best ones.
func (p *picker) insertBest(s ScoredTarget, cachedTokens float64) {
	c := &p.choice
	k := c.BestCount
	for k > 0 && c.Best[k-1].Cost > s.Cost {
		k--
	}
	if k == MaxAlternatives {
		return
	}
	if k == 0 {
		c.CachedTokens = cachedTokens
	}
	copy(c.Best[k+1:], c.Best[k:MaxAlternatives-1])
	c.Best[k] = s
	c.BestCount = min(c.BestCount+1, MaxAlternatives)
}

// scan scores the list from a random start until a few targets with capacity are found.
// It runs only when no candidate has capacity, that is when most targets are full.
// Targets where the host would exceed its allowance are used only if there are no others.
func (p *picker) scan(list []int32, rnd *rand.Rand, maxUtilization float64) {
	if len(list) == 0 {
		return
	}
	start, found := rnd.IntN(len(list)), 0
	p.overAllowanceCost = scanOverAllowanceCostMs
	for k := range list {
		i := list[(start+k)%len(list)]
		if p.scoreTarget(i, 0, maxUtilization, 1) && p.choice.Best[0].Cost < scanOverAllowanceCostMs {
			found++
		}
		if found >= scanStopCount {
			return
		}
	}
}
