package reserve_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/reserve"
)

const (
	brokenEngines, brokenSlots = 4, 4
	brokenLength               = 60 * time.Second
	brokenStep                 = 5 * ms
	// brokenRate is the number of requests per second. Their mean time is 1.5 s, so that all engines
	// together serve 10.7 of them per second, and three engines 8.
	brokenRate      = 7
	minStreamTime   = 500 * ms
	maxStreamTime   = 2500 * ms
	crashPeriod     = 5 * time.Second
	crashDuration   = 3 * time.Second
	brokenSeeds     = 8
	callerEventGap  = 2 * time.Second // after which callers abandon a stream that has begun
	brokenQueueTime = 5 * time.Second // at the end, to serve those that wait
	// maxLostFraction bounds the broken streams that are lost, and maxRefusedFraction the requests
	// that are refused, where the engines that are left are nearly full.
	maxLostFraction    = 0.05
	maxRefusedFraction = 0.05
)

// brokenStreamSim is a virtual-time simulation of a host whose engines are all busy while one after
// the other crashes with its streams, which go on at the engines that are left.
type brokenStreamSim struct {
	pool *reserve.Pool
	rnd  *rand.Rand
	now  time.Time
	runs []*simRun
	// arrived, served and refused count requests before their stream begins; broken, resumed and
	// lost those whose stream broke off.
	arrived, served, refused, broken, resumed, lost int
	brokenIDs                                       map[string]bool
}

// simRun is a stream that runs at an engine.
type simRun struct {
	waiter *reserve.Waiter
	engine string
	endsAt time.Time
}

// listed returns the engines without the one that has crashed.
func (s *brokenStreamSim) listed() (list []reserve.Target, crashed string) {
	in := s.now.Sub(start)
	if in%crashPeriod < crashPeriod-crashDuration {
		return engines(brokenEngines, brokenSlots), ""
	}
	crashed = fmt.Sprintf("e%d", int(in/crashPeriod)%brokenEngines)
	return slices.DeleteFunc(engines(brokenEngines, brokenSlots), func(t reserve.Target) bool { return t.Name == crashed }), crashed
}

func (s *brokenStreamSim) run(seed uint64) {
	s.rnd, s.brokenIDs = rand.New(rand.NewPCG(seed, 0)), map[string]bool{}
	s.pool = reserve.New(reserve.Config{Reservations: true, Seed: seed})
	for s.now = start; s.now.Before(start.Add(brokenLength + brokenQueueTime)); s.now = s.now.Add(brokenStep) {
		list, crashed := s.listed()
		s.pool.SetTargets(list)
		s.endRuns(crashed)
		s.arrive()
		s.dispatch()
	}
}

// endRuns ends the streams that are complete, and breaks those at the crashed engine.
func (s *brokenStreamSim) endRuns(crashed string) {
	s.runs = slices.DeleteFunc(s.runs, func(r *simRun) bool {
		switch {
		case r.engine == crashed:
			s.broken++
			s.brokenIDs[r.waiter.Request.ID] = true
			s.pool.EndGrant(r.engine, reserve.BrokenResponse, reserve.Sample{}, s.now)
			r.waiter.Exclude(r.engine)
			r.waiter.ExtendWait(s.now, s.now.Add(callerEventGap))
			s.pool.Resubmit(r.waiter)
		case !r.endsAt.After(s.now):
			s.pool.EndGrant(r.engine, reserve.OK, reserve.Sample{}, s.now)
		default:
			return false
		}
		return true
	})
}

func (s *brokenStreamSim) arrive() {
	if s.now.Sub(start) >= brokenLength || s.rnd.Float64() >= brokenRate*brokenStep.Seconds() {
		return
	}
	s.arrived++
	w := waiter(fmt.Sprint(s.arrived), request.Tier(s.rnd.IntN(request.TierCount)), "o", s.now)
	w.FirstByteTimeout = callerEventGap
	if s.pool.Submit(w, s.now) != nil {
		s.refused++
	}
}

func (s *brokenStreamSim) dispatch() {
	grants, expired := s.pool.Dispatch(s.now)
	for _, x := range expired {
		if s.brokenIDs[x.Waiter.Request.ID] {
			s.lost++
		} else {
			s.refused++
		}
	}
	for _, g := range grants {
		if id := g.Waiter.Request.ID; s.brokenIDs[id] {
			s.resumed++
			delete(s.brokenIDs, id)
		} else {
			s.served++
		}
		s.pool.RecordReserved(g.Target)
		length := minStreamTime + time.Duration(s.rnd.Int64N(int64(maxStreamTime-minStreamTime)))
		s.runs = append(s.runs, &simRun{g.Waiter, g.Target, s.now.Add(length)})
	}
}

// Guards against a stream that broke off and is given up while all engines are busy, although one
// of them has a free slot before its caller would give up, and against refusals of new requests
// because of such a stream.
func TestBrokenStreamsWaitAsLongAsTheirCallers(t *testing.T) {
	var sum brokenStreamSim
	for seed := range uint64(brokenSeeds) {
		var s brokenStreamSim
		s.run(seed)
		sum.arrived, sum.served, sum.refused = sum.arrived+s.arrived, sum.served+s.served, sum.refused+s.refused
		sum.broken, sum.resumed, sum.lost = sum.broken+s.broken, sum.resumed+s.resumed, sum.lost+s.lost
	}
	t.Logf("%d arrived, %d served, %d refused; %d broken, %d resumed, %d lost", sum.arrived, sum.served, sum.refused, sum.broken, sum.resumed, sum.lost)
	if lost := float64(sum.lost) / float64(sum.broken); lost > maxLostFraction {
		t.Errorf("%.3f of the broken streams are lost, allowed %.3f", lost, maxLostFraction)
	}
	if refused := float64(sum.refused) / float64(sum.arrived); refused > maxRefusedFraction {
		t.Errorf("%.3f of the requests are refused, allowed %.3f", refused, maxRefusedFraction)
	}
}

// Guards against a request that is given up 0.7 s after its target failed, although half of its
// caller's time is left, and against one that waits until no target can respond in time.
func TestExtendedWaitFollowsTheCaller(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	w := waiter("a", request.Urgent, "o", start)
	w.PrefillTime = 100 * ms
	now := w.Request.Arrived.Add(w.FirstByteTimeout) // its own share of the time is used up
	w.ExtendWait(now, now.Add(5*time.Second))
	p.Resubmit(w)
	if _, expired := p.Dispatch(now.Add(4500 * ms)); len(expired) != 0 {
		t.Error("expired half a second before its caller gives up")
	}
	if _, expired := p.Dispatch(now.Add(4800 * ms)); len(expired) != 1 {
		t.Error("still waiting when no target can respond in time")
	}
}

// Guards against refusals of new requests because a request of their organisation waits for another
// target than the free one at which it has failed.
func TestRequestThatWaitsForAnotherTargetDelaysNoOther(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetTargets(engines(2, 1))
	for _, id := range []string{"a", "b"} {
		submit(t, p, waiter(id, request.Urgent, "o", start), start)
	}
	failed := grantsOnly(p.Dispatch(start))[0]
	p.EndGrant(failed.Target, reserve.ErrorResponse, reserve.Sample{}, start)
	failed.Waiter.Exclude(failed.Target)
	failed.Waiter.ExtendWait(start, failed.Waiter.Request.Deadline)
	p.Resubmit(failed.Waiter)
	now := start.Add(3 * time.Second)
	submit(t, p, waiter("new", request.Urgent, "o", now), now)
	expectIDs(t, dispatchedIDs(p, now), "new")
}
