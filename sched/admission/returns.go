package admission

import (
	"slices"
	"time"
)

const (
	// knownTimes is the number of stated times that are kept per route.
	knownTimes = 8
	// maxRoutes bounds the routes whose times are kept.
	maxRoutes = 1024
	// MinRetryAfterShare is the smallest share of a caller's remaining time that a refusal for
	// overload asks it to wait.
	MinRetryAfterShare = 0.2
	// minAgeShare is the share of a limit below which a difference to it is the time until the send.
	minAgeShare = 0.02
)

// Attempt describes how a caller's request relates to its first attempt.
type Attempt struct {
	// Age is the time since the first attempt, 0 for a first attempt.
	Age time.Duration
	// Early is true if a repeat came sooner than a refusal for overload asks for.
	Early bool
}

// TimeLimits learns the usual time limits of the callers of each route. The zero value knows none.
type TimeLimits struct{ routes map[string]*routeTimes }

// routeTimes holds the latest times that callers of a route have stated.
type routeTimes struct {
	stated [knownTimes]time.Duration
	next   int
	// limits are the usual limits in ascending order: times that were stated repeatedly.
	limits []time.Duration
}

// Classify returns the age of an attempt whose caller states how long it still waits, and records
// that time. Repeats state what is left of a usual limit, which differs each time.
func (l *TimeLimits) Classify(route string, stated time.Duration) Attempt {
	if stated <= 0 {
		return Attempt{}
	}
	r := l.route(route)
	if r == nil {
		return Attempt{}
	}
	limit := r.record(stated)
	age := limit - stated
	if float64(age) < minAgeShare*float64(limit) {
		return Attempt{}
	}
	return Attempt{Age: age, Early: float64(age) < MinRetryAfterShare*float64(limit)}
}

func (l *TimeLimits) route(name string) *routeTimes {
	r := l.routes[name]
	if r == nil && len(l.routes) < maxRoutes {
		if l.routes == nil {
			l.routes = map[string]*routeTimes{}
		}
		r = &routeTimes{}
		l.routes[name] = r
	}
	return r
}

// record adds a stated time and returns the usual limit that it belongs to, or the time itself if none
// is known.
func (r *routeTimes) record(stated time.Duration) time.Duration {
	i, known := slices.BinarySearch(r.limits, stated)
	if !known && slices.Contains(r.stated[:], stated) {
		r.limits = slices.Insert(r.limits, i, stated)
		if len(r.limits) > knownTimes {
			r.limits = r.limits[1:]
		}
	}
	r.stated[r.next] = stated
	r.next = (r.next + 1) % knownTimes
	if i, _ = slices.BinarySearch(r.limits, stated); i < len(r.limits) {
		return r.limits[i]
	}
	return stated
}
