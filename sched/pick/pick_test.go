package pick

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/prefix"
)

var now = time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)

func snapshot(n int) *Snapshot {
	ts := make([]Target, n)
	ids := make([]uint64, n)
	for i := range ts {
		name := fmt.Sprintf("engine-%04d", i)
		ts[i] = Target{Name: name, Local: true, Schedulable: true, Load: NewLoad(10, 0, 0)}
		ids[i] = prefix.HashName(name)
	}
	c := Config{Headroom: [request.TierCount]float64{0, 0.03, 0.1}, HostCount: 40}
	return NewSnapshot(c, ts, prefix.NewAffinity(ids, nil), prefix.NewHistory(1<<14))
}

// prompt returns a request with 32 prefix blocks, all recorded in the history.
func prompt(s *Snapshot, key uint64) *request.Request {
	r := &request.Request{ID: "r", Tier: request.Interactive, PromptTokens: 2048, MaxTokens: 256}
	for d := range uint64(32) {
		r.Prefix = append(r.Prefix, key*1000+d)
		s.history.RecordDispatch(key*1000+d, int(key)%len(s.targets), now)
	}
	return r
}

// Guards against heap allocations in Pick: at 3,100 picks per second, garbage collection
// would cost more than picking.
func TestPickDoesNotAllocate(t *testing.T) {
	s := snapshot(300)
	r := prompt(s, 7)
	rnd := rand.New(rand.NewPCG(1, 1))
	skip := func(i int) bool { return i == 3 }
	if n := testing.AllocsPerRun(1000, func() { s.Pick(r, now, rnd, skip) }); n != 0 {
		t.Fatalf("%v allocations per pick", n)
	}
}

// Guards against a Pick whose cost grows in proportion to the number of targets.
func TestPickScoresSublinearly(t *testing.T) {
	scored := map[int]int{}
	for _, n := range []int{30, 300, 3000} {
		s := snapshot(n)
		rnd := rand.New(rand.NewPCG(2, 2))
		for k := range uint64(500) {
			c, ok := s.Pick(prompt(s, k), now, rnd, nil)
			if !ok {
				t.Fatal("no target picked in an idle pool")
			}
			s.targets[c.Index].Load.PeerRequests.Set(rnd.Float64() * 9)
			scored[n] += c.ScoredCount
		}
	}
	t.Logf("targets scored in 500 picks: %v", scored)
	if scored[3000] > 2*scored[30] {
		t.Errorf("scored more than twice as many targets at 3,000 as at 30: %v", scored)
	}
}

// Guards against a full target that is picked for its cached prefix although others are
// idle, and against a cached prefix that is given up for a small difference in load.
func TestReuseAgainstLoad(t *testing.T) {
	s := snapshot(30)
	rnd := rand.New(rand.NewPCG(3, 3))
	r := prompt(s, 5)
	s.targets[5].Load.PeerRequests.Set(4)
	if c, _ := s.Pick(r, now, rnd, nil); c.Index != 5 {
		t.Errorf("picked target %d, not the half used one with the cached prefix", c.Index)
	}
	s.targets[5].Load.PeerRequests.Set(20)
	if c, ok := s.Pick(r, now, rnd, nil); !ok || c.Index == 5 {
		t.Errorf("picked target %d, ok %v, want another than the full one", c.Index, ok)
	}
}

// Guards against a Pick that finds no target while a single one has capacity: the pool
// would raise a floor and stop lower tiers without need.
func TestPickFindsTheLastFreeTarget(t *testing.T) {
	s := snapshot(300)
	for i := range s.targets {
		s.targets[i].Load.PeerRequests.Set(10)
	}
	s.targets[211].Load.PeerRequests.Set(2)
	r := &request.Request{Tier: request.Urgent, PromptTokens: 10, MaxTokens: 10}
	c, ok := s.Pick(r, now, rand.New(rand.NewPCG(4, 4)), nil)
	if !ok || c.Index != 211 {
		t.Fatalf("picked target %d, ok %v, want 211", c.Index, ok)
	}
}

func BenchmarkPick300(b *testing.B) {
	s := snapshot(300)
	r := prompt(s, 7)
	rnd := rand.New(rand.NewPCG(5, 5))
	b.ReportAllocs()
	for b.Loop() {
		s.Pick(r, now, rnd, nil)
	}
}

func BenchmarkPick300Full(b *testing.B) {
	s := snapshot(300)
	for i := range s.targets {
		s.targets[i].Load.PeerRequests.Set(20)
	}
	r := prompt(s, 7)
	rnd := rand.New(rand.NewPCG(6, 6))
	b.ReportAllocs()
	for b.Loop() {
		s.Pick(r, now, rnd, nil)
	}
}
