package host

import (
	"log/slog"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/fleet"
	"sardinefront.dev/host/settings"
	"sardinefront.dev/platform"
	"sardinefront.dev/rules"
	"sardinefront.dev/sched/drain"
	"sardinefront.dev/sched/pool"
	"sardinefront.dev/target"
)

// setTargets replaces the targets of the pool. The clients of targets whose address has not
// changed are kept with their connections.
func (p *poolRunner) setTargets(infos []platform.Endpoint, s settings.Settings) {
	old := *p.backends.Load()
	next := make(map[string]backend, len(infos))
	targets := make([]pool.Target, 0, len(infos))
	for _, info := range infos {
		b, ok := old[info.Name]
		if !ok || p.addresses[info.Name] != info.Address {
			b = p.newBackend(info, s)
			p.addresses[info.Name] = info.Address
		}
		next[info.Name] = b
		targets = append(targets, pool.Target{
			Name: info.Name, Zone: info.Zone, Version: p.currentVersion(info.Name, info.Version),
			Local: info.Zone == "" || info.Zone == s.Host.Zone, Draining: info.Leaving,
			Incarnation: drain.Incarnation{ID: info.Address, StartedUnixMs: info.StartedUnixMs},
		})
	}
	p.backends.Store(&next)
	p.decide(func(now time.Time) []pool.Action { return p.scheduler.SetTargets(targets, now) })
	for name, b := range old {
		if next[name] != b {
			b.Close()
		}
		if _, stays := next[name]; !stays {
			delete(p.addresses, name)
		}
	}
}

func (p *poolRunner) newBackend(info platform.Endpoint, s settings.Settings) backend {
	c := target.Config{
		Name:             info.Name,
		Address:          info.Address,
		DialTimeout:      s.Limits.DialTimeout,
		FirstByteTimeout: s.Limits.FirstByteTimeout,
		SenderToken:      s.Commands.SenderToken,
		Admit:            func(newWork bool) bool { return p.admits(info.Name, newWork) },
		OnNotice:         func(n target.Notice) { p.recordNotice(info.Name, info.Address, n) },
	}
	if p.kind == pool.Engine {
		return target.NewEngine(c)
	}
	return target.NewService(c)
}

// updatePools starts a runner for each new pool of the rules and updates the weights of all. The
// runner of a pool that was removed from the rules keeps running, so that its requests can
// finish.
func (h *Host) updatePools(set *rules.Set) {
	old := *h.pools.Load()
	next := make(map[string]*poolRunner, len(old))
	for name, runner := range old {
		next[name] = runner
	}
	weights := set.Weights()
	for _, p := range set.Pools() {
		if _, ok := next[p.Name]; !ok {
			next[p.Name] = h.startPool(p)
		}
		next[p.Name].scheduler.SetWeights(weights)
	}
	h.pools.Store(&next)
}

// maxPoolDigestBytes bounds the digest of one pool. It leaves 64 bytes for the fields of the
// hostDigest that contains it.
const maxPoolDigestBytes = fleet.MaxDigest - 64

// updateHostPositions sets in each pool the number of live hosts in this zone and the index of
// this host among them. The hosts of a zone send to the same targets, and each pool accounts for
// the work of the others.
func (h *Host) updateHostPositions() {
	if h.fleet == nil {
		return
	}
	index, hosts := 0, 0
	for _, m := range h.fleet.Members() {
		if m.State.DeadOrLeft() || m.Zone != h.settings.Host.Zone {
			continue
		}
		if m.Name == h.settings.Host.Name {
			index = hosts
		}
		hosts++
	}
	for _, runner := range *h.pools.Load() {
		runner.setHostPosition(index, max(1, hosts))
	}
}

// setHostPosition passes a changed position to the scheduler. It is only called by the goroutine
// that updates the targets.
func (p *poolRunner) setHostPosition(index, hosts int) {
	if now := (hostPosition{index, hosts}); now != p.position {
		p.position = now
		p.scheduler.SetHosts(index, hosts)
	}
}

// hostPosition is the number of hosts that send to the same targets, and the index of this host
// among them.
type hostPosition struct{ index, hosts int }

func (h *Host) startPool(p rules.Pool) *poolRunner {
	kind := pool.Service
	if p.Engine {
		kind = pool.Engine
	}
	runner := newPoolRunner(pool.Config{
		Name: p.Name, Kind: kind, HostCount: 1,
		Limits: pool.Limits{MaxDigestBytes: maxPoolDigestBytes},
	}, h)
	runner.onHealthChange = h.logHealthChange
	runner.onClosureChange = h.logClosureChange
	runner.onRetryAfterRejected = h.logRetryAfterRejected
	runner.onProbe = func(name string, b backend) { h.probe(runner, name, b) }
	h.tasks.Go(func() { runner.run(h.ctx) })
	if kind == pool.Engine {
		h.startRollout(p, runner)
	}
	return runner
}

// logHealthChange logs that a target was ejected or restored.
func (h *Host) logHealthChange(poolName string, a pool.Action) {
	e := event.TargetEjected
	if a.Kind == pool.Restore {
		e = event.TargetRestored
	}
	e.Log(h.log, slog.String("pool", poolName), slog.String("target", a.Target), slog.String("why", a.Why))
}
