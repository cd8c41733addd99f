package moves

import (
	"context"
	"fmt"
	"testing"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/moves/judge"
	"sardinefront.dev/moves/steer"
	"sardinefront.dev/platform"
	"sardinefront.dev/platform/memkv"
)

var start = time.Date(2027, 1, 5, 0, 0, 0, 0, time.UTC)

// world is a store, a weight store and targets under a virtual clock.
type world struct {
	*memkv.Store
	now     time.Time
	rules   []steer.Move
	targets []steer.Target
	orders  []LoadCommand
	// dropWrites makes writes without effect, loseAnswers hides their result;
	// both answer ErrNoAnswer.
	dropWrites, loseAnswers bool
	onLoad                  func()
}

func newWorld() *world {
	w := &world{now: start}
	w.Store = memkv.New(func() time.Time { return w.now })
	w.rules = []steer.Move{{Pool: "p", Model: "m", From: "7", To: "8", By: start.Add(time.Hour)}}
	for i := range 12 {
		w.targets = append(w.targets, steer.Target{Name: fmt.Sprintf("t%02d", i), Version: "7"})
	}
	return w
}

func (w *world) CompareAndSwap(ctx context.Context, key string, v []byte, prev int64, l platform.LeaseID) (int64, error) {
	if w.dropWrites {
		return 0, platform.ErrNoAnswer
	}
	rev, err := w.Store.CompareAndSwap(ctx, key, v, prev, l)
	if err == nil && w.loseAnswers {
		return 0, platform.ErrNoAnswer
	}
	return rev, err
}

func (w *world) Reserve(context.Context, string, string) (time.Duration, error) {
	return 30 * time.Second, nil
}

func (w *world) Load(_ context.Context, target string, o LoadCommand) error {
	w.orders = append(w.orders, o)
	for i := range w.targets {
		if w.targets[i].Name == target {
			w.targets[i].Version = o.Version
		}
	}
	if w.onLoad != nil {
		w.onLoad()
	}
	return nil
}

func (w *world) controller(host string, fenced bool) (*Controller, *Tracker) {
	t := NewTracker(host)
	return NewController(Config{Pool: "p", Model: "m", Host: host, KV: w, Weights: w, Loader: w, Tracker: t, TargetsFenced: fenced,
		Now: func() time.Time { return w.now }, Rules: func() []steer.Move { return w.rules },
		Targets: func() []steer.Target { return w.targets }}), t
}

func (w *world) tick(d time.Duration, cs ...*Controller) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(time.Second) {
		for _, c := range cs {
			c.Tick(context.Background())
		}
	}
}

// Guards against a write without an answer that is taken as failed although it
// took effect, or as done although it did not.
func TestWriteWithoutAnswerIsReadBack(t *testing.T) {
	w := newWorld()
	c, tr := w.controller("a", true)
	w.loseAnswers = true
	w.tick(3*time.Second, c)
	if s, ok := tr.State("p"); !ok || s.Phase != steer.Running || !c.HoldsLease() {
		t.Fatalf("lost answers: %+v", s)
	}
	w.loseAnswers, w.dropWrites = false, true
	w.tick(8*time.Minute, c)
	if s, _ := tr.State("p"); s.Loading.Target != "" || len(w.orders) != 0 {
		t.Fatalf("acted on a write without effect: %+v, %d orders", s.Loading, len(w.orders))
	}
	w.dropWrites = false
	w.tick(5*time.Second, c)
	if len(w.orders) == 0 {
		t.Error("no order after the store is back")
	}
}

// Guards against a paused controller that sends a command after its lease, and
// against a successor that commands targets without fencing while its
// predecessor still could.
func TestSuccessorWaitsForPausedPredecessor(t *testing.T) {
	w := newWorld()
	a, _ := w.controller("a", false)
	b, _ := w.controller("b", false)
	w.tick(5*time.Minute, a)
	sent := len(w.orders)
	if sent == 0 {
		t.Fatal("no order in 5 min")
	}
	// a pauses. b takes over when the lease has expired.
	w.tick(20*time.Second, b)
	if !b.HoldsLease() {
		t.Fatal("b did not take over")
	}
	if len(w.orders) != sent {
		t.Errorf("%d orders within the time of the predecessor's commands", len(w.orders)-sent)
	}
	a.command(context.Background()) // a continues where it paused
	a.Tick(context.Background())
	if len(w.orders) != sent || a.HoldsLease() {
		t.Error("a sent a command after its lease")
	}
	w.tick(15*time.Minute, b, a)
	if len(w.orders) == sent {
		t.Error("b never continues")
	}
	for i := 1; i < len(w.orders); i++ {
		if w.orders[i].FencingToken < w.orders[i-1].FencingToken {
			t.Errorf("fence %d after %d", w.orders[i].FencingToken, w.orders[i-1].FencingToken)
		}
	}
}

// Guards against a halt that a later state, digest or halt undoes, and against
// a halted version that still receives requests.
func TestHaltIsMonotone(t *testing.T) {
	w := newWorld()
	c, tr := w.controller("a", true)
	w.tick(2*time.Second, c)
	s, _ := tr.State("p")
	peer := NewTracker("b")
	s.Shares = [request.TierCount]float64{0.5, 0.5, 0.5}
	s.Seq++
	peer.ApplyState("p", s, w.now)
	if v := peer.TrafficSplit("p").PickVersion(request.Patient, 0.1); v != "8" {
		t.Fatalf("version %s", v)
	}
	h := Halt{MoveID: s.ID, Pool: "p", Version: "8", Reason: "failures", DetectedBy: "c", DetectedAt: w.now}
	if !peer.ApplyHalt(h) || peer.ApplyHalt(h) {
		t.Error("a halt is new once")
	}
	s.Seq++
	peer.ApplyState("p", s, w.now)
	if !peer.Halted("p", "8") || peer.Halted("p", "7") || peer.TrafficSplit("p").PickVersion(request.Patient, 0) != "7" {
		t.Error("the state undid the halt")
	}
	old := s
	old.Seq, old.Step = 1, 4
	if peer.ApplyState("p", old, w.now) {
		t.Error("an older state was taken")
	}
	tr.ApplyHalt(h)
	w.tick(2*time.Second, c)
	if s, _ := tr.State("p"); s.Phase != steer.RolledBack {
		t.Errorf("phase %s after a peer's halt", s.Phase)
	}
}

// Guards against evidence that does not reach a peer, and digests above their
// limit.
func TestPeerEstablishesFromDigests(t *testing.T) {
	w := newWorld()
	c, a := w.controller("a", true)
	w.tick(2*time.Second, c)
	s, _ := a.State("p")
	b := NewTracker("b")
	b.ApplyState("p", s, w.now)
	for i := range 1200 {
		o := Observation{MoveID: s.ID, Version: "7", Target: w.targets[4+i%8].Name, Route: "GET /x", Tier: request.Interactive,
			FirstToken: 200 * time.Millisecond, BetweenTokens: 15 * time.Millisecond}
		if i%3 == 0 {
			o.Version, o.Target, o.Result = "8", w.targets[i/3%4].Name, judge.Failed
		}
		a.Observe(o, "p", w.now.Add(time.Duration(i)*10*time.Millisecond))
	}
	w.now = w.now.Add(13 * time.Second)
	for _, limit := range []int{10, 2000} {
		d, err := a.Digest("p", w.now, limit)
		if err != nil || len(d) > limit {
			t.Fatalf("%d bytes, limit %d: %v", len(d), limit, err)
		}
		if len(d) == 0 {
			continue
		}
		if err := b.MergeDigest(d, w.now); err != nil {
			t.Fatal(err)
		}
	}
	if got := b.Evaluate(w.now); len(got) != 1 || !b.Halted("p", "8") {
		t.Errorf("halts %v", got)
	}
	if b.MergeDigest([]byte{0xff, 1, 2}, w.now) == nil {
		t.Error("malformed digest accepted")
	}
}
