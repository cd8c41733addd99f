package host

import (
	"sort"
	"time"

	"sardinefront.dev/moves"
	"sardinefront.dev/moves/analysis"
	"sardinefront.dev/moves/control"
	"sardinefront.dev/sched/pool"
)

// analysisResults maps the result of a dispatch to the result that is observed for the version.
// Other results do not depend on the version and are not observed.
var analysisResults = map[pool.Result]analysis.Result{
	pool.OK:        analysis.Answered,
	pool.Truncated: analysis.Truncated,
	pool.Failed:    analysis.Failed,
	pool.TimedOut:  analysis.Failed,
	// Both versions are compared, and deadlines affect both.
	pool.DeadlineReached: analysis.Failed,
}

// recordObservation records the result of a dispatch for the evaluation of a running move.
func (x *exchange) recordObservation(end pool.Result) {
	shares := x.host.moveTracker.TrafficSplit(x.runner.name)
	result, observed := analysisResults[end]
	if shares == nil || x.version == "" || !observed {
		return
	}
	o := moves.Observation{
		MoveID: shares.MoveID, Version: x.version, Target: x.target,
		Route: x.pending.req.Route, Tier: x.pending.req.Tier, Result: result,
	}
	if !x.firstByteAt.IsZero() {
		o.FirstToken = x.firstByteAt.Sub(x.sentAt)
	}
	// A pause is caused by the scheduler and does not measure the speed of the version.
	if x.offset > 1 && x.pending.pauses.Load() == 0 {
		o.BetweenTokens = time.Since(x.firstByteAt) / time.Duration(x.offset-1)
	}
	x.host.moveTracker.Observe(o, x.runner.name, time.Now())
}

// recordVersion records the version that a target has named in a response or a load report, which
// is more recent than the target list. It reports whether the version differs from the recorded
// one.
func (p *poolRunner) recordVersion(name, version string) bool {
	if version == "" {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reportedVersions[name] == version {
		return false
	}
	p.reportedVersions[name] = version
	return true
}

// currentVersion returns the version that the target has reported, or the listed one if it has
// not reported any.
func (p *poolRunner) currentVersion(name, listed string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v, ok := p.reportedVersions[name]; ok {
		return v
	}
	return listed
}

// targetVersion returns the current version of a listed target, or an empty string.
func (p *poolRunner) targetVersion(name string) string {
	for _, info := range *p.targetInfos.Load() {
		if info.Name == name {
			return p.currentVersion(name, info.Version)
		}
	}
	return ""
}

// moveTargets returns the pool's targets sorted by name.
func (p *poolRunner) moveTargets() []control.Target {
	infos := *p.targetInfos.Load()
	targets := make([]control.Target, 0, len(infos))
	for _, info := range infos {
		targets = append(targets, control.Target{
			Name: info.Name, Zone: info.Zone, Version: p.currentVersion(info.Name, info.Version), Leaving: info.Leaving || p.scheduler.Leaving(info.Name),
		})
	}
	sort.Slice(targets, func(a, b int) bool { return targets[a].Name < targets[b].Name })
	return targets
}
