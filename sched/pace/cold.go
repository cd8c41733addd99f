// Package pace limits the requests that a host sends to targets that are cold, have just started or
// have just recovered. It does no I/O and reads no clock.
package pace

import (
	"math/rand/v2"
	"time"
)

const (
	// coldShare is the part of the bound for cold targets that all hosts use together. The rest
	// absorbs random variation: a second with twice the mean stays within the bound.
	coldShare = 0.5
	// opportunityLength is how long a host may use an opportunity to send. It covers the interval
	// between two rounds of the scheduler. Longer ones let idle hosts send together.
	opportunityLength = 200 * time.Millisecond
	// maxSendDelay is the time from an admission to the send. It covers a connect and a
	// reservation.
	maxSendDelay = 300 * time.Millisecond
	// maxInterval bounds the mean interval between the opportunities of a host, so that times don't
	// overflow.
	maxInterval = 24 * time.Hour
)

// Bound is the number of requests per second that a cold target of a service tolerates, summed over
// all hosts.
type Bound struct {
	PerSecond float64
	// Duration is how long targets are cold after a start.
	Duration time.Duration
}

// Enabled reports whether the service bounds the requests to cold targets.
func (b Bound) Enabled() bool { return b.PerSecond > 0 && b.Duration > 0 }

// Cold limits the requests of one host to one target while that is cold. Hosts don't coordinate:
// each draws random times at which it may send one request, so that the requests of all hosts are a
// Poisson process below the bound. The zero value is a target that is not cold.
type Cold struct {
	until time.Time
	// opportunity is when this host may next send one request; it lasts opportunityLength.
	opportunity time.Time
	hosts       int   // number of hosts for which opportunity was drawn
	bound       Bound // bound for which opportunity was drawn
	// admittedAt is the time of an admission that has not been sent yet.
	admittedAt time.Time
}

// Extend records that the target is cold until the given time. A time before the known end is ignored,
// because reports arrive in any order.
func (c *Cold) Extend(until time.Time) {
	if until.After(c.until) {
		c.until = until
	}
}

// WarmingUp reports whether the target is cold, whether the service bounds the requests to it or not.
func (c *Cold) WarmingUp(now time.Time) bool { return now.Before(c.until) }

// IsCold reports whether the target is cold and the service bounds the requests to it.
func (c *Cold) IsCold(b Bound, now time.Time) bool { return b.Enabled() && now.Before(c.until) }

// Allows reports whether this host may admit a request to the target now. hosts is the number of
// hosts that may send to it, 0 if it is unknown.
func (c *Cold) Allows(b Bound, hosts int, rnd *rand.Rand, now time.Time) bool {
	if !c.IsCold(b, now) {
		return true
	}
	if hosts <= 0 || now.Sub(c.admittedAt) <= maxSendDelay {
		return false
	}
	if c.opportunity.IsZero() || c.hosts != hosts || c.bound != b || now.Sub(c.opportunity) > opportunityLength {
		c.draw(b, hosts, rnd, now)
	}
	return !now.Before(c.opportunity)
}

// draw sets the next opportunity. The exponential distribution has no memory, so that a draw may
// replace an earlier one at any time without changing the rate.
func (c *Cold) draw(b Bound, hosts int, rnd *rand.Rand, now time.Time) {
	mean := min(float64(hosts)/(coldShare*b.PerSecond)*float64(time.Second), float64(maxInterval))
	c.opportunity = now.Add(time.Duration(rnd.ExpFloat64() * mean))
	c.hosts, c.bound = hosts, b
}

// Admit records that a request was granted the target while it is cold, and uses up the opportunity.
func (c *Cold) Admit(b Bound, hosts int, rnd *rand.Rand, now time.Time) {
	if c.IsCold(b, now) {
		c.admittedAt = now
		c.draw(b, max(1, hosts), rnd, now)
	}
}

// Admitted reports whether a granted request may go on: the target is not cold, or there is an
// admission that has neither been used up nor expired.
func (c *Cold) Admitted(b Bound, now time.Time) bool {
	return !c.IsCold(b, now) || now.Sub(c.admittedAt) <= maxSendDelay
}

// Spend reports the same as Admitted, and uses up the admission. It is called right before a send.
func (c *Cold) Spend(b Bound, now time.Time) bool {
	admitted := c.Admitted(b, now)
	c.admittedAt = time.Time{}
	return admitted
}
