package control

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sardinefront.dev/core/request"
)

// loadTimeoutFactor is the number of load times after which an unconfirmed load
// is abandoned and the next target is tried.
const loadTimeoutFactor = 3

// extraLoadInterval is the time between two extra loads while the version is
// suspect or the evidence is inconclusive.
const extraLoadInterval = 2 * time.Minute

// Next returns the state that follows s. It does not change s. Emit the reports
// only after the new state has been written.
func Next(s State, in Input) (State, []Report) {
	n := s.clone()
	e := &evaluation{State: &n, input: in}
	e.countTargets()
	switch {
	case n.Phase == Running:
		e.evaluateRunning()
	case n.Phase == Idle || n.Phase == Done || n.Restored:
		e.startNextMove()
	default:
		e.restoreOldVersion()
	}
	return n, e.reports
}

func (s State) clone() State {
	s.Aliases = slices.Clone(s.Aliases)
	s.Roster = slices.Clone(s.Roster)
	s.Ended = maps.Clone(s.Ended)
	return s
}

// evaluation is one call of Next.
type evaluation struct {
	*State
	input       Input
	reports     []Report
	liveCount   int // targets that are not leaving
	loadedCount int // targets that are not leaving and serve the new version
	loadedNames map[string]bool
}

func (e *evaluation) countTargets() {
	e.loadedNames = map[string]bool{}
	for _, t := range e.input.Targets {
		if t.Leaving {
			continue
		}
		e.liveCount++
		if e.Phase != Idle && t.Version == e.Move.To {
			e.loadedCount++
			e.loadedNames[t.Name] = true
		}
	}
}

func (e *evaluation) report(k ReportKind, format string, args ...any) {
	e.reports = append(e.reports, Report{Kind: k, Move: e.Move, ID: e.ID, Detail: fmt.Sprintf(format, args...)})
}

// startNextMove starts the first move that has not ended and is not refused.
// Further moves of the pool wait until it has ended.
func (e *evaluation) startNextMove() {
	for _, m := range e.input.Rules {
		if _, ended := e.Ended[m.ID()]; ended {
			continue
		}
		if reason := e.refusalReason(m); reason != "" {
			if e.Refused != m.ID() {
				e.Refused = m.ID()
				e.reports = append(e.reports, Report{Kind: ReportRefused, Move: m, ID: m.ID(), Detail: reason})
			}
			continue
		}
		e.startMove(m)
		return
	}
}

// refusalReason returns why a move cannot start, or an empty string.
func (e *evaluation) refusalReason(m Move) string {
	if len(e.input.Targets) == 0 {
		return "the pool has no targets"
	}
	if m.From == m.To {
		return "the old and the new version are the same"
	}
	live, serves := 0, false
	for _, t := range e.input.Targets {
		if t.Leaving {
			continue
		}
		live++
		serves = serves || t.Version == m.From || t.Version == m.To
	}
	if live == 1 {
		return "the pool has one target; a move needs at least two, to compare the versions"
	}
	if serves {
		return ""
	}
	return fmt.Sprintf("no target serves version %s", m.From)
}

func (e *evaluation) startMove(m Move) {
	ended, refused, fence, seq := e.Ended, e.Refused, e.Fence, e.Seq
	*e.State = State{Phase: Running, Move: m, ID: m.ID(), Ended: ended, Refused: refused, Fence: fence, Seq: seq}
	e.Started, e.Since = e.input.Now, e.input.Now
	for _, t := range e.input.Targets {
		e.Roster = append(e.Roster, t.Name)
	}
	slices.Sort(e.Roster)
	e.countTargets()
	p := e.plan()
	e.Stretch = p.Stretch
	e.report(ReportStarted, "%d loads, at least %s", p.RemainingLoads, p.MinDuration.Round(time.Second))
	e.checkDeadline()
}

func (e *evaluation) plan() Plan {
	return NewPlan(e.input.Now, e.Move.By, e.Since, e.Step, e.loadedCount, e.liveCount, e.input.LoadTime)
}

// checkDeadline reports, once per deadline, that the deadline cannot be met.
func (e *evaluation) checkDeadline() {
	if e.Late {
		return
	}
	p := e.plan()
	end := e.input.Now.Add(p.MinDuration)
	if end.After(e.Move.By) {
		e.Late = true
		e.report(ReportLate, "%d loads and the remaining steps need %s, until %s at the earliest",
			p.RemainingLoads, p.MinDuration.Round(time.Second), end.UTC().Format(time.RFC3339))
	}
}

func (e *evaluation) evaluateRunning() {
	if reason := e.faultReason(); reason != "" {
		e.rollBack(reason)
		return
	}
	if !e.applyRuleChange() {
		e.stop(Withdrawn, "the rule was removed")
		e.report(ReportRuleRemoved, "the rule was removed")
		return
	}
	if reason := e.inconclusiveReason(); reason != "" {
		e.rollBack(reason)
		return
	}
	e.checkDeadline()
	e.checkPendingLoad()
	e.advance()
	e.setShares()
}

// faultReason returns why the new version must be rolled back now, or an empty
// string.
func (e *evaluation) faultReason() string {
	if e.input.HaltReason != "" {
		return e.input.HaltReason
	}
	if e.input.Verdict.Bad {
		return e.input.Verdict.Reason()
	}
	return ""
}

// inconclusiveReason returns why the new version must be rolled back at the
// deadline, because the evidence does not clear it, or an empty string.
func (e *evaluation) inconclusiveReason() string {
	if e.input.Now.Before(e.Move.By) || e.Step == lastStep ||
		!(e.input.Verdict.Suspect || e.input.Verdict.Inconclusive) {
		return ""
	}
	return "evidence still inconclusive at the deadline: " + e.input.Verdict.Reason()
}

func (e *evaluation) rollBack(reason string) {
	e.stop(RolledBack, reason)
	e.report(ReportRolledBack, "%s", reason)
}

// applyRuleChange applies changes of the rule to the running move. It reports
// whether the rule still exists.
func (e *evaluation) applyRuleChange() bool {
	for _, m := range e.input.Rules {
		if m.From != e.Move.From || m.To != e.Move.To {
			continue
		}
		if id := m.ID(); id != e.ID {
			if _, ended := e.Ended[id]; ended {
				continue
			}
			e.Aliases = append(e.Aliases, e.ID)
			e.Move, e.ID, e.Late = m, id, false
			e.Stretch = e.plan().Stretch
			e.report(ReportDeadlineChanged, "deadline is now %s", m.By.UTC().Format(time.RFC3339))
		}
		e.Move.AtMost = m.AtMost
		return true
	}
	return false
}

// stop ends the running move without completing it. From then on the new
// version receives no requests.
func (e *evaluation) stop(p Phase, reason string) {
	e.Phase, e.Reason = p, reason
	e.Shares = [request.TierCount]float64{}
	e.Loading, e.Restored = PendingLoad{}, false
	if p != Withdrawn {
		e.recordEnded(p)
	}
}

// recordEnded records all ids of the move as ended for good.
func (e *evaluation) recordEnded(p Phase) {
	if e.Ended == nil {
		e.Ended = map[string]Phase{}
	}
	for _, id := range append(e.Aliases, e.ID) {
		e.Ended[id] = p
	}
}

// checkPendingLoad clears the pending load if the target serves the version,
// has left, or has not confirmed it in time.
func (e *evaluation) checkPendingLoad() {
	if e.Loading.Target == "" {
		return
	}
	for _, t := range e.input.Targets {
		if t.Name != e.Loading.Target || t.Leaving {
			continue
		}
		timeout := loadTimeoutFactor*e.input.LoadTime + time.Minute
		if t.Version != e.Loading.Version && e.input.Now.Sub(e.Loading.Since) < timeout {
			return
		}
	}
	e.Loading = PendingLoad{}
}

// startNextLoad loads the new version on the next old target, unless a load is
// pending.
func (e *evaluation) startNextLoad() {
	if e.Loading.Target != "" {
		return
	}
	for _, t := range loadOrder(e.input.Targets, e.loadedNames, e.Group) {
		e.Loading = PendingLoad{Target: t.Name, Version: e.Move.To, Since: e.input.Now}
		return
	}
}

// advance loads the targets that the step needs. It enters the next step once
// the minimum duration is over and the evidence allows it.
func (e *evaluation) advance() {
	if (e.Step < lastStep && e.loadedCount < min(
		MaxNewTargets(e.Step, e.liveCount), DesiredNewTargets(e.Step, e.liveCount)+e.Extra)) ||
		(e.Step == lastStep && e.loadedCount < e.liveCount && !e.input.Verdict.Suspect) {
		e.startNextLoad()
	}
	if e.input.Verdict.Suspect && (e.Step < lastStep || e.loadedCount < e.liveCount) {
		e.startExtraLoad(0)
		return
	}
	if e.input.Verdict.Inconclusive {
		e.startExtraLoad(e.minStepDuration())
	}
	if e.input.Now.Sub(e.Since) < e.minStepDuration() || !e.mayLeaveStep() {
		return
	}
	if e.Step == lastStep {
		e.complete()
		return
	}
	next := e.Step + 1
	if next < lastStep && e.loadedCount < DesiredNewTargets(next, e.liveCount) {
		e.startNextLoad()
		return
	}
	e.Step, e.Since, e.Extra = next, e.input.Now, 0
	e.Stretch = e.plan().Stretch
	e.report(ReportStepped, "%.0f%%", 100*Steps[next].Share)
}

// startExtraLoad loads one more target at each extraLoadInterval after the given
// time in the step. More targets show whether the version or single targets are
// slow. Before the last step, the share does not grow with them.
func (e *evaluation) startExtraLoad(after time.Duration) {
	dueLoads := int((e.input.Now.Sub(e.Since) - after) / extraLoadInterval)
	if e.Step == 0 || e.Loading.Target != "" || dueLoads <= e.Extra {
		return
	}
	if e.Step == lastStep {
		e.Extra = dueLoads
		e.startNextLoad()
		return
	}
	if wanted := DesiredNewTargets(e.Step, e.liveCount) + e.Extra; wanted < MaxNewTargets(e.Step, e.liveCount) &&
		e.loadedCount >= wanted {
		e.Extra++
		e.startNextLoad()
	}
}

// minStepDuration returns the stretched minimum duration of the step.
func (e *evaluation) minStepDuration() time.Duration {
	stretch := max(1, e.Stretch)
	if e.Step == lastStep {
		stretch = 1 // no old target is left to compare with
	}
	return time.Duration(float64(Steps[e.Step].MinDuration) * stretch)
}

// mayLeaveStep reports whether the evidence allows the next step, or in the
// last step whether all targets are loaded.
func (e *evaluation) mayLeaveStep() bool {
	if e.Step == lastStep {
		return e.loadedCount == e.liveCount
	}
	return e.Step+1 < firstGatedStep || e.input.Verdict.Sufficient
}

func (e *evaluation) complete() {
	e.Phase = Done
	for i := range e.Shares {
		e.Shares[i] = 1
	}
	e.recordEnded(Done)
	e.report(ReportFinished, "all %d targets serve version %s", e.liveCount, e.Move.To)
}

// restoreOldVersion loads the old version on the targets that serve the new
// one, one target at a time.
func (e *evaluation) restoreOldVersion() {
	e.checkPendingLoad()
	if e.Loading.Target != "" {
		return
	}
	for _, t := range e.input.Targets {
		if !t.Leaving && t.Version == e.Move.To {
			e.Loading = PendingLoad{Target: t.Name, Version: e.Move.From, Since: e.input.Now}
			return
		}
	}
	for _, t := range e.input.Targets {
		if !t.Leaving && t.Version == "" {
			return // a load of the new version may still be under way
		}
	}
	e.Restored = true
}
