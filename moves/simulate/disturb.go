package simulate

import (
	"fmt"
	"time"

	"sardinefront.dev/moves/control"
)

// Disturbance is an event that disturbs the controller during a move.
type Disturbance uint8

// The disturbances. They begin when the move enters Case.DisturbanceStep,
// except for ResponsesLost, which lasts for the whole run.
const (
	None Disturbance = iota
	// LeaseHolderDies stops the host that holds the lease for good.
	LeaseHolderDies
	// LeaseHolderPauses pauses the lease holder for 45 s during its next control
	// command. The command arrives 11 s late: after the lease (10 s) has
	// expired, but before the command timeout (2 s) after that.
	LeaseHolderPauses
	// LeaseHolderPartitioned separates the lease holder from the store and all
	// peers for 5 min.
	LeaseHolderPartitioned
	// ResponsesLost loses the responses to 30% of the writes to the store.
	ResponsesLost
	// StoreDown makes the store unavailable for storeOutage.
	StoreDown
	// TargetLeaves removes a target on the new version and one on the old.
	TargetLeaves
	// RuleRemoved removes the rule of the move.
	RuleRemoved
	// DeadlineChanged postpones the deadline by deadlineChange.
	DeadlineChanged
	// SecondMove adds a second move of the pool, which starts when the first has
	// ended.
	SecondMove
	disturbanceCount
)

var disturbanceNames = [disturbanceCount]string{"none", "controller dies", "controller pauses", "controller cut off",
	"store answers lost", "store down 25 min", "targets leave", "rule removed", "deadline changed", "second move"}

// String returns the name printed in the table.
func (d Disturbance) String() string { return disturbanceNames[d] }

// storeOutage is the duration of StoreDown.
const storeOutage = 25 * time.Minute

const deadlineChange = 20 * time.Minute

// DisturbedCase returns a case with a disturbance at the given step. Its version
// is bad if fault is set, and good otherwise.
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

// leaseHolder returns the live host that holds the lease, or nil.
func (f *fleet) leaseHolder() *host {
	for _, h := range f.hosts {
		if !h.dead && h.controller.HoldsLease() {
			return h
		}
	}
	return nil
}

// stepEntered is called when the move enters a step. It starts the disturbance of
// the case.
func (f *fleet) stepEntered(step int) {
	if f.cfg.Disturbance == ResponsesLost {
		f.store.lostResponseShare = 0.3
	}
	if step != f.cfg.DisturbanceStep || f.disturbed {
		return
	}
	f.disturbed = true
	h := f.leaseHolder()
	if h == nil {
		f.result.Errors++
		return
	}
	f.disturb(h)
}

func (f *fleet) disturb(h *host) {
	switch f.cfg.Disturbance {
	case LeaseHolderDies:
		h.dead = true
	case LeaseHolderPauses:
		h.pauseAtNextLoad = true
	case LeaseHolderPartitioned:
		h.partitioned = true
		f.after(5*time.Minute, func() { h.partitioned, h.partitionEnd = false, f.now })
	case StoreDown:
		f.store.down = true
		step := f.result.step
		f.after(storeOutage, func() {
			f.store.down = false
			f.result.StepsDuringOutage += f.result.step - step
		})
	case TargetLeaves:
		f.markLeaving(newVersion)
		f.markLeaving(oldVersion)
	case RuleRemoved:
		f.rules = nil
	case DeadlineChanged:
		f.rules[0].By = f.rules[0].By.Add(deadlineChange)
	case SecondMove:
		second := control.Move{Pool: pool, Model: pool, From: newVersion, To: "9", By: epoch.Add(20 * time.Hour)}
		f.rules = append(f.rules, second)
	}
}

// markLeaving makes one target that serves the version leave.
func (f *fleet) markLeaving(version string) {
	for _, t := range f.targets {
		if t.Version == version && !t.Leaving {
			t.Leaving = true
			return
		}
	}
}

// ExpectedPhase returns the phase in which the move must end.
func (c Case) ExpectedPhase() control.Phase {
	switch {
	case c.Fault != nil:
		return control.RolledBack
	case c.Disturbance == RuleRemoved:
		return control.Withdrawn
	}
	return control.Done
}

// DisturbedFamilies returns families with each disturbance at every step, with
// good and with bad versions. RuleRemoved and SecondMove have good versions only.
func DisturbedFamilies() []*Summary {
	var all []*Summary
	for d := LeaseHolderDies; d < disturbanceCount; d++ {
		steps := len(control.Steps)
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

// Invariants describes the invariants that the run violated.
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
	check(r.EarlyUrgentRequests, "urgent requests to an unproven version")
	check(r.StaleCommands, "commands of a replaced controller")
	check(r.StepsDuringOutage, "steps taken without the store")
	check(r.Errors, "other errors")
	return found
}
