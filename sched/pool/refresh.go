package pool

import (
	"math"
	"time"

	"sardinefront.dev/sched/health"
	"sardinefront.dev/sched/share"
)

const (
	// ownTime smooths this host's own work, from which the work of peers that
	// were never heard is inferred.
	ownTime = 10 * time.Second
	// probeAfter is the age from which a new load report is asked for.
	probeAfter = time.Second
	// probesPerDispatch applies where Sharing is Probing.
	probesPerDispatch = 2
)

// refresh updates the estimates of all targets. It runs at most every 50 ms.
func (p *Pool) refresh(out []Action, now time.Time) []Action {
	p.smoothOwn(now)
	for _, t := range p.slots {
		if t == nil {
			continue
		}
		t.stall(now)
		out = p.judge(out, t, now)
	}
	p.publishAll(now)
	p.refreshedAt = now
	return out
}

// judge ejects a target that stays slow and starts the trial of one whose
// ejection has ended.
func (p *Pool) judge(out []Action, t *target, now time.Time) []Action {
	factor := 0.0
	if now.Sub(t.limiter.LastSample()) < tickInterval*4 {
		factor = t.limiter.Pressure()
	}
	if why := t.health.Slowdown(factor, now); why != "" {
		return p.ejected(out, t, why, now)
	}
	if t.health.Advance(now) {
		p.rebuild()
	}
	return out
}

func (p *Pool) smoothOwn(now time.Time) {
	own := 0
	for _, n := range p.running {
		own += n
	}
	dt := now.Sub(p.refreshedAt).Seconds()
	p.ownMean += (float64(own) - p.ownMean) * (1 - math.Exp(-dt/ownTime.Seconds()))
}

func (p *Pool) publishAll(now time.Time) {
	p.updateMean(now)
	for _, t := range p.slots {
		if t != nil {
			p.publishLoad(t, now)
		}
	}
}

// updateMean estimates the work of the other hosts as a part of all limits:
// from load reports where they are fresh, from peers' totals, and else from
// this host's own work, as if all hosts were alike.
func (p *Pool) updateMean(now time.Time) {
	limits, reported, weight, n := 0.0, 0.0, 0.0, 0.0
	for _, t := range p.slots {
		if t == nil {
			continue
		}
		l := t.limiter.Requests()
		w := t.work.ReportWeight(now)
		total, _ := t.work.LastReport()
		others := max(0, total.Requests-t.own().Requests)
		limits += l
		reported += w * others / l
		weight += w
		n++
	}
	if n == 0 {
		return
	}
	sum, heard := p.peers.running(now)
	mean := p.ownMean
	if heard > 0 {
		mean = sum / float64(heard)
	}
	alike := mean * float64(p.cfg.Hosts-1) / limits
	// Reports of a tenth of the targets outweigh the inference.
	p.peers.use = (reported + 0.1*n*alike) / (weight + 0.1*n)
	p.peers.demand = share.Demand(p.demand(), p.peers.demandSum(now), heard, p.cfg.Hosts)
}

// publishLoad writes a target's estimates where Pick reads them.
func (p *Pool) publishLoad(t *target, now time.Time) {
	l := t.limiter.Requests()
	t.load.Limit.Set(l)
	t.load.TokenLimit.Set(t.limiter.Tokens())
	t.load.Weight.Set(t.health.Weight(now))
	t.load.Trial.Store(t.health.State() == health.Trial)
	if p.inPanic {
		t.load.Weight.Set(1)
		t.load.Trial.Store(false)
	}
	t.load.Slowdown.Set(t.limiter.Slowdown())
	_, prefill := t.limiter.Speeds(0, 0.0001)
	t.load.Prefill.Set(prefill * 1000)
	t.load.Fresh.Set(t.work.ReportWeight(now))
	switch p.cfg.Sharing {
	case TwoChoices:
	case HostShares:
		t.load.Allowance.Store(int64(share.Allowance(l, p.peers.demand, t.draw)))
	default:
		mean := share.Work{Requests: p.peers.use * l, Tokens: p.peers.use * l * p.tokensMean}
		others := t.work.Others(mean, p.cfg.Hosts, now)
		t.load.Others.Set(others.Requests)
		t.load.OthersTokens.Set(others.Tokens)
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
		t := p.slots[(p.probeAt+p.cfg.Host*len(p.slots)/p.cfg.Hosts)%len(p.slots)]
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
