package reserve_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/reserve"
)

// pushBackSim is a virtual-time simulation of hosts that share engines, half of which push back
// for half of each period: they reject every reservation.
type pushBackSim struct {
	honoured    bool    // the hosts know of the back-offs
	urgentShare float64 // of all requests
	seed        uint64
	rnd         *rand.Rand
	now         time.Time
	pools       []*reserve.Pool
	used        map[string]int // slots in use by engine
	events      map[int][]func()
	// arrived and served count requests by tier, inTime those sent within half a second.
	arrived, served, inTime [request.TierCount]int
	// rejected counts the reservations that reached an engine while it pushed back.
	rejected int
	// perBackOff counts those that a host sent later than simTolerance after the engine had
	// first rejected one of that host, by host, engine and period.
	perBackOff map[string]int
	// maxPerBackOff is the largest of these.
	maxPerBackOff int
	firstAt       map[string]time.Time
}

const (
	simHosts, simEngines, simSlots = 4, 8, 4
	simStep                        = ms
	simSeeds                       = 2
	simLength                      = 43 * time.Second
	simArrivals                    = 40 * time.Second // the rest serves those that wait
	simPeriod                      = 10 * time.Second
	simBackOff                     = 5 * time.Second
	simServiceTime                 = 400 * ms
	simRoundTrip                   = 2 * ms
	simTolerance                   = 500 * ms
	// simRate is the number of requests per second: more than half of the engines serve, and
	// less than all of them do.
	simRate = 65
)

// backOffLeft returns for how long an engine still pushes back.
func (s *pushBackSim) backOffLeft(engine int) time.Duration {
	in := s.now.Sub(start) % simPeriod
	if engine%2 == 1 || in >= simBackOff {
		return 0
	}
	return simBackOff - in
}

func (s *pushBackSim) after(d time.Duration, f func()) {
	step := int(s.now.Add(d).Sub(start) / simStep)
	s.events[step] = append(s.events[step], f)
}

func (s *pushBackSim) run() {
	s.used, s.events = map[string]int{}, map[int][]func(){}
	s.perBackOff, s.firstAt = map[string]int{}, map[string]time.Time{}
	s.rnd = rand.New(rand.NewPCG(s.seed, 0))
	for i := range simHosts {
		p := reserve.New(reserve.Config{Reservations: true, Seed: s.seed + uint64(i)})
		p.SetTargets(engines(simEngines, simSlots))
		p.SetHostCount(simHosts)
		s.pools = append(s.pools, p)
	}
	for step := range int(simLength / simStep) {
		s.now = start.Add(time.Duration(step) * simStep)
		s.arrive(step)
		for _, f := range s.events[step] {
			f()
		}
		for host := range s.pools {
			s.dispatch(host)
		}
	}
}

// arrive submits the requests of one step, with as many interactive as patient ones.
func (s *pushBackSim) arrive(step int) {
	if s.now.Sub(start) >= simArrivals || s.rnd.Float64() >= simRate*simStep.Seconds() {
		return
	}
	tier := request.Urgent
	if s.rnd.Float64() >= s.urgentShare {
		tier = request.Interactive + request.Tier(s.rnd.IntN(2))
	}
	s.arrived[tier]++
	_ = s.pools[s.rnd.IntN(simHosts)].Submit(waiter(fmt.Sprint(step), tier, "o", s.now), s.now) // a refused one is not served
}

func (s *pushBackSim) dispatch(host int) {
	p := s.pools[host]
	grants, _ := p.Dispatch(s.now)
	for _, g := range grants {
		s.after(simRoundTrip, func() { s.reserve(host, g) })
	}
	if l := p.StarvedLane(s.now); l < reserve.LaneCount {
		for i, other := range s.pools {
			if i != host {
				other.SetFloor(fmt.Sprint(host), l, s.now.Add(300*ms))
			}
		}
	}
}

// reserve is the outcome of a reservation request at an engine.
func (s *pushBackSim) reserve(host int, g reserve.Grant) {
	p := s.pools[host]
	var engine int
	fmt.Sscanf(g.Target, "e%d", &engine)
	if left := s.backOffLeft(engine); left > 0 {
		s.recordRejection(host, engine)
		if s.honoured {
			p.RecordBackOff(g.Target, left, s.now)
		}
		p.RecordFull(g.Target, s.now)
		p.Resubmit(g.Waiter)
		return
	}
	if s.used[g.Target] == simSlots {
		p.RecordFull(g.Target, s.now)
		p.Resubmit(g.Waiter)
		return
	}
	s.used[g.Target]++
	p.RecordReserved(g.Target)
	tier := g.Waiter.Request.Tier
	s.served[tier]++
	if s.now.Before(g.Waiter.FreshUntil) {
		s.inTime[tier]++
	}
	s.after(simServiceTime, func() {
		s.used[g.Target]--
		p.EndGrant(g.Target, reserve.OK, reserve.Sample{Gap: 10 * ms}, s.now)
	})
}

func (s *pushBackSim) recordRejection(host, engine int) {
	s.rejected++
	key := fmt.Sprint(host, "/", engine, "/", s.now.Sub(start)/simPeriod)
	if s.firstAt[key].IsZero() {
		s.firstAt[key] = s.now
	}
	if s.now.Sub(s.firstAt[key]) > simTolerance {
		s.perBackOff[key]++
	}
}

// Guards against attempts at engines that push back, which take the time of requests and the
// place of attempts at the open ones, and against shedding urgent requests before others while
// half of the engines push back for 5 s in each 10 s.
func TestHalfOfTheEnginesPushBack(t *testing.T) {
	for _, urgentShare := range []float64{0.2, 0.55} {
		t.Run(fmt.Sprintf("%.0f%% urgent", 100*urgentShare), func(t *testing.T) {
			before, after := &pushBackSim{}, &pushBackSim{honoured: true}
			for seed := range uint64(simSeeds) {
				before.add(&pushBackSim{urgentShare: urgentShare, seed: seed})
				after.add(&pushBackSim{urgentShare: urgentShare, seed: seed, honoured: true})
			}
			before.print(t)
			after.print(t)
			expectPushBackHonoured(t, before, after)
		})
	}
}

// expectPushBackHonoured compares the simulations without and with knowledge of the back-offs.
func expectPushBackHonoured(t *testing.T, before, after *pushBackSim) {
	t.Helper()
	if u, i, p := after.share(request.Urgent), after.share(request.Interactive), after.share(request.Patient); u < i || i < p {
		t.Errorf("shares in time: urgent %.3f, interactive %.3f, patient %.3f", u, i, p)
	}
	if after.rejected >= before.rejected {
		t.Errorf("%d reservations rejected with the back-offs, %d without", after.rejected, before.rejected)
	}
	if after.maxPerBackOff > 2 {
		t.Errorf("%d reservations of a host reached an engine in its back-off", after.maxPerBackOff)
	}
}

// add runs a simulation and adds its counts.
func (s *pushBackSim) add(other *pushBackSim) {
	other.run()
	for tier := range s.arrived {
		s.arrived[tier] += other.arrived[tier]
		s.served[tier] += other.served[tier]
		s.inTime[tier] += other.inTime[tier]
	}
	s.rejected += other.rejected
	for _, n := range other.perBackOff {
		s.maxPerBackOff = max(s.maxPerBackOff, n)
	}
}

// print logs the result.
func (s *pushBackSim) print(t *testing.T) {
	t.Helper()
	for tier := request.Tier(0); tier < request.TierCount; tier++ {
		t.Logf("back-off honoured %t: %s: %d of %d served, %d in time (%.3f)", s.honoured, tier, s.served[tier], s.arrived[tier], s.inTime[tier], s.share(tier))
	}
	t.Logf("back-off honoured %t: %d reservations rejected by engines that push back, at most %d by one engine of one host in a back-off", s.honoured, s.rejected, s.maxPerBackOff)
}

// share returns the share of the tier's requests that were sent in time.
func (s *pushBackSim) share(tier request.Tier) float64 {
	return float64(s.inTime[tier]) / float64(s.arrived[tier])
}
