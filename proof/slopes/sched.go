package slopes

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/fleet"
	"sardinefront.dev/sched/pool"
)

const (
	schedSeed = 3
	// poolDigestBytes is what a host allows one pool's digest, see
	// host/poolset.go.
	poolDigestBytes = fleet.MaxDigest - 64
	// refreshEvery is the interval in seconds of a pool with work.
	refreshEvery = 0.05
	// manyWaiting exceeds every number of waiting requests that is measured.
	manyWaiting = 1 << 17
)

var schedStart = time.Unix(1_800_000_000, 0)

func newPool(n, digestBytes int) *pool.Pool {
	p := pool.New(pool.Config{Name: "lyn-llm", Kind: pool.Engine, HostCount: hostsPerZone, Seed: schedSeed,
		Limits: pool.Limits{MaxWaiting: [request.TierCount]int{manyWaiting, manyWaiting, manyWaiting}, MaxDigestBytes: digestBytes}})
	p.SetTargets(poolTargets(n), schedStart)
	return p
}

func poolTargets(n int) []pool.Target {
	list := make([]pool.Target, n)
	for i := range list {
		list[i] = pool.Target{Name: fmt.Sprintf("lyn-llm-%d", i), Zone: "zone-0", Version: "7", Local: true}
	}
	return list
}

// newRequest returns a request with a prompt of 1,024 tokens in 16 blocks.
func newRequest(i int, organisation string) *request.Request {
	r := &request.Request{ID: fmt.Sprintf("request-%d", i), Organisation: organisation, Tier: request.Interactive,
		Pool: "lyn-llm", Route: "POST /lyn/**", Arrived: schedStart, PromptTokens: 1024, MaxTokens: 200}
	for b := range 16 {
		r.Prefix = append(r.Prefix, uint64(i%200)*1000+uint64(b)+1)
	}
	return r
}

func measureSched(Options) ([]Cost, error) {
	over := func(name, unit string, target float64) Cost {
		return Cost{Name: name, Unit: unit, Over: "targets", Target: target}
	}
	pick := over("pick-time", "s per choice of a target", targetsPerZone)
	pick.Budget, pick.Source, pick.Clock = decisionTime, "section 2.5", true
	allocations := over("pick-allocations", "heap allocations per choice of a target", 3000)
	allocations.Budget, allocations.Source = 0.5, "section 2.5, none"
	decision := over("decision-time", "s to submit, choose and finish", targetsPerZone)
	decision.Clock = true
	decisionAllocations := over("decision-allocations", "heap allocations to submit, choose and finish", targetsPerZone)
	refresh := over("refresh-part", "part of a core to refresh the estimates", targets)
	refresh.Budget, refresh.Source, refresh.Clock = corePart, "section 1.5", true
	memory := over("target-memory", "B of a pool", targets)
	memory.Budget, memory.Source = hostMemory, "section 1.5"
	listed := over("set-targets-part", "part of a core to take in the list each second", targets)
	listed.Budget, listed.Source, listed.Clock = corePart, "section 1.5", true
	for _, n := range []int{30, 300, 3000} {
		x := float64(n)
		memory.add(x, held(func() *pool.Pool { return newPool(n, poolDigestBytes) }))
		seconds, allocs := pickCost(n)
		pick.add(x, seconds)
		allocations.add(x, allocs)
		seconds, allocs = decisionCost(n)
		decision.add(x, seconds)
		decisionAllocations.add(x, allocs)
		refresh.add(x, refreshCost(n)/refreshEvery)
		list, p := poolTargets(n), newPool(n, poolDigestBytes)
		seconds, _ = timed(10, func(int) { p.SetTargets(list, schedStart) })
		listed.add(x, seconds)
	}
	costs := []Cost{pick, allocations, decision, decisionAllocations, refresh, listed, memory}
	costs = append(costs, waitingMemory()...)
	return append(costs, digestBytes()...), nil
}

func pickCost(n int) (seconds, allocations float64) {
	s, rnd := newPool(n, poolDigestBytes).Snapshot(), rand.New(rand.NewPCG(schedSeed, 1))
	r := newRequest(1, "customer-1")
	return timed(2000, func(int) { s.Pick(r, schedStart, rnd, nil) })
}

func decisionCost(n int) (seconds, allocations float64) {
	p := newPool(n, poolDigestBytes)
	all := make([]*request.Request, 2000)
	for i := range all {
		all[i] = newRequest(i, fmt.Sprintf("customer-%d", i%100))
	}
	now := schedStart
	return timed(len(all), func(i int) {
		now = now.Add(time.Millisecond)
		p.Submit(all[i], now)
		p.Done(all[i].ID, pool.OK, now)
	})
}

func refreshCost(n int) float64 {
	p := newPool(n, poolDigestBytes)
	p.Submit(newRequest(0, "customer-1"), schedStart)
	now := schedStart
	seconds, _ := timed(20, func(int) {
		now = now.Add(50 * time.Millisecond)
		p.Tick(now)
	})
	return seconds
}

// waitingMemory measures a pool that has no targets, so that all requests wait.
func waitingMemory() []Cost {
	// The default limits of one pool; see pool.Limits.Waiting.
	const fullQueue = 4096 + 4096 + 16384
	requests := Cost{Name: "waiting-memory", Unit: "B of waiting requests of one organisation, prompts excluded", Over: "requests",
		Target: fullQueue, Budget: hostMemory, Source: "section 1.5"}
	perOrganisation := Cost{Name: "organisation-memory", Unit: "B for organisations with one waiting request each, beyond the requests",
		Over: "organisations", Target: organisations, Budget: hostMemory, Source: "section 1.5"}
	for _, n := range []int{100, 1000, 10000} {
		one := held(func() *pool.Pool { return waitingPool(n, 1) })
		requests.add(float64(n), one)
		perOrganisation.add(float64(n), held(func() *pool.Pool { return waitingPool(n, n) })-one)
	}
	return []Cost{requests, perOrganisation}
}

func waitingPool(n, organisations int) *pool.Pool {
	p := newPool(0, poolDigestBytes)
	for i := range n {
		p.Submit(newRequest(i, fmt.Sprintf("customer-%05d", i%organisations)), schedStart)
	}
	return p
}

// digestBytes measures the digest of a pool of 300 targets.
func digestBytes() []Cost {
	sent := Cost{Name: "digest-bytes", Unit: "B of a digest as sent", Over: "targets in use", Target: targetsPerZone,
		Budget: fleet.MaxDigest, Source: "fleet.MaxDigest"}
	whole := Cost{Name: "digest-news", Unit: "B of all news of a pool", Over: "targets in use", Target: targetsPerZone}
	for _, n := range []int{10, 30, 100, 300} {
		sent.add(float64(n), float64(len(busyPool(n, poolDigestBytes).EncodeDigest(schedStart))))
		whole.add(float64(n), float64(len(busyPool(n, 1<<20).EncodeDigest(schedStart))))
	}
	return []Cost{sent, whole}
}

// busyPool returns a pool of n targets of which each has reported its load and
// runs about two of this host's requests.
func busyPool(n, digestBytes int) *pool.Pool {
	p := newPool(n, digestBytes)
	for i := range 2 * n {
		p.Submit(newRequest(i, "customer-1"), schedStart)
	}
	for i := range n {
		p.RecordLoadReport(fmt.Sprintf("lyn-llm-%d", i), pool.LoadReport{Running: 4, Queued: 1, Tokens: 5000, MeasuredAt: schedStart}, schedStart)
	}
	return p
}
