package host

import (
	"maps"
	"strconv"
	"time"

	"sardinefront.dev/moves"
	"sardinefront.dev/sched/pool"
)

// applyVersionShares passes changed version shares to the pool's scheduler. The shares apply to all
// tiers; the scheduler itself sends urgent requests to stable versions, and to a canary version
// only as a fallback.
func (h *Host) applyVersionShares(runner *poolRunner) {
	shares := h.versionShares(runner)
	if !runner.setVersionShares(shares) {
		return
	}
	runner.decide(func(now time.Time) []pool.Action { return runner.scheduler.SetVersionShares(shares, now) })
}

// versionShares returns the share of the traffic, 0 to 1, that each version may receive. If the
// pool has no move or its state is unknown, these are the versions of the serve rules. Nil means
// no restriction; it is also returned if no target has a version that may receive traffic.
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

// splitShares returns the version shares of a move, nil without a move. The new version's
// share is that of patient requests, the last tier.
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
	// The old version may receive all traffic, because it serves the requests that the new one
	// cannot.
	return map[string]float64{s.From: 1, s.To: share}
}

// servedVersionShares returns share 1 for each version in the pool's serve rules.
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

// setVersionShares records the shares and reports whether they have changed.
func (p *poolRunner) setVersionShares(shares map[string]float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if maps.Equal(shares, p.versionShares) {
		return false
	}
	p.versionShares = shares
	return true
}
