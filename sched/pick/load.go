package pick

import (
	"math"
	"sync/atomic"

	"sardinefront.dev/core/request"
)

// atomicFloat is a float64 that one goroutine writes and others read.
type atomicFloat struct{ bits atomic.Uint64 }

// Set stores v.
func (n *atomicFloat) Set(v float64) { n.bits.Store(math.Float64bits(v)) }

// Get returns the stored value.
func (n *atomicFloat) Get() float64 { return math.Float64frombits(n.bits.Load()) }

// Load holds the mutable load figures of one target. All snapshots share it, so a
// dispatch does not need a new snapshot. It is safe for concurrent use.
type Load struct {
	// OwnRequests and OwnTokens count this host's requests and tokens in progress.
	OwnRequests, OwnTokens atomic.Int64
	// PendingPrefillTokens counts the prompt tokens sent by this host whose
	// computation is not known to be finished.
	PendingPrefillTokens atomic.Int64
	// PeerRequests and PeerTokens estimate the work in progress of the other hosts.
	PeerRequests, PeerTokens atomicFloat
	// RequestLimit and TokenLimit bound the work of all hosts together. A TokenLimit of 0
	// means no limit.
	RequestLimit, TokenLimit atomicFloat
	// UsableFraction is the fraction of RequestLimit that may be used, 0..1.
	UsableFraction atomicFloat
	// Slowdown is the ratio of current to unloaded response time, at least 1.
	Slowdown atomicFloat
	// PrefillMsPerToken is the time to compute one uncached prompt token, in
	// milliseconds.
	PrefillMsPerToken atomicFloat
	// ReportWeight is the weight of the newest load report, from 1 when fresh down to 0.
	ReportWeight atomicFloat
	// Allowance bounds OwnRequests where hosts divide the limits; negative means no
	// allowance.
	Allowance atomic.Int64
	// PatientOnly targets cannot meet the objectives of the tiers above Patient.
	PatientOnly atomic.Bool
	// Trial admits one request at a time, after an ejection has ended.
	Trial atomic.Bool

	dither float64
}

// NewLoad returns the load of an idle target. dither in [0, 1) differs between
// targets and spreads the rounding of the headroom over them; see tierCapacity.
func NewLoad(limit, tokenLimit, dither float64) *Load {
	l := &Load{dither: dither}
	l.RequestLimit.Set(limit)
	l.TokenLimit.Set(tokenLimit)
	l.UsableFraction.Set(1)
	l.Slowdown.Set(1)
	l.PrefillMsPerToken.Set(defaultPrefillMsPerToken)
	l.Allowance.Store(-1)
	return l
}

// defaultPrefillMsPerToken applies until the target has been measured.
const defaultPrefillMsPerToken = 0.1

// TotalRequests returns the estimated requests in progress over all hosts.
func (l *Load) TotalRequests() float64 { return float64(l.OwnRequests.Load()) + l.PeerRequests.Get() }

// TotalTokens returns the estimated tokens in progress over all hosts.
func (l *Load) TotalTokens() float64 { return float64(l.OwnTokens.Load()) + l.PeerTokens.Get() }

// idleThreshold is the estimated number of requests below which a target accepts one
// request of any size. Otherwise a request above the token limit would never start.
const idleThreshold = 0.5

const (
	// allowanceSlack, overAllowanceMargin and staleReportMargin are fractions of the limit. With 40
	// hosts, 300 targets and reports a few seconds old, the estimation error is about
	// a third of the limit.
	allowanceSlack      = 0.25
	overAllowanceMargin = 0.02
	staleReportMargin   = 0.25
)

// projection describes a target as if it had started one more request.
type projection struct {
	// utilization is the fraction of the limit in use, the request included.
	utilization float64
	// overAllowance is true if the host would exceed its allowance.
	overAllowance bool
	// full is true if the target has no capacity for the request.
	full bool
	// idle is true if nothing is in progress before the request starts.
	idle bool
}

// project evaluates whether the target can start a request of the tier. Estimates are
// fractional, so half a request above the limit is accepted.
//
// The allowances of all hosts add up to the limit. Within its allowance a host may
// start work although the estimate is slightly above the limit: the hosts together
// cannot overload the target, however wrong their estimates are. Above its allowance
// a host starts work only where the estimate leaves a margin, which grows with the age
// of the load report.
func (l *Load) project(tier request.Tier, tokens int, c *Config) projection {
	return l.projectWithOwn(l.OwnRequests.Load(), tier, tokens, c)
}

// projectWithOwn is project with own as this host's number of requests at the target.
func (l *Load) projectWithOwn(own int64, tier request.Tier, tokens int, c *Config) projection {
	if l.Trial.Load() {
		return projection{full: own > 0}
	}
	if tier != request.Patient && l.PatientOnly.Load() {
		return projection{full: true}
	}
	limit := l.RequestLimit.Get() * l.UsableFraction.Get()
	if c.OwnCountsOnly {
		return l.projectByOwnCount(own, limit, c)
	}
	allowance := l.Allowance.Load()
	if c.AllowanceOnly && allowance >= 0 {
		return projection{utilization: float64(own+1) / max(1, float64(allowance)), full: own >= allowance}
	}
	total := float64(own) + l.PeerRequests.Get()
	proj := projection{utilization: (total + 1) / max(limit, 1), overAllowance: allowance >= 0 && own >= allowance}
	slack := idleThreshold
	switch {
	case proj.overAllowance:
		slack -= limit * (overAllowanceMargin + staleReportMargin*(1-l.ReportWeight.Get()))
	case allowance >= 0:
		slack += limit * allowanceSlack
	}
	if total < idleThreshold {
		proj.idle = true
		return proj
	}
	proj.full = total+1 > c.tierCapacity(limit, tier, l.dither)+slack
	if t := l.TokenLimit.Get(); t > 0 {
		tokensAfter := l.TotalTokens() + float64(tokens)
		proj.utilization = max(proj.utilization, tokensAfter/t)
		proj.full = proj.full || tokensAfter > c.tierCapacity(t, tier, 0)
	}
	return proj
}

// projectByOwnCount uses this host's own count only: the host may use twice an equal
// share of the limit.
func (l *Load) projectByOwnCount(own int64, limit float64, c *Config) projection {
	share := math.Ceil(2 * limit / float64(max(1, c.HostCount)))
	if c.HostCount <= 1 {
		share = limit
	}
	share = max(share, 1)
	return projection{utilization: float64(own+1) / share, full: float64(own) >= share}
}

// tierCapacity returns how much of a limit a tier may use. The rest is reserved for
// higher tiers. dither in [0, 1) spreads the rounding over the targets: a headroom of 3%
// of limits of 8 reserves one whole request at every fourth target.
func (c *Config) tierCapacity(limit float64, tier request.Tier, dither float64) float64 {
	return limit - math.Floor(limit*c.Headroom[tier]+dither)
}
