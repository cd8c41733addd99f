package reserve

import (
	"fmt"
	"testing"
	"time"

	"sardinefront.dev/core/request"
)

var chooseStart = time.Unix(1000, 0)

// unevenPool returns a pool whose targets have gaps of 10 ms to 40 ms between events, or such
// latencies, and report their load and work time.
func unevenPool(targets int, reservations bool) *Pool {
	p := New(Config{Reservations: reservations, Seed: 1})
	var list []Target
	for i := range targets {
		list = append(list, Target{Name: fmt.Sprintf("t%d", i), Local: true, Slots: 4})
	}
	p.SetTargets(list)
	for i, t := range p.order {
		t.gap = time.Duration(10+30*i/targets) * time.Millisecond
		t.latency, t.gapUpdatedAt = t.gap, chooseStart
		p.RecordLoad(t.Name, i%4, 0, 4, 1, chooseStart)
	}
	p.classifyTargets(chooseStart)
	return p
}

func promptOf(prefill time.Duration) *Waiter {
	return &Waiter{Request: &request.Request{ID: "r", Deadline: chooseStart.Add(time.Minute)}, PrefillTime: prefill, LatencyGoal: time.Second}
}

// Guards against a burst that many hosts send to the target whose report was the best one.
func TestBurstOnOneSetOfReportsIsSpread(t *testing.T) {
	for _, reservations := range []bool{true, false} {
		chosen := map[string]int{}
		for host := range 20 {
			p := New(Config{Reservations: reservations, Seed: uint64(host)})
			list := make([]Target, 10)
			for i := range list {
				list[i] = Target{Name: fmt.Sprintf("t%d", i), Local: true, Slots: 4}
			}
			p.SetTargets(list)
			for i := range list {
				p.RecordLoad(list[i].Name, min(i, 1), 0, 4, 1, chooseStart) // t0 is idle, the others nearly so
			}
			for i := range 5 {
				w := promptOf(10 * time.Millisecond)
				w.Request.ID = fmt.Sprint(i)
				w.FirstByteTimeout = time.Second
				if ref := p.Submit(w, chooseStart); ref != nil {
					t.Fatal(ref)
				}
			}
			grants, _ := p.Dispatch(chooseStart)
			for _, g := range grants {
				chosen[g.Target]++
			}
		}
		for name, n := range chosen {
			if n > 30 {
				t.Errorf("reservations %t: %s gets %d of 100 requests of 20 hosts", reservations, name, n)
			}
		}
	}
}

// Guards against one target's wild reports of its work time that exclude it or draw all requests.
func TestWildWorkTimeMovesATargetOnlyBetweenNeighbours(t *testing.T) {
	for _, value := range []float64{1e-6, 1e6} {
		p := unevenPool(2, true)
		p.order[0].gap, p.order[1].gap = 10*time.Millisecond, 20*time.Millisecond
		for i := range 50 {
			p.RecordLoad("t0", 0, 0, 4, value, chooseStart.Add(time.Duration(i)*time.Millisecond))
			p.RecordLoad("t1", 0, 0, 4, 1/value, chooseStart.Add(time.Duration(i)*time.Millisecond))
		}
		if got := p.chooseTarget(promptOf(0), 0, chooseStart.Add(50*time.Millisecond)); got != p.order[0] {
			t.Errorf("work time %v: chose %v, want the target of twice the speed", value, got)
		}
	}
}

// previousCost is the formula before load reports and prompts counted.
func previousCost(p *Pool, t *target, l Lane, now time.Time) float64 {
	c := p.expectedGap(t, l, now).Seconds() * typicalEventCount
	if now.Before(t.WarmUpUntil) {
		c *= warmUpCostFactor
	}
	c *= 1 + failureCostWeight*t.failureScore(now)
	if !t.Local {
		c += crossZonePenalty.Seconds()
	}
	return c
}

// BenchmarkCost reports the time per target, and its ratio to that of previousCost in the same run.
func BenchmarkCost(b *testing.B) {
	p, sum := unevenPool(143, true), 0.0
	b.ReportAllocs()
	var previous, current time.Duration
	for b.Loop() {
		began := time.Now()
		for _, t := range p.order {
			sum += previousCost(p, t, 0, chooseStart)
		}
		middle := time.Now()
		for _, t := range p.order {
			sum += p.cost(t, 0, chooseStart)
		}
		previous, current = previous+middle.Sub(began), current+time.Since(middle)
	}
	b.ReportMetric(float64(current.Nanoseconds())/float64(b.N*len(p.order)), "ns/target")
	b.ReportMetric(float64(current)/float64(previous), "x-previous")
	if sum == 0 {
		b.Fatal("no cost")
	}
}

// BenchmarkChooseTarget reports the time of a whole choice.
func BenchmarkChooseTarget(b *testing.B) {
	p, w := unevenPool(143, true), promptOf(100*time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		p.chooseTarget(w, 0, chooseStart)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(p.order)), "ns/target")
}
