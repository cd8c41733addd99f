package pool

import (
	"cmp"
	"slices"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/sched/drain"
	"sardinefront.dev/sched/health"
	"sardinefront.dev/sched/limit"
	"sardinefront.dev/sched/pick"
	"sardinefront.dev/sched/prefix"
	"sardinefront.dev/sched/share"
)

// target is the state of one target.
type target struct {
	Target
	slot      int
	hash      uint64
	version   int // index in versions
	load      *pick.Load
	limiter   *limit.Limiter
	estimator share.Estimator
	health    health.Tracker
	drain     drain.State
	// closure is the last published reason for which the target gets no new requests.
	closure drain.Closure
	// runs holds this host's requests in progress.
	runs []*entry
	// progressAt is when a byte of any response last arrived.
	progressAt time.Time
	// suspended holds paused or taken-over requests, which can resume only here.
	suspended []*entry
	// alarmLimit is the lowered limit of a target that far exceeds its latency goals, as
	// measured at alarmAt by this host or a peer.
	alarmLimit float64
	alarmAt    time.Time
	// allowanceHash is a uniform hash of host and target in [0, 1).
	allowanceHash float64
	// removed is true if the target is no longer listed.
	removed bool
	// highTierOnly targets refuse patient requests while highTierOnlyActive is set.
	highTierOnly bool
}

func (t *target) ejected() bool { return t.health.State() == health.Ejected }

// minLearnedWindows is the number of windows of own samples from which a limit is sent to
// peers and used for new targets of the same class.
const minLearnedWindows = 5

// SetTargets replaces the list of targets. The state of targets that stay in the list is
// kept. Paused requests that can resume only at a target that is no longer listed are
// refused with an unknown outcome.
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
	for _, spec := range ts {
		t := p.byName[spec.Name]
		if t == nil {
			t = p.addTarget(spec)
		}
		t.Target = spec
		t.version = p.versions.ensureIndex(spec.Version)
		t.drain.Observe(drain.Report{Incarnation: spec.Incarnation, Source: drain.FromList, Leaving: spec.Draining, At: now})
		out = p.updateClosure(out, t, now)
	}
	p.anyLocal = slices.ContainsFunc(ts, func(t Target) bool { return t.Local })
	p.rebuildHashIndex()
	p.chooseHighTierOnly()
	p.rebuildSnapshot()
	out = p.refresh(out, now)
	return p.dispatchReady(out, now)
}

func (p *Pool) addTarget(spec Target) *target {
	t := &target{Target: spec, hash: prefix.HashName(spec.Name), slot: p.allocateSlot()}
	t.version = p.versions.ensureIndex(spec.Version)
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
	t.allowanceHash = hashFraction(t.hash, uint64(p.cfg.HostIndex))
	p.slots[t.slot] = t
	p.byName[t.Name] = t
	return t
}

// hashFraction returns a uniform hash of its arguments in [0, 1).
func hashFraction(a, b uint64) float64 {
	x := a ^ (b+1)*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x ^= x >> 27
	return float64(x>>11) / (1 << 53)
}

func (p *Pool) allocateSlot() int {
	for i, t := range p.slots {
		if t == nil {
			return i
		}
	}
	p.slots = append(p.slots, nil)
	return len(p.slots) - 1
}

// initialLimit returns the mean of the limits learned for targets of the same class and
// version, or the configured limit if there are none.
func (p *Pool) initialLimit(spec Target) float64 {
	sum, n := 0.0, 0
	for _, t := range p.slots {
		if t != nil && t.Class == spec.Class && t.Version == spec.Version && t.limiter.SampledWindows() >= minLearnedWindows {
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
	t.removed = true
	for _, e := range t.suspended {
		ref := refusal.New(refusal.OutcomeUnknown, "target %s is no longer listed", t.Name)
		out = p.refuse(out, e, ref, now)
		p.suspendedCount--
	}
	t.suspended = nil
	if p.history != nil {
		p.history.RemoveTarget(slot)
	}
	p.slots[slot] = nil
	delete(p.byName, t.Name)
	return out
}

// rebuildHashIndex rebuilds the index from short hashes in digests to targets. Targets
// whose hashes collide are left out, so that no figure is applied to the wrong target.
func (p *Pool) rebuildHashIndex() {
	p.byHash = make(map[uint32]*target, len(p.slots))
	for _, t := range p.slots {
		if t == nil {
			continue
		}
		h := shortHash(t.hash)
		if _, collides := p.byHash[h]; collides {
			p.byHash[h] = nil
			continue
		}
		p.byHash[h] = t
	}
}

// One of targetsPerHighTierOnly targets of the zone is high-tier-only.
const targetsPerHighTierOnly = 4

// chooseHighTierOnly marks the high-tier-only targets: those of the zone with the lowest
// hashes, so that all hosts mark the same ones.
func (p *Pool) chooseHighTierOnly() {
	var local []*target
	for _, t := range p.slots {
		if t == nil {
			continue
		}
		t.highTierOnly = false
		if t.Local && !t.leaving() && p.cfg.Kind == Engine {
			local = append(local, t)
		}
	}
	slices.SortFunc(local, func(a, b *target) int { return cmp.Compare(a.hash, b.hash) })
	for _, t := range local[:len(local)/targetsPerHighTierOnly] {
		t.highTierOnly = true
	}
}

// rebuildSnapshot replaces the snapshot after a change of the target list, of health or
// of settings.
func (p *Pool) rebuildSnapshot() {
	p.capacityChanges++
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
	p.panicMode = health.PanicMode(ejected, all)
	for i, t := range p.slots {
		if t != nil {
			schedulable := t.closure == drain.Open && (p.panicMode || !t.ejected())
			ts[i] = pick.Target{HighTierOnly: t.highTierOnly && p.highTierOnlyActive, Name: t.Name, Version: t.Version, Local: t.Local, Schedulable: schedulable, Load: t.load}
		}
	}
	if p.history != nil {
		p.affinity = prefix.NewAffinity(ids, p.affinity)
	}
	c := pick.Config{
		Headroom:      p.headroom,
		HostCount:     p.cfg.HostCount,
		OwnCountsOnly: p.cfg.Sharing == TwoChoices,
		AllowanceOnly: p.cfg.Sharing == HostShares,
		PreferFresh:   p.cfg.Sharing == Probing,
	}
	p.snapshot.Store(pick.NewSnapshot(c, ts, p.affinity, p.history))
}

// recordObservation records a health observation of a target and returns an action if it
// ejects or restores the target.
func (p *Pool) recordObservation(out []Action, t *target, obs health.Observation, now time.Time) []Action {
	before := t.health.State()
	why := t.health.Observe(obs, now)
	switch {
	case why != "" && !t.removed:
		return p.recordEjection(out, t, why, now)
	case before == health.Trial && t.health.State() == health.Healthy && !t.removed:
		p.publishLoad(t, now)
		return append(out, Action{Kind: Restore, Target: t.Name, Why: "trial passed"})
	}
	return out
}

// recordEjection applies the ejection of a target and returns the Eject action.
func (p *Pool) recordEjection(out []Action, t *target, why string, now time.Time) []Action {
	p.rebuildSnapshot()
	p.publishLoad(t, now)
	p.decisions.add("", Decision{At: now, Kind: Eject, Target: t.Name, Why: why})
	return append(out, Action{Kind: Eject, Target: t.Name, Why: why})
}

// RecordLoadReport records the load report of the target with the given name. Reports may
// arrive late and in any order.
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
		total.Tokens = total.Requests * p.meanTokens
	}
	if t.estimator.RecordReport(total, t.ownWork(), r.MeasuredAt) {
		t.limiter.RecordQueued(r.Running, r.Queued, now)
		p.publishLoad(t, now)
	}
}

// ownWork returns this host's work in progress at the target.
func (t *target) ownWork() share.Work {
	return share.Work{Requests: float64(t.load.OwnRequests.Load()), Tokens: float64(t.load.OwnTokens.Load())}
}

// RecordCacheEvents records cache events of the target with the given name, in order. gap
// is true if events before these were lost.
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
