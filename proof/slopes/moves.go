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
	// moveEvidence bounds the evidence on one move in a message, see
	// host/moves.go.
	moveEvidence = 2048
	// loadTime is the time of one load of weights.
	loadTime = 30 * time.Second
	// moveSteps is the sum of the steps' shortest stays. A move with no more time
	// than that and its loads is not stretched.
	moveSteps = 21 * time.Minute
	// checkEvery is the number of seconds between two looks at the evidence.
	checkEvery = 5
	// moveRequests per second are the evidence pooled while a move is measured.
	moveRequests = 20
	// poolRequestsPerHost is a host's mean rate of requests to one model.
	poolRequestsPerHost = float64(requestsPerSecond) / hosts / models
	// poolTargetsAtScale is the number of targets of one model.
	poolTargetsAtScale = targets / models
)

// rollout runs one controller in virtual time over targets that obey.
type rollout struct {
	now     time.Time
	rnd     *rand.Rand
	kv      *counted
	tracker *moves.Tracker
	move    control.Move
	targets []control.Target
	pending []loading
	steer   *moves.Controller
	failed  error
}

type loading struct {
	target int
	ready  time.Time
}

func newRollout(n int) *rollout {
	r := &rollout{now: time.Unix(1_800_000_000, 0), rnd: rand.New(rand.NewPCG(schedSeed, uint64(n))), tracker: moves.NewTracker("host-0")}
	r.kv = newCounted(func() time.Time { return r.now }, 0)
	r.move = control.Move{Pool: movePool, Model: movePool, From: "7", To: "8", By: r.now.Add(moveSteps + time.Duration(n)*loadTime), AtMost: 0.05}
	for i := range n {
		r.targets = append(r.targets, control.Target{Name: fmt.Sprintf("lyn-llm-%03d", i), Zone: fmt.Sprintf("zone-%d", i%zones), Version: "7"})
	}
	r.steer = moves.NewController(moves.Config{
		Pool: movePool, Model: movePool, Host: "host-0/1", KV: r.kv, Weights: r, Loader: r, Tracker: r.tracker,
		Now:           func() time.Time { return r.now },
		Rules:         func() []control.Move { return []control.Move{r.move} },
		TargetsFenced: true, Targets: func() []control.Target { return r.targets },
		OnError: func(err error) { r.failed = err },
	})
	return r
}

// Reserve implements platform.Weights.
func (r *rollout) ReserveTransfer(context.Context, string, string) (time.Duration, error) {
	r.kv.note(func(c *calls) { c.Writes++ })
	return loadTime, nil
}

// Load implements moves.Loader.
func (r *rollout) Load(_ context.Context, name string, _ moves.LoadCommand) error {
	for i := range r.targets {
		if r.targets[i].Name == name {
			r.pending = append(r.pending, loading{i, r.now.Add(loadTime)})
		}
	}
	return nil
}

// second lets a second pass with the given number of answers, which
// are alike for both versions.
func (r *rollout) second(requests, routes int) {
	r.now = r.now.Add(time.Second)
	for i := range r.pending {
		if p := r.pending[i]; !p.ready.After(r.now) {
			r.targets[p.target].Version = "8"
		}
	}
	r.observe(requests, routes)
	if r.now.Unix()%checkEvery == 0 {
		r.tracker.Evaluate(r.now)
	}
	r.steer.Tick(context.Background())
}

func (r *rollout) observe(requests, routes int) {
	for i := range requests {
		t := &r.targets[r.rnd.IntN(len(r.targets))]
		r.tracker.Observe(moves.Observation{MoveID: r.move.ID(), Version: t.Version, Target: t.Name,
			Route: fmt.Sprintf("POST /lyn/route-%d/**", r.rnd.IntN(routes)), Tier: request.Tier(1 + i%2), Result: analysis.Answered,
			FirstToken:    time.Duration(200+17*(i%7)) * time.Millisecond,
			BetweenTokens: time.Duration(15+i%5) * time.Millisecond}, movePool, r.now)
	}
}

// finish runs the move to its end and returns how long it took.
func (r *rollout) finish() (time.Duration, error) {
	start := r.now
	limit := 2 * r.move.By.Sub(start)
	for r.now.Sub(start) < limit {
		r.second(moveRequests, 1)
		if s, ok := r.tracker.State(movePool); ok && s.Phase != control.Idle && s.Phase != control.Running {
			if s.Phase != control.Done {
				return 0, fmt.Errorf("a good move ended as %v: %s", s.Phase, s.Reason)
			}
			return r.now.Sub(start), r.failed
		}
	}
	return 0, fmt.Errorf("move of %d targets is not done after %v", len(r.targets), limit)
}

func measureMoves(Options) ([]Cost, error) {
	evidence, err := evidenceBytes()
	if err != nil {
		return nil, err
	}
	over := func(name, unit string) Cost {
		return Cost{Name: name, Unit: unit, Over: "targets of the pool", Target: poolTargetsAtScale}
	}
	writes := over("move-writes", "writes of a whole move, reservations and lease included")
	stepped := over("move-state-writes", "states written by a whole move")
	rate := over("move-calls", "store calls/s while moving")
	took := over("move-time", "s of the shortest move at 30 s a load, virtual")
	state := over("move-state", "B of the state")
	spread := over("move-spread", "B/s per host to fetch the states of 6 pools that move at once")
	spread.Budget, spread.Source = peerBytes, "section 1.5"
	for _, n := range []int{8, 16, 32} {
		r := newRollout(n)
		d, err := r.finish()
		if err != nil {
			return nil, err
		}
		s, _ := r.tracker.State(movePool)
		b, err := moves.EncodeState(s)
		if err != nil {
			return nil, err
		}
		x, t := float64(n), r.kv.totals()
		writes.add(x, float64(t.Writes))
		stepped.add(x, float64(s.Seq))
		rate.add(x, float64(t.Writes+t.Reads)/d.Seconds())
		took.add(x, d.Seconds())
		state.add(x, float64(len(b)))
		spread.add(x, models*float64(len(b))*float64(s.Seq)/d.Seconds())
	}
	return append(evidence, writes, stepped, rate, took, state, spread), nil
}

// evidenceBytes measures a host's evidence on a move at its last step, when
// both versions answer on all routes.
func evidenceBytes() ([]Cost, error) {
	const routesAtScale = 8 // section 1.5 states no number
	whole := Cost{Name: "evidence-bytes", Unit: "B of all open windows of a host's evidence", Over: "routes", Target: routesAtScale,
		Budget: moveEvidence, Source: "host/moves.go, evidenceBytes"}
	judge := Cost{Name: "judge-part", Unit: "part of a core to weigh the evidence of 6 moves twice a second", Over: "routes",
		Target: routesAtScale, Budget: corePart, Source: "section 1.5", Clock: true}
	for _, routes := range []int{1, 2, 4, 8} {
		r, all, err := evidence(routes)
		if err != nil {
			return nil, err
		}
		whole.add(float64(routes), float64(all))
		seconds, _ := timed(10, func(int) {
			r.now = r.now.Add(500 * time.Millisecond)
			r.tracker.Evaluate(r.now)
		})
		judge.add(float64(routes), 2*models*seconds)
	}
	return []Cost{whole, judge}, nil
}

// evidence returns the greatest bytes of a host's evidence in two minutes in
// which half of the targets serve the new version.
func evidence(routes int) (*rollout, int, error) {
	r := newRollout(poolTargetsAtScale)
	for range 10 {
		r.second(1, routes)
	}
	for i := range r.targets {
		if i%2 == 0 {
			r.targets[i].Version = "8"
		}
	}
	most, owed := 0, 0.0
	for range 120 {
		owed += poolRequestsPerHost
		r.second(int(owed), routes)
		owed -= float64(int(owed))
		b, err := r.tracker.Digest(movePool, r.now, 1<<20)
		if err != nil {
			return nil, 0, err
		}
		most = max(most, len(b))
	}
	return r, most, nil
}
