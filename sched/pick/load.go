package pick

import (
	"math"
	"sync/atomic"

	"sardinefront.dev/core/request"
)

// number is a float64 that one goroutine writes and others read.
type number struct{ bits atomic.Uint64 }

// Set stores v.
func (n *number) Set(v float64) { n.bits.Store(math.Float64bits(v)) }

// Get returns the stored value.
func (n *number) Get() float64 { return math.Float64frombits(n.bits.Load()) }

// Load holds the changing numbers of one target. Snapshots share it, so that a
// dispatch does not need a new snapshot. It is safe for concurrent use.
type Load struct {
	// Own and OwnTokens count this host's work in progress.
	OwnRequests, OwnTokens atomic.Int64
	// Pending counts the prompt tokens that this host has sent there and that
	// are not computed yet, as far as it knows.
	PendingPrefillTokens atomic.Int64
	// Others and OthersTokens estimate the work of other hosts.
	PeerRequests, PeerTokens number
	// Limit and TokenLimit bound the work of all hosts; TokenLimit 0 is none.
	RequestLimit, TokenLimit number
	// Weight is the part of the limit that may be used, 0..1.
	UsableFraction number
	// Slowdown is how many times slower than unloaded the target is.
	Slowdown number
	// Prefill is the time per uncached prompt token in milliseconds.
	PrefillMsPerToken number
	// Fresh is the weight of the newest load report, 0..1.
	ReportWeight number
	// Allowance bounds Own where hosts divide the limits; negative is none.
	Allowance atomic.Int64
	// Unfit targets cannot meet the objectives of the tiers above Patient.
	PatientOnly atomic.Bool
	// Trial admits one request at a time.
	Trial atomic.Bool

	dither float64
}

// NewLoad returns the load of an idle target. dither in [0, 1) differs between
// targets; it decides where fractions of a request are left free.
func NewLoad(limit, tokenLimit, dither float64) *Load {
	l := &Load{dither: dither}
	l.RequestLimit.Set(limit)
	l.TokenLimit.Set(tokenLimit)
	l.UsableFraction.Set(1)
	l.Slowdown.Set(1)
	l.PrefillMsPerToken.Set(defaultPrefill)
	l.Allowance.Store(-1)
	return l
}

// defaultPrefill is the time per prompt token in milliseconds until a target's
// own is known.
const defaultPrefill = 0.1

// Total returns the estimated requests in progress over all hosts.
func (l *Load) TotalRequests() float64 { return float64(l.OwnRequests.Load()) + l.PeerRequests.Get() }

// Tokens returns the estimated tokens in progress over all hosts.
func (l *Load) TotalTokens() float64 { return float64(l.OwnTokens.Load()) + l.PeerTokens.Get() }

// idle is the estimate below which a target always has room for one request,
// however large: otherwise a request above the token limit would never start.
const idle = 0.5

const (
	// withinSlack, borrowMargin and staleMargin are parts of the limit. With 40
	// hosts, 300 targets and reports a few seconds old, the error of estimates
	// is about a third of the limit.
	withinSlack  = 0.25
	borrowMargin = 0.02
	staleMargin  = 0.25
)

// use says how a target would be used by one more request.
type use struct {
	// part is the part of the limit in use with the request.
	part float64
	// borrowed says that the host would exceed its allowance.
	borrowed bool
	full     bool
	// idle says that nothing is in progress.
	idle bool
}

// room judges whether the target can start a request of the tier. Estimates
// are fractions, so half a request too many is accepted.
//
// The allowances of all hosts add up to the limit. Within its own, a host may
// start work although the estimate is a little high: however wrong the
// estimates, hosts cannot overload the target together. Beyond it, a host
// borrows only where the estimate leaves a margin that grows with its age.
func (l *Load) room(tier request.Tier, tokens int, c *Config) use {
	return l.roomWith(l.OwnRequests.Load(), tier, tokens, c)
}

// roomWith is room as if this host had own requests at the target.
func (l *Load) roomWith(own int64, tier request.Tier, tokens int, c *Config) use {
	if l.Trial.Load() {
		return use{full: own > 0}
	}
	if tier != request.Patient && l.PatientOnly.Load() {
		return use{full: true}
	}
	limit := l.RequestLimit.Get() * l.UsableFraction.Get()
	if c.OwnCountsOnly {
		return l.ownRoom(own, limit, c)
	}
	allowed := l.Allowance.Load()
	if c.AllowanceOnly && allowed >= 0 {
		return use{part: float64(own+1) / max(1, float64(allowed)), full: own >= allowed}
	}
	total := float64(own) + l.PeerRequests.Get()
	u := use{part: (total + 1) / max(limit, 1), borrowed: allowed >= 0 && own >= allowed}
	slack := idle
	switch {
	case u.borrowed:
		slack -= limit * (borrowMargin + staleMargin*(1-l.ReportWeight.Get()))
	case allowed >= 0:
		slack += limit * withinSlack
	}
	if total < idle {
		u.idle = true
		return u
	}
	u.full = total+1 > c.capacity(limit, tier, l.dither)+slack
	if t := l.TokenLimit.Get(); t > 0 {
		want := l.TotalTokens() + float64(tokens)
		u.part = max(u.part, want/t)
		u.full = u.full || want > c.capacity(t, tier, 0)
	}
	return u
}

// ownRoom judges by own counts: the host may use twice its equal part.
func (l *Load) ownRoom(own int64, limit float64, c *Config) use {
	part := math.Ceil(2 * limit / float64(max(1, c.HostCount)))
	if c.HostCount <= 1 {
		part = limit
	}
	part = max(part, 1)
	return use{part: float64(own+1) / part, full: float64(own) >= part}
}

// capacity returns the part of a limit that a tier may fill. The rest is left
// for higher tiers. dither in [0, 1) spreads the rounding over the targets, so
// that 3% of limits of 8 reserve a whole request at every fourth target.
func (c *Config) capacity(limit float64, tier request.Tier, dither float64) float64 {
	return limit - math.Floor(limit*c.Headroom[tier]+dither)
}
