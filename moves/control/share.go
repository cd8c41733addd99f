package control

import (
	"math"

	"sardinefront.dev/core/request"
)

// mostlyUrgentFraction is the fraction of urgent requests above which they get
// the same share as all others, because there are too few other requests to
// evaluate the new version.
const mostlyUrgentFraction = 0.95

// setShares sets the new version's share of each tier for the current step. All
// shares are 0 if no target is loaded.
func (tr *transition) setShares() {
	if tr.Phase != Running {
		return
	}
	step := Steps[tr.Step]
	share, urgentShare := step.Share, step.UrgentShare
	switch {
	case tr.loadedCount == 0:
		share, urgentShare = 0, 0
	case tr.Step < firstGatedStep:
		share = min(share, tr.Move.maxUngatedShare())
	case tr.Step == lastStep:
		share = float64(tr.loadedCount) / float64(tr.liveCount)
		urgentShare = share
	}
	if tr.input.UrgentFraction > mostlyUrgentFraction {
		urgentShare = share
	}
	otherShare := share
	if tr.Step >= firstGatedStep {
		// In a small pool, the step's share would overload the loaded targets.
		share = min(share, float64(tr.loadedCount)/float64(max(1, tr.liveCount)))
		urgentShare = min(urgentShare, share)
		otherShare = tr.nonUrgentShare(share, urgentShare)
	}
	for t := range tr.Shares {
		tr.Shares[t] = otherShare
	}
	if tr.input.Verdict.Suspect && tr.Step < lastStep && tr.input.UrgentFraction <= mostlyUrgentFraction {
		// Urgent requests leave a suspect version first. In the last step, too few
		// old targets are left to serve them.
		urgentShare = 0
	}
	tr.Shares[request.Urgent] = urgentShare
}

// nonUrgentShare returns the new version's share of the requests that are not
// urgent, so that it receives the given share of all requests: a fault under
// load shows only if its targets carry the load of the step. The result is
// rounded to whole percents, so that small changes in the proportion of urgent
// requests cause no writes to the store.
func (tr *transition) nonUrgentShare(share, urgentShare float64) float64 {
	urgentFraction := min(tr.input.UrgentFraction, mostlyUrgentFraction)
	rounded := math.Round(100*(share-urgentShare*urgentFraction)/(1-urgentFraction)) / 100
	if previous := tr.Shares[request.Patient]; math.Abs(previous-rounded) < 0.03 &&
		previous >= urgentShare && tr.Step < lastStep {
		return previous
	}
	return min(1, max(rounded, urgentShare))
}
