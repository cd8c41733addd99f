package trial

import (
	"fmt"
	"time"

	"sardinefront.dev/moves/steer"
)

// Disturbance is something that happens around the controller.
type Disturbance uint8

// The disturbances. All but StoreDown happen when the move enters Case.AtStep.
const (
	None Disturbance = iota
	// HolderDies kills the host that holds the lease.
	LeaseHolderDies
	// HolderPauses stops it for 45 s in the middle of its next control command,
	// which arrives 11 s late: after the lease, before the command timeout.
	LeaseHolderPauses
	// HolderCut separates it from the store and all peers for 5 min.
	LeaseHolderPartitioned
	// AnswersLost loses the answers of 30% of the writes in the whole run.
	AnswersLost
	// StoreDown stops the store for 25 min.
	StoreDown
	// TargetLeaves removes a target on the new version and an old one.
	TargetLeaves
	// RuleRemoved removes the rule.
	RuleRemoved
	// DeadlineChanged moves the deadline by deadlineChange.
	DeadlineChanged
	// TwoMoves adds a second move of the pool that starts at the first's end.
	SecondMove
	disturbanceCount
)

var disturbanceNames = [disturbanceCount]string{"none", "controller dies", "controller pauses", "controller cut off",
	"store answers lost", "store down 25 min", "targets leave", "rule removed", "deadline changed", "second move"}

// String returns the name in the table.
func (d Disturbance) String() string { return disturbanceNames[d] }

// storeOutage is the length of StoreDown.
const storeOutage = 25 * time.Minute

const deadlineChange = 20 * time.Minute

// DisturbedCase returns a good version, or with fault set a bad one, with a
// disturbance at the given step.
func DisturbedCase(seed uint64, d Disturbance, step int, fault bool) Case {
	c, _ := baseCase(seed)
	c.Deadline = 100 * time.Minute
	c.Disturbance, c.DisturbanceStep = d, step
	c.Fenced = seed%2 == 0
	if fault {
		c.Fault = &Fault{FailedShare: 0.5, FirstTokenFactor: 1, BetweenTokensFactor: 1, Route: -1, OnsetStep: max(2, step), OnsetDelay: 5 * time.Minute}
	}
	return c
}

func (f *fleet) leaseHolder() *host {
	for _, h := range f.hosts {
		if !h.dead && h.controller.HoldsLease() {
			return h
		}
	}
	return nil
}

// entered runs when the move enters a step.
func (f *fleet) stepEntered(step int) {
	if f.c.Disturbance == AnswersLost {
		f.store.lostAnswerShare = 0.3
	}
	if step != f.c.DisturbanceStep || f.disturbed {
		return
	}
	f.disturbed = true
	h := f.leaseHolder()
	if h == nil {
		f.res.Errors++
		return
	}
	f.disturb(h)
}

func (f *fleet) disturb(h *host) {
	switch f.c.Disturbance {
	case LeaseHolderDies:
		h.dead = true
	case LeaseHolderPauses:
		h.pauseAtNextLoad = true
	case LeaseHolderPartitioned:
		h.partitioned = true
		f.after(5*time.Minute, func() { h.partitioned, h.partitionEnd = false, f.now })
	case StoreDown:
		f.store.down = true
		step := f.res.step
		f.after(storeOutage, func() {
			f.store.down = false
			f.res.StepsDuringOutage += f.res.step - step
		})
	case TargetLeaves:
		f.markLeaving(newVersion)
		f.markLeaving(oldVersion)
	case RuleRemoved:
		f.rules = nil
	case DeadlineChanged:
		f.rules[0].By = f.rules[0].By.Add(deadlineChange)
	case SecondMove:
		second := steer.Move{Pool: pool, Model: pool, From: newVersion, To: "9", By: epoch.Add(20 * time.Hour)}
		f.rules = append(f.rules, second)
	}
}

func (f *fleet) markLeaving(version string) {
	for _, t := range f.targets {
		if t.Version == version && !t.Leaving {
			t.Leaving = true
			return
		}
	}
}

// Expected returns the phase in which the case must end.
func (c Case) ExpectedPhase() steer.Phase {
	switch {
	case c.Fault != nil:
		return steer.RolledBack
	case c.Disturbance == RuleRemoved:
		return steer.Withdrawn
	}
	return steer.Done
}

// Disturbed returns one family per disturbance, at every step.
func DisturbedFamilies() []*Summary {
	var all []*Summary
	for d := LeaseHolderDies; d < disturbanceCount; d++ {
		steps := len(steer.Steps)
		all = append(all, newFamily("good, "+d.String(), steps, func(i uint64) Case {
			return DisturbedCase(200000+1000*uint64(d)+i, d, int(i), false)
		}))
		if d == RuleRemoved || d == SecondMove {
			continue
		}
		all = append(all, newFamily("fault, "+d.String(), steps-1, func(i uint64) Case {
			return DisturbedCase(300000+1000*uint64(d)+i, d, int(i), true)
		}))
	}
	return all
}

// Invariants returns what the run violated.
func (r *Result) Invariants() []string {
	var found []string
	check := func(n int, what string) {
		if n > 0 {
			found = append(found, fmt.Sprintf("%d %s", n, what))
		}
	}
	check(r.DispatchesAfterHalt, "dispatches later than 2 s after a halt")
	check(r.DispatchesAfterRollback, "dispatches after the move was taken back")
	check(r.ShareViolations, "states above the bound on an unproven version")
	check(r.UrgentToUnproven, "urgent requests to an unproven version")
	check(r.StaleCommands, "commands of a replaced controller")
	check(r.StepsDuringOutage, "steps taken without the store")
	check(r.Errors, "other errors")
	return found
}
