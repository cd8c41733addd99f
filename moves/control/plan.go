package control

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sardinefront.dev/moves/analysis"
)

// maxStretch is the largest factor on the minimum durations of the steps, for a
// distant deadline.
const maxStretch = 12

// plannedTimeShare is the share of the time until the deadline that the plan
// uses. The rest is a reserve for steps that wait for sufficient evidence and for
// repeated loads.
const plannedTimeShare = 0.7

// Plan is the schedule of the rest of a move.
type Plan struct {
	// RemainingLoads is the number of targets still to be loaded.
	RemainingLoads int
	// MinDuration is the shortest time until the move can be done.
	MinDuration time.Duration
	// Stretch is the factor, at least 1, on the minimum durations of the steps
	// with which the move uses the planned share of the time.
	Stretch float64
}

// DesiredNewTargets returns how many of count targets should serve the new
// version in the step. It is limited by MaxNewTargets, so that the old version
// can carry its share of the requests.
func DesiredNewTargets(step, count int) int {
	c := analysis.Config{Targets: count}
	share := int(math.Ceil(Steps[step].Share * float64(count)))
	switch {
	case step == 0:
		return 0
	case step == 1:
		return 1
	case step == lastStep:
		return count
	}
	return min(MaxNewTargets(step, count), max(c.MinNewTargets(), share))
}

// MaxNewTargets returns how many of count targets may serve the new version in
// the step.
func MaxNewTargets(step, count int) int {
	share := max(Steps[step].Share, Steps[2].Share)
	maxTargets := analysis.Config{Targets: count}.MaxNewTargets(share)
	if step >= firstGatedStep {
		maxTargets = max(maxTargets, count/2) // at a share of 25%, the other half carries 1.5 times its load
	}
	return max(1, min(count-1, maxTargets))
}

// NewPlan returns the plan for the rest of a move with the deadline by. The
// move has been in the given step since the given time, and loaded of count
// targets serve the new version.
func NewPlan(now, by, since time.Time, step, loaded, count int, loadTime time.Duration) Plan {
	p := Plan{RemainingLoads: max(0, count-loaded)}
	var steps time.Duration
	for i := step; i < len(Steps); i++ {
		steps += Steps[i].MinDuration
	}
	spent := min(max(0, now.Sub(since)), Steps[step].MinDuration)
	loads := time.Duration(p.RemainingLoads) * loadTime
	p.MinDuration = steps - spent + loads
	available := float64(by.Sub(now))*plannedTimeShare - float64(loads)
	p.Stretch = min(maxStretch, max(1, available/float64(steps)))
	return p
}

// loadOrder returns the old targets in the order in which to load them. It
// spreads the loaded targets over sample groups and then over availability
// zones, so that a slow zone or rack does not look like a slow version.
func loadOrder(targets []Target, loaded map[string]bool, group func(string) uint8) []Target {
	loadedInZone := map[string]int{}
	loadedInGroup := map[uint8]int{}
	var rest []Target
	for _, t := range targets {
		if loaded[t.Name] {
			loadedInZone[t.Zone]++
			loadedInGroup[group(t.Name)]++
			continue
		}
		if !t.Leaving && t.Version != "" {
			rest = append(rest, t)
		}
	}
	slices.SortFunc(rest, func(a, b Target) int {
		return cmp.Or(
			cmp.Compare(loadedInGroup[group(a.Name)], loadedInGroup[group(b.Name)]),
			cmp.Compare(loadedInZone[a.Zone], loadedInZone[b.Zone]),
			cmp.Compare(a.Name, b.Name))
	})
	return rest
}
