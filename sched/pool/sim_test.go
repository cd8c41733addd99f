package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
)

const (
	simStep  = 10 * time.Millisecond
	simDelay = 5 * time.Millisecond // one way, between hosts and to targets
)

// simZone is a virtual-time model of hosts that share engines with continuous batching.
// Engines compute prompts one after the other and run up to slots streams at once; the time
// between tokens grows with the number of streams.
type simZone struct {
	now                           time.Time
	rnd                           *rand.Rand
	hosts                         []*Pool
	engines                       []*simEngine
	runs                          map[string]*simRun
	events                        []simEvent // in no particular order
	digests                       int        // digest bytes sent
	maxTokens, floorsSent, probes int

	completed, inTime, refused [request.TierCount]int
	paused, inversions         int
	rejected                   int // requests that reached an engine in its back-off
	prefillTokens              int // prompt tokens computed
	dispatchesByEngine         map[string]int
	tokensByOrganisation       map[string]float64
	floorSince                 [request.TierCount]time.Time
	floorUntil                 [request.TierCount]time.Time
	lastStart                  [request.TierCount]time.Time
	dispatches                 map[string]int // dispatches by request ID, without resumptions
	firstTokenTimes            []time.Duration
	onDispatch                 func(a Action)
}

type simEvent struct {
	at time.Time
	do func()
}

type simEngine struct {
	name  string
	slots int
	// The time between tokens is baseSeconds + perStreamSeconds*streams.
	baseSeconds, perStreamSeconds float64
	slowdown                      float64
	queue                         []*simRun // in arrival order; the first slots entries run
	cache                         map[uint64]bool
	cacheOrder                    []uint64
	// pushBackUntil is the end of the back-off that the engine asks for.
	pushBackUntil time.Time
}

type simRun struct {
	host          int
	req           *request.Request
	prefillLeft   float64 // prompt tokens left
	generated     float64
	offset        int
	length        int
	firstByteSent bool
	stopCount     int // a dispatch does not arrive if a pause or cancel follows it
}

func newZone(seed uint64, hosts, engines int, c Config) *simZone {
	z := &simZone{
		maxTokens: 600,
		now:       time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC), rnd: rand.New(rand.NewPCG(seed, 0)),
		runs: map[string]*simRun{}, dispatchesByEngine: map[string]int{}, tokensByOrganisation: map[string]float64{}, dispatches: map[string]int{},
	}
	var ts []Target
	for i := range engines {
		e := &simEngine{name: fmt.Sprintf("e%03d", i), slots: 16, baseSeconds: 0.012, perStreamSeconds: 0.001, slowdown: 1, cache: map[uint64]bool{}}
		z.engines = append(z.engines, e)
		ts = append(ts, Target{Name: e.name, Version: "1", Local: true})
	}
	for h := range hosts {
		c.HostIndex, c.HostCount, c.Seed = h, hosts, seed
		p := New(c)
		p.SetTargets(ts, z.now)
		z.hosts = append(z.hosts, p)
	}
	return z
}

// afterDelay schedules do after one network delay.
func (z *simZone) afterDelay(do func()) {
	z.events = append(z.events, simEvent{z.now.Add(simDelay), do})
}

func (z *simZone) submit(host int, r *request.Request) {
	z.perform(host, z.hosts[host].Submit(r, z.now))
}

func (z *simZone) perform(host int, actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case Dispatch:
			z.dispatch(host, a)
		case Refuse:
			z.refuse(a)
		case Pause, Cancel:
			z.stop(a)
		case RaiseFloor:
			z.sendFloor(host, a)
		case Probe:
			z.probes++
			z.afterDelay(func() { z.sendReport(host, a.Target) })
		}
	}
}

func (z *simZone) dispatch(host int, a Action) {
	r := a.Request
	z.lastStart[r.Tier] = z.now
	z.dispatchesByEngine[a.Target]++
	z.tokensByOrganisation[r.Organisation] += float64(r.EstimatedTokens())
	if z.onDispatch != nil {
		z.onDispatch(a)
	}
	run := z.runs[r.ID]
	if !a.Resume {
		z.dispatches[r.ID]++
		run = &simRun{req: r, length: max(1, r.MaxTokens/2)}
	}
	run.host, run.firstByteSent = host, false
	run.prefillLeft = float64(r.PromptTokens + a.Offset)
	run.generated = float64(a.Offset)
	z.runs[r.ID] = run
	stops := run.stopCount
	z.afterDelay(func() {
		if run.stopCount != stops {
			return
		}
		e := z.engine(a.Target)
		if left := e.pushBackUntil.Sub(z.now); left > 0 {
			z.reject(host, a, left)
			return
		}
		e.lookup(run, z)
		e.queue = append(e.queue, run)
	})
}

// reject turns a request away that reached an engine in its back-off.
func (z *simZone) reject(host int, a Action, backOff time.Duration) {
	z.rejected++
	if !a.Resume {
		z.dispatches[a.Request.ID]--
	}
	z.afterDelay(func() {
		p := z.hosts[host]
		z.perform(host, p.RecordNotice(a.Target, Notice{SentAt: z.now, BackOff: backOff}, z.now))
		z.perform(host, p.Done(a.Request.ID, Declined, z.now))
	})
}

func (z *simZone) engine(name string) *simEngine {
	for _, e := range z.engines {
		if e.name == name {
			return e
		}
	}
	panic(name)
}

// lookup subtracts the cached prefix from the prompt and stores its blocks in the cache.
func (e *simEngine) lookup(run *simRun, z *simZone) {
	p := run.req.Prefix
	for d := len(p); d > 0; d-- {
		if e.cache[p[d-1]] {
			run.prefillLeft -= float64(run.req.PromptTokens) * float64(d) / float64(len(p))
			break
		}
	}
	for _, k := range p {
		if !e.cache[k] {
			e.cache[k] = true
			e.cacheOrder = append(e.cacheOrder, k)
		}
	}
	for len(e.cacheOrder) > 600 {
		delete(e.cache, e.cacheOrder[0])
		e.cacheOrder = e.cacheOrder[1:]
	}
	run.prefillLeft = max(1, run.prefillLeft)
	z.prefillTokens += int(run.prefillLeft)
}

// refuse counts refusals, and those of a tier while requests of lower tiers were started
// after the floor that should have stopped them.
func (z *simZone) refuse(a Action) {
	t := a.Request.Tier
	z.refused[t]++
	if a.Refusal.RunState != refusal.NotRun || t == request.Patient {
		return
	}
	raisedAt := z.now
	for f := request.Urgent; f <= t; f++ {
		if z.floorUntil[f].After(z.now) && z.floorSince[f].Before(raisedAt) {
			raisedAt = z.floorSince[f]
		}
	}
	for lower := t + 1; lower < request.TierCount; lower++ {
		if z.lastStart[lower].After(raisedAt.Add(2 * simStep)) {
			z.inversions++
		}
	}
}

func (z *simZone) stop(a Action) {
	if a.Kind == Pause {
		z.paused++
	}
	run := z.runs[a.Request.ID]
	if run != nil {
		run.stopCount++
	}
	e := z.engine(a.Target)
	for i, w := range e.queue {
		if w == run {
			e.queue = append(e.queue[:i:i], e.queue[i+1:]...)
			return
		}
	}
}

func (z *simZone) sendFloor(host int, a Action) {
	if !z.floorUntil[a.Tier].After(z.now) {
		z.floorSince[a.Tier] = z.now
	}
	z.floorUntil[a.Tier] = a.Until
	for h := range z.hosts {
		if h != host {
			z.floorsSent++
			z.afterDelay(func() { z.perform(h, z.hosts[h].ApplyPeerFloor(a.Tier, a.Until, "peer", z.now)) })
		}
	}
}

func (z *simZone) sendReport(host int, name string) {
	e := z.engine(name)
	r := LoadReport{Running: min(len(e.queue), e.slots), Queued: max(0, len(e.queue)-e.slots), MeasuredAt: z.now}
	z.afterDelay(func() { z.hosts[host].RecordLoadReport(name, r, z.now) })
}

// step advances the model by 10 ms.
func (z *simZone) step() {
	z.now = z.now.Add(simStep)
	due := z.events
	z.events = nil
	for _, ev := range due {
		if ev.at.After(z.now) {
			z.events = append(z.events, ev)
			continue
		}
		ev.do()
	}
	for _, e := range z.engines {
		z.run(e)
	}
	tick := z.now.UnixMilli()
	for h, p := range z.hosts {
		if (tick/10+int64(h))%5 == 0 {
			z.perform(h, p.Tick(z.now))
		}
		if (tick/10+int64(h)*7)%100 == 0 && len(z.hosts) > 1 {
			z.gossip(h)
		}
	}
}

// gossip exchanges digests with a random peer, like the probe and acknowledgement of the
// membership protocol.
func (z *simZone) gossip(h int) {
	peer := (h + 1 + z.rnd.IntN(len(z.hosts)-1)) % len(z.hosts)
	request, reply := z.hosts[h].EncodeDigest(z.now), z.hosts[peer].EncodeDigest(z.now)
	z.digests += len(request) + len(reply)
	z.hosts[peer].ApplyPeerDigest(fmt.Sprint(h), request, z.now)
	z.hosts[h].ApplyPeerDigest(fmt.Sprint(peer), reply, z.now)
}

// run advances one engine by one step: it computes up to 8,000 prompt tokens per second,
// and output tokens for every stream whose prompt is complete.
func (z *simZone) run(e *simEngine) {
	budget := 8000 * simStep.Seconds() / e.slowdown
	n := min(len(e.queue), e.slots)
	between := (e.baseSeconds + e.perStreamSeconds*float64(n)) * e.slowdown
	var ended []*simRun
	for _, w := range e.queue[:n] {
		if w.prefillLeft > 0 {
			used := min(budget, w.prefillLeft)
			w.prefillLeft -= used
			budget -= used
			continue
		}
		w.generated += simStep.Seconds() / between
		z.deliver(w)
		if int(w.generated) >= w.length {
			ended = append(ended, w)
		}
	}
	for _, w := range ended {
		z.finish(e, w)
	}
}

func (z *simZone) deliver(w *simRun) {
	p := z.hosts[w.host]
	if !w.firstByteSent {
		w.firstByteSent = true
		p.RecordFirstByte(w.req.ID, z.now)
		if w.req.Tier != request.Patient {
			z.firstTokenTimes = append(z.firstTokenTimes, z.now.Sub(w.req.Arrived))
		}
	}
	if int(w.generated) > w.offset {
		w.offset = int(w.generated)
		p.RecordProgress(w.req.ID, w.offset, z.now)
	}
}

func (z *simZone) finish(e *simEngine, w *simRun) {
	for i, o := range e.queue {
		if o == w {
			e.queue = append(e.queue[:i:i], e.queue[i+1:]...)
			break
		}
	}
	t := w.req.Tier
	z.completed[t]++
	if !z.now.After(w.req.Deadline) {
		z.inTime[t]++
	}
	delete(z.runs, w.req.ID)
	z.perform(w.host, z.hosts[w.host].Done(w.req.ID, OK, z.now))
}

// offer submits the requests of one step, at random hosts and at the given mean rate.
func (z *simZone) offer(tier request.Tier, perSecond float64, deadline time.Duration, organisation string) {
	for x := perSecond * simStep.Seconds(); x > 0; x-- {
		if x < 1 && z.rnd.Float64() > x {
			return
		}
		key := uint64(z.rnd.IntN(200))
		id := fmt.Sprintf("%s-%s-%d-%d", tier, organisation, z.now.UnixMilli(), z.rnd.Uint64())
		firstToken := 590 * time.Millisecond
		if tier == request.Patient {
			firstToken = 0
		}
		z.submit(z.rnd.IntN(len(z.hosts)), &request.Request{
			FirstToken: firstToken,
			ID:         id, Organisation: organisation, Tier: tier, Pool: "p", Arrived: z.now, Deadline: z.now.Add(deadline),
			PromptTokens: 800, MaxTokens: z.maxTokens, Prefix: []uint64{1, key + 10, key + 1000, key + 2000},
		})
	}
}

// check reports refusals out of tier order and requests that were dispatched twice.
func (z *simZone) check(t *testing.T) {
	t.Helper()
	if z.inversions > 0 {
		t.Errorf("%d refusals while requests of lower tiers were started", z.inversions)
	}
	for id, n := range z.dispatches {
		if n > 1 {
			t.Errorf("request %s was dispatched %d times", id, n)
		}
	}
}
