package prefix

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var start = time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)

func nameHashes(n int) []uint64 {
	ids := make([]uint64, n)
	for i := range ids {
		ids[i] = HashName(fmt.Sprint("target-", i))
	}
	return ids
}

// Guards against a table that depends on the order in which targets are added and removed:
// hosts that saw a different order must agree on the preferred targets.
func TestAffinityDoesNotDependOnHistory(t *testing.T) {
	const seed = 7
	t.Logf("seed %d", seed)
	p := gopter.DefaultTestParametersWithSeed(seed)
	p.MinSuccessfulTests = 20
	ps := gopter.NewProperties(p)
	ps.Property("incremental equals complete", prop.ForAll(func(seed int64) bool {
		rnd := rand.New(rand.NewSource(seed))
		ids := nameHashes(12)
		h := NewAffinity(ids, nil)
		for range 6 {
			i := rnd.Intn(len(ids))
			if ids[i] == 0 {
				ids[i] = HashName(fmt.Sprint(rnd.Int63()))
			} else {
				ids[i] = 0
			}
			h = NewAffinity(ids, h)
		}
		full := NewAffinity(ids, nil)
		for s := range h.ranks {
			if h.ranks[s] != full.ranks[s] {
				return false
			}
		}
		return true
	}, gen.Int64()))
	ps.TestingRun(t)
}

// Guards against remapping the prefixes of other targets when one target leaves, and against an
// uneven distribution of slots.
func TestOneLeavingTargetMovesOnlyItsPrefixes(t *testing.T) {
	ids := nameHashes(100)
	before := NewAffinity(ids, nil)
	ids[17] = 0
	after := NewAffinity(ids, before)
	slotsByTarget := make([]int, 100)
	for s, r := range before.ranks {
		slotsByTarget[r[0]]++
		if r[0] != 17 && after.ranks[s][0] != r[0] {
			t.Fatalf("slot %d moved from %d to %d", s, r[0], after.ranks[s][0])
		}
		if r[0] == 17 && after.ranks[s][0] != r[1] {
			t.Fatalf("slot %d did not move to its second preferred target", s)
		}
	}
	for i, n := range slotsByTarget {
		if n < slotCount/100/2 || n > slotCount/100*2 {
			t.Errorf("target %d is the preferred target of %d of %d slots", i, n, slotCount)
		}
	}
	if after.HashesComputed > slotCount*100/20 {
		t.Errorf("one leaving target cost %d hashes of %d for the whole table", after.HashesComputed, before.HashesComputed)
	}
}

// Guards against a high probability for targets whose cache events were lost, and against
// holders that have evicted the prefix.
func TestCacheEventsAndEventLoss(t *testing.T) {
	h := NewHistory(1024)
	var out [MaxHolders]Holder
	h.RecordDispatch(5, 1, start)
	h.RecordCacheEvent(5, 2, true, start.Add(time.Second))
	h.RecordCacheEvent(5, 3, true, start.Add(time.Second))
	h.RecordCacheEvent(5, 3, false, start.Add(2*time.Second))
	h.RecordEventLoss(2, start.Add(3*time.Second))
	n, _ := h.Holders(5, start.Add(4*time.Second), &out)
	probability := map[int32]float64{}
	for _, x := range out[:n] {
		probability[x.Target] = x.Probability
	}
	if n != 2 || probability[1] < 0.8 || probability[2] > 0.5 {
		t.Errorf("holders %v", probability)
	}
	h.RemoveTarget(1)
	if n, _ := h.Holders(5, start.Add(4*time.Second), &out); n != 1 {
		t.Errorf("%d holders after removing one of two targets", n)
	}
}

// Guards against a history that grows without bound or evicts prefixes in use.
func TestHistoryIsBounded(t *testing.T) {
	h := NewHistory(1024)
	var out [MaxHolders]Holder
	for k := range uint64(20000) {
		now := start.Add(time.Duration(k) * time.Millisecond)
		h.RecordDispatch(k+1000, int(k%9), now)
		if k%20 == 0 {
			h.RecordDispatch(1, 4, now)
		}
	}
	if n, rate := h.Holders(1, start.Add(20*time.Second), &out); n != 1 || rate < 20 || rate > 80 {
		t.Errorf("a prefix used 50 times a second has %d holders and rate %.1f", n, rate)
	}
	if len(h.sets)*ways > 1024 {
		t.Errorf("%d entries", len(h.sets)*ways)
	}
}
