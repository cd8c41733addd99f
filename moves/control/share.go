package control

import (
	"math"

	"sardinefront.dev/core/request"
)

// mostlyUrgentFraction is the fraction of urgent requests above which the new
// version receives them like all others, because there are too few other
// requests to evaluate it.
const mostlyUrgentFraction = 0.95

// setShares sets the new version's share of each tier for the current step. It
// is 0 if no target is loaded.
func (e *evaluation) setShares() {
	if e.Phase != Running {
		return
	}
	step := Steps[e.Step]
	share, urgentShare := step.Share, step.UrgentShare
	switch {
	case e.loadedCount == 0:
		share, urgentShare = 0, 0
	case e.Step < firstGatedStep:
		share = min(share, e.Move.maxUngatedShare())
	case e.Step == lastStep:
		share = float64(e.loadedCount) / float64(e.liveCount)
		urgentShare = share
	}
	if e.input.UrgentFraction > mostlyUrgentFraction {
		urgentShare = share
	}
	otherShare := share
	if e.Step >= firstGatedStep {
		// In a small pool, the step's share would overload the loaded targets.
		share = min(share, float64(e.loadedCount)/float64(max(1, e.liveCount)))
		urgentShare = min(urgentShare, share)
		otherShare = e.nonUrgentShare(share, urgentShare)
	}
	for t := range e.Shares {
		e.Shares[t] = otherShare
	}
	if e.input.Verdict.Suspect && e.Step < lastStep && e.input.UrgentFraction <= mostlyUrgentFraction {
		// Urgent requests leave a suspect version first. In the last step, too few
		// old targets are left to serve them.
		urgentShare = 0
	}
	e.Shares[request.Urgent] = urgentShare
}

// nonUrgentShare returns the new version's share of the requests that are not
// urgent, so that it receives the given share of all requests: a fault under
// load shows only if its targets carry the load of the step. The result is
// rounded to whole percents, so that small changes in the proportion of urgent
// requests cause no writes to the store.
func (e *evaluation) nonUrgentShare(share, urgentShare float64) float64 {
	urgentFraction := min(e.input.UrgentFraction, mostlyUrgentFraction)
	rounded := math.Round(100*(share-urgentShare*urgentFraction)/(1-urgentFraction)) / 100
	if previous := e.Shares[request.Patient]; math.Abs(previous-rounded) < 0.03 &&
		previous >= urgentShare && e.Step < lastStep {
		return previous
	}
	return min(1, max(rounded, urgentShare))
}
