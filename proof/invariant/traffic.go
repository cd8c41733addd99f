package invariant

import (
	"fmt"
	"math"
	"time"

	"sardinefront.dev/core/request"
)

// tierOf returns the tier of the event's request, as submitted.
func (h *history) tierOf(e Event) (request.Tier, bool) {
	for _, s := range h.byRequest[e.Request] {
		if s.Kind == Submitted {
			return s.Tier, true
		}
	}
	return 0, false
}

// poolOf returns the pool of the event's request.
func (h *history) poolOf(e Event) string {
	if e.Pool != "" {
		return e.Pool
	}
	for _, s := range h.byRequest[e.Request] {
		if s.Pool != "" {
			return s.Pool
		}
	}
	return ""
}

// checkSheddingOrder finds work of a lower tier that was started in a pool
// right after a higher tier was shed there, or under a tier floor.
func checkSheddingOrder(h *history) []Violation {
	var found []Violation
	for _, e := range h.events {
		switch e.Kind {
		case Shed:
			from := e.At.Add(h.limits.Observation)
			found = append(found, h.lowerStarts(e, from, e.At.Add(h.limits.ShedHold), true)...)
		case Floor:
			from := e.At.Add(h.limits.FloorSpread)
			found = append(found, h.lowerStarts(e, from, e.Until.Add(-h.limits.Observation), false)...)
		}
	}
	return found
}

// lowerStarts returns the dispatches of a lower tier than cause's in its pool
// between the two times. sameHost restricts them to requests that the host of
// the cause had taken in.
func (h *history) lowerStarts(cause Event, from, until time.Time, sameHost bool) []Violation {
	var found []Violation
	for _, d := range of(h.events, Dispatched) {
		at := d.At
		if !d.Decided.IsZero() && d.Decided.Before(at) {
			at = d.Decided
		}
		if !at.After(from) || !at.Before(until) || h.poolOf(d) != cause.Pool {
			continue
		}
		tier, ok := h.tierOf(d)
		if !ok || tier <= cause.Tier || sameHost && !h.takenInBy(d.Request, cause.Host) {
			continue
		}
		found = append(found, Violation{
			Message: fmt.Sprintf("%s of tier %s started %s after: %s", d.Request, tier, d.At.Sub(cause.At), cause),
			Events:  []Event{cause, d},
		})
	}
	return found
}

func (h *history) takenInBy(id, host string) bool {
	for _, e := range h.byRequest[id] {
		if e.Kind == Submitted && e.Host == host {
			return true
		}
	}
	return false
}

// versionOf names a version of a pool.
type versionOf struct{ pool, version string }

// versionLimit is the share that an unproven version may receive.
type versionLimit struct {
	share      float64
	since      Event
	all, given int
}

// checkBadVersions bounds the share of a version that turns out bad, and finds
// its dispatches after the fault was visible for the allowed time. Good
// versions may exceed any share.
func checkBadVersions(h *history) []Violation {
	limits := make(map[versionOf]*versionLimit)
	bad := make(map[versionOf]Event)
	var found []Violation
	for _, e := range h.events {
		v := versionOf{h.poolOf(e), e.Version}
		switch e.Kind {
		case VersionShare:
			limits[v] = &versionLimit{share: e.Share, since: e}
		case VersionBad:
			if _, known := bad[v]; !known {
				bad[v] = e
				found = append(found, limits[v].exceeded(e)...)
			}
		case Dispatched:
			if b, isBad := bad[v]; isBad && e.At.After(b.At.Add(h.limits.FaultReaction)) {
				found = append(found, Violation{
					Message: fmt.Sprintf("version %s of %s got %s %s after its fault was visible", v.version, v.pool, e.Request, e.At.Sub(b.At)),
					Events:  []Event{b, e},
				})
			}
			countVersion(limits, v)
		}
	}
	return found
}

// countVersion counts a dispatch in the pool of v for each limited version.
func countVersion(limits map[versionOf]*versionLimit, v versionOf) {
	for l, c := range limits {
		if l.pool != v.pool {
			continue
		}
		c.all++
		if l == v {
			c.given++
		}
	}
}

// exceeded allows three standard deviations above the share, because requests
// are assigned at random.
func (l *versionLimit) exceeded(bad Event) []Violation {
	if l == nil {
		return nil
	}
	mean := l.share * float64(l.all)
	most := mean + 3*math.Sqrt(mean*(1-l.share)) + 1
	if float64(l.given) <= most {
		return nil
	}
	return []Violation{{
		Message: fmt.Sprintf("bad version %s of %s got %d of %d dispatches at a share of %.3f, at most %.1f allowed", bad.Version, bad.Pool, l.given, l.all, l.share, most),
		Events:  []Event{l.since, bad},
	}}
}
