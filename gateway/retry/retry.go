// Package retry limits how often requests of a service are sent to a further
// target. The limit holds over all hosts, so each host spends its part of the
// fixed allowance and the proportional part of its own requests. The package reads
// no clock.
package retry

import (
	"sync"
	"time"
)

// Limits is the fleet-wide budget of each service.
type Limits struct {
	// Ratio is the number of repeats allowed per request in a window.
	Ratio float64
	// Slack is the number of repeats allowed beside that in a window.
	FixedRetries float64
	// Window is the length of the window.
	Window time.Duration
}

const (
	// buckets divide the window.
	buckets = 10
	// margin keeps the sum over hosts below the limit where requests arrive at one
	// host and repeats at another, and where windows slide.
	margin = 0.7
)

// counter counts requests and repeats in a sliding window.
type counter struct {
	requests, repeats [buckets]float64
	at                int64 // number of the newest bucket
}

// Budget holds the counters of all services. It is safe for concurrent use.
type Budget struct {
	limits Limits
	mu     sync.Mutex
	counts map[string]*counter
	hosts  int
}

// New returns an unused budget of a host that is alone.
func New(l Limits) *Budget {
	return &Budget{limits: l, counts: map[string]*counter{}, hosts: 1}
}

// SetLimits replaces the budget. The window keeps its length.
func (b *Budget) SetLimits(l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l.Window = b.limits.Window
	b.limits = l
}

// SetHosts sets the number of hosts that share the fixed allowance.
func (b *Budget) SetHosts(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = max(1, n)
}

// Request counts a request.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counter(service, now)
	c.requests[c.at%buckets]++
}

// Repeat reports whether a request may be sent once more, and counts it.
func (b *Budget) AllowRetry(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counter(service, now)
	requests, repeats := sum(c.requests), sum(c.repeats)
	if repeats+1 > margin*(b.limits.Ratio*requests+b.limits.FixedRetries/float64(b.hosts)) {
		return false
	}
	c.repeats[c.at%buckets]++
	return true
}

// counter returns the service's counter with the window moved to now.
func (b *Budget) counter(service string, now time.Time) *counter {
	at := now.UnixNano() / int64(b.limits.Window/buckets)
	c := b.counts[service]
	if c == nil {
		c = &counter{at: at}
		b.counts[service] = c
	}
	for i := max(c.at+1, at-buckets+1); i <= at; i++ {
		c.requests[i%buckets], c.repeats[i%buckets] = 0, 0
	}
	c.at = max(c.at, at)
	return c
}

func sum(v [buckets]float64) float64 {
	s := 0.0
	for _, x := range v {
		s += x
	}
	return s
}
