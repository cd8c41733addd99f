package moves

import (
	"context"
	"fmt"
	"testing"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/moves/analysis"
	"sardinefront.dev/moves/control"
	"sardinefront.dev/platform"
	"sardinefront.dev/platform/memkv"
)

var start = time.Date(2027, 1, 5, 0, 0, 0, 0, time.UTC)

// testEnv holds a store, a weight store and targets with a virtual clock.
type testEnv struct {
	*memkv.Store
	now      time.Time
	rules    []control.Move
	targets  []control.Target
	commands []LoadCommand
	// With dropWrites, writes have no effect; with loseResponses, they do. Both
	// return platform.ErrOutcomeUnknown.
	dropWrites, loseResponses bool
	onLoad                    func()
}

func newTestEnv() *testEnv {
	env := &testEnv{now: start}
	env.Store = memkv.New(func() time.Time { return env.now })
	env.rules = []control.Move{{Pool: "p", Model: "m", From: "7", To: "8", By: start.Add(time.Hour)}}
	for i := range 12 {
		env.targets = append(env.targets, control.Target{Name: fmt.Sprintf("t%02d", i), Version: "7"})
	}
	return env
}

func (env *testEnv) CompareAndSwap(ctx context.Context, key string, v []byte, prev int64, l platform.LeaseID) (int64, error) {
	if env.dropWrites {
		return 0, platform.ErrOutcomeUnknown
	}
	rev, err := env.Store.CompareAndSwap(ctx, key, v, prev, l)
	if err == nil && env.loseResponses {
		return 0, platform.ErrOutcomeUnknown
	}
	return rev, err
}

func (env *testEnv) ReserveTransfer(context.Context, string, string) (time.Duration, error) {
	return 30 * time.Second, nil
}

func (env *testEnv) Load(_ context.Context, target string, command LoadCommand) error {
	env.commands = append(env.commands, command)
	for i := range env.targets {
		if env.targets[i].Name == target {
			env.targets[i].Version = command.Version
		}
	}
	if env.onLoad != nil {
		env.onLoad()
	}
	return nil
}

func (env *testEnv) controller(host string, fenced bool) (*Controller, *Tracker) {
	t := NewTracker(host)
	return NewController(Config{Pool: "p", Model: "m", Host: host, KV: env, Weights: env, Loader: env, Tracker: t, TargetsFenced: fenced,
		Now: func() time.Time { return env.now }, Rules: func() []control.Move { return env.rules },
		Targets: func() []control.Target { return env.targets }}), t
}

func (env *testEnv) tick(d time.Duration, cs ...*Controller) {
	for end := env.now.Add(d); env.now.Before(end); env.now = env.now.Add(time.Second) {
		for _, c := range cs {
			c.Tick(context.Background())
		}
	}
}

// Guards against a write without a response that is treated as failed although it
// took effect, or as successful although it did not.
func TestWriteWithoutResponseIsReadBack(t *testing.T) {
	env := newTestEnv()
	c, tr := env.controller("a", true)
	env.loseResponses = true
	env.tick(3*time.Second, c)
	if s, ok := tr.State("p"); !ok || s.Phase != control.Running || !c.HoldsLease() {
		t.Fatalf("with lost answers, no lease or no running move: %+v", s)
	}
	env.loseResponses, env.dropWrites = false, true
	env.tick(8*time.Minute, c)
	if s, _ := tr.State("p"); s.Loading.Target != "" || len(env.commands) != 0 {
		t.Fatalf("acted on a write without effect: pending load %+v, %d commands sent", s.Loading, len(env.commands))
	}
	env.dropWrites = false
	env.tick(5*time.Second, c)
	if len(env.commands) == 0 {
		t.Error("no command sent after the store has recovered")
	}
}

// Guards against a paused controller that sends a command after its lease has
// expired. Also guards against a successor that sends commands to targets without
// fencing while its predecessor could still send some.
func TestSuccessorWaitsForPausedPredecessor(t *testing.T) {
	env := newTestEnv()
	a, _ := env.controller("a", false)
	b, _ := env.controller("b", false)
	env.tick(5*time.Minute, a)
	sent := len(env.commands)
	if sent == 0 {
		t.Fatal("no command sent in 5 min")
	}
	// a pauses. b takes over when the lease has expired.
	env.tick(20*time.Second, b)
	if !b.HoldsLease() {
		t.Fatal("b did not take over")
	}
	if len(env.commands) != sent {
		t.Errorf("%d commands sent while the predecessor could still send some", len(env.commands)-sent)
	}
	a.sendLoad(context.Background()) // a resumes after its pause
	a.Tick(context.Background())
	if len(env.commands) != sent || a.HoldsLease() {
		t.Error("a sent a command after its lease expired, or still holds it")
	}
	env.tick(15*time.Minute, b, a)
	if len(env.commands) == sent {
		t.Error("b sent no command in 15 min")
	}
	for i := 1; i < len(env.commands); i++ {
		if env.commands[i].FencingToken < env.commands[i-1].FencingToken {
			t.Errorf("command with fencing token %d after %d", env.commands[i].FencingToken, env.commands[i-1].FencingToken)
		}
	}
}

// Guards against a halt that a later state clears, a repeated halt that is reported
// as new, a halted version that still receives requests, and a controller that does
// not roll back after a peer's halt. Also guards against an older state that
// replaces a newer one.
func TestHaltIsNeverCleared(t *testing.T) {
	env := newTestEnv()
	c, tr := env.controller("a", true)
	env.tick(2*time.Second, c)
	s, _ := tr.State("p")
	peer := NewTracker("b")
	s.Shares = [request.TierCount]float64{0.5, 0.5, 0.5}
	s.Seq++
	peer.ApplyState("p", s, env.now)
	if v := peer.TrafficSplit("p").PickVersion(request.Patient, 0.1); v != "8" {
		t.Fatalf("version %s at share 0.5 and u 0.1, want 8", v)
	}
	h := Halt{MoveID: s.ID, Pool: "p", Version: "8", Reason: "failures", DetectedBy: "c", DetectedAt: env.now}
	if !peer.ApplyHalt(h) || peer.ApplyHalt(h) {
		t.Error("ApplyHalt must report a halt as new exactly once")
	}
	s.Seq++
	peer.ApplyState("p", s, env.now)
	if !peer.Halted("p", "8") || peer.Halted("p", "7") || peer.TrafficSplit("p").PickVersion(request.Patient, 0) != "7" {
		t.Error("a later state cleared the halt")
	}
	old := s
	old.Seq, old.Step = 1, 4
	if peer.ApplyState("p", old, env.now) {
		t.Error("an older state was applied")
	}
	tr.ApplyHalt(h)
	env.tick(2*time.Second, c)
	if s, _ := tr.State("p"); s.Phase != control.RolledBack {
		t.Errorf("phase %s after a peer's halt, want taken back", s.Phase)
	}
}

// Guards against samples that do not reach a peer, and against digests above
// their size limit.
func TestPeerDetectsFaultFromDigests(t *testing.T) {
	env := newTestEnv()
	c, a := env.controller("a", true)
	env.tick(2*time.Second, c)
	s, _ := a.State("p")
	b := NewTracker("b")
	b.ApplyState("p", s, env.now)
	for i := range 1200 {
		o := Observation{MoveID: s.ID, Version: "7", Target: env.targets[4+i%8].Name, Route: "GET /x", Tier: request.Interactive,
			FirstToken: 200 * time.Millisecond, BetweenTokens: 15 * time.Millisecond}
		if i%3 == 0 {
			o.Version, o.Target, o.Result = "8", env.targets[i/3%4].Name, analysis.Failed
		}
		a.Observe(o, "p", env.now.Add(time.Duration(i)*10*time.Millisecond))
	}
	env.now = env.now.Add(13 * time.Second)
	for _, limit := range []int{10, 2000} {
		d, err := a.Digest("p", env.now, limit)
		if err != nil || len(d) > limit {
			t.Fatalf("%d bytes, limit %d: %v", len(d), limit, err)
		}
		if len(d) == 0 {
			continue
		}
		if err := b.MergeDigest(d, env.now); err != nil {
			t.Fatal(err)
		}
	}
	if got := b.Evaluate(env.now); len(got) != 1 || !b.Halted("p", "8") {
		t.Errorf("b must detect the fault and halt version 8; halts %v", got)
	}
	if b.MergeDigest([]byte{0xff, 1, 2}, env.now) == nil {
		t.Error("malformed digest accepted")
	}
}
