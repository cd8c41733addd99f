package host

import (
	"maps"
	"strconv"
	"time"

	"sardinefront.dev/moves"
	"sardinefront.dev/sched/pool"
)

// applyShares hands the shares in force to the pool's scheduler. Tiers are kept
// apart there: urgent requests use a version only once it has its whole share.
func (h *Host) applyVersionShares(runner *poolRunner) {
	shares := h.versionShares(runner)
	if !runner.setVersionShares(shares) {
		return
	}
	runner.decide(func(now time.Time) []pool.Action { return runner.sched.SetVersionShares(shares, now) })
}

// sharesOf returns the part of the traffic that each version may receive. Without
// a move, or before its state is known here, these are the versions that the
// rules serve. Nil lifts all restrictions, which is also the answer if no target
// has a version that may receive traffic.
func (h *Host) versionShares(runner *poolRunner) map[string]float64 {
	shares := splitShares(h.moveTracker.TrafficSplit(runner.name))
	if shares == nil {
		shares = h.servedVersionShares(runner.name)
	}
	for _, t := range runner.moveTargets() {
		if shares[t.Version] > 0 {
			return shares
		}
	}
	return nil
}

func splitShares(s *moves.TrafficSplit) map[string]float64 {
	if s == nil {
		return nil
	}
	share := max(0, min(1, s.NewVersionShare[len(s.NewVersionShare)-1]))
	if s.Halted {
		share = 0
	}
	if share == 1 {
		return map[string]float64{s.From: 0, s.To: 1}
	}
	// The old version may receive everything: it takes over what the new one
	// cannot serve.
	return map[string]float64{s.From: 1, s.To: share}
}

func (h *Host) servedVersionShares(poolName string) map[string]float64 {
	set := h.rules.Load()
	if set == nil {
		return nil
	}
	p, _ := set.rules.Pool(poolName)
	if len(p.Versions) == 0 {
		return nil
	}
	shares := make(map[string]float64, len(p.Versions))
	for _, v := range p.Versions {
		shares[strconv.Itoa(v)] = 1
	}
	return shares
}

// newShares records the shares and reports whether they differ from the last.
func (p *poolRunner) setVersionShares(shares map[string]float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if maps.Equal(shares, p.versionShares) {
		return false
	}
	p.versionShares = shares
	return true
}
