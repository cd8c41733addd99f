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
	tr := &transition{State: &n, input: in}
	tr.countTargets()
	switch {
	case n.Phase == Running:
		tr.continueMove()
	case n.Phase == Idle || n.Phase == Done || n.Restored:
		tr.startNextMove()
	default:
		tr.restoreOldVersion()
	}
	return n, tr.reports
}

func (s State) clone() State {
	s.Aliases = slices.Clone(s.Aliases)
	s.Roster = slices.Clone(s.Roster)
	s.Ended = maps.Clone(s.Ended)
	return s
}

// transition is one call of Next. It changes the embedded copy of the state.
type transition struct {
	*State
	input       Input
	reports     []Report
	liveCount   int // targets that are not leaving
	loadedCount int // targets that are not leaving and serve the new version
	loadedNames map[string]bool
}

func (tr *transition) countTargets() {
	tr.loadedNames = map[string]bool{}
	for _, t := range tr.input.Targets {
		if t.Leaving {
			continue
		}
		tr.liveCount++
		if tr.Phase != Idle && t.Version == tr.Move.To {
			tr.loadedCount++
			tr.loadedNames[t.Name] = true
		}
	}
}

func (tr *transition) report(k ReportKind, format string, args ...any) {
	tr.reports = append(tr.reports, Report{Kind: k, Move: tr.Move, ID: tr.ID, Detail: fmt.Sprintf(format, args...)})
}

// startNextMove starts the first move that has not ended and is not refused.
// Further moves of the pool wait until it has ended.
func (tr *transition) startNextMove() {
	for _, m := range tr.input.Rules {
		if _, ended := tr.Ended[m.ID()]; ended {
			continue
		}
		if reason := tr.refusalReason(m); reason != "" {
			if tr.Refused != m.ID() {
				tr.Refused = m.ID()
				tr.reports = append(tr.reports, Report{Kind: ReportRefused, Move: m, ID: m.ID(), Detail: reason})
			}
			continue
		}
		tr.startMove(m)
		return
	}
}

// refusalReason returns why a move cannot start, or an empty string.
func (tr *transition) refusalReason(m Move) string {
	if len(tr.input.Targets) == 0 {
		return "the pool has no targets"
	}
	if m.From == m.To {
		return "the old and the new version are the same"
	}
	live, serves := 0, false
	for _, t := range tr.input.Targets {
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

func (tr *transition) startMove(m Move) {
	ended, refused, fence, seq := tr.Ended, tr.Refused, tr.Fence, tr.Seq
	*tr.State = State{Phase: Running, Move: m, ID: m.ID(), Ended: ended, Refused: refused, Fence: fence, Seq: seq}
	tr.Started, tr.Since = tr.input.Now, tr.input.Now
	for _, t := range tr.input.Targets {
		tr.Roster = append(tr.Roster, t.Name)
	}
	slices.Sort(tr.Roster)
	tr.countTargets()
	p := tr.plan()
	tr.Stretch = p.Stretch
	tr.report(ReportStarted, "%d loads, at least %s", p.RemainingLoads, p.MinDuration.Round(time.Second))
	tr.checkDeadline()
}

func (tr *transition) plan() Plan {
	return NewPlan(tr.input.Now, tr.Move.By, tr.Since, tr.Step, tr.loadedCount, tr.liveCount, tr.input.LoadTime)
}

// checkDeadline reports, once per deadline, that the deadline cannot be met.
func (tr *transition) checkDeadline() {
	if tr.Late {
		return
	}
	p := tr.plan()
	end := tr.input.Now.Add(p.MinDuration)
	if end.After(tr.Move.By) {
		tr.Late = true
		tr.report(ReportLate, "%d loads and the remaining steps need %s, until %s at the earliest",
			p.RemainingLoads, p.MinDuration.Round(time.Second), end.UTC().Format(time.RFC3339))
	}
}

func (tr *transition) continueMove() {
	if reason := tr.faultReason(); reason != "" {
		tr.rollBack(reason)
		return
	}
	if !tr.applyRuleChange() {
		tr.stop(Withdrawn, "the rule was removed")
		tr.report(ReportRuleRemoved, "the rule was removed")
		return
	}
	if reason := tr.inconclusiveReason(); reason != "" {
		tr.rollBack(reason)
		return
	}
	tr.checkDeadline()
	tr.checkPendingLoad()
	tr.advance()
	tr.setShares()
}

// faultReason returns why the new version must be rolled back now, or an empty
// string.
func (tr *transition) faultReason() string {
	if tr.input.HaltReason != "" {
		return tr.input.HaltReason
	}
	if tr.input.Verdict.Bad {
		return tr.input.Verdict.Reason()
	}
	return ""
}

// inconclusiveReason returns why the new version must be rolled back at the
// deadline, because the evidence does not clear it, or an empty string.
func (tr *transition) inconclusiveReason() string {
	if tr.input.Now.Before(tr.Move.By) || tr.Step == lastStep ||
		!(tr.input.Verdict.Suspect || tr.input.Verdict.Inconclusive) {
		return ""
	}
	return "evidence still inconclusive at the deadline: " + tr.input.Verdict.Reason()
}

func (tr *transition) rollBack(reason string) {
	tr.stop(RolledBack, reason)
	tr.report(ReportRolledBack, "%s", reason)
}

// applyRuleChange applies changes of the rule to the running move. It reports
// whether the rule still exists.
func (tr *transition) applyRuleChange() bool {
	for _, m := range tr.input.Rules {
		if m.From != tr.Move.From || m.To != tr.Move.To {
			continue
		}
		if id := m.ID(); id != tr.ID {
			if _, ended := tr.Ended[id]; ended {
				continue
			}
			tr.Aliases = append(tr.Aliases, tr.ID)
			tr.Move, tr.ID, tr.Late = m, id, false
			tr.Stretch = tr.plan().Stretch
			tr.report(ReportDeadlineChanged, "deadline is now %s", m.By.UTC().Format(time.RFC3339))
		}
		tr.Move.AtMost = m.AtMost
		return true
	}
	return false
}

// stop ends the running move without completing it. From then on the new
// version receives no requests.
func (tr *transition) stop(p Phase, reason string) {
	tr.Phase, tr.Reason = p, reason
	tr.Shares = [request.TierCount]float64{}
	tr.Loading, tr.Restored = PendingLoad{}, false
	if p != Withdrawn {
		tr.recordEnded(p)
	}
}

// recordEnded records all ids of the move as ended for good.
func (tr *transition) recordEnded(p Phase) {
	if tr.Ended == nil {
		tr.Ended = map[string]Phase{}
	}
	for _, id := range append(tr.Aliases, tr.ID) {
		tr.Ended[id] = p
	}
}

// checkPendingLoad clears the pending load if the target serves the version,
// has left, or has not confirmed it in time.
func (tr *transition) checkPendingLoad() {
	if tr.Loading.Target == "" {
		return
	}
	for _, t := range tr.input.Targets {
		if t.Name != tr.Loading.Target || t.Leaving {
			continue
		}
		timeout := loadTimeoutFactor*tr.input.LoadTime + time.Minute
		if t.Version != tr.Loading.Version && tr.input.Now.Sub(tr.Loading.Since) < timeout {
			return
		}
	}
	tr.Loading = PendingLoad{}
}

// startNextLoad loads the new version on the next old target, unless a load is
// pending.
func (tr *transition) startNextLoad() {
	if tr.Loading.Target != "" {
		return
	}
	for _, t := range loadOrder(tr.input.Targets, tr.loadedNames, tr.Group) {
		tr.Loading = PendingLoad{Target: t.Name, Version: tr.Move.To, Since: tr.input.Now}
		return
	}
}

// advance loads the targets that the step needs. It enters the next step once
// the minimum duration is over and the evidence allows it.
func (tr *transition) advance() {
	if (tr.Step < lastStep && tr.loadedCount < min(
		MaxNewTargets(tr.Step, tr.liveCount), DesiredNewTargets(tr.Step, tr.liveCount)+tr.Extra)) ||
		(tr.Step == lastStep && tr.loadedCount < tr.liveCount && !tr.input.Verdict.Suspect) {
		tr.startNextLoad()
	}
	if tr.input.Verdict.Suspect && (tr.Step < lastStep || tr.loadedCount < tr.liveCount) {
		tr.startExtraLoad(0)
		return
	}
	if tr.input.Verdict.Inconclusive {
		tr.startExtraLoad(tr.minStepDuration())
	}
	if tr.input.Now.Sub(tr.Since) < tr.minStepDuration() || !tr.mayLeaveStep() {
		return
	}
	if tr.Step == lastStep {
		tr.complete()
		return
	}
	next := tr.Step + 1
	if next < lastStep && tr.loadedCount < DesiredNewTargets(next, tr.liveCount) {
		tr.startNextLoad()
		return
	}
	tr.Step, tr.Since, tr.Extra = next, tr.input.Now, 0
	tr.Stretch = tr.plan().Stretch
	tr.report(ReportStepped, "%.0f%%", 100*Steps[next].Share)
}

// startExtraLoad loads one more target at each extraLoadInterval after the given
// time in the step. More targets show whether the version or single targets are
// slow. Before the last step, the share does not grow with them.
func (tr *transition) startExtraLoad(after time.Duration) {
	dueLoads := int((tr.input.Now.Sub(tr.Since) - after) / extraLoadInterval)
	if tr.Step == 0 || tr.Loading.Target != "" || dueLoads <= tr.Extra {
		return
	}
	if tr.Step == lastStep {
		tr.Extra = dueLoads
		tr.startNextLoad()
		return
	}
	if wanted := DesiredNewTargets(tr.Step, tr.liveCount) + tr.Extra; wanted < MaxNewTargets(tr.Step, tr.liveCount) &&
		tr.loadedCount >= wanted {
		tr.Extra++
		tr.startNextLoad()
	}
}

// minStepDuration returns the stretched minimum duration of the step.
func (tr *transition) minStepDuration() time.Duration {
	stretch := max(1, tr.Stretch)
	if tr.Step == lastStep {
		stretch = 1 // no old target is left to compare with
	}
	return time.Duration(float64(Steps[tr.Step].MinDuration) * stretch)
}

// mayLeaveStep reports whether the evidence allows the next step, or in the
// last step whether all targets are loaded.
func (tr *transition) mayLeaveStep() bool {
	if tr.Step == lastStep {
		return tr.loadedCount == tr.liveCount
	}
	return tr.Step+1 < firstGatedStep || tr.input.Verdict.Sufficient
}

func (tr *transition) complete() {
	tr.Phase = Done
	for i := range tr.Shares {
		tr.Shares[i] = 1
	}
	tr.recordEnded(Done)
	tr.report(ReportFinished, "all %d targets serve version %s", tr.liveCount, tr.Move.To)
}

// restoreOldVersion loads the old version on the targets that serve the new
// one, one target at a time.
func (tr *transition) restoreOldVersion() {
	tr.checkPendingLoad()
	if tr.Loading.Target != "" {
		return
	}
	for _, t := range tr.input.Targets {
		if !t.Leaving && t.Version == tr.Move.To {
			tr.Loading = PendingLoad{Target: t.Name, Version: tr.Move.From, Since: tr.input.Now}
			return
		}
	}
	for _, t := range tr.input.Targets {
		if !t.Leaving && t.Version == "" {
			return // a load of the new version may still be under way
		}
	}
	tr.Restored = true
}
