package flow

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"sardinefront.dev/core/request"
)

const seed = 20261204

var start = time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)

func properties(t *testing.T) *gopter.Properties {
	t.Logf("seed %d", seed)
	p := gopter.DefaultTestParametersWithSeed(seed)
	p.MinSuccessfulTests = 200
	return gopter.NewProperties(p)
}

func newQueue(weights map[string]float64) *Queue {
	return New(Config{MaxWaiting: [request.TierCount]int{50000, 50000, 50000}, Weights: weights})
}

func newItem(id int, organisation string, tier request.Tier, cost float64) *Item {
	return &Item{Cost: cost, Request: &request.Request{ID: fmt.Sprint(id), Organisation: organisation, Tier: tier, Arrived: start}}
}

// Guards against an organisation that gets more service than its weight because it sends more
// or larger requests.
func TestFairness(t *testing.T) {
	ps := properties(t)
	ps.Property("service follows weights within 10%", prop.ForAll(
		func(weight int, costA, costB int, burst int) bool {
			q := newQueue(map[string]float64{"a": float64(weight)})
			id := 0
			for range 2000 * burst {
				id++
				q.Push(newItem(id, "a", request.Interactive, float64(costA)), start)
			}
			for range 2000 {
				id++
				q.Push(newItem(id, "b", request.Interactive, float64(costB)), start)
			}
			served := map[string]float64{}
			for q.tiers[1].organisations["a"].pending > 0 && q.tiers[1].organisations["b"].pending > 0 {
				it, _ := q.Next(start)
				q.Dequeue(it)
				served[it.Request.Organisation] += it.Cost
			}
			ratio := served["a"] / served["b"] / float64(weight)
			return ratio > 0.9 && ratio < 1.1
		},
		gen.IntRange(1, 4), gen.IntRange(100, 900), gen.IntRange(100, 900), gen.IntRange(1, 3),
	))
	ps.TestingRun(t)
}

// Guards against a burst of one organisation that delays another one by the length of the burst.
func TestBurstDoesNotDelayOtherOrganisations(t *testing.T) {
	q := newQueue(nil)
	for id := range 10000 {
		q.Push(newItem(id, "burst", request.Urgent, 100), start)
	}
	for range 50 {
		it, _ := q.Next(start)
		q.Dequeue(it)
	}
	q.Push(newItem(20000, "quiet", request.Urgent, 100), start)
	for k := range 3 {
		it, _ := q.Next(start)
		q.Dequeue(it)
		if it.Request.Organisation == "quiet" {
			return
		}
		t.Logf("%d: %s", k, it.Request.Organisation)
	}
	t.Error("the quiet organisation waits behind the burst")
}

// Guards against items that are lost, returned twice or returned before those of a higher tier,
// and against state of organisations that outlives their items.
func TestRandomOperations(t *testing.T) {
	ps := properties(t)
	ps.Property("every item leaves once", prop.ForAll(randomOperations, gen.Int64()))
	ps.TestingRun(t)
}

func randomOperations(seed int64) bool {
	rnd := rand.New(rand.NewSource(seed))
	q := newQueue(nil)
	left := map[string]*Item{}
	now, id := start, 0
	leave := func(it *Item) bool {
		ok := left[it.Request.ID] == it
		delete(left, it.Request.ID)
		return ok
	}
	var last *Item
	for range 400 {
		now = now.Add(time.Duration(rnd.Intn(20)) * time.Millisecond)
		switch op := rnd.Intn(10); {
		case op < 5:
			id++
			it := newItem(id, fmt.Sprint(rnd.Intn(6)), request.Tier(rnd.Intn(3)), 1+rnd.Float64()*100)
			if rnd.Intn(2) == 0 {
				it.LatestStart = now.Add(time.Duration(rnd.Intn(2000)) * time.Millisecond)
			}
			q.Push(it, now)
			left[it.Request.ID] = it
		case op < 8:
			it, expired := q.Next(now)
			for _, x := range expired {
				if !leave(x.Item) || x.Item.LatestStart.After(now) {
					return false
				}
			}
			floor, _ := q.Floor(now)
			if it == nil {
				continue
			}
			for _, other := range left {
				if it.Request.Tier > floor || other.Request.Tier < it.Request.Tier {
					return false
				}
			}
			q.Dequeue(it)
			if !leave(it) {
				return false
			}
			last = it
		case op == 8:
			if it := q.Remove(fmt.Sprint(rnd.Intn(id + 1))); it != nil && !leave(it) {
				return false
			}
			if last != nil && rnd.Intn(2) == 0 {
				q.PushFront(last)
				left[last.Request.ID] = last
				last = nil
			}
		default:
			q.SetFloor(request.Tier(rnd.Intn(2)), now.Add(time.Duration(rnd.Intn(60))*time.Millisecond))
		}
		if q.Len(0)+q.Len(1)+q.Len(2) != len(left) {
			return false
		}
	}
	for id := range left {
		q.Remove(id)
	}
	return q.OrganisationCount() == 0
}

// Guards against state that grows with the number of organisations ever seen.
func TestStateIsBounded(t *testing.T) {
	q := newQueue(nil)
	q.Push(newItem(-1, "always", request.Urgent, 1e9), start)
	q.Push(newItem(-2, "always", request.Urgent, 1), start)
	most := 0
	for id := range 29000 {
		q.Push(newItem(id, fmt.Sprint("organisation-", id), request.Urgent, 50), start)
		it, _ := q.Next(start)
		q.Dequeue(it)
		most = max(most, q.OrganisationCount())
	}
	if most > maxIdleOrganisations+2 {
		t.Errorf("state for %d organisations while at most 2 wait", most)
	}
}

// Guards against a gap in which lower tiers start: the floor of a lower tier must still be
// active when that of a higher tier expires.
func TestLowerFloorOutlastsHigherFloor(t *testing.T) {
	q := newQueue(nil)
	q.SetFloor(request.Urgent, start.Add(time.Second))
	q.SetFloor(request.Interactive, start.Add(2*time.Second))
	for after, want := range map[time.Duration]request.Tier{0: request.Urgent, 1500: request.Interactive, 2500: request.Patient} {
		if got, _ := q.Floor(start.Add(after * time.Millisecond)); got != want {
			t.Errorf("after %d ms: floor %s, want %s", after, got, want)
		}
	}
}

// Guards against late items that make fresh ones late too, and against starving an organisation
// because all of its items are late.
func TestLateItemsWaitUnlessTheirOrganisationIsDue(t *testing.T) {
	q := New(Config{MaxWaiting: [request.TierCount]int{10, 10, 10}})
	now := time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)
	push := func(id, org string, fresh time.Duration) {
		r := &request.Request{ID: id, Organisation: org, Tier: request.Interactive}
		q.Push(&Item{Request: r, Cost: 0.6 * maxLateLagTokens, FreshUntil: now.Add(fresh)}, now)
	}
	push("late", "a", time.Second)
	for _, id := range []string{"1", "2", "3", "4"} {
		push(id, "b", time.Minute)
	}
	now = now.Add(2 * time.Second)
	var order []string
	for it, _ := q.Next(now); it != nil; it, _ = q.Next(now) {
		if it.Late(q) {
			t.Errorf("%s counts as late although its organisation is due", it.Request.ID)
		}
		order = append(order, it.Request.ID)
		q.Dequeue(it)
	}
	if got := strings.Join(order, " "); got != "1 2 late 3 4" {
		t.Errorf("served %s", got)
	}
}
