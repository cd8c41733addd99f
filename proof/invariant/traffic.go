package invariant

import (
	"fmt"
	"math"
	"time"

	"sardinefront.dev/core/request"
)

// tierOf returns the tier of the event's request, false if it was not submitted.
func (h *history) tierOf(e Event) (request.Tier, bool) {
	for _, s := range h.byRequest[e.Request] {
		if s.Kind == Submitted {
			return s.Tier, true
		}
	}
	return 0, false
}

// poolOf returns the pool of the event or else of its request.
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

// checkSheddingOrder returns the dispatches of a lower tier in a pool within
// LowerTierHold after a higher tier was shed there, or while a tier floor was active.
func checkSheddingOrder(h *history) []Violation {
	var found []Violation
	for _, e := range h.events {
		switch e.Kind {
		case Shed:
			from := e.At.Add(h.limits.ObservationDelay)
			found = append(found, h.lowerTierDispatches(e, from, e.At.Add(h.limits.LowerTierHold), true)...)
		case FloorRaised:
			from := e.At.Add(h.limits.FloorPropagation)
			found = append(found, h.lowerTierDispatches(e, from, e.Until.Add(-h.limits.ObservationDelay), false)...)
		}
	}
	return found
}

// lowerTierDispatches returns the dispatches in the pool of cause, between the two
// times, of a lower tier than that of cause. The time of a dispatch is that of the
// host's decision, if it is known. With sameHost, only requests that were submitted
// to the host of cause count.
func (h *history) lowerTierDispatches(cause Event, from, until time.Time, sameHost bool) []Violation {
	var found []Violation
	for _, d := range filterKinds(h.events, Dispatched) {
		at := d.At
		if !d.DecidedAt.IsZero() && d.DecidedAt.Before(at) {
			at = d.DecidedAt
		}
		if !at.After(from) || !at.Before(until) || h.poolOf(d) != cause.Pool {
			continue
		}
		tier, ok := h.tierOf(d)
		if !ok || tier <= cause.Tier || sameHost && !h.submittedTo(d.Request, cause.Host) {
			continue
		}
		found = append(found, Violation{
			Message: fmt.Sprintf("request %s of tier %s started %s after: %s", d.Request, tier, d.At.Sub(cause.At), cause),
			Events:  []Event{cause, d},
		})
	}
	return found
}

// submittedTo reports whether the request was submitted to the host.
func (h *history) submittedTo(id, host string) bool {
	for _, e := range h.byRequest[id] {
		if e.Kind == Submitted && e.Host == host {
			return true
		}
	}
	return false
}

// poolVersion identifies a version of a pool.
type poolVersion struct{ pool, version string }

// versionLimit is the share of a pool's dispatches that a canary version may receive,
// with the counts of the dispatches since the limit was announced.
type versionLimit struct {
	maxShare                          float64
	announced                         Event
	poolDispatches, versionDispatches int
}

// checkBadVersions returns the bad versions that exceeded their share, and their
// dispatches later than BadVersionGrace after the fault became visible. Versions
// without a visible fault may exceed any share.
func checkBadVersions(h *history) []Violation {
	limits := make(map[poolVersion]*versionLimit)
	bad := make(map[poolVersion]Event)
	var found []Violation
	for _, e := range h.events {
		v := poolVersion{h.poolOf(e), e.Version}
		switch e.Kind {
		case VersionShareLimit:
			limits[v] = &versionLimit{maxShare: e.MaxShare, announced: e}
		case VersionFaultVisible:
			if _, reported := bad[v]; !reported {
				bad[v] = e
				found = append(found, limits[v].checkShare(e)...)
			}
		case Dispatched:
			if b, isBad := bad[v]; isBad && e.At.After(b.At.Add(h.limits.BadVersionGrace)) {
				found = append(found, Violation{
					Message: fmt.Sprintf("version %s of pool %s received request %s %s after its fault was visible", v.version, v.pool, e.Request, e.At.Sub(b.At)),
					Events:  []Event{b, e},
				})
			}
			countDispatch(limits, v)
		}
	}
	return found
}

// countDispatch counts a dispatch to v for each limited version of its pool.
func countDispatch(limits map[poolVersion]*versionLimit, v poolVersion) {
	for limited, limit := range limits {
		if limited.pool != v.pool {
			continue
		}
		limit.poolDispatches++
		if limited == v {
			limit.versionDispatches++
		}
	}
}

// checkShare returns a violation if the version received more than its share plus
// three standard deviations; the margin is needed because versions are assigned
// at random.
func (l *versionLimit) checkShare(bad Event) []Violation {
	if l == nil {
		return nil
	}
	mean := l.maxShare * float64(l.poolDispatches)
	maxDispatches := mean + 3*math.Sqrt(mean*(1-l.maxShare)) + 1
	if float64(l.versionDispatches) <= maxDispatches {
		return nil
	}
	return []Violation{{
		Message: fmt.Sprintf("bad version %s of pool %s got %d of %d dispatches at a share of %.3f, at most %.1f allowed", bad.Version, bad.Pool, l.versionDispatches, l.poolDispatches, l.maxShare, maxDispatches),
		Events:  []Event{l.announced, bad},
	}}
}
