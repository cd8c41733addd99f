package reserve

import (
	"time"

	"sardinefront.dev/sched/health"
)

const (
	// fullBackoff is how long a target that refused a reservation is left alone,
	// unless a slot of this host's own comes free there. It doubles with each
	// further refusal up to maxFullBackoff.
	fullBackoff    = 20 * time.Millisecond
	maxFullBackoff = 80 * time.Millisecond
	// freeRefusals is the number of refusals in a row after which tries are spaced: by
	// tryPause for each host that shares the targets, so that the tries of all hosts
	// together don't grow with their number, doubled twice with further refusals.
	refusalsBeforePacing = 6
	paceIntervalPerHost  = 300 * time.Microsecond
	maxPaceDoublings     = 2
	// smoothing is the weight of a new sample.
	sampleWeight = 0.2
	// SpeedLife is how long a measured speed counts. A cut or a stall makes a target look
	// slow, and one that gets no work for it would stay so.
	SpeedTTL = 5 * time.Second
	// ownMeasurement is how long this host's own measurement goes before another's.
	ownSpeedPrecedence = time.Second
	// hearsayDoubt is the doubt about a target that another host has ejected. It is
	// avoided, not closed: the other host may be the one that is cut off.
	peerEjectionScore = 0.4
	// hearsayLife is how long that counts unless it is told again.
	peerEjectionTTL = 600 * time.Millisecond
)

// Target is one target as the directory lists it.
type Target struct {
	// Name is the incarnation's unique name.
	Name string
	// Local says that the target is in the host's availability zone.
	Local bool
	// Version is the version of the target's software.
	Version string
	// Slots is the number of requests that run at once.
	Slots int
	// Leaving targets get nothing new.
	Draining bool
	// ColdUntil is the end of the slow time after a target's start.
	ColdUntil time.Time
}

// Outcome says how a grant ended.
type Outcome uint8

// The outcomes of a grant.
const (
	// Served is a whole answer without a fault of the target.
	OK Outcome = iota
	// Failed is a cut, crossed or missing answer of the target.
	BrokenResponse
	// Erred is an error answer.
	ErrorResponse
	// Silent is a target that did not answer in time.
	TimedOut
	// Unreachable is a target that no connection could be made to.
	Unreachable
	// Abandoned says nothing about the target, for example because the caller left.
	Abandoned
)

// Sample is what a served request says about its target's speed.
type Sample struct {
	// Latency is the time to the whole answer of a plain service.
	Latency time.Duration
	// Gap is the mean time between the events of a stream; 0 if unknown.
	Gap time.Duration
}

// target is the state of one target.
type target struct {
	Target
	health health.Tracker
	// doubtedUntil is how long another host's ejection counts.
	peerEjectedUntil time.Time
	// preference is this host's own draw, 0..1, lower is better. Hosts that prefer
	// different ones of equal targets meet less often at the same one, and keep
	// connections to fewer.
	preference          float64
	inflight            int
	fullUntil           time.Time
	slotFreed           bool // a request of this host has ended there since its last try
	consecutiveRefusals int  // reservations refused in a row
	slow                bool // as of the last look at the queue
	gap                 time.Duration
	gapUpdatedAt        time.Time // of the newest measurement, by any host
	localMeasuredAt     time.Time // of this host's newest one; zero if another's came since
	latency             time.Duration
	load                float64 // running and waiting requests per slot, as last reported
	loadReportedAt      time.Time
}

// measure takes a sample of the pause between events; 0 is none.
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

// stale reports whether nobody has measured the target for long, so that it may have
// become faster. Hosts differ in when they find so: the first one tells the others.
func (t *target) gapStale(now time.Time) bool {
	return t.gap > 0 && now.Sub(t.gapUpdatedAt) >= SpeedTTL+time.Duration(t.preference*float64(SpeedTTL))
}

// doubt returns how far a target is to be avoided, 0..1: by its own failures, or
// because another host has ejected it.
func (t *target) failureScore(now time.Time) float64 {
	d := t.health.FailureScore(now)
	if now.Before(t.peerEjectedUntil) {
		d = max(d, peerEjectionScore)
	}
	return d
}

func (t *target) utilization() float64 { return float64(t.inflight) / float64(max(1, t.Slots)) }

// loadLife is how long a load report counts.
const loadTTL = 300 * time.Millisecond

func (t *target) reportedLoad(now time.Time) float64 {
	age := now.Sub(t.loadReportedAt)
	if age > loadTTL {
		return 0
	}
	return t.load * (1 - float64(age)/float64(loadTTL))
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

// Full records that a target refused a reservation or a request for lack of room,
// and ends the grant.
func (p *Pool) RecordFull(name string, now time.Time) {
	t := p.targets[name]
	if t == nil {
		return
	}
	t.inflight = max(0, t.inflight-1)
	s := p.pacer(t)
	s.consecutiveRefusals++
	p.delayNext(s, now)
	d := min(maxFullBackoff, fullBackoff<<min(t.consecutiveRefusals, 8))
	t.consecutiveRefusals++
	t.fullUntil = now.Add(time.Duration((0.75 + 0.5*p.rnd.Float64()) * float64(d)))
}

// spacing holds back tries at targets that are probably full.
type pacer struct {
	// refused counts refused reservations since the last granted one. From
	// freeRefusals on, targets where no slot of this host's own has come free are tried
	// no sooner than next.
	consecutiveRefusals int
	nextFastOnly        time.Time
	// nextPatient takes the place of next for lanes that need no fast target.
	nextOther time.Time
}

// from returns when a lane may try again.
func (s *pacer) allowedAt(l Lane) time.Time {
	if lanes[l].fastOnly {
		return s.nextFastOnly
	}
	return s.nextOther
}

// speedClass groups targets by what is known of their speed.
type speedClass uint8

const (
	fast speedClass = iota
	slow
	// unknown targets have served nothing yet, while others are known.
	unmeasured
	speedClassCount
)

// class returns a target's, as of the last look at the queue.
func (p *Pool) class(t *target) speedClass {
	switch {
	case p.slowThreshold > 0 && t.gap == 0:
		return unmeasured
	case t.slow:
		return slow
	}
	return fast
}

// spacing returns that of a target's class.
func (p *Pool) pacer(t *target) *pacer { return &p.pacers[p.class(t)] }

// holdBack sets the time of the next try at a target that is probably full. When all
// engines are full, each try costs the host and the engine a call, and most slots that
// come free are taken by the host whose request ended there.
func (p *Pool) delayNext(s *pacer, now time.Time) {
	doublings := s.consecutiveRefusals - refusalsBeforePacing
	if doublings < 0 {
		return
	}
	pause := time.Duration((0.75 + 0.5*p.rnd.Float64()) * float64(paceIntervalPerHost) * float64(max(1, p.hostCount)))
	s.nextFastOnly = now.Add(pause)
	s.nextOther = now.Add(pause << min(doublings, maxPaceDoublings))
}

// Reserved records that a target granted a reservation.
func (p *Pool) RecordReserved(name string) {
	if t := p.targets[name]; t != nil {
		t.consecutiveRefusals = 0
		*p.pacer(t) = pacer{}
	}
}

// Load records what a target says of its load.
func (p *Pool) RecordLoad(name string, running, waiting, slots int, now time.Time) {
	if t := p.targets[name]; t != nil && slots > 0 {
		t.load = float64(running+waiting) / float64(slots)
		t.loadReportedAt = now
	}
}

// Change is a change of trust in a target.
type HealthChange struct {
	// Ejected is the reason for which the target is out of use, empty if it is not new.
	EjectionReason string
	// Restored says that the target has passed its trial and is used as before.
	Restored bool
}

// End ends a grant and returns what it changes about the target.
func (p *Pool) EndGrant(name string, o Outcome, s Sample, now time.Time) HealthChange {
	t := p.targets[name]
	if t == nil {
		return HealthChange{}
	}
	before := t.health.State()
	reason := p.recordOutcome(t, o, s, now)
	return HealthChange{EjectionReason: reason, Restored: before == health.Trial && t.health.State() == health.Healthy}
}

func (p *Pool) recordOutcome(t *target, o Outcome, s Sample, now time.Time) string {
	t.inflight = max(0, t.inflight-1)
	t.slotFreed = true
	t.fullUntil = time.Time{}
	t.consecutiveRefusals = 0
	t.recordGap(s.Gap, now)
	t.latency = smooth(t.latency, s.Latency)
	switch o {
	case OK:
		return t.health.Observe(health.Success, now)
	case BrokenResponse:
		return t.health.Observe(health.Failure, now)
	case ErrorResponse:
		return t.health.Observe(health.ErrorResponse, now)
	case TimedOut:
		return t.health.Observe(health.Timeout, now)
	case Unreachable:
		// A refused connection costs little, and a target that cannot be reached
		// is asked again soon: the backoff spreads the tries of a host.
		t.fullUntil = now.Add(maxFullBackoff)
		return t.health.Observe(health.Failure, now)
	}
	return ""
}

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

// Doubt records that another host has ejected a target.
func (p *Pool) RecordPeerEjection(name string, now time.Time) {
	if t := p.targets[name]; t != nil {
		t.peerEjectedUntil = now.Add(peerEjectionTTL)
	}
}
