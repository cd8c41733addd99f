package slopes

import (
	"fmt"
	"math/rand/v2"

	"sardinefront.dev/journal/claim"
)

// trimSeconds is the time between two passes of a writer over its whole index,
// see journal/maintain.go.
const trimSeconds = 10

// measureIndex measures what a partition's writer holds for the requests that
// are on record.
func measureIndex(Options) ([]Cost, error) {
	memory := Cost{Name: "index-memory", Unit: "B of a partition's index without responses", Over: "requests on record",
		Target: partitionRecords, Budget: hostMemory, Source: "section 1.5"}
	sweep := Cost{Name: "index-sweep", Unit: "part of a core to look for segments that can go", Over: "requests on record",
		Target: partitionRecords, Budget: corePart, Source: "section 1.5", Clock: true}
	for _, n := range []int{1000, 10000, 50000, 100000} {
		var m *claim.Machine
		var err error
		memory.add(float64(n), held(func() *claim.Machine { m, err = index(n); return m }))
		if err != nil {
			return nil, err
		}
		seconds, _ := timed(3, func(int) { m.OpenBefore(0) })
		sweep.add(float64(n), seconds/trimSeconds)
	}
	return []Cost{memory, sweep}, nil
}

// index returns the states of n answered requests.
func index(n int) (*claim.Machine, error) {
	rnd := rand.New(rand.NewPCG(journalSeed, uint64(n)))
	m := claim.NewMachine(int64(retentionSeconds * 1000))
	for i := range n {
		k := key(rnd)
		owner := claim.Owner{Host: fmt.Sprintf("host-%d", i%hosts), Incarnation: 1}
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
