package slopes

import (
	"fmt"
	"math/rand/v2"

	"sardinefront.dev/journal/claim"
)

// trimIntervalSeconds is the time between two scans of the whole index by a
// partition's writer. It equals trimInterval in journal/maintain.go.
const trimIntervalSeconds = 10

// measureIndex measures the index that a partition's writer keeps for recorded
// requests.
func measureIndex(Options) ([]Cost, error) {
	memory := Cost{
		Name: "index-memory", Unit: "B of a partition's index without responses",
		SizeUnit: "recorded requests", TargetScale: recordsPerPartition,
		Budget: maxHostMemoryBytes, BudgetSource: "section 1.5",
	}
	scan := Cost{
		Name: "index-sweep", Unit: "part of a core to find segments to trim",
		SizeUnit: "recorded requests", TargetScale: recordsPerPartition,
		Budget: maxCoreFraction, BudgetSource: "section 1.5", MachineDependent: true,
	}
	for _, n := range []int{1000, 10000, 50000, 100000} {
		var m *claim.Machine
		var err error
		memory.addPoint(float64(n), retainedBytes(func() *claim.Machine { m, err = buildIndex(n); return m }))
		if err != nil {
			return nil, err
		}
		seconds, _ := timePerRun(3, func(int) { m.OpenBefore(0) })
		scan.addPoint(float64(n), seconds/trimIntervalSeconds)
	}
	return []Cost{memory, scan}, nil
}

// buildIndex returns a claim.Machine with n answered requests.
func buildIndex(n int) (*claim.Machine, error) {
	rnd := rand.New(rand.NewPCG(journalSeed, uint64(n)))
	m := claim.NewMachine(int64(retentionSeconds * 1000))
	for i := range n {
		k := randomKey(rnd)
		owner := claim.Owner{Host: fmt.Sprintf("host-%d", i%fleetHosts), Incarnation: 1}
		st, err := m.Apply(claim.Record{Kind: claim.Claim, Key: k, Target: fmt.Sprintf("feltdesk-%d", i%100),
			Attempt: claim.Attempt{Owner: owner, Number: uint64(i + 1)}}, 1, int64(2*i+1), 1)
		if err != nil {
			return nil, err
		}
		_, err = m.Apply(claim.Record{Kind: claim.Outcome, Key: k, Fence: st.Fence, Phase: claim.Answered,
			Response: claim.Response{Status: 200, ContentType: "application/json"}}, 1, int64(2*i+2), 1)
		if err != nil {
			return nil, err
		}
	}
	return m, nil
}
