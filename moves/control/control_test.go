package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"sardinefront.dev/core/request"
	"sardinefront.dev/moves/analysis"
)

const seed = 20270105

var start = time.Date(2027, 1, 5, 0, 0, 0, 0, time.UTC)

// simulatedPool is a pool whose targets serve the version of the pending load
// after loadTime.
type simulatedPool struct {
	state    State
	input    Input
	loadDone time.Time
	load     PendingLoad
	reports  []Report
}

const loadTime = time.Minute

func newPool(n int, rules ...Move) *simulatedPool {
	p := &simulatedPool{input: Input{Now: start, Rules: rules, LoadTime: loadTime}}
	p.input.Verdict.Sufficient = true
	for i := range n {
		p.input.Targets = append(p.input.Targets, Target{Name: fmt.Sprintf("t%02d", i), Zone: string(rune('a' + i%3)), Version: "7"})
	}
	return p
}

func (p *simulatedPool) step() {
	p.input.Now = p.input.Now.Add(10 * time.Second)
	var r []Report
	p.state, r = Next(p.state, p.input)
	p.reports = append(p.reports, r...)
	if p.state.Loading.Target != "" && p.state.Loading != p.load {
		p.load, p.loadDone = p.state.Loading, p.input.Now.Add(loadTime)
	}
	for i := range p.input.Targets {
		t := &p.input.Targets[i]
		if t.Name == p.load.Target {
			t.Version = ""
			if !p.input.Now.Before(p.loadDone) {
				t.Version = p.load.Version
				p.load = PendingLoad{}
			}
		}
	}
}

func (p *simulatedPool) run(d time.Duration) {
	for end := p.input.Now.Add(d); p.input.Now.Before(end); {
		p.step()
	}
}

func (p *simulatedPool) count(k ReportKind) int {
	n := 0
	for _, r := range p.reports {
		if r.Kind == k {
			n++
		}
	}
	return n
}

func (p *simulatedPool) serving(version string) int {
	n := 0
	for _, t := range p.input.Targets {
		if t.Version == version {
			n++
		}
	}
	return n
}

func move(from, to string, by time.Duration) Move {
	return Move{Pool: "p", Model: "m", From: from, To: to, By: start.Add(by)}
}

// Guards against a good version that is not done by its deadline, and against a
// rule that starts its move again after the move has ended.
func TestGoodVersionIsDoneOnce(t *testing.T) {
	p := newPool(12, move("7", "8", 2*time.Hour))
	p.run(2 * time.Hour)
	if p.state.Phase != Done || p.serving("8") != 12 || p.count(ReportLate) != 0 {
		t.Fatalf("phase %s, %d targets on version 8, reports %v", p.state.Phase, p.serving("8"), p.reports)
	}
	p.run(time.Hour)
	if p.count(ReportStarted) != 1 || p.count(ReportFinished) != 1 {
		t.Errorf("the move must be reported as started and finished once: %v", p.reports)
	}
}

// Guards against a deadline that cannot be met and is reported only when it has
// passed, or is reported more than once.
func TestImpossibleDeadlineIsReportedAtOnce(t *testing.T) {
	p := newPool(40, move("7", "8", 50*time.Minute)) // 40 min of loads and 21 min of steps
	p.step()
	if p.count(ReportLate) != 1 {
		t.Errorf("the deadline must be reported as late at once: %v", p.reports)
	}
	p.run(10 * time.Minute)
	if p.count(ReportLate) != 1 {
		t.Errorf("the deadline is reported as late %d times, want 1", p.count(ReportLate))
	}
}

// Guards against a rolled-back move that is resumed because its rule still exists
// or because the evidence has become good, and against targets that stay on the
// bad version.
func TestRollbackIsFinal(t *testing.T) {
	rule := move("7", "8", 2*time.Hour)
	p := newPool(12, rule)
	p.run(40 * time.Minute)
	if p.serving("8") == 0 {
		t.Fatal("no target serves version 8 after 40 min")
	}
	p.input.HaltReason = "failures"
	p.step()
	p.input.HaltReason = ""
	if p.state.Phase != RolledBack || p.state.Shares != [request.TierCount]float64{} {
		t.Fatalf("phase %s, shares %v", p.state.Phase, p.state.Shares)
	}
	p.run(time.Hour)
	if p.serving("7") != 12 || p.state.Phase != RolledBack || p.count(ReportStarted) != 1 {
		t.Fatalf("%d targets on version 7, phase %s", p.serving("7"), p.state.Phase)
	}
	again := rule
	again.By = again.By.Add(5 * time.Hour)
	p.input.Rules = []Move{rule, again}
	p.run(time.Minute)
	if p.state.Phase != Running || p.state.ID != again.ID() {
		t.Errorf("a new deadline does not start a new move: phase %s", p.state.Phase)
	}
}

// Guards against a suspect version that keeps a small share after its deadline.
func TestSuspectVersionIsRolledBackAtDeadline(t *testing.T) {
	p := newPool(12, move("7", "8", 2*time.Hour))
	p.run(20 * time.Minute)
	p.input.Verdict = analysis.Verdict{Suspect: true}
	p.run(99 * time.Minute)
	if p.state.Phase != Running || p.state.Step >= firstGatedStep {
		t.Fatalf("phase %s at step %d", p.state.Phase, p.state.Step)
	}
	p.run(2 * time.Minute)
	if p.state.Phase != RolledBack {
		t.Errorf("phase %s after the deadline", p.state.Phase)
	}
}

// Guards against a changed deadline that restarts the move, and against a
// rollback that does not cover the ids of both deadlines, so that the move could
// start again.
func TestChangedDeadlineContinues(t *testing.T) {
	p := newPool(12, move("7", "8", 2*time.Hour))
	p.run(30 * time.Minute)
	step := p.state.Step
	old := p.state.ID
	p.input.Rules[0].By = start.Add(3 * time.Hour)
	p.run(time.Minute)
	if p.state.Step < step || p.count(ReportStarted) != 1 || !p.state.HasMoveID(old) {
		t.Fatalf("step %d after %d, %v", p.state.Step, step, p.reports)
	}
	p.input.Verdict.Bad = true
	p.step()
	for _, id := range []string{old, p.input.Rules[0].ID()} {
		if p.state.Ended[id] != RolledBack {
			t.Errorf("move id %s is not recorded as rolled back", id)
		}
	}
}

// Guards against targets that stay on the new version after the rule was
// removed, and against two moves of a pool that run at the same time.
func TestRemovedAndSecondMove(t *testing.T) {
	first, second := move("7", "8", 2*time.Hour), move("8", "9", 9*time.Hour)
	third := move("3", "4", 9*time.Hour)
	p := newPool(12, first, second, third)
	p.run(30 * time.Minute)
	if p.state.Move.To != "8" {
		t.Fatalf("running move %v, want the one from 7 to 8", p.state.Move)
	}
	p.run(2 * time.Hour)
	if p.state.Move.To != "9" || p.state.Phase != Running {
		t.Fatalf("the second move did not follow: %v %s", p.state.Move, p.state.Phase)
	}
	p.input.Rules = []Move{first, third}
	p.run(time.Hour)
	if p.serving("8") != 12 || p.count(ReportRuleRemoved) != 1 {
		t.Errorf("%d targets on 8, %v", p.serving("8"), p.reports)
	}
	if p.count(ReportRefused) != 1 {
		t.Errorf("the move from a version that no target serves is not refused once: %v", p.reports)
	}
}

// Guards against a share above the limit before the evidence is sufficient,
// urgent requests to the new version before firstGatedStep, a share of an ended
// move, and a resumed move. The verdicts, rule changes and leaving targets are
// random.
func TestNextInvariants(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(seed)
	params.MinSuccessfulTests = 150
	props := gopter.NewProperties(params)
	props.Property("invariants", prop.ForAll(func(s int64) string { return runRandomInputs(uint64(s)) }, gen.Int64Range(0, 1<<40)))
	props.TestingRun(t)
}

// runRandomInputs runs one move with random inputs and returns the first
// violation, or an empty string.
func runRandomInputs(s uint64) string {
	r := rand.New(rand.NewPCG(s, seed))
	rule := move("7", "8", time.Duration(30+r.IntN(200))*time.Minute)
	p := newPool(2+r.IntN(20), rule)
	sufficient := false
	ended := map[string]bool{}
	for range 600 {
		p.input.Verdict = analysis.Verdict{Sufficient: r.IntN(4) > 0, Suspect: r.IntN(10) == 0, Bad: r.IntN(2000) == 0}
		switch r.IntN(200) {
		case 0:
			p.input.Rules = nil
		case 1, 2:
			p.input.Rules = []Move{rule}
		case 3:
			p.input.Targets[r.IntN(len(p.input.Targets))].Leaving = true
		case 4:
			p.input.Rules = []Move{move("7", "8", time.Duration(30+r.IntN(200))*time.Minute)}
		}
		before := p.state
		p.step()
		if p.state.Step >= firstGatedStep && before.Step < firstGatedStep {
			sufficient = p.input.Verdict.Sufficient
		}
		if p.state.Step < firstGatedStep {
			sufficient = false
		}
		if reason := violation(&p.state, sufficient, ended); reason != "" {
			return fmt.Sprintf("seed %d: %s", s, reason)
		}
		for id := range p.state.Ended {
			ended[id] = true
		}
	}
	return ""
}

func violation(s *State, sufficient bool, ended map[string]bool) string {
	share := s.Shares[request.Interactive]
	switch {
	case s.Phase == Running && ended[s.ID]:
		return "an ended move runs"
	case s.Phase != Running && s.Phase != Done && share > 0:
		return "the new version of an inactive move has a share"
	case s.Phase == Running && share > DefaultAtMost && !sufficient:
		return "share above the limit without sufficient evidence"
	case s.Phase == Running && s.Step < firstGatedStep && s.Shares[request.Urgent] > 0:
		return "urgent requests to the new version before the first gated step"
	case s.Shares[request.Urgent] > share:
		return "urgent share above the others"
	}
	for id := range ended {
		if _, ok := s.Ended[id]; !ok {
			return "an ended move is missing from State.Ended"
		}
	}
	return ""
}

// Guards against a move that never leaves the last step: the few remaining old
// targets give too little evidence to clear a suspect version.
func TestSuspectVersionDoesNotBlockLastStep(t *testing.T) {
	p := newPool(12, move("7", "8", 2*time.Hour))
	for p.state.Step < lastStep {
		p.step()
		if p.input.Now.Sub(start) > 2*time.Hour {
			t.Fatalf("step %d after 2 h", p.state.Step)
		}
	}
	p.input.Verdict.Suspect = true
	p.step()
	if p.serving("8") > 7 {
		t.Fatalf("%d targets serve version 8 one tick into the last step", p.serving("8"))
	}
	p.run(time.Hour)
	if p.state.Phase != Done {
		t.Errorf("phase %s with %d targets on version 8", p.state.Phase, p.serving("8"))
	}
}
