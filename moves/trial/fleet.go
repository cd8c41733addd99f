// Package trial measures version rollouts on a small simulated fleet in virtual
// time. It is not a simulator of engines: a target only has a speed, a load and
// a version.
package trial

import (
	"container/heap"
	"context"
	"math"
	"math/rand/v2"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/moves"
	"sardinefront.dev/moves/judge"
	"sardinefront.dev/moves/steer"
	"sardinefront.dev/platform/memkv"
)

const (
	pool              = "lyn-llm"
	oldVersion        = "7"
	newVersion        = "8"
	targetSlots       = 16.0 // requests in progress at which a target is full
	firstTokenSeconds = 0.25 // seconds, unloaded
	secondsPerToken   = 0.012
	meanTokens        = 100
	latencyLogStdDev  = 0.35 // standard deviation of the logarithm of one latency
	utilisation       = 0.5
)

var epoch = time.Date(2027, 1, 5, 0, 0, 0, 0, time.UTC)

// target is one simulated target.
type target struct {
	steer.Target
	speed          float64
	inProgress     int
	smoothedLoad   float64 // inWork, smoothed over 10 s
	slowFrom       time.Time
	slowTo         time.Time
	slowFactor     float64
	loadingVersion string
	fencingToken   int64
	commands       []command
}

// command is a control command as a target saw it.
type command struct {
	at           time.Time
	fencingToken int64
}

type timedEvent struct {
	at     time.Time
	action func()
	seq    int
}

type eventQueue []timedEvent

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].seq < a[j].seq
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(timedEvent)) }
func (a *eventQueue) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// fleet is one run.
type fleet struct {
	c               Case
	rnd             *rand.Rand
	now             time.Time
	seq             int
	events          eventQueue
	store           *store
	targets         []*target
	byName          map[string]*target
	hosts           []*host
	rules           []steer.Move
	weightStoreFree time.Time // when the weight store is free again
	meanLoad        float64   // requests in progress per target at mean load
	res             Result
	faultOnset      time.Time // zero until the fault is present
	end             time.Time

	disturbed bool
}

func newFleet(c Case) *fleet {
	f := &fleet{c: c, rnd: rand.New(rand.NewPCG(c.Seed, 17)), now: epoch, byName: map[string]*target{}}
	f.store = &store{f: f, kv: memkv.New(func() time.Time { return f.now })}
	for i := range c.Targets {
		name := "t" + string(rune('a'+i/26)) + string(rune('a'+i%26))
		t := &target{Target: steer.Target{Name: name, Zone: zone(i, c.Zones), Version: oldVersion}, slowFactor: 1}
		t.speed = math.Exp(f.rnd.NormFloat64() * 0.15)
		f.targets = append(f.targets, t)
		f.byName[name] = t
	}
	service := firstTokenSeconds + secondsPerToken*meanTokens
	f.meanLoad = c.RequestsPerSecond * service / float64(c.Targets)
	f.slowTargets()
	f.rules = []steer.Move{{Pool: pool, Model: pool, From: oldVersion, To: newVersion, By: epoch.Add(c.Deadline), AtMost: 0.05}}
	for i := range c.Hosts {
		f.hosts = append(f.hosts, newHost(f, i))
	}
	f.end = epoch.Add(c.Deadline + 10*time.Minute)
	return f
}

func zone(i, n int) string { return string(rune('a' + i%n)) }

// slowTargets lets a random third of the targets slow down on their own.
func (f *fleet) slowTargets() {
	if !f.c.ThirdSlow {
		return
	}
	common := epoch.Add(time.Duration(f.rnd.Float64() * float64(f.c.Deadline) * 0.7))
	for _, i := range f.rnd.Perm(len(f.targets))[:len(f.targets)/3] {
		t := f.targets[i]
		t.slowFactor = 2 + f.rnd.Float64()
		t.slowTo = epoch.Add(24 * time.Hour)
		switch f.c.ThirdSlowKind {
		case 0: // from the start
			t.slowFrom = epoch
		case 1: // together
			t.slowFrom = common
		default: // each at a time of its own, for a while
			t.slowFrom = epoch.Add(time.Duration(f.rnd.Float64() * float64(f.c.Deadline) * 0.9))
			t.slowTo = t.slowFrom.Add(10*time.Minute + time.Duration(f.rnd.Float64()*float64(time.Hour)))
		}
	}
}

func (f *fleet) schedule(t time.Time, do func()) {
	f.seq++
	heap.Push(&f.events, timedEvent{at: t, action: do, seq: f.seq})
}

func (f *fleet) after(d time.Duration, do func()) { f.schedule(f.now.Add(d), do) }

func (f *fleet) run() Result {
	f.arrive()
	for i, h := range f.hosts {
		f.after(time.Duration(i)*137*time.Millisecond, h.tick)
	}
	f.after(time.Second, f.checkEnded)
	for len(f.events) > 0 && f.now.Before(f.end) {
		x := heap.Pop(&f.events).(timedEvent)
		f.now = x.at
		x.action()
	}
	f.countStaleCommands()
	return f.res
}

// rate returns the arrival rate at this time: a slow wave and a burst every 13
// minutes.
func (f *fleet) rate() float64 {
	s := f.now.Sub(epoch).Seconds()
	r := f.c.RequestsPerSecond * (1 + 0.15*math.Sin(s/1500))
	if math.Mod(s, 780) < 30 {
		r *= 1.3
	}
	return r
}

func (f *fleet) arrive() {
	gap := time.Duration(f.rnd.ExpFloat64() / f.rate() * float64(time.Second))
	f.after(gap, func() {
		f.arrive()
		f.dispatch()
	})
}

func (f *fleet) pickRoute() int {
	u := f.rnd.Float64()
	for i, w := range f.c.Routes {
		if u -= w; u < 0 {
			return i
		}
	}
	return len(f.c.Routes) - 1
}

func (f *fleet) pickTier() request.Tier {
	u := f.rnd.Float64()
	switch {
	case u < 0.2:
		return request.Urgent
	case u < 0.7:
		return request.Interactive
	}
	return request.Patient
}

// choose returns the less busy of two random targets of the version, nil if it
// is full: hosts limit the requests in progress at a target and shed the rest.
func (f *fleet) pickTarget(version string) *target {
	var best *target
	var candidates [64]*target
	n := 0
	for _, t := range f.targets {
		if t.Version == version && !t.Leaving && n < len(candidates) {
			candidates[n] = t
			n++
		}
	}
	for range min(2, n) {
		t := candidates[f.rnd.IntN(n)]
		if best == nil || t.inProgress < best.inProgress {
			best = t
		}
	}
	if best != nil && best.inProgress >= targetSlots {
		return nil
	}
	return best
}

func (f *fleet) dispatch() {
	h := f.hosts[f.rnd.IntN(len(f.hosts))]
	for h.dead || f.now.Before(h.pausedUntil) {
		h = f.hosts[f.rnd.IntN(len(f.hosts))]
	}
	route, tier := f.pickRoute(), f.pickTier()
	version := oldVersion
	s := h.tracker.TrafficSplit(pool)
	if s != nil {
		version = s.PickVersion(tier, f.rnd.Float64())
	}
	t := f.pickTarget(version)
	if t == nil && s != nil && version == s.To {
		version = s.From
		t = f.pickTarget(version)
	}
	f.res.recordRequest(f, h, tier, version, t != nil)
	if t == nil || s == nil {
		return
	}
	f.serve(h, t, s.MoveID, route, tier, version)
}

// serve simulates one request.
func (f *fleet) serve(h *host, t *target, move string, route int, tier request.Tier, version string) {
	bad := f.faulty(t, route, version)
	f.decayLoad(t)
	t.inProgress++
	x := float64(t.inProgress) / targetSlots
	scale := t.speed * (1 + 0.6*x*x) * f.zoneFactor(t)
	if !f.now.Before(t.slowFrom) && f.now.Before(t.slowTo) {
		scale *= t.slowFactor
	}
	routeScale := 1 + 0.5*float64(route)
	ft := firstTokenSeconds * scale * routeScale * math.Exp(f.rnd.NormFloat64()*latencyLogStdDev)
	bt := secondsPerToken * scale * math.Exp(f.rnd.NormFloat64()*latencyLogStdDev/2)
	tokens := float64(meanTokens) * (0.5 + f.rnd.Float64())
	result := judge.Answered
	if f.rnd.Float64() < 0.005 {
		result = judge.Failed
	}
	if bad {
		ft, bt, result = f.c.Fault.apply(f.rnd, ft, bt, result)
	}
	if result == judge.Failed {
		tokens = 0
	}
	sec := func(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
	f.after(sec(ft+bt*tokens), func() {
		f.decayLoad(t)
		t.inProgress--
		h.tracker.Observe(moves.Observation{MoveID: move, Version: version, Target: t.Name, Route: routeNames[route],
			Tier: tier, Result: result, FirstToken: sec(ft), BetweenTokens: sec(bt)}, pool, f.now)
	})
}

var routeNames = []string{"POST /lyn/v1/chat/completions", "POST /lyn/v1/completions", "POST /lyn/reviews/**", "POST /lyn/tips"}

func (f *fleet) decayLoad(t *target) {
	// One event moves the smoothed load by about 1/(10 s × rate per target).
	w := 1 / (1 + 20*f.c.RequestsPerSecond/float64(f.c.Targets))
	t.smoothedLoad += w * (float64(t.inProgress) - t.smoothedLoad)
}

// zoneFactor slows one zone or the whole pool for ten minutes.
func (f *fleet) zoneFactor(t *target) float64 {
	s := f.now.Sub(epoch)
	if f.c.SlowZone == "" || s < f.c.SlowZoneFrom || s > f.c.SlowZoneFrom+10*time.Minute {
		return 1
	}
	if f.c.SlowZone == "*" || f.c.SlowZone == t.Zone {
		return 2
	}
	return 1
}

// faulty reports whether the fault hits this request.
func (f *fleet) faulty(t *target, route int, version string) bool {
	if version != newVersion || f.c.Fault == nil || f.faultOnset.IsZero() || f.now.Before(f.faultOnset) {
		return false
	}
	if f.c.Fault.Route >= 0 && f.c.Fault.Route != route {
		return false
	}
	return !f.c.Fault.UnderLoad || t.smoothedLoad >= 0.7*f.meanLoad
}

// Reserve implements platform.Weights: one transfer at a time.
func (f *fleet) Reserve(_ context.Context, _, _ string) (time.Duration, error) {
	if f.weightStoreFree.Before(f.now) {
		f.weightStoreFree = f.now
	}
	f.weightStoreFree = f.weightStoreFree.Add(f.c.LoadTime)
	return f.weightStoreFree.Sub(f.now), nil
}

// load delivers a control command to a target.
func (f *fleet) load(name string, o moves.LoadCommand) {
	t := f.byName[name]
	if t == nil || (f.c.Fenced && o.FencingToken < t.fencingToken) {
		return
	}
	t.commands = append(t.commands, command{f.now, o.FencingToken})
	t.fencingToken = max(t.fencingToken, o.FencingToken)
	if t.Version == o.Version || t.loadingVersion == o.Version {
		return
	}
	t.Version, t.loadingVersion = "", o.Version
	f.after(f.c.LoadTime, func() {
		if t.loadingVersion == o.Version {
			t.Version, t.loadingVersion = o.Version, ""
		}
	})
}
