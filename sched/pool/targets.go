package pool

import (
	"cmp"
	"slices"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/sched/health"
	"sardinefront.dev/sched/limit"
	"sardinefront.dev/sched/pick"
	"sardinefront.dev/sched/prefix"
	"sardinefront.dev/sched/share"
)

// target is what the pool knows about one target.
type target struct {
	Target
	slot    int
	hash    uint64
	version int // index in versions
	load    *pick.Load
	limiter *limit.Limiter
	work    share.Estimator
	health  health.Tracker
	// runs holds this host's requests in progress.
	runs []*entry
	// bound holds paused or taken-over requests that resume only here.
	bound []*entry
	// alarm is the lowered limit of a target that far misses its goals, as seen
	// by this host or a peer, and alarmAt when it was seen.
	alarm   float64
	alarmAt time.Time
	// draw is a uniform hash of host and target in [0, 1).
	draw float64
	gone bool
	// express targets take no patient work while there is work of higher tiers.
	express bool
}

func (t *target) ejected() bool { return t.health.State() == health.Ejected }

// learnedWindows is how many windows of own samples make a limit worth
// copying to a new target of the same class.
const learnedWindows = 5

// SetTargets replaces the list of targets. What was learned about a target
// that stays in the list is kept. Paused work that is bound to a target that is
// no longer listed is refused with an unknown outcome.
func (p *Pool) SetTargets(ts []Target, now time.Time) []Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[string]bool, len(ts))
	for _, t := range ts {
		listed[t.Name] = true
	}
	var out []Action
	for i, t := range p.slots {
		if t != nil && !listed[t.Name] {
			out = p.removeTarget(out, i, now)
		}
	}
	for _, t := range ts {
		if old := p.byName[t.Name]; old != nil {
			old.Target = t
			old.version = p.versions.index(t.Version)
			continue
		}
		p.addTarget(t)
	}
	p.anyLocal = slices.ContainsFunc(ts, func(t Target) bool { return t.Local })
	p.rehash()
	p.chooseExpress()
	p.rebuild()
	out = p.refresh(out, now)
	return p.place(out, now)
}

func (p *Pool) addTarget(spec Target) {
	t := &target{Target: spec, hash: prefix.HashName(spec.Name), slot: p.freeSlot()}
	t.version = p.versions.index(spec.Version)
	t.limiter = limit.New(limit.Config{
		Initial:           p.initialLimit(spec),
		Max:               float64(p.cfg.Limits.MaxRequests),
		InitialTokens:     float64(p.cfg.Limits.InitialTokens),
		TimeToFirstToken:  p.cfg.Limits.TimeToFirstToken,
		InterTokenLatency: p.cfg.Limits.InterTokenLatency,
		PlainService:      p.cfg.Kind == Service,
	})
	dither := float64(t.hash>>40) / (1 << 24)
	t.load = pick.NewLoad(t.limiter.RequestLimit(), t.limiter.TokenLimit(), dither)
	t.draw = uniform(t.hash, uint64(p.cfg.HostIndex))
	p.slots[t.slot] = t
	p.byName[t.Name] = t
}

// uniform returns a hash of its arguments in [0, 1).
func uniform(a, b uint64) float64 {
	x := a ^ (b+1)*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x ^= x >> 27
	return float64(x>>11) / (1 << 53)
}

func (p *Pool) freeSlot() int {
	for i, t := range p.slots {
		if t == nil {
			return i
		}
	}
	p.slots = append(p.slots, nil)
	return len(p.slots) - 1
}

// initialLimit returns the mean of what targets of the same class and version
// have learned, or the configured limit.
func (p *Pool) initialLimit(spec Target) float64 {
	sum, n := 0.0, 0
	for _, t := range p.slots {
		if t != nil && t.Class == spec.Class && t.Version == spec.Version && t.limiter.SampledWindows() >= learnedWindows {
			sum += t.limiter.RequestLimit()
			n++
		}
	}
	if n == 0 {
		return float64(p.cfg.Limits.InitialRequests)
	}
	return sum / float64(n)
}

func (p *Pool) removeTarget(out []Action, slot int, now time.Time) []Action {
	t := p.slots[slot]
	t.gone = true
	for _, e := range t.bound {
		f := refusal.New(refusal.OutcomeUnknown, "target %s is no longer listed", t.Name)
		out = p.refuse(out, e, f, now)
		p.bound--
	}
	t.bound = nil
	if p.history != nil {
		p.history.RemoveTarget(slot)
	}
	p.slots[slot] = nil
	delete(p.byName, t.Name)
	return out
}

// rehash rebuilds the table of the digest's short hashes. Targets whose hashes
// collide are left out: a peer's number must not reach the wrong target.
func (p *Pool) rehash() {
	p.byHash = make(map[uint32]*target, len(p.slots))
	for _, t := range p.slots {
		if t == nil {
			continue
		}
		h := shortHash(t.hash)
		if _, taken := p.byHash[h]; taken {
			p.byHash[h] = nil
			continue
		}
		p.byHash[h] = t
	}
}

// expressPart is one over the part of the zone's targets that are express.
const expressPart = 4

// chooseExpress marks the same targets of the zone on all hosts: those with the
// least hashes.
func (p *Pool) chooseExpress() {
	var local []*target
	for _, t := range p.slots {
		if t == nil {
			continue
		}
		t.express = false
		if t.Local && !t.Draining && p.cfg.Kind == Engine {
			local = append(local, t)
		}
	}
	slices.SortFunc(local, func(a, b *target) int { return cmp.Compare(a.hash, b.hash) })
	for _, t := range local[:len(local)/expressPart] {
		t.express = true
	}
}

// rebuild swaps the snapshot after a change of the list or of health.
func (p *Pool) rebuild() {
	p.changes++
	ids := make([]uint64, len(p.slots))
	ts := make([]pick.Target, len(p.slots))
	ejected, all := 0, 0
	for i, t := range p.slots {
		if t == nil {
			continue
		}
		ids[i] = t.hash
		all++
		if t.ejected() {
			ejected++
		}
	}
	p.inPanic = health.PanicMode(ejected, all)
	for i, t := range p.slots {
		if t != nil {
			open := !t.Draining && (p.inPanic || !t.ejected())
			ts[i] = pick.Target{HighTierOnly: t.express && p.anyHigher, Name: t.Name, Version: t.Version, Local: t.Local, Schedulable: open, Load: t.load}
		}
	}
	if p.history != nil {
		p.homes = prefix.NewAffinity(ids, p.homes)
	}
	c := pick.Config{
		Headroom:      p.headroom,
		HostCount:     p.cfg.HostCount,
		OwnCountsOnly: p.cfg.Sharing == TwoChoices,
		AllowanceOnly: p.cfg.Sharing == HostShares,
		PreferFresh:   p.cfg.Sharing == Probing,
	}
	p.snapshot.Store(pick.NewSnapshot(c, ts, p.homes, p.history))
}

// observe passes evidence about a target to its health and acts on an ejection.
func (p *Pool) observe(out []Action, t *target, e health.Observation, now time.Time) []Action {
	was := t.health.State()
	why := t.health.Observe(e, now)
	switch {
	case why != "" && !t.gone:
		return p.ejected(out, t, why, now)
	case was == health.Trial && t.health.State() == health.Healthy && !t.gone:
		p.publishLoad(t, now)
		return append(out, Action{Kind: Restore, Target: t.Name, Why: "trial passed"})
	}
	return out
}

func (p *Pool) ejected(out []Action, t *target, why string, now time.Time) []Action {
	p.rebuild()
	p.publishLoad(t, now)
	p.ring.add("", Decision{At: now, Kind: Eject, Target: t.Name, Why: why})
	return append(out, Action{Kind: Eject, Target: t.Name, Why: why})
}

// Report records a target's load report. Reports may arrive late and in any
// order.
func (p *Pool) RecordLoadReport(name string, r LoadReport, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.byName[name]
	if t == nil {
		return
	}
	if r.MeasuredAt.After(now) {
		r.MeasuredAt = now
	}
	total := share.Work{Requests: float64(r.Running + r.Queued), Tokens: float64(r.Tokens)}
	if r.Tokens == 0 {
		total.Tokens = total.Requests * p.tokensMean
	}
	if t.work.RecordReport(total, t.own(), r.MeasuredAt) {
		t.limiter.RecordQueued(r.Running, r.Queued, now)
		p.publishLoad(t, now)
	}
}

func (t *target) own() share.Work {
	return share.Work{Requests: float64(t.load.OwnRequests.Load()), Tokens: float64(t.load.OwnTokens.Load())}
}

// CacheEvents records a target's cache events in their order. gap says that
// events before these were lost.
func (p *Pool) RecordCacheEvents(name string, events []CacheEvent, gap bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.byName[name]
	if t == nil || p.history == nil {
		return
	}
	if gap {
		p.history.RecordEventLoss(t.slot, now)
	}
	for _, e := range events {
		p.history.RecordCacheEvent(e.Prefix, t.slot, e.Stored, now)
	}
}
