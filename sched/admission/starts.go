package admission

import (
	"math"
	"time"
)

const (
	// startMemory is the time constant of the rate of starts.
	startMemory = time.Second
	// minBusyTime is the time with waiting requests from which the rate of starts counts.
	minBusyTime = 250 * time.Millisecond
	// startRateTTL is how long a rate counts after requests last waited.
	startRateTTL = 2 * time.Second
)

// StartRate measures how many requests are started per second while others wait. Starts in calm say
// nothing about the number of free slots. The zero value has no measurement.
type StartRate struct {
	starts, busy float64 // decayed sums; busy in seconds
	waiting      bool    // requests waited at the last call
	last         time.Time
}

// Observe records the starts since the last call and whether requests still wait.
func (r *StartRate) Observe(starts int, waiting bool, now time.Time) {
	elapsed := now.Sub(r.last)
	if r.last.IsZero() || !r.waiting && elapsed > startRateTTL {
		*r = StartRate{waiting: waiting, last: now}
		return
	}
	if r.waiting && elapsed > 0 {
		decay := math.Exp(-elapsed.Seconds() / startMemory.Seconds())
		r.starts, r.busy = r.starts*decay, r.busy*decay+startMemory.Seconds()*(1-decay)
	}
	if r.waiting {
		r.starts += float64(starts)
	}
	r.waiting, r.last = waiting, now
}

// PerSecond returns the rate, 0 if it is unknown.
func (r *StartRate) PerSecond(now time.Time) float64 {
	if r.busy < minBusyTime.Seconds() || now.Sub(r.last) > startRateTTL {
		return 0
	}
	return r.starts / r.busy
}

const (
	// orderMemory is the time constant of the counts of Order.
	orderMemory = time.Second
	// minLateShare is the share of requests becoming late in the queue from which the newest are
	// served first. Below it, most of the oldest can still be started in time.
	minLateShare = 1.0 / 3
	// minLate is the number of late requests, decayed, from which their share counts.
	minLate = 2
)

// Order selects which of an organisation's fresh requests of one tier is served next. The zero value
// serves the oldest first.
type Order struct {
	late, started float64 // decayed counts
	last          time.Time
}

// RecordLate records that a request has become late in the queue.
func (o *Order) RecordLate(now time.Time) {
	o.decay(now)
	o.late++
}

// RecordStart records that a fresh request has been started.
func (o *Order) RecordStart(now time.Time) {
	o.decay(now)
	o.started++
}

func (o *Order) decay(now time.Time) {
	f := 0.0
	if !o.last.IsZero() {
		f = math.Exp(-now.Sub(o.last).Seconds() / orderMemory.Seconds())
	}
	o.late, o.started, o.last = o.late*f, o.started*f, now
}

// NewestFirst reports whether the newest request is served first. Oldest first would start each
// request just as it becomes late while more arrive than can be started.
func (o *Order) NewestFirst(now time.Time) bool {
	if o.late == 0 {
		return false
	}
	f := math.Exp(-now.Sub(o.last).Seconds() / orderMemory.Seconds())
	return o.late*f >= minLate && o.late >= minLateShare*(o.late+o.started)
}
