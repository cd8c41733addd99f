package steer

import (
	"math"

	"sardinefront.dev/core/request"
)

// mostlyUrgent is the part of urgent requests from which they must supply the
// evidence themselves, because there are hardly any others.
const mostlyUrgent = 0.95

// share sets the shares of the step. Without a loaded target there is none.
func (r *run) share() {
	if r.Phase != Running {
		return
	}
	s := Steps[r.Step]
	share, urgent := s.Share, s.UrgentShare
	switch {
	case r.loaded == 0:
		share, urgent = 0, 0
	case r.Step < firstProven:
		share = min(share, r.Move.atMost())
	case r.Step == lastStep:
		share = float64(r.loaded) / float64(r.live)
		urgent = share
	}
	if r.in.UrgentShare > mostlyUrgent {
		urgent = share
	}
	other := share
	if r.Step >= firstProven {
		// In a small pool, the step's share would overload the loaded targets.
		share = min(share, float64(r.loaded)/float64(max(1, r.live)))
		urgent = min(urgent, share)
		other = r.others(share, urgent)
	}
	for t := range r.Shares {
		r.Shares[t] = other
	}
	if r.in.Verdict.Suspect && r.Step < lastStep && r.in.UrgentShare <= mostlyUrgent {
		urgent = 0 // the first to leave; in the last step too few old targets are left
	}
	r.Shares[request.Urgent] = urgent
}

// others returns the share of the requests that are not urgent, so that the new
// version receives the given share of all requests. Its targets must carry the
// load of the step for a fault under load to show. It is rounded to whole
// percents, which keeps small changes of the mix out of the store.
func (r *run) others(share, urgent float64) float64 {
	u := min(r.in.UrgentShare, mostlyUrgent)
	x := math.Round(100*(share-urgent*u)/(1-u)) / 100
	if was := r.Shares[request.Patient]; math.Abs(was-x) < 0.03 && was >= urgent && r.Step < lastStep {
		return was
	}
	return min(1, max(x, urgent))
}
