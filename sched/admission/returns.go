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
	// minAgeShare is the share of a limit below which a difference to it is the time until the send.
	minAgeShare = 0.02
)

// TimeLimits learns the usual time limits of the callers of each route. The zero value knows none.
type TimeLimits struct{ routes map[string]*routeTimes }

// routeTimes holds the latest times that callers of a route have stated.
type routeTimes struct {
	stated [knownTimes]time.Duration
	next   int
	// limits are the usual limits in ascending order: times that were stated repeatedly.
	limits []time.Duration
}

// Age returns the time since the first attempt of a caller that states how long it still waits, and
// records that time. It is 0 for a first attempt. Repeats state what is left of a usual limit, which
// differs each time.
func (l *TimeLimits) Age(route string, stated time.Duration) time.Duration {
	if stated <= 0 {
		return 0
	}
	r := l.route(route)
	if r == nil {
		return 0
	}
	limit := r.record(stated)
	age := limit - stated
	if float64(age) < minAgeShare*float64(limit) {
		return 0
	}
	return age
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
