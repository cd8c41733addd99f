package reserve

import (
	"math"
	"time"

	"sardinefront.dev/sched/health"
)

const (
	// waitHistorySize and waitHistoryTTL bound the waits for a first byte that are kept per service.
	waitHistorySize = 256
	waitHistoryTTL  = 30 * time.Second
	// equalWait is the fraction of a wait from which another one that ended without a first byte
	// counts as equally long: the ends of equal time limits differ by the time until the send.
	equalWait = 0.9
	// soundSilence is the probability of a wait at sound targets from which it is no evidence of a
	// fault, and unsoundSilence that from which it is full evidence.
	soundSilence   = 1.0 / 2
	unsoundSilence = 1.0 / 256
	// priorLonger and priorShorter are the Beta prior of that probability.
	priorLonger  = 0.1
	priorShorter = 0.7
	// unknownWeight is the weight of a timeout without a wait at another target to compare with. It
	// makes the next requests go to other targets, which gives the comparison. commonWeight is that
	// where the others have not responded either: ejecting one of them would gain nothing.
	unknownWeight = 0.2
	commonWeight  = 0.05
)

// wait is how long a request waited at a target for the first byte of its response.
type wait struct {
	target   *target
	route    string
	length   time.Duration
	answered bool // a byte arrived; otherwise the wait ended without one
	endedAt  time.Time
}

// comparable reports whether a wait that was not answered is that of a sound target: the target has
// responded to a request since this one was sent, or has responded before and is not suspected
// itself.
func (w wait) comparable() bool {
	t := w.target
	if t.respondedAt.IsZero() {
		return false
	}
	return t.respondedAt.After(w.endedAt.Add(-w.length)) || t.health.State() == health.Healthy && !t.health.SuspectedSilent()
}

// waitHistory holds the latest waits at the targets of a service.
type waitHistory struct {
	waits []wait
	next  int // index of the oldest wait once the history is full
}

func (h *waitHistory) record(w wait) {
	if len(h.waits) < waitHistorySize {
		h.waits = append(h.waits, w)
		return
	}
	h.waits[h.next] = w
	h.next = (h.next + 1) % waitHistorySize
}

// timeoutWeight returns how strongly a request that waited at a target without a first byte
// indicates a fault of the target, 0..1. Where most requests of the route wait as long at other
// targets that respond, it indicates none: the time limit is shorter than the work.
func (h *waitHistory) timeoutWeight(t *target, route string, length time.Duration, now time.Time) float64 {
	longer, shorter, common := priorLonger, priorShorter, false
	for _, w := range h.waits {
		if w.target.Name == t.Name || w.route != route || now.Sub(w.endedAt) > waitHistoryTTL {
			continue
		}
		switch {
		case w.answered && w.length <= length:
			shorter++
		case w.answered:
			longer++
		case float64(w.length) < equalWait*float64(length):
			// How much longer it would have waited is unknown.
		case w.comparable():
			longer++
		default:
			common = true
		}
	}
	if longer == priorLonger && shorter == priorShorter {
		if common {
			return commonWeight
		}
		return unknownWeight
	}
	evidence := math.Log(soundSilence * (longer + shorter) / longer)
	return min(1, max(0, evidence/math.Log(soundSilence/unsoundSilence)))
}

// RecordFirstByte records the time from the send of a request of the route to the first byte of its
// response.
func (p *Pool) RecordFirstByte(name, route string, length time.Duration, now time.Time) {
	if t := p.targets[name]; t != nil {
		t.respondedAt = now
		p.recordPacedFirstByte(t, route, length, now)
		p.waits.record(wait{t, route, length, true, now})
	}
}
