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

// zone is a virtual-time model of hosts that share engines with continuous
// batching: prompts are computed one after the other, up to slots streams run
// at once, and the time between tokens grows with their number.
type zone struct {
	now                           time.Time
	rnd                           *rand.Rand
	hosts                         []*Pool
	engines                       []*simEngine
	runs                          map[string]*simRun
	events                        []simEvent // not sorted
	digests                       int        // bytes sent
	maxTokens, floorsSent, probes int

	done, good, refused [request.TierCount]int
	paused, inversions  int
	prefill             int // prompt tokens computed
	byEngine            map[string]int
	byOrg               map[string]float64
	floorAt             [request.TierCount]time.Time
	floorEnd            [request.TierCount]time.Time
	lastStart           [request.TierCount]time.Time
	started             map[string]int // dispatches by id, resumptions excluded
	first               []time.Duration
	onDispatch          func(a Action)
}

type simEvent struct {
	at time.Time
	do func()
}

type simEngine struct {
	name       string
	slots      int
	base, grow float64 // seconds between tokens: base + grow*streams
	slow       float64
	work       []*simRun // in arrival order; the first slots run
	cache      map[uint64]bool
	order      []uint64
}

type simRun struct {
	host    int
	req     *request.Request
	prefill float64 // prompt tokens left
	out     float64
	offset  int
	length  int
	first   bool
	stops   int // a dispatch that was stopped on its way does not arrive
}

func newZone(seed uint64, hosts, engines int, c Config) *zone {
	z := &zone{
		maxTokens: 600,
		now:       time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC), rnd: rand.New(rand.NewPCG(seed, 0)),
		runs: map[string]*simRun{}, byEngine: map[string]int{}, byOrg: map[string]float64{}, started: map[string]int{},
	}
	var ts []Target
	for i := range engines {
		e := &simEngine{name: fmt.Sprintf("e%03d", i), slots: 16, base: 0.012, grow: 0.001, slow: 1, cache: map[uint64]bool{}}
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

// later runs do one way delay from now.
func (z *zone) later(do func()) {
	z.events = append(z.events, simEvent{z.now.Add(simDelay), do})
}

func (z *zone) submit(host int, r *request.Request) {
	z.act(host, z.hosts[host].Submit(r, z.now))
}

func (z *zone) act(host int, actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case Dispatch:
			z.dispatch(host, a)
		case Refuse:
			z.refuse(a)
		case Pause, Cancel:
			z.stop(a)
		case RaiseFloor:
			z.raise(host, a)
		case Probe:
			z.probes++
			z.later(func() { z.report(host, a.Target) })
		}
	}
}

func (z *zone) dispatch(host int, a Action) {
	r := a.Request
	z.lastStart[r.Tier] = z.now
	z.byEngine[a.Target]++
	z.byOrg[r.Organisation] += float64(r.Tokens())
	if z.onDispatch != nil {
		z.onDispatch(a)
	}
	run := z.runs[r.ID]
	if !a.Resume {
		z.started[r.ID]++
		run = &simRun{req: r, length: max(1, r.MaxTokens/2)}
	}
	run.host, run.first = host, false
	run.prefill = float64(r.PromptTokens + a.Offset)
	run.out = float64(a.Offset)
	z.runs[r.ID] = run
	stops := run.stops
	z.later(func() {
		if run.stops != stops {
			return
		}
		e := z.engine(a.Target)
		e.lookup(run, z)
		e.work = append(e.work, run)
	})
}

func (z *zone) engine(name string) *simEngine {
	for _, e := range z.engines {
		if e.name == name {
			return e
		}
	}
	panic(name)
}

// lookup takes the cached part off the prompt and stores its blocks.
func (e *simEngine) lookup(run *simRun, z *zone) {
	p := run.req.Prefix
	for d := len(p); d > 0; d-- {
		if e.cache[p[d-1]] {
			run.prefill -= float64(run.req.PromptTokens) * float64(d) / float64(len(p))
			break
		}
	}
	for _, k := range p {
		if !e.cache[k] {
			e.cache[k] = true
			e.order = append(e.order, k)
		}
	}
	for len(e.order) > 600 {
		delete(e.cache, e.order[0])
		e.order = e.order[1:]
	}
	run.prefill = max(1, run.prefill)
	z.prefill += int(run.prefill)
}

func (z *zone) refuse(a Action) {
	t := a.Request.Tier
	z.refused[t]++
	if a.Refusal.Ran != refusal.NotRun || t == request.Patient {
		return
	}
	up := z.now
	for f := request.Urgent; f <= t; f++ {
		if z.floorEnd[f].After(z.now) && z.floorAt[f].Before(up) {
			up = z.floorAt[f]
		}
	}
	for lower := t + 1; lower < request.TierCount; lower++ {
		if z.lastStart[lower].After(up.Add(2 * simStep)) {
			z.inversions++
		}
	}
}

func (z *zone) stop(a Action) {
	if a.Kind == Pause {
		z.paused++
	}
	run := z.runs[a.Request.ID]
	if run != nil {
		run.stops++
	}
	e := z.engine(a.Target)
	for i, w := range e.work {
		if w == run {
			e.work = append(e.work[:i:i], e.work[i+1:]...)
			return
		}
	}
}

func (z *zone) raise(host int, a Action) {
	if !z.floorEnd[a.Tier].After(z.now) {
		z.floorAt[a.Tier] = z.now
	}
	z.floorEnd[a.Tier] = a.Until
	for h := range z.hosts {
		if h != host {
			z.floorsSent++
			z.later(func() { z.act(h, z.hosts[h].ApplyPeerFloor(a.Tier, a.Until, "peer", z.now)) })
		}
	}
}

func (z *zone) report(host int, name string) {
	e := z.engine(name)
	r := LoadReport{Running: min(len(e.work), e.slots), Queued: max(0, len(e.work)-e.slots), MeasuredAt: z.now}
	z.later(func() { z.hosts[host].RecordLoadReport(name, r, z.now) })
}

// step advances the model by 10 ms.
func (z *zone) step() {
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
			z.act(h, p.Tick(z.now))
		}
		if (tick/10+int64(h)*7)%100 == 0 && len(z.hosts) > 1 {
			z.gossip(h)
		}
	}
}

// gossip exchanges digests with a random peer, as probe and acknowledgement do.
func (z *zone) gossip(h int) {
	peer := (h + 1 + z.rnd.IntN(len(z.hosts)-1)) % len(z.hosts)
	there, back := z.hosts[h].EncodeDigest(z.now), z.hosts[peer].EncodeDigest(z.now)
	z.digests += len(there) + len(back)
	z.hosts[peer].ApplyPeerDigest(fmt.Sprint(h), there, z.now)
	z.hosts[h].ApplyPeerDigest(fmt.Sprint(peer), back, z.now)
}

// run advances one engine: 8,000 prompt tokens per second, then tokens for
// every stream whose prompt is done.
func (z *zone) run(e *simEngine) {
	budget := 8000 * simStep.Seconds() / e.slow
	n := min(len(e.work), e.slots)
	between := (e.base + e.grow*float64(n)) * e.slow
	var ended []*simRun
	for _, w := range e.work[:n] {
		if w.prefill > 0 {
			used := min(budget, w.prefill)
			w.prefill -= used
			budget -= used
			continue
		}
		w.out += simStep.Seconds() / between
		z.deliver(w)
		if int(w.out) >= w.length {
			ended = append(ended, w)
		}
	}
	for _, w := range ended {
		z.finish(e, w)
	}
}

func (z *zone) deliver(w *simRun) {
	p := z.hosts[w.host]
	if !w.first {
		w.first = true
		p.RecordFirstByte(w.req.ID, z.now)
		if w.req.Tier != request.Patient {
			z.first = append(z.first, z.now.Sub(w.req.Arrived))
		}
	}
	if int(w.out) > w.offset {
		w.offset = int(w.out)
		p.RecordProgress(w.req.ID, w.offset, z.now)
	}
}

func (z *zone) finish(e *simEngine, w *simRun) {
	for i, o := range e.work {
		if o == w {
			e.work = append(e.work[:i:i], e.work[i+1:]...)
			break
		}
	}
	t := w.req.Tier
	z.done[t]++
	if !z.now.After(w.req.Deadline) {
		z.good[t]++
	}
	delete(z.runs, w.req.ID)
	z.act(w.host, z.hosts[w.host].Done(w.req.ID, OK, z.now))
}

// offer submits requests of a tier at random hosts at the given rate for one
// step.
func (z *zone) offer(tier request.Tier, perSecond float64, deadline time.Duration, organisation string) {
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

func (z *zone) check(t *testing.T) {
	t.Helper()
	if z.inversions > 0 {
		t.Errorf("%d refusals while lower tiers were started", z.inversions)
	}
	for id, n := range z.started {
		if n > 1 {
			t.Errorf("request %s was dispatched %d times", id, n)
		}
	}
}
