package pool

import (
	"math"
	"slices"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/health"
	"sardinefront.dev/sched/share"
)

const (
	// ownTime smooths this host's own work, from which the work of peers that
	// were never heard is inferred.
	ownTime = 10 * time.Second
	// probeAfter is the age from which a new load report is asked for.
	probeAfter = 250 * time.Millisecond
	// probesPerDispatch applies where Sharing is Probing.
	probesPerDispatch = 2
)

// refresh updates the estimates of all targets. It runs at most every 50 ms.
func (p *Pool) refresh(out []Action, now time.Time) []Action {
	p.smoothOwn(now)
	late := p.late(now)
	for _, t := range p.slots {
		if t == nil {
			continue
		}
		if late {
			t.forgive(now)
		}
		t.stall(now)
		t.work.RecordOwn(t.load.OwnRequests.Load(), now)
		out = p.judge(out, t, now)
	}
	p.publishAll(now)
	p.refreshedAt = now
	return out
}

// alarmFrom is the multiple of a goal from which a host tells its peers. Most of
// 40 hosts have nothing in progress at a given target and would notice too late.
const alarmFrom = 1.4

// judge ejects a target that stays slow and starts the trial of one whose
// ejection has ended.
func (p *Pool) judge(out []Action, t *target, now time.Time) []Action {
	factor := 0.0
	if now.Sub(t.limiter.LastSample()) < tickInterval*4 {
		factor = t.limiter.GoalRatio()
	}
	if factor >= alarmFrom && t.limiter.RecentlyMeasured(now) {
		t.alarm, t.alarmAt = t.limiter.RequestLimit(), now
	}
	if why := t.health.RecordSlowdown(factor, now); why != "" {
		return p.ejected(out, t, why, now)
	}
	if t.health.Advance(now) {
		p.rebuild()
	}
	return out
}

func (p *Pool) smoothOwn(now time.Time) {
	own := p.demandWaiting()
	for _, n := range p.running {
		own += n
	}
	dt := now.Sub(p.refreshedAt).Seconds()
	part := 1 - math.Exp(-dt/ownTime.Seconds())
	p.ownMean += (float64(own) - p.ownMean) * part
	higher := p.running[request.Urgent] + p.running[request.Interactive]
	p.higherMean += (float64(higher) - p.higherMean) * part
	p.adjustHeadroom()
}

// expressFrom is the mean number of urgent and interactive requests of this
// host from which express targets are kept free of patient work.
const expressFrom = 0.5

// headroomStep keeps small changes from replacing the snapshot.
const headroomStep = 0.02

// adjustHeadroom shrinks the headroom of patient work where there is little
// work of higher tiers to keep it for: it is complete where a quarter of this
// host's work or more is of higher tiers. Where 2% was, a trial gave 23.6 instead
// of 22.6 answers per second.
func (p *Pool) adjustHeadroom() {
	want := p.cfg.Limits.Headroom[request.Patient]
	if p.ownMean > 0 {
		want *= min(1, 4*p.higherMean/p.ownMean)
	}
	if any := p.higherMean >= expressFrom; any != p.anyHigher {
		p.anyHigher = any
		p.rebuild()
	}
	if math.Abs(want-p.headroom[request.Patient]) >= headroomStep {
		p.headroom[request.Patient] = want
		p.rebuild()
	}
}

func (p *Pool) publishAll(now time.Time) {
	p.updateMean(now)
	p.updateFit(now)
	for _, t := range p.slots {
		if t != nil {
			p.publishLoad(t, now)
		}
	}
}

// updateFit notes whether any target of the zone can meet the objectives. If
// none can, all are used.
func (p *Pool) updateFit(now time.Time) {
	p.anyFit = slices.ContainsFunc(p.slots, func(t *target) bool {
		return t != nil && p.counts(t) && !t.Draining && !t.ejected() && t.limiter.CanMeetGoal(now)
	})
}

// counts reports whether a target belongs to the capacity that the hosts of
// this zone divide: those of other zones do not, unless the zone has none.
func (p *Pool) counts(t *target) bool { return t.Local || !p.anyLocal }

// updateMean estimates the work of the other hosts as a part of all limits:
// from load reports where they are fresh, from peers' totals, and else from
// this host's own work, as if all hosts were alike.
func (p *Pool) updateMean(now time.Time) {
	limits, reported, weight, n := 0.0, 0.0, 0.0, 0.0
	for _, t := range p.slots {
		if t == nil || !p.counts(t) {
			continue
		}
		l := t.limiter.RequestLimit()
		w := t.work.ReportWeight(now)
		limits += l
		reported += w * t.work.ReportedOthers() / l
		weight += w
		n++
	}
	if n == 0 {
		return
	}
	sum, heard := p.peers.means(now)
	mean := p.ownMean
	if heard {
		mean = sum.running
	}
	alike := mean * float64(p.cfg.HostCount-1) / limits
	// Reports of a tenth of the targets outweigh the inference.
	p.peers.use = (reported + 0.1*n*alike) / (weight + 0.1*n)
	p.peers.demand = share.DemandShare(p.demand(), sum.running+sum.waiting, heard, p.cfg.HostCount)
	p.updateCap(limits)
}

// idlePart is the part of its share of the idle capacity that a host may take
// per refresh. A burst at one host ramps up over a few hundred milliseconds;
// many hosts that see the same idle capacity do not fill it twice over before
// they hear of each other.
const idlePart = 0.25

// updateCap sets how many requests this host may have in progress: its share
// of all limits by demand, or what it has and a part of what is idle. The cap
// rests on exact own counts, so errors in the estimates of single targets
// neither overload the zone nor hold requests back.
func (p *Pool) updateCap(limits float64) {
	total, own := 0.0, 0.0
	for _, t := range p.slots {
		if t != nil && p.counts(t) {
			total += t.load.TotalRequests()
			own += float64(t.load.OwnRequests.Load())
		}
	}
	idle := max(0, limits-total)
	d := p.peers.demand
	p.hostCap = max(1, limits*d, own+idlePart*idle*d)
	if p.cfg.HostCount == 1 || p.cfg.Sharing == TwoChoices || p.cfg.Sharing == HostShares {
		p.hostCap = math.Inf(1)
	}
}

// serviceCap is the part of its cap that a host may use in a service pool for
// urgent and interactive calls. A service has few workers and many hosts, so
// that shares are a few calls each, and a call that waits there harms none.
const serviceCap = 1.25

// capped reports whether this host may start no more work of a tier.
func (p *Pool) capped(tier request.Tier) bool {
	own := 1
	for _, n := range p.running {
		own += n
	}
	limit := p.hostCap * (1 - p.headroom[tier])
	if p.cfg.Kind == Service && tier != request.Patient {
		limit = p.hostCap * serviceCap
	}
	return float64(own) > max(1, limit)
}

// publishLoad writes a target's estimates where Pick reads them.
func (p *Pool) publishLoad(t *target, now time.Time) {
	p.changes++
	l := t.limiter.RequestLimit()
	t.load.RequestLimit.Set(l)
	t.load.TokenLimit.Set(t.limiter.TokenLimit())
	t.load.UsableFraction.Set(t.health.Weight(now))
	t.load.Trial.Store(t.health.State() == health.Trial)
	if p.inPanic {
		t.load.UsableFraction.Set(1)
		t.load.Trial.Store(false)
	}
	t.load.PatientOnly.Store(p.anyFit && !t.limiter.CanMeetGoal(now))
	t.load.Slowdown.Set(t.limiter.Slowdown())
	_, prefill := t.limiter.TokenTimes(0, 0.0001)
	t.load.PrefillMsPerToken.Set(prefill * 1000)
	t.load.ReportWeight.Set(t.work.ReportWeight(now))
	mean := share.Work{Requests: p.peers.use * l, Tokens: p.peers.use * l * p.tokensMean}
	others := t.work.EstimateOthers(mean, p.cfg.HostCount, now)
	t.load.PeerRequests.Set(others.Requests)
	t.load.PeerTokens.Set(others.Tokens)
	if p.cfg.HostCount > 1 && p.cfg.Sharing != TwoChoices {
		allowed := share.Allowance(l, p.peers.demand, t.draw)
		if !p.counts(t) {
			allowed = 0
		}
		t.load.Allowance.Store(int64(allowed))
	}
}

// probe asks for load reports from the targets whose last one is old. Every
// host starts at a different target, so that the hosts of a zone together hear
// of each target often and pass it on in their digests.
func (p *Pool) probe(out []Action, now time.Time) []Action {
	if p.cfg.Sharing == TwoChoices || len(p.slots) == 0 {
		return out
	}
	p.probes.earn(p.cfg.Limits.ProbesPerSecond * tickInterval.Seconds())
	for range p.slots {
		if p.probes.credit < 1 {
			return out
		}
		p.probeAt++
		t := p.slots[(p.probeAt+p.cfg.HostIndex*len(p.slots)/p.cfg.HostCount)%len(p.slots)]
		if t == nil {
			continue
		}
		if _, at := t.work.LastReport(); now.Sub(at) >= probeAfter {
			p.probes.spend()
			out = append(out, Action{Kind: Probe, Target: t.Name})
		}
	}
	return out
}

// probeRandom asks two random targets for reports with a dispatch.
func (p *Pool) probeRandom(out []Action) []Action {
	if p.cfg.Sharing != Probing {
		return out
	}
	for range probesPerDispatch {
		if t := p.slots[p.rnd.IntN(len(p.slots))]; t != nil {
			out = append(out, Action{Kind: Probe, Target: t.Name})
		}
	}
	return out
}
