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
	// maxPoolDigestBytes bounds the digest of one pool. It equals the constant in
	// host/poolset.go.
	maxPoolDigestBytes = fleet.MaxDigest - 64
	// tickIntervalSeconds is the interval between ticks of a pool that has requests.
	tickIntervalSeconds = 0.05
	// maxWaiting exceeds every measured number of waiting requests.
	maxWaiting = 1 << 17
)

var schedStart = time.Unix(1_800_000_000, 0)

func newPool(n, digestBytes int) *pool.Pool {
	p := pool.New(pool.Config{
		Name: "lyn-llm", Kind: pool.Engine, HostCount: hostsPerZone, Seed: schedSeed,
		Limits: pool.Limits{
			MaxWaiting:     [request.TierCount]int{maxWaiting, maxWaiting, maxWaiting},
			MaxDigestBytes: digestBytes,
		},
	})
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
	newCost := func(name, unit string, targetScale float64) Cost {
		return Cost{Name: name, Unit: unit, SizeUnit: "targets", TargetScale: targetScale}
	}
	pick := newCost("pick-time", "s per choice of a target", targetsPerZone)
	pick.Budget, pick.BudgetSource, pick.MachineDependent = maxDecisionSeconds, "section 2.5", true
	allocations := newCost("pick-allocations", "heap allocations per choice of a target", 3000)
	// Section 2.5 allows no allocation. The mean counts those of the whole process,
	// so the budget is above 0.
	allocations.Budget, allocations.BudgetSource = 0.5, "section 2.5, no allocations"
	decision := newCost("decision-time", "s to submit, choose and finish", targetsPerZone)
	decision.MachineDependent = true
	decisionAllocations := newCost("decision-allocations",
		"heap allocations to submit, choose and finish", targetsPerZone)
	refresh := newCost("refresh-part", "part of a core to refresh the estimates", fleetTargets)
	refresh.Budget, refresh.BudgetSource, refresh.MachineDependent = maxCoreFraction, "section 1.5", true
	memory := newCost("target-memory", "B of a pool", fleetTargets)
	memory.Budget, memory.BudgetSource = maxHostMemoryBytes, "section 1.5"
	setTargets := newCost("set-targets-part", "part of a core to set the targets each second", fleetTargets)
	setTargets.Budget, setTargets.BudgetSource, setTargets.MachineDependent = maxCoreFraction, "section 1.5", true
	for _, n := range []int{30, 300, 3000} {
		x := float64(n)
		memory.addPoint(x, retainedBytes(func() *pool.Pool { return newPool(n, maxPoolDigestBytes) }))
		seconds, allocs := pickCost(n)
		pick.addPoint(x, seconds)
		allocations.addPoint(x, allocs)
		seconds, allocs = decisionCost(n)
		decision.addPoint(x, seconds)
		decisionAllocations.addPoint(x, allocs)
		refresh.addPoint(x, refreshCost(n)/tickIntervalSeconds)
		list, p := poolTargets(n), newPool(n, maxPoolDigestBytes)
		seconds, _ = timePerRun(10, func(int) { p.SetTargets(list, schedStart) })
		setTargets.addPoint(x, seconds)
	}
	costs := []Cost{pick, allocations, decision, decisionAllocations, refresh, setTargets, memory}
	costs = append(costs, waitingMemory()...)
	return append(costs, measureDigest()...), nil
}

func pickCost(n int) (seconds, allocations float64) {
	s, rnd := newPool(n, maxPoolDigestBytes).Snapshot(), rand.New(rand.NewPCG(schedSeed, 1))
	r := newRequest(1, "customer-1")
	return timePerRun(2000, func(int) { s.Pick(r, schedStart, rnd, nil) })
}

func decisionCost(n int) (seconds, allocations float64) {
	p := newPool(n, maxPoolDigestBytes)
	all := make([]*request.Request, 2000)
	for i := range all {
		all[i] = newRequest(i, fmt.Sprintf("customer-%d", i%100))
	}
	now := schedStart
	return timePerRun(len(all), func(i int) {
		now = now.Add(time.Millisecond)
		p.Submit(all[i], now)
		p.Done(all[i].ID, pool.OK, now)
	})
}

func refreshCost(n int) float64 {
	p := newPool(n, maxPoolDigestBytes)
	p.Submit(newRequest(0, "customer-1"), schedStart)
	now := schedStart
	seconds, _ := timePerRun(20, func(int) {
		now = now.Add(50 * time.Millisecond)
		p.Tick(now)
	})
	return seconds
}

// waitingMemory measures a pool that has no targets, so that all requests wait.
func waitingMemory() []Cost {
	// The sum of the default limits of the tiers, see pool.Limits.MaxWaiting.
	const fullQueue = 4096 + 4096 + 16384
	requests := Cost{
		Name: "waiting-memory", Unit: "B of waiting requests of one organisation, prompts excluded",
		SizeUnit: "requests", TargetScale: fullQueue,
		Budget: maxHostMemoryBytes, BudgetSource: "section 1.5",
	}
	perOrganisation := Cost{
		Name: "organisation-memory", Unit: "B for organisations with one waiting request each, beyond the requests",
		SizeUnit: "organisations", TargetScale: fleetOrganisations,
		Budget: maxHostMemoryBytes, BudgetSource: "section 1.5",
	}
	for _, n := range []int{100, 1000, 10000} {
		one := retainedBytes(func() *pool.Pool { return waitingPool(n, 1) })
		requests.addPoint(float64(n), one)
		perOrganisation.addPoint(float64(n), retainedBytes(func() *pool.Pool { return waitingPool(n, n) })-one)
	}
	return []Cost{requests, perOrganisation}
}

func waitingPool(n, organisations int) *pool.Pool {
	p := newPool(0, maxPoolDigestBytes)
	for i := range n {
		p.Submit(newRequest(i, fmt.Sprintf("customer-%05d", i%organisations)), schedStart)
	}
	return p
}

// measureDigest measures the digest of a pool with and without a limit on its
// size.
func measureDigest() []Cost {
	limited := Cost{
		Name: "digest-bytes", Unit: "B of a digest as sent",
		SizeUnit: "targets in use", TargetScale: targetsPerZone,
		Budget: fleet.MaxDigest, BudgetSource: "fleet.MaxDigest",
	}
	unlimited := Cost{
		Name: "digest-news", Unit: "B of a digest without a size limit",
		SizeUnit: "targets in use", TargetScale: targetsPerZone,
	}
	for _, n := range []int{10, 30, 100, 300} {
		limited.addPoint(float64(n), float64(len(busyPool(n, maxPoolDigestBytes).EncodeDigest(schedStart))))
		unlimited.addPoint(float64(n), float64(len(busyPool(n, 1<<20).EncodeDigest(schedStart))))
	}
	return []Cost{limited, unlimited}
}

// busyPool returns a pool of n targets. Each has reported its load and runs about
// two requests of this host.
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
