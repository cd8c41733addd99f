package steer

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sardinefront.dev/core/request"
)

// loadPatience is the number of load times after which an unconfirmed load is
// given up and the next target is tried.
const loadPatience = 3

// suspectPause is the time between two additional loads while the evidence is in
// doubt.
const suspectPause = 2 * time.Minute

// Next returns the state that follows. It never changes s. Reports are to be
// emitted only after the new state has been written.
func Next(s State, in Input) (State, []Report) {
	n := s.clone()
	r := &run{State: &n, in: in}
	r.count()
	switch {
	case n.Phase == Running:
		r.running()
	case n.Phase == Idle || n.Phase == Done || n.Restored:
		r.begin()
	default:
		r.restore()
	}
	return n, r.reports
}

func (s State) clone() State {
	s.Aliases = slices.Clone(s.Aliases)
	s.Roster = slices.Clone(s.Roster)
	s.Ended = maps.Clone(s.Ended)
	return s
}

// run is one evaluation of Next.
type run struct {
	*State
	in      Input
	reports []Report
	live    int // targets that are not leaving
	loaded  int // of these, the ones on the new version
	onNew   map[string]bool
}

func (r *run) count() {
	r.onNew = map[string]bool{}
	for _, t := range r.in.Targets {
		if t.Leaving {
			continue
		}
		r.live++
		if r.Phase != Idle && t.Version == r.Move.To {
			r.loaded++
			r.onNew[t.Name] = true
		}
	}
}

func (r *run) report(k ReportKind, format string, args ...any) {
	r.reports = append(r.reports, Report{Kind: k, Move: r.Move, ID: r.ID, Detail: fmt.Sprintf(format, args...)})
}

// begin starts the first move that has not ended. A further move of the pool
// waits until the one before it has ended.
func (r *run) begin() {
	for _, m := range r.in.Rules {
		if _, ended := r.Ended[m.ID()]; ended {
			continue
		}
		if why := r.unfit(m); why != "" {
			if r.Refused != m.ID() {
				r.Refused = m.ID()
				r.reports = append(r.reports, Report{Kind: ReportRefused, Move: m, ID: m.ID(), Detail: why})
			}
			continue
		}
		r.start(m)
		return
	}
}

// unfit says why a move cannot start; empty if it can.
func (r *run) unfit(m Move) string {
	if len(r.in.Targets) == 0 {
		return "the pool has no targets"
	}
	if m.From == m.To {
		return "both versions are the same"
	}
	live, serves := 0, false
	for _, t := range r.in.Targets {
		if t.Leaving {
			continue
		}
		live++
		serves = serves || t.Version == m.From || t.Version == m.To
	}
	if live == 1 {
		return "a move needs two targets; with one there is nothing to compare"
	}
	if serves {
		return ""
	}
	return fmt.Sprintf("no target serves version %s", m.From)
}

func (r *run) start(m Move) {
	ended, refused, fence, seq := r.Ended, r.Refused, r.Fence, r.Seq
	*r.State = State{Phase: Running, Move: m, ID: m.ID(), Ended: ended, Refused: refused, Fence: fence, Seq: seq}
	r.Started, r.Since = r.in.Now, r.in.Now
	for _, t := range r.in.Targets {
		r.Roster = append(r.Roster, t.Name)
	}
	slices.Sort(r.Roster)
	r.count()
	p := r.plan()
	r.Stretch = p.Stretch
	r.report(ReportStarted, "%d loads, at least %s", p.RemainingLoads, p.MinDuration.Round(time.Second))
	r.lateness()
}

func (r *run) plan() Plan {
	return NewPlan(r.in.Now, r.Move.By, r.Since, r.Step, r.loaded, r.live, r.in.LoadTime)
}

// lateness reports once that the deadline cannot be met.
func (r *run) lateness() {
	if r.Late {
		return
	}
	p := r.plan()
	end := r.in.Now.Add(p.MinDuration)
	if end.After(r.Move.By) {
		r.Late = true
		r.report(ReportLate, "%d loads and the remaining steps need %s, until %s at the earliest",
			p.RemainingLoads, p.MinDuration.Round(time.Second), end.UTC().Format(time.RFC3339))
	}
}

func (r *run) running() {
	if why := r.fault(); why != "" {
		r.takeBack(why)
		return
	}
	if !r.amend() {
		r.end(Withdrawn, "the rule was removed")
		r.report(ReportRuleRemoved, "the rule was removed")
		return
	}
	if why := r.unproven(); why != "" {
		r.takeBack(why)
		return
	}
	r.lateness()
	r.confirm()
	r.advance()
	r.share()
}

// fault returns why the version is bad; empty if it is not.
func (r *run) fault() string {
	if r.in.HaltReason != "" {
		return r.in.HaltReason
	}
	if r.in.Verdict.Bad {
		return r.in.Verdict.Reason()
	}
	return ""
}

// unproven returns why a version that is in doubt at its deadline is given up;
// empty if it is not.
func (r *run) unproven() string {
	if r.in.Now.Before(r.Move.By) || r.Step == lastStep || !(r.in.Verdict.Suspect || r.in.Verdict.Inconclusive) {
		return ""
	}
	return "still in doubt at the deadline: " + r.in.Verdict.Reason()
}

func (r *run) takeBack(why string) {
	r.end(RolledBack, why)
	r.report(ReportRolledBack, "%s", why)
}

// amend follows changes of the rule. It reports whether the rule still exists.
func (r *run) amend() bool {
	for _, m := range r.in.Rules {
		if m.From != r.Move.From || m.To != r.Move.To {
			continue
		}
		if id := m.ID(); id != r.ID {
			if _, ended := r.Ended[id]; ended {
				continue
			}
			r.Aliases = append(r.Aliases, r.ID)
			r.Move, r.ID, r.Late = m, id, false
			r.Stretch = r.plan().Stretch
			r.report(ReportDeadlineChanged, "deadline is now %s", m.By.UTC().Format(time.RFC3339))
		}
		r.Move.AtMost = m.AtMost
		return true
	}
	return false
}

// end gives the move up. The new version receives nothing from here on.
func (r *run) end(p Phase, why string) {
	r.Phase, r.Reason = p, why
	r.Shares = [request.TierCount]float64{}
	r.Loading, r.Restored = PendingLoad{}, false
	if p != Withdrawn {
		r.finish(p)
	}
}

// finish records the ids of the move as ended for good.
func (r *run) finish(p Phase) {
	if r.Ended == nil {
		r.Ended = map[string]Phase{}
	}
	for _, id := range append(r.Aliases, r.ID) {
		r.Ended[id] = p
	}
}

// confirm clears the outstanding load when the target serves the version, left,
// or did not answer for too long.
func (r *run) confirm() {
	if r.Loading.Target == "" {
		return
	}
	for _, t := range r.in.Targets {
		if t.Name != r.Loading.Target || t.Leaving {
			continue
		}
		patience := loadPatience*r.in.LoadTime + time.Minute
		if t.Version != r.Loading.Version && r.in.Now.Sub(r.Loading.Since) < patience {
			return
		}
	}
	r.Loading = PendingLoad{}
}

// loadNext orders a load of the version at the next old target.
func (r *run) loadNext() {
	if r.Loading.Target != "" {
		return
	}
	for _, t := range order(r.in.Targets, r.onNew, r.Group) {
		r.Loading = PendingLoad{Target: t.Name, Version: r.Move.To, Since: r.in.Now}
		return
	}
}

// advance loads what the step needs, and goes to the next step when the stay is
// over and the evidence allows it.
func (r *run) advance() {
	if (r.Step < lastStep && r.loaded < min(MaxNewTargets(r.Step, r.live), DesiredNewTargets(r.Step, r.live)+r.Extra)) ||
		(r.Step == lastStep && r.loaded < r.live && !r.in.Verdict.Suspect) {
		r.loadNext()
	}
	if r.in.Verdict.Suspect && (r.Step < lastStep || r.loaded < r.live) {
		r.widenSample(0)
		return
	}
	if r.in.Verdict.Inconclusive {
		r.widenSample(r.dwell())
	}
	if r.in.Now.Sub(r.Since) < r.dwell() || !r.allowed() {
		return
	}
	if r.Step == lastStep {
		r.complete()
		return
	}
	next := r.Step + 1
	if next < lastStep && r.loaded < DesiredNewTargets(next, r.live) {
		r.loadNext()
		return
	}
	r.Step, r.Since, r.Extra = next, r.in.Now, 0
	r.Stretch = r.plan().Stretch
	r.report(ReportStepped, "%.0f%%", 100*Steps[next].Share)
}

// widenSample loads one more target while the evidence is in doubt, without a
// larger share before the last step: more targets tell whether the targets or
// the version are slow.
func (r *run) widenSample(from time.Duration) {
	pauses := int((r.in.Now.Sub(r.Since) - from) / suspectPause)
	if r.Step == 0 || r.Loading.Target != "" || pauses <= r.Extra {
		return
	}
	if r.Step == lastStep {
		r.Extra = pauses
		r.loadNext()
		return
	}
	if want := DesiredNewTargets(r.Step, r.live) + r.Extra; want < MaxNewTargets(r.Step, r.live) && r.loaded >= want {
		r.Extra++
		r.loadNext()
	}
}

func (r *run) dwell() time.Duration {
	stretch := max(1, r.Stretch)
	if r.Step == lastStep {
		stretch = 1 // no old target is left to compare with
	}
	return time.Duration(float64(Steps[r.Step].MinDuration) * stretch)
}

// allowed reports whether the evidence permits leaving the step.
func (r *run) allowed() bool {
	if r.Step == lastStep {
		return r.loaded == r.live
	}
	return r.Step+1 < firstProven || r.in.Verdict.Sufficient
}

func (r *run) complete() {
	r.Phase = Done
	for i := range r.Shares {
		r.Shares[i] = 1
	}
	r.finish(Done)
	r.report(ReportFinished, "all %d targets serve version %s", r.live, r.Move.To)
}

// restore loads the old version again where the new one is, one target at a
// time.
func (r *run) restore() {
	r.confirm()
	if r.Loading.Target != "" {
		return
	}
	for _, t := range r.in.Targets {
		if !t.Leaving && t.Version == r.Move.To {
			r.Loading = PendingLoad{Target: t.Name, Version: r.Move.From, Since: r.in.Now}
			return
		}
	}
	for _, t := range r.in.Targets {
		if !t.Leaving && t.Version == "" {
			return // a load of the new version may still be under way
		}
	}
	r.Restored = true
}
