package steer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sardinefront.dev/moves/judge"
)

// maxStretch bounds the dwell times when the deadline is far away.
const maxStretch = 12

// planShare is the part of the time until the deadline that the plan uses; the
// rest covers evidence that comes in slowly and loads that are repeated.
const planShare = 0.7

// Plan is the timetable of a move.
type Plan struct {
	// Loads is the number of targets still to be loaded.
	RemainingLoads int
	// Shortest is the time until done with the shortest dwell times.
	MinDuration time.Duration
	// Stretch is the factor on the dwell times that uses the time available.
	Stretch float64
}

// Wanted returns how many of count targets the step needs on the new version.
// The old version keeps enough targets to carry its share.
func DesiredNewTargets(step, count int) int {
	c := judge.Config{Targets: count}
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

// Spare returns how many targets may be on the new version in the step.
func MaxNewTargets(step, count int) int {
	share := max(Steps[step].Share, Steps[2].Share)
	most := judge.Config{Targets: count}.MaxNewTargets(share)
	if step >= firstProven {
		most = max(most, count/2) // at 25%, half of the targets carry 1.5 times their load
	}
	return max(1, min(count-1, most))
}

// MakePlan computes what remains of a move in the given step since the given
// time, with loaded of count targets on the new version.
func NewPlan(now, by, since time.Time, step, loaded, count int, loadTime time.Duration) Plan {
	p := Plan{RemainingLoads: max(0, count-loaded)}
	var dwell time.Duration
	for i := step; i < len(Steps); i++ {
		dwell += Steps[i].MinDuration
	}
	spent := min(max(0, now.Sub(since)), Steps[step].MinDuration)
	loads := time.Duration(p.RemainingLoads) * loadTime
	p.MinDuration = dwell - spent + loads
	room := float64(by.Sub(now))*planShare - float64(loads)
	p.Stretch = min(maxStretch, max(1, room/float64(dwell)))
	return p
}

// order returns the old targets in the order in which they should be loaded:
// alternating between availability zones, so that a slow zone or rack does not
// look like a slow version.
func order(targets []Target, onNew map[string]bool, roster func(string) uint8) []Target {
	used := map[string]int{}
	groups := map[uint8]int{}
	var rest []Target
	for _, t := range targets {
		if onNew[t.Name] {
			used[t.Zone]++
			groups[roster(t.Name)]++
			continue
		}
		if !t.Leaving && t.Version != "" {
			rest = append(rest, t)
		}
	}
	slices.SortFunc(rest, func(a, b Target) int {
		return cmp.Or(
			cmp.Compare(groups[roster(a.Name)], groups[roster(b.Name)]),
			cmp.Compare(used[a.Zone], used[b.Zone]),
			cmp.Compare(a.Name, b.Name))
	})
	return rest
}
