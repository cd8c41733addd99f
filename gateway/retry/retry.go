// Package retry implements a retry budget: it limits how often the requests of a service are
// retried at another target. The limit applies to all hosts together. Each host may use its share
// of the fixed retries, and retries in proportion to its own requests. The package reads no clock.
package retry

import (
	"sync"
	"time"
)

// Limits is the retry budget of each service over all hosts.
type Limits struct {
	// Ratio is the number of retries per request in a window.
	Ratio float64
	// FixedRetries is the number of retries in a window in addition to that.
	FixedRetries float64
	// Window is the length of the window.
	Window time.Duration
}

const (
	// windowBuckets is the number of buckets of the sliding window.
	windowBuckets = 10
	// safetyFactor keeps the sum over all hosts below the limit. It covers requests that arrive
	// at one host and are retried at another, and the granularity of the sliding window.
	safetyFactor = 0.7
)

// counter counts requests and retries in a sliding window.
type counter struct {
	requests, retries [windowBuckets]float64
	newestBucket      int64 // number of the newest bucket
}

// Budget holds the counters of all services. Its methods are safe for concurrent use.
type Budget struct {
	limits   Limits
	mu       sync.Mutex
	counters map[string]*counter
	hosts    int
}

// New returns an unused budget for a single host.
func New(l Limits) *Budget {
	return &Budget{limits: l, counters: map[string]*counter{}, hosts: 1}
}

// SetLimits replaces the limits, except for the length of the window.
func (b *Budget) SetLimits(l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l.Window = b.limits.Window
	b.limits = l
}

// SetHosts sets the number of hosts that share the fixed retries.
func (b *Budget) SetHosts(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = max(1, n)
}

// RecordRequest counts a request.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counter(service, now)
	c.requests[c.newestBucket%windowBuckets]++
}

// AllowRetry reports whether a request may be retried, and counts the retry if so.
func (b *Budget) AllowRetry(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counter(service, now)
	if !b.hasRetry(c) {
		return false
	}
	c.retries[c.newestBucket%windowBuckets]++
	return true
}

// HasRetry reports whether AllowRetry would allow a retry now.
func (b *Budget) HasRetry(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hasRetry(b.counter(service, now))
}

// hasRetry reports whether the counter is below the limit. The caller holds b.mu.
func (b *Budget) hasRetry(c *counter) bool {
	return sum(c.retries)+1 <= safetyFactor*(b.limits.Ratio*sum(c.requests)+b.limits.FixedRetries/float64(b.hosts))
}

// counter returns the service's counter after moving the window to now.
func (b *Budget) counter(service string, now time.Time) *counter {
	bucket := now.UnixNano() / int64(b.limits.Window/windowBuckets)
	c := b.counters[service]
	if c == nil {
		c = &counter{newestBucket: bucket}
		b.counters[service] = c
	}
	for i := max(c.newestBucket+1, bucket-windowBuckets+1); i <= bucket; i++ {
		c.requests[i%windowBuckets], c.retries[i%windowBuckets] = 0, 0
	}
	c.newestBucket = max(c.newestBucket, bucket)
	return c
}

func sum(v [windowBuckets]float64) float64 {
	s := 0.0
	for _, x := range v {
		s += x
	}
	return s
}
