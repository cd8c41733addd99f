package reserve

import (
	"slices"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/sched/drain"
)

// Homes are the regions to which a request is bound: one list each of its route and its organisation.
// An empty list does not bind.
type Homes struct {
	Route, Organisation []string
}

// Allow reports whether targets in a region may be used. The region is empty if it is unknown.
func (h *Homes) Allow(region string) bool {
	return allowedBy(h.Route, region) && allowedBy(h.Organisation, region)
}

// allowedBy reports whether one list of home regions allows a region.
func allowedBy(regions []string, region string) bool {
	return len(regions) == 0 || region != "" && slices.Contains(regions, region)
}

func (h *Homes) empty() bool { return len(h.Route) == 0 && len(h.Organisation) == 0 }

func (h *Homes) equal(other *Homes) bool {
	return slices.Equal(h.Route, other.Route) && slices.Equal(h.Organisation, other.Organisation)
}

// allows reports whether the request may use a target, by its version and region.
func (w *Waiter) allows(t *target) bool { return w.allowsVersion(t.Version) && w.Homes.Allow(t.Region) }

// refuseWithoutHome returns a refusal if the request has homes and no target there is open or in a
// back-off.
func (p *Pool) refuseWithoutHome(w *Waiter, now time.Time) *refusal.Refusal {
	if w.Homes.empty() {
		return nil
	}
	for _, t := range p.order {
		if c := t.drain.Closure(now); w.Homes.Allow(t.Region) && (c == drain.Open || c == drain.BackedOff) {
			return nil
		}
	}
	ref := refusal.New(refusal.NoTarget, "none of %d targets is open in the regions %v of the route and %v of the organisation", len(p.order), w.Homes.Route, w.Homes.Organisation)
	ref.RetryAfter += time.Duration(p.rnd.Float64() * float64(callerReturnSpread))
	return ref
}
