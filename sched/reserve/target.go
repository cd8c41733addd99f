package reserve

import (
	"time"

	"sardinefront.dev/sched/drain"
	"sardinefront.dev/sched/finish"
	"sardinefront.dev/sched/health"
	"sardinefront.dev/sched/pace"
)

const (
	// fullBackoff is how long a target that refused a reservation gets no attempt, unless
	// a request of this host ends there. It doubles with each further refusal up to
	// maxFullBackoff.
	fullBackoff    = 20 * time.Millisecond
	maxFullBackoff = 80 * time.Millisecond
	// refusalsBeforePacing is the number of refusals in a row after which attempts are
	// paced. Their interval is paceIntervalPerHost times the number of hosts that share the
	// targets, so that the total rate of attempts does not grow with the number of hosts.
	// It doubles with further refusals, at most maxPaceDoublings times, except for lanes
	// that need a fast target.
	refusalsBeforePacing = 6
	paceIntervalPerHost  = 300 * time.Microsecond
	maxPaceDoublings     = 2
	// sampleWeight is the weight of a new sample in the moving averages.
	sampleWeight = 0.2
	// SpeedTTL is how long a measured speed is valid. After a network partition or a
	// stall, a fast target is measured as slow. Without expiry it would get no requests and
	// never be measured again.
	SpeedTTL = 5 * time.Second
	// ownSpeedPrecedence is how long this host's own measurement overrides those of peers.
	ownSpeedPrecedence = time.Second
	// peerEjectionScore is the failure score of a target that another host has ejected. The
	// target is avoided but not ejected here: the other host may be partitioned from it.
	peerEjectionScore = 0.4
	// peerEjectionTTL is how long another host's ejection counts unless it is repeated.
	peerEjectionTTL = 600 * time.Millisecond
)

// Target describes one target as the directory lists it.
type Target struct {
	// Name is unique to the target's incarnation.
	Name string
	// Zone is the target's availability zone.
	Zone string
	// Region is the region of the zone, empty if it is unknown.
	Region string
	// Local is true if the target is in the host's availability zone.
	Local bool
	// Version is the version of the target's software.
	Version string
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Draining is true if the list states that the target is leaving. ListedAt is when this
	// host read that.
	Draining bool
	ListedAt time.Time
	// WarmUpUntil is when the target has warmed up after its start.
	WarmUpUntil time.Time
}

// Outcome describes how a grant ended.
type Outcome uint8

const (
	// OK is a complete response without a fault of the target.
	OK Outcome = iota
	// BrokenResponse is a response that is truncated, belongs to another request or is
	// missing.
	BrokenResponse
	// ErrorResponse is a response with an error status.
	ErrorResponse
	// TimedOut is a target that did not respond in time.
	TimedOut
	// DeadlineReached is a request whose deadline was reached before the first byte of its
	// response. Sample.Unanswered tells whether that is a fault of the target.
	DeadlineReached
	// Silent is a target that did not respond in time, after RecordSilent.
	Silent
	// Unreachable is a target to which no connection could be made.
	Unreachable
	// Abandoned is an attempt that does not affect the target's health, for example because
	// the caller has disconnected.
	Abandoned
)

// Sample is the measured speed of a target during one request.
type Sample struct {
	// Latency is the time to the complete response of a plain service; 0 if unknown.
	Latency time.Duration
	// Gap is the mean time between the events of a stream; 0 if unknown.
	Gap time.Duration
	// Route is the name of the request's route.
	Route string
	// Unanswered is the time from the send to the end of a request without a first byte of the
	// response, else 0.
	Unanswered time.Duration
	// SilentAfter is the time without a first byte that RecordSilent has recorded for the request,
	// 0 for none.
	SilentAfter time.Duration
}

// target is the state that this host keeps about one target.
type target struct {
	Target
	health health.Tracker
	// drain holds why the target gets no requests: it is leaving, or has asked for a back-off.
	drain drain.State
	// reopening is set from the start of a back-off until the target has accepted a request
	// after it. Meanwhile reopeningBusy is set while one is at the target.
	reopening, reopeningBusy bool
	// cold limits the requests while the target is cold, window those in flight after it has
	// started or recovered.
	cold   pace.Cold
	window pace.Window
	// paced is set while either limits the target, as of the last PaceChanges.
	paced bool
	// peerEjectedUntil is when another host's ejection stops counting.
	peerEjectedUntil time.Time
	// preference is a random number in 0..1 drawn by this host; lower is better. Hosts
	// that prefer different targets among equals collide less often at the same one, and
	// keep connections to fewer.
	preference          float64
	inflight            int
	fullUntil           time.Time
	slotFreed           bool // a slot has become free there since this host's last attempt
	consecutiveRefusals int  // reservations refused in a row
	slow                bool // gap above the slow threshold, as of the last classifyTargets
	gap                 time.Duration
	gapUpdatedAt        time.Time // time of the newest measurement by any host
	localMeasuredAt     time.Time // time of this host's newest measurement; zero if a peer's replaced it
	latency             time.Duration
	respondedAt         time.Time // time of the newest first byte of a response
	// snapshot is what the estimates read; estimate sets its gaps.
	snapshot finish.Snapshot
}

// recordGap adds a sample of the gap between events; 0 is ignored.
func (t *target) recordGap(gap time.Duration, now time.Time) {
	switch {
	case gap <= 0:
		return
	case t.localMeasuredAt.IsZero() || t.gapStale(now):
		t.gap = gap
	default:
		t.gap = smooth(t.gap, gap)
	}
	t.gapUpdatedAt, t.localMeasuredAt = now, now
}

// gapStale reports whether no host has measured the target recently, so that it may have
// become faster. The age limit is between SpeedTTL and 2*SpeedTTL and differs by host: the first
// host that measures again shares its measurement, and the others need not measure.
func (t *target) gapStale(now time.Time) bool {
	return t.gap > 0 && now.Sub(t.gapUpdatedAt) >= SpeedTTL+time.Duration(t.preference*float64(SpeedTTL))
}

// failureScore returns how strongly a target is avoided, 0..1, because of its failures or
// because another host has ejected it.
func (t *target) failureScore(now time.Time) float64 {
	score := t.health.FailureScore(now)
	if now.Before(t.peerEjectedUntil) {
		score = max(score, peerEjectionScore)
	}
	return score
}

func (t *target) utilization() float64 { return float64(t.inflight) / float64(max(1, t.Slots)) }

// endRequest removes a request of this host from the counts.
func (t *target) endRequest() {
	t.inflight = max(0, t.inflight-1)
	t.snapshot.Load.RecordEnd()
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

// RecordFull records that a target refused a reservation or a request because it has no free
// slot, and ends the grant.
func (p *Pool) RecordFull(name string, now time.Time) {
	t := p.targets[name]
	if t == nil {
		p.endDeparted(name)
		return
	}
	t.endRequest()
	t.reopeningBusy = false
	t.window.Shrink()
	if t.drain.Closure(now) != drain.Open {
		return // says nothing about the free slots of other targets
	}
	pc := p.pacer(t)
	pc.consecutiveRefusals++
	p.delayNext(pc, now)
	backoff := min(maxFullBackoff, fullBackoff<<min(t.consecutiveRefusals, 8))
	t.consecutiveRefusals++
	t.fullUntil = now.Add(time.Duration((0.75 + 0.5*p.rnd.Float64()) * float64(backoff)))
}

// pacer delays attempts at targets that are probably full.
type pacer struct {
	// consecutiveRefusals counts refused reservations since the last granted one. From
	// refusalsBeforePacing on, targets without slotFreed get no attempt before nextFastOnly
	// (lanes that need a fast target) or nextOther (all other lanes).
	consecutiveRefusals int
	nextFastOnly        time.Time
	nextOther           time.Time
}

// allowedAt returns when the next attempt of a lane is allowed.
func (pc *pacer) allowedAt(l Lane) time.Time {
	if lanes[l].fastOnly {
		return pc.nextFastOnly
	}
	return pc.nextOther
}

// speedClass groups targets by their measured speed.
type speedClass uint8

const (
	fast speedClass = iota
	slow
	// unmeasured targets have no sample, while enough others have one.
	unmeasured
	speedClassCount
)

// class returns the speed class of a target, as of the last classifyTargets.
func (p *Pool) class(t *target) speedClass {
	switch {
	case p.slowThreshold > 0 && t.gap == 0:
		return unmeasured
	case t.slow:
		return slow
	}
	return fast
}

// pacer returns the pacer of a target's speed class.
func (p *Pool) pacer(t *target) *pacer { return &p.pacers[p.class(t)] }

// delayNext sets the time of the next attempt at targets that are probably full. When all
// engines are full, each attempt costs the host and the engine a call, and most free slots
// are taken by the host whose request ended there.
func (p *Pool) delayNext(pc *pacer, now time.Time) {
	doublings := pc.consecutiveRefusals - refusalsBeforePacing
	if doublings < 0 {
		return
	}
	pause := time.Duration((0.75 + 0.5*p.rnd.Float64()) * float64(paceIntervalPerHost) * float64(max(1, p.hostCount)))
	pc.nextFastOnly = now.Add(pause)
	pc.nextOther = now.Add(pause << min(doublings, maxPaceDoublings))
}

// RecordReserved records that a target granted a reservation.
func (p *Pool) RecordReserved(name string) {
	if t := p.targets[name]; t != nil {
		t.consecutiveRefusals = 0
		t.reopening, t.reopeningBusy = false, false
		*p.pacer(t) = pacer{}
	}
}

// RecordLoad records a load report of a target. workTime is how long work takes there as a multiple
// of the usual time, 0 if that is unknown.
func (p *Pool) RecordLoad(name string, running, waiting, slots int, workTime float64, now time.Time) {
	if t := p.targets[name]; t != nil {
		t.snapshot.Load.Report(running, waiting, slots, now)
		t.snapshot.Work.Report(workTime, now)
	}
}

// HealthChange is a change of a target's health state.
type HealthChange struct {
	// EjectionReason is the reason if the target has just been ejected, else empty.
	EjectionReason string
	// Restored is true if the target has passed its trial and is healthy again.
	Restored bool
}

// EndGrant ends a grant, records its outcome and returns how the target's health changes.
func (p *Pool) EndGrant(name string, o Outcome, s Sample, now time.Time) HealthChange {
	t := p.targets[name]
	if t == nil {
		p.endDeparted(name)
		return HealthChange{}
	}
	before := t.health.State()
	reason := p.recordOutcome(t, o, s, now)
	p.recordPacedOutcome(t, o, reason)
	return HealthChange{EjectionReason: reason, Restored: before == health.Trial && t.health.State() == health.Healthy}
}

// recordOutcome updates the target and returns the reason if the outcome ejects it.
func (p *Pool) recordOutcome(t *target, o Outcome, s Sample, now time.Time) string {
	t.endRequest()
	t.slotFreed = true
	t.fullUntil = time.Time{}
	t.consecutiveRefusals = 0
	t.reopeningBusy = false
	t.reopening = t.reopening && o != OK
	t.recordGap(s.Gap, now)
	t.latency = smooth(t.latency, s.Latency)
	if s.Unanswered > 0 && o != BrokenResponse && o != Unreachable {
		p.waits.record(wait{t, s.Route, s.Unanswered, false, now})
	}
	switch o {
	case OK:
		return t.health.Observe(health.Success, now)
	case BrokenResponse:
		return t.health.Observe(health.Failure, now)
	case ErrorResponse:
		return t.health.Observe(health.ErrorResponse, now)
	case TimedOut:
		return t.health.Observe(health.Timeout, now)
	case DeadlineReached:
		return t.health.ObserveTimeout(p.timeoutWeight(t, s.Route, s.Unanswered, now), now)
	case Silent:
		if s.Unanswered > 0 && s.SilentAfter > 0 {
			increase := p.timeoutWeight(t, s.Route, s.Unanswered, now) - p.timeoutWeight(t, s.Route, s.SilentAfter, now)
			return t.health.RaiseTimeout(max(0, increase), now)
		}
	case Unreachable:
		// A refused connection fails quickly, so the target would be tried again at
		// once. The backoff limits the rate of this host's attempts.
		t.fullUntil = now.Add(maxFullBackoff)
		return t.health.Observe(health.Failure, now)
	}
	return ""
}

// RecordSilent records that a target has been silent for too long during a request of the route that
// is still running, and returns the reason if that ejects the target. unanswered is the time since
// the send, 0 if the response has begun.
func (p *Pool) RecordSilent(name, route string, unanswered time.Duration, now time.Time) string {
	t := p.targets[name]
	if t == nil {
		return ""
	}
	return t.health.ObserveTimeout(p.timeoutWeight(t, route, unanswered, now), now)
}

// timeoutWeight returns the weight of a timeout of the target; unanswered is 0 if its response had
// begun.
func (p *Pool) timeoutWeight(t *target, route string, unanswered time.Duration, now time.Time) float64 {
	if unanswered <= 0 {
		return 1
	}
	return p.waits.timeoutWeight(t, route, unanswered, now)
}

// RecordResponsive records that a target has gone on after RecordSilent, and reports whether
// that ends its ejection.
func (p *Pool) RecordResponsive(name string, now time.Time) bool {
	t := p.targets[name]
	return t != nil && t.health.ObserveResponsive(now)
}

// smooth adds a sample to an exponential moving average; samples up to 0 are ignored.
func smooth(old, sample time.Duration) time.Duration {
	if sample <= 0 {
		return old
	}
	if old == 0 {
		return sample
	}
	return old + time.Duration(sampleWeight*float64(sample-old))
}

// Ejected returns the targets that this host has ejected.
func (p *Pool) Ejected() []string {
	var out []string
	for _, t := range p.order {
		if t.health.State() == health.Ejected {
			out = append(out, t.Name)
		}
	}
	return out
}

// RecordPeerEjection records that another host has ejected a target.
func (p *Pool) RecordPeerEjection(name string, now time.Time) {
	if t := p.targets[name]; t != nil {
		t.peerEjectedUntil = now.Add(peerEjectionTTL)
	}
}
