package slopes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/moves"
	"sardinefront.dev/moves/analysis"
	"sardinefront.dev/moves/control"
)

const (
	movePool = "lyn-llm"
	// maxSampleBytes bounds the samples of one move in a message between hosts. It
	// equals the constant in host/moves.go.
	maxSampleBytes = 2048
	// weightLoadTime is the time to load a model version's weights on a target.
	weightLoadTime = 30 * time.Second
	// minStepsTime is the sum of the minimum durations of control.Steps. If the
	// deadline leaves only this time and the time of the loads, the controller doesn't
	// stretch the steps.
	minStepsTime = 21 * time.Minute
	// evaluateIntervalSeconds is the time between two evaluations of the samples.
	evaluateIntervalSeconds = 5
	// moveRequestsPerSecond is the rate of samples, pooled from all hosts, while a
	// move is measured.
	moveRequestsPerSecond = 20
	// modelRequestsPerHost is the mean rate per second of a host's requests to one
	// model at the target scale.
	modelRequestsPerHost = float64(fleetRequestsPerSecond) / fleetHosts / fleetModels
	// targetsPerModel is the number of targets of one model at the target scale.
	targetsPerModel = fleetTargets / fleetModels
)

// rollout simulates one move in virtual time, with one controller and with targets
// that execute every load command.
type rollout struct {
	now          time.Time
	rnd          *rand.Rand
	kv           *countingStore
	tracker      *moves.Tracker
	move         control.Move
	targets      []control.Target
	pendingLoads []pendingLoad
	controller   *moves.Controller
	err          error
}

type pendingLoad struct {
	target  int
	readyAt time.Time
}

func newRollout(n int) *rollout {
	r := &rollout{now: time.Unix(1_800_000_000, 0), rnd: rand.New(rand.NewPCG(schedSeed, uint64(n))), tracker: moves.NewTracker("host-0")}
	r.kv = newCountingStore(func() time.Time { return r.now }, 0)
	r.move = control.Move{
		Pool: movePool, Model: movePool, From: "7", To: "8",
		By: r.now.Add(minStepsTime + time.Duration(n)*weightLoadTime), AtMost: 0.05,
	}
	for i := range n {
		r.targets = append(r.targets, control.Target{
			Name: fmt.Sprintf("lyn-llm-%03d", i), Zone: fmt.Sprintf("zone-%d", i%fleetZones), Version: "7",
		})
	}
	r.controller = moves.NewController(moves.Config{
		Pool: movePool, Model: movePool, Host: "host-0/1", KV: r.kv, Weights: r, Loader: r, Tracker: r.tracker,
		Now:           func() time.Time { return r.now },
		Rules:         func() []control.Move { return []control.Move{r.move} },
		TargetsFenced: true, Targets: func() []control.Target { return r.targets },
		OnError: func(err error) { r.err = err },
	})
	return r
}

// ReserveTransfer implements platform.WeightStore.
func (r *rollout) ReserveTransfer(context.Context, string, string) (time.Duration, error) {
	r.kv.count(func(c *storeCalls) { c.Writes++ })
	return weightLoadTime, nil
}

// Load implements moves.Loader.
func (r *rollout) Load(_ context.Context, name string, _ moves.LoadCommand) error {
	for i := range r.targets {
		if r.targets[i].Name == name {
			r.pendingLoads = append(r.pendingLoads, pendingLoad{i, r.now.Add(weightLoadTime)})
		}
	}
	return nil
}

// advanceSecond advances the time by one second, in which the given number of
// requests is answered. Both versions have the same latencies.
func (r *rollout) advanceSecond(requests, routes int) {
	r.now = r.now.Add(time.Second)
	for i := range r.pendingLoads {
		if p := r.pendingLoads[i]; !p.readyAt.After(r.now) {
			r.targets[p.target].Version = "8"
		}
	}
	r.observe(requests, routes)
	if r.now.Unix()%evaluateIntervalSeconds == 0 {
		r.tracker.Evaluate(r.now)
	}
	r.controller.Tick(context.Background())
}

// observe records the given number of answered requests, spread over the targets
// and routes.
func (r *rollout) observe(requests, routes int) {
	for i := range requests {
		t := &r.targets[r.rnd.IntN(len(r.targets))]
		r.tracker.Observe(moves.Observation{MoveID: r.move.ID(), Version: t.Version, Target: t.Name,
			Route: fmt.Sprintf("POST /lyn/route-%d/**", r.rnd.IntN(routes)), Tier: request.Tier(1 + i%2), Result: analysis.Answered,
			FirstToken:    time.Duration(200+17*(i%7)) * time.Millisecond,
			BetweenTokens: time.Duration(15+i%5) * time.Millisecond}, movePool, r.now)
	}
}

// runToEnd runs the move to its end and returns its duration.
func (r *rollout) runToEnd() (time.Duration, error) {
	start := r.now
	limit := 2 * r.move.By.Sub(start)
	for r.now.Sub(start) < limit {
		r.advanceSecond(moveRequestsPerSecond, 1)
		if s, ok := r.tracker.State(movePool); ok && s.Phase != control.Idle && s.Phase != control.Running {
			if s.Phase != control.Done {
				return 0, fmt.Errorf("move of %d targets to a good version ended as %v: %s",
					len(r.targets), s.Phase, s.Reason)
			}
			return r.now.Sub(start), r.err
		}
	}
	return 0, fmt.Errorf("move of %d targets is not done after %v", len(r.targets), limit)
}

func measureMoves(Options) ([]Cost, error) {
	costs, err := measureSamples()
	if err != nil {
		return nil, err
	}
	newCost := func(name, unit string) Cost {
		return Cost{
			Name: name, Unit: unit,
			SizeUnit: "targets of the pool", TargetScale: targetsPerModel,
		}
	}
	writes := newCost("move-writes", "writes of a whole move, reservations and lease included")
	stateWrites := newCost("move-state-writes", "states written by a whole move")
	callRate := newCost("move-calls", "store calls/s while moving")
	duration := newCost("move-time", "s of the shortest move at 30 s a load, virtual")
	state := newCost("move-state", "B of the state")
	stateTraffic := newCost("move-spread", "B/s per host to fetch the states of 6 concurrent moves")
	stateTraffic.Budget, stateTraffic.BudgetSource = maxPeerBytesPerSecond, "section 1.5"
	for _, n := range []int{8, 16, 32} {
		r := newRollout(n)
		d, err := r.runToEnd()
		if err != nil {
			return nil, err
		}
		s, _ := r.tracker.State(movePool)
		b, err := moves.EncodeState(s)
		if err != nil {
			return nil, err
		}
		x, t := float64(n), r.kv.totals()
		writes.addPoint(x, float64(t.Writes))
		stateWrites.addPoint(x, float64(s.Seq))
		callRate.addPoint(x, float64(t.Writes+t.Reads)/d.Seconds())
		duration.addPoint(x, d.Seconds())
		state.addPoint(x, float64(len(b)))
		stateTraffic.addPoint(x, fleetModels*float64(len(b))*float64(s.Seq)/d.Seconds())
	}
	return append(costs, writes, stateWrites, callRate, duration, state, stateTraffic), nil
}

// measureSamples measures the samples of a move on one host while both versions
// answer requests on all routes.
func measureSamples() ([]Cost, error) {
	const routesAtTargetScale = 8 // section 1.5 of docs/design.md states no number
	digestSize := Cost{
		Name: "evidence-bytes", Unit: "B of the samples in all open windows of a host",
		SizeUnit: "routes", TargetScale: routesAtTargetScale,
		Budget: maxSampleBytes, BudgetSource: "host/moves.go, maxSampleBytes",
	}
	evaluation := Cost{
		Name: "judge-part", Unit: "part of a core to evaluate the samples of 6 moves twice a second",
		SizeUnit: "routes", TargetScale: routesAtTargetScale,
		Budget: maxCoreFraction, BudgetSource: "section 1.5", MachineDependent: true,
	}
	for _, routes := range []int{1, 2, 4, 8} {
		r, size, err := largestSampleDigest(routes)
		if err != nil {
			return nil, err
		}
		digestSize.addPoint(float64(routes), float64(size))
		seconds, _ := timePerRun(10, func(int) {
			r.now = r.now.Add(500 * time.Millisecond)
			r.tracker.Evaluate(r.now)
		})
		evaluation.addPoint(float64(routes), 2*fleetModels*seconds)
	}
	return []Cost{digestSize, evaluation}, nil
}

// largestSampleDigest runs a move for two minutes in which half of the targets serve
// the new version. It returns the rollout and the size in bytes of the largest
// digest of a host's samples.
func largestSampleDigest(routes int) (*rollout, int, error) {
	r := newRollout(targetsPerModel)
	for range 10 {
		r.advanceSecond(1, routes)
	}
	for i := range r.targets {
		if i%2 == 0 {
			r.targets[i].Version = "8"
		}
	}
	largest, due := 0, 0.0
	for range 120 {
		due += modelRequestsPerHost
		r.advanceSecond(int(due), routes)
		due -= float64(int(due))
		b, err := r.tracker.Digest(movePool, r.now, 1<<20)
		if err != nil {
			return nil, 0, err
		}
		largest = max(largest, len(b))
	}
	return r, largest, nil
}
