package steer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"sardinefront.dev/core/request"
	"sardinefront.dev/moves/judge"
)

const seed = 20270105

var start = time.Date(2027, 1, 5, 0, 0, 0, 0, time.UTC)

// pool is a pool that obeys the orders of the state after loadTime.
type pool struct {
	state   State
	in      Input
	due     time.Time
	load    PendingLoad
	reports []Report
}

const loadTime = time.Minute

func newPool(n int, moves ...Move) *pool {
	p := &pool{in: Input{Now: start, Rules: moves, LoadTime: loadTime}}
	p.in.Verdict.Sufficient = true
	for i := range n {
		p.in.Targets = append(p.in.Targets, Target{Name: fmt.Sprintf("t%02d", i), Zone: string(rune('a' + i%3)), Version: "7"})
	}
	return p
}

func (p *pool) step() {
	p.in.Now = p.in.Now.Add(10 * time.Second)
	var r []Report
	p.state, r = Next(p.state, p.in)
	p.reports = append(p.reports, r...)
	if p.state.Loading.Target != "" && p.state.Loading != p.load {
		p.load, p.due = p.state.Loading, p.in.Now.Add(loadTime)
	}
	for i := range p.in.Targets {
		t := &p.in.Targets[i]
		if t.Name == p.load.Target {
			t.Version = ""
			if !p.in.Now.Before(p.due) {
				t.Version = p.load.Version
				p.load = PendingLoad{}
			}
		}
	}
}

func (p *pool) run(d time.Duration) {
	for end := p.in.Now.Add(d); p.in.Now.Before(end); {
		p.step()
	}
}

func (p *pool) count(k ReportKind) int {
	n := 0
	for _, r := range p.reports {
		if r.Kind == k {
			n++
		}
	}
	return n
}

func (p *pool) serving(version string) int {
	n := 0
	for _, t := range p.in.Targets {
		if t.Version == version {
			n++
		}
	}
	return n
}

func move(from, to string, by time.Duration) Move {
	return Move{Pool: "p", Model: "m", From: from, To: to, By: start.Add(by)}
}

// Guards against a good version that misses its time, and a rule that starts
// again after its move has ended.
func TestGoodVersionIsDoneOnce(t *testing.T) {
	p := newPool(12, move("7", "8", 2*time.Hour))
	p.run(2 * time.Hour)
	if p.state.Phase != Done || p.serving("8") != 12 || p.count(ReportLate) != 0 {
		t.Fatalf("%s, %d targets, %v", p.state.Phase, p.serving("8"), p.reports)
	}
	p.run(time.Hour)
	if p.count(ReportStarted) != 1 || p.count(ReportFinished) != 1 {
		t.Errorf("reports %v", p.reports)
	}
}

// Guards against a deadline that turns out to be impossible only at its end.
func TestImpossibleDeadlineIsReportedAtOnce(t *testing.T) {
	p := newPool(40, move("7", "8", 50*time.Minute)) // 40 min of loads and 21 min of steps
	p.step()
	if p.count(ReportLate) != 1 {
		t.Errorf("reports %v", p.reports)
	}
	p.run(10 * time.Minute)
	if p.count(ReportLate) != 1 {
		t.Errorf("reported %d times", p.count(ReportLate))
	}
}

// Guards against a rolled-back move that is resumed, by the rule staying in
// force or by good evidence, and against targets left on the bad version.
func TestTakenBackIsFinal(t *testing.T) {
	rule := move("7", "8", 2*time.Hour)
	p := newPool(12, rule)
	p.run(40 * time.Minute)
	if p.serving("8") == 0 {
		t.Fatal("nothing loaded after 40 min")
	}
	p.in.HaltReason = "failures"
	p.step()
	p.in.HaltReason = ""
	if p.state.Phase != RolledBack || p.state.Shares != [request.TierCount]float64{} {
		t.Fatalf("%s, shares %v", p.state.Phase, p.state.Shares)
	}
	p.run(time.Hour)
	if p.serving("7") != 12 || p.state.Phase != RolledBack || p.count(ReportStarted) != 1 {
		t.Fatalf("%d targets on 7, %s", p.serving("7"), p.state.Phase)
	}
	again := rule
	again.By = again.By.Add(5 * time.Hour)
	p.in.Rules = []Move{rule, again}
	p.run(time.Minute)
	if p.state.Phase != Running || p.state.ID != again.ID() {
		t.Errorf("a new time does not start a new move: %s", p.state.Phase)
	}
}

// Guards against a version that stays in doubt on a small share for ever.
func TestDoubtEndsAtTheDeadline(t *testing.T) {
	p := newPool(12, move("7", "8", 2*time.Hour))
	p.run(20 * time.Minute)
	p.in.Verdict = judge.Verdict{Suspect: true}
	p.run(99 * time.Minute)
	if p.state.Phase != Running || p.state.Step >= firstProven {
		t.Fatalf("%s at step %d", p.state.Phase, p.state.Step)
	}
	p.run(2 * time.Minute)
	if p.state.Phase != RolledBack {
		t.Errorf("%s after the deadline", p.state.Phase)
	}
}

// Guards against a changed deadline that restarts the move, and against a new
// deadline that escapes a roll-back.
func TestChangedDeadlineContinues(t *testing.T) {
	p := newPool(12, move("7", "8", 2*time.Hour))
	p.run(30 * time.Minute)
	step := p.state.Step
	old := p.state.ID
	p.in.Rules[0].By = start.Add(3 * time.Hour)
	p.run(time.Minute)
	if p.state.Step < step || p.count(ReportStarted) != 1 || !p.state.HasMoveID(old) {
		t.Fatalf("step %d after %d, %v", p.state.Step, step, p.reports)
	}
	p.in.Verdict.Bad = true
	p.step()
	for _, id := range []string{old, p.in.Rules[0].ID()} {
		if p.state.Ended[id] != RolledBack {
			t.Errorf("id %s not ended", id)
		}
	}
}

// Guards against a removed rule that leaves targets on the new version, and
// against two moves of a pool that run at once.
func TestRemovedAndSecondMove(t *testing.T) {
	first, second := move("7", "8", 2*time.Hour), move("8", "9", 9*time.Hour)
	third := move("3", "4", 9*time.Hour)
	p := newPool(12, first, second, third)
	p.run(30 * time.Minute)
	if p.state.Move.To != "8" {
		t.Fatalf("runs %v", p.state.Move)
	}
	p.run(2 * time.Hour)
	if p.state.Move.To != "9" || p.state.Phase != Running {
		t.Fatalf("the second move did not follow: %v %s", p.state.Move, p.state.Phase)
	}
	p.in.Rules = []Move{first, third}
	p.run(time.Hour)
	if p.serving("8") != 12 || p.count(ReportRuleRemoved) != 1 {
		t.Errorf("%d targets on 8, %v", p.serving("8"), p.reports)
	}
	if p.count(ReportRefused) != 1 {
		t.Errorf("the move from a version that nobody serves: %v", p.reports)
	}
}

// Guards, under random evidence, operators and targets, against a share above
// the bound before the evidence suffices, urgent requests on an unproven
// version, a share on an ended move, and a resumed move.
func TestNextInvariants(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(seed)
	params.MinSuccessfulTests = 150
	props := gopter.NewProperties(params)
	props.Property("invariants", prop.ForAll(func(s int64) string { return chaos(uint64(s)) }, gen.Int64Range(0, 1<<40)))
	props.TestingRun(t)
}

// chaos returns the first violation, empty if none.
func chaos(s uint64) string {
	r := rand.New(rand.NewPCG(s, seed))
	rule := move("7", "8", time.Duration(30+r.IntN(200))*time.Minute)
	p := newPool(2+r.IntN(20), rule)
	proven := false
	ended := map[string]bool{}
	for range 600 {
		p.in.Verdict = judge.Verdict{Sufficient: r.IntN(4) > 0, Suspect: r.IntN(10) == 0, Bad: r.IntN(2000) == 0}
		switch r.IntN(200) {
		case 0:
			p.in.Rules = nil
		case 1, 2:
			p.in.Rules = []Move{rule}
		case 3:
			p.in.Targets[r.IntN(len(p.in.Targets))].Leaving = true
		case 4:
			p.in.Rules = []Move{move("7", "8", time.Duration(30+r.IntN(200))*time.Minute)}
		}
		before := p.state
		p.step()
		if p.state.Step >= firstProven && before.Step < firstProven {
			proven = p.in.Verdict.Sufficient
		}
		if p.state.Step < firstProven {
			proven = false
		}
		if why := violation(&p.state, proven, ended); why != "" {
			return fmt.Sprintf("seed %d: %s", s, why)
		}
		for id := range p.state.Ended {
			ended[id] = true
		}
	}
	return ""
}

func violation(s *State, proven bool, ended map[string]bool) string {
	share := s.Shares[request.Interactive]
	switch {
	case s.Phase == Running && ended[s.ID]:
		return "an ended move runs"
	case s.Phase != Running && s.Phase != Done && share > 0:
		return "share on a move that does not run"
	case s.Phase == Running && share > DefaultAtMost && !proven:
		return "share above the bound without evidence"
	case s.Phase == Running && s.Step < firstProven && s.Shares[request.Urgent] > 0:
		return "urgent requests on an unproven version"
	case s.Shares[request.Urgent] > share:
		return "urgent share above the others"
	}
	for id := range ended {
		if _, ok := s.Ended[id]; !ok {
			return "an ended move was forgotten"
		}
	}
	return ""
}

// Guards against a move that stays in the last step because the few old targets
// left cannot clear a suspicion.
func TestSuspicionDoesNotBlockTheLastStep(t *testing.T) {
	p := newPool(12, move("7", "8", 2*time.Hour))
	for p.state.Step < lastStep {
		p.step()
		if p.in.Now.Sub(start) > 2*time.Hour {
			t.Fatalf("step %d after 2 h", p.state.Step)
		}
	}
	p.in.Verdict.Suspect = true
	p.step()
	if p.serving("8") > 7 {
		t.Fatalf("%d targets at once", p.serving("8"))
	}
	p.run(time.Hour)
	if p.state.Phase != Done {
		t.Errorf("%s with %d targets", p.state.Phase, p.serving("8"))
	}
}
