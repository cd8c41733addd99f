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
	HolderDies
	// HolderPauses stops it for 45 s in the middle of its next control command,
	// which arrives 11 s late: after the lease, before the command timeout.
	HolderPauses
	// HolderCut separates it from the store and all peers for 5 min.
	HolderCut
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
	TwoMoves
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
	c.By = 100 * time.Minute
	c.Disturb, c.AtStep = d, step
	c.Fenced = seed%2 == 0
	if fault {
		c.Fault = &Fault{Fail: 0.5, SlowFirst: 1, SlowBetween: 1, Route: -1, Step: max(2, step), Delay: 5 * time.Minute}
	}
	return c
}

func (f *fleet) holder() *host {
	for _, h := range f.hosts {
		if !h.dead && h.controller.HoldsLease() {
			return h
		}
	}
	return nil
}

// entered runs when the move enters a step.
func (f *fleet) entered(step int) {
	if f.c.Disturb == AnswersLost {
		f.store.lose = 0.3
	}
	if step != f.c.AtStep || f.disturbed {
		return
	}
	f.disturbed = true
	h := f.holder()
	if h == nil {
		f.res.Errors++
		return
	}
	f.disturb(h)
}

func (f *fleet) disturb(h *host) {
	switch f.c.Disturb {
	case HolderDies:
		h.dead = true
	case HolderPauses:
		h.pauseInLoad = true
	case HolderCut:
		h.cut = true
		f.after(5*time.Minute, func() { h.cut, h.rejoined = false, f.now })
	case StoreDown:
		f.store.down = true
		step := f.res.step
		f.after(storeOutage, func() {
			f.store.down = false
			f.res.WidenedDown += f.res.step - step
		})
	case TargetLeaves:
		f.leave(newVersion)
		f.leave(oldVersion)
	case RuleRemoved:
		f.rules = nil
	case DeadlineChanged:
		f.rules[0].By = f.rules[0].By.Add(deadlineChange)
	case TwoMoves:
		second := steer.Move{Pool: pool, Model: pool, From: newVersion, To: "9", By: epoch.Add(20 * time.Hour)}
		f.rules = append(f.rules, second)
	}
}

func (f *fleet) leave(version string) {
	for _, t := range f.targets {
		if t.Version == version && !t.Leaving {
			t.Leaving = true
			return
		}
	}
}

// Expected returns the phase in which the case must end.
func (c Case) Expected() steer.Phase {
	switch {
	case c.Fault != nil:
		return steer.RolledBack
	case c.Disturb == RuleRemoved:
		return steer.Withdrawn
	}
	return steer.Done
}

// Disturbed returns one family per disturbance, at every step.
func Disturbed() []*Summary {
	var all []*Summary
	for d := HolderDies; d < disturbanceCount; d++ {
		steps := len(steer.Steps)
		all = append(all, family("good, "+d.String(), steps, func(i uint64) Case {
			return DisturbedCase(200000+1000*uint64(d)+i, d, int(i), false)
		}))
		if d == RuleRemoved || d == TwoMoves {
			continue
		}
		all = append(all, family("fault, "+d.String(), steps-1, func(i uint64) Case {
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
	check(r.AfterHalt, "dispatches later than 2 s after a halt")
	check(r.Resumed, "dispatches after the move was taken back")
	check(r.OverShare, "states above the bound on an unproven version")
	check(r.UrgentTo, "urgent requests to an unproven version")
	check(r.Stale, "commands of a replaced controller")
	check(r.WidenedDown, "steps taken without the store")
	check(r.Errors, "other errors")
	return found
}
