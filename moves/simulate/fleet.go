// Package simulate measures version rollouts on a small simulated fleet in virtual
// time. It does not simulate engines: a target only has a speed, a load and a
// version.
package simulate

import (
	"container/heap"
	"context"
	"math"
	"math/rand/v2"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/moves"
	"sardinefront.dev/moves/analysis"
	"sardinefront.dev/moves/control"
	"sardinefront.dev/platform/memkv"
)

const (
	pool              = "lyn-llm"
	oldVersion        = "7"
	newVersion        = "8"
	targetSlots       = 16.0 // requests in progress at which a target is full
	firstTokenSeconds = 0.25 // on an unloaded target
	secondsPerToken   = 0.012
	meanTokens        = 100
	latencyLogStdDev  = 0.35 // standard deviation of the log of a single latency
	utilisation       = 0.5
)

var epoch = time.Date(2027, 1, 5, 0, 0, 0, 0, time.UTC)

// target is one simulated target.
type target struct {
	control.Target
	latencyScale   float64
	inProgress     int
	smoothedLoad   float64 // inProgress, smoothed over 10 s
	slowFrom       time.Time
	slowTo         time.Time
	slowFactor     float64
	loadingVersion string
	fencingToken   int64
	commands       []command
}

// command is a control command that a target received.
type command struct {
	at           time.Time
	fencingToken int64
}

// timedEvent is an action at a point in virtual time. seq orders simultaneous
// events.
type timedEvent struct {
	at     time.Time
	action func()
	seq    int
}

// eventQueue is a heap of events, the earliest first.
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

// fleet is the state of one run.
type fleet struct {
	cfg             Case
	rnd             *rand.Rand
	now             time.Time
	seq             int
	events          eventQueue
	store           *store
	targets         []*target
	byName          map[string]*target
	hosts           []*host
	rules           []control.Move
	weightStoreFree time.Time // end of the last transfer at the weight store
	meanLoad        float64   // requests in progress per target at mean load
	result          Result
	faultOnset      time.Time // zero until the time of the onset is known
	end             time.Time

	disturbed bool
}

func newFleet(c Case) *fleet {
	f := &fleet{cfg: c, rnd: rand.New(rand.NewPCG(c.Seed, 17)), now: epoch, byName: map[string]*target{}}
	f.store = &store{fleet: f, kv: memkv.New(func() time.Time { return f.now })}
	for i := range c.Targets {
		name := "t" + string(rune('a'+i/26)) + string(rune('a'+i%26))
		t := &target{Target: control.Target{Name: name, Zone: zone(i, c.Zones), Version: oldVersion}, slowFactor: 1}
		t.latencyScale = math.Exp(f.rnd.NormFloat64() * 0.15)
		f.targets = append(f.targets, t)
		f.byName[name] = t
	}
	service := firstTokenSeconds + secondsPerToken*meanTokens
	f.meanLoad = c.RequestsPerSecond * service / float64(c.Targets)
	f.slowTargets()
	f.rules = []control.Move{{Pool: pool, Model: pool, From: oldVersion, To: newVersion, By: epoch.Add(c.Deadline), AtMost: 0.05}}
	for i := range c.Hosts {
		f.hosts = append(f.hosts, newHost(f, i))
	}
	f.end = epoch.Add(c.Deadline + 10*time.Minute)
	return f
}

func zone(i, n int) string { return string(rune('a' + i%n)) }

// slowTargets makes a random third of the targets slow, independently of their
// version.
func (f *fleet) slowTargets() {
	if !f.cfg.ThirdSlow {
		return
	}
	common := epoch.Add(time.Duration(f.rnd.Float64() * float64(f.cfg.Deadline) * 0.7))
	for _, i := range f.rnd.Perm(len(f.targets))[:len(f.targets)/3] {
		t := f.targets[i]
		t.slowFactor = 2 + f.rnd.Float64()
		t.slowTo = epoch.Add(24 * time.Hour)
		switch f.cfg.ThirdSlowKind {
		case 0: // from the start
			t.slowFrom = epoch
		case 1: // at the same time
			t.slowFrom = common
		default: // each at its own time, for 10 to 70 min
			t.slowFrom = epoch.Add(time.Duration(f.rnd.Float64() * float64(f.cfg.Deadline) * 0.9))
			t.slowTo = t.slowFrom.Add(10*time.Minute + time.Duration(f.rnd.Float64()*float64(time.Hour)))
		}
	}
}

func (f *fleet) schedule(t time.Time, action func()) {
	f.seq++
	heap.Push(&f.events, timedEvent{at: t, action: action, seq: f.seq})
}

func (f *fleet) after(d time.Duration, action func()) { f.schedule(f.now.Add(d), action) }

func (f *fleet) run() Result {
	f.scheduleArrival()
	for i, h := range f.hosts {
		f.after(time.Duration(i)*137*time.Millisecond, h.tick)
	}
	f.after(time.Second, f.checkEnded)
	for len(f.events) > 0 && f.now.Before(f.end) {
		event := heap.Pop(&f.events).(timedEvent)
		f.now = event.at
		event.action()
	}
	f.countStaleCommands()
	return f.result
}

// rate returns the current arrival rate in requests per second: a slow wave with
// a burst of 30 s every 13 minutes.
func (f *fleet) rate() float64 {
	s := f.now.Sub(epoch).Seconds()
	r := f.cfg.RequestsPerSecond * (1 + 0.15*math.Sin(s/1500))
	if math.Mod(s, 780) < 30 {
		r *= 1.3
	}
	return r
}

// scheduleArrival schedules the next request.
func (f *fleet) scheduleArrival() {
	gap := time.Duration(f.rnd.ExpFloat64() / f.rate() * float64(time.Second))
	f.after(gap, func() {
		f.scheduleArrival()
		f.dispatch()
	})
}

func (f *fleet) pickRoute() int {
	u := f.rnd.Float64()
	for i, w := range f.cfg.Routes {
		if u -= w; u < 0 {
			return i
		}
	}
	return len(f.cfg.Routes) - 1
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

// pickTarget returns the less loaded of two random targets of the version, or nil
// if it is full: hosts limit the requests in progress at a target and shed the
// rest.
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

// dispatch sends one request through a random live host.
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
	f.result.recordRequest(f, h, tier, version, t != nil)
	if t == nil || s == nil {
		return
	}
	f.serve(h, t, s.MoveID, route, tier, version)
}

// serve simulates one request at a target.
func (f *fleet) serve(h *host, t *target, move string, route int, tier request.Tier, version string) {
	faulty := f.faulty(t, route, version)
	f.updateSmoothedLoad(t)
	t.inProgress++
	busy := float64(t.inProgress) / targetSlots
	scale := t.latencyScale * (1 + 0.6*busy*busy) * f.zoneFactor(t)
	if !f.now.Before(t.slowFrom) && f.now.Before(t.slowTo) {
		scale *= t.slowFactor
	}
	routeScale := 1 + 0.5*float64(route)
	firstToken := firstTokenSeconds * scale * routeScale * math.Exp(f.rnd.NormFloat64()*latencyLogStdDev)
	betweenTokens := secondsPerToken * scale * math.Exp(f.rnd.NormFloat64()*latencyLogStdDev/2)
	tokens := float64(meanTokens) * (0.5 + f.rnd.Float64())
	result := analysis.Answered
	if f.rnd.Float64() < 0.005 {
		result = analysis.Failed
	}
	if faulty {
		firstToken, betweenTokens, result = f.cfg.Fault.apply(f.rnd, firstToken, betweenTokens, result)
	}
	if result == analysis.Failed {
		tokens = 0
	}
	sec := func(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
	f.after(sec(firstToken+betweenTokens*tokens), func() {
		f.updateSmoothedLoad(t)
		t.inProgress--
		h.tracker.Observe(moves.Observation{MoveID: move, Version: version, Target: t.Name, Route: routeNames[route],
			Tier: tier, Result: result, FirstToken: sec(firstToken), BetweenTokens: sec(betweenTokens)}, pool, f.now)
	})
}

var routeNames = []string{"POST /lyn/v1/chat/completions", "POST /lyn/v1/completions", "POST /lyn/reviews/**", "POST /lyn/tips"}

func (f *fleet) updateSmoothedLoad(t *target) {
	// The smoothed load follows each event by about 1/(10 s × rate per target).
	w := 1 / (1 + 20*f.cfg.RequestsPerSecond/float64(f.cfg.Targets))
	t.smoothedLoad += w * (float64(t.inProgress) - t.smoothedLoad)
}

// zoneFactor returns the latency factor of the slow zone, or of the whole pool,
// which is slow for ten minutes.
func (f *fleet) zoneFactor(t *target) float64 {
	s := f.now.Sub(epoch)
	if f.cfg.SlowZone == "" || s < f.cfg.SlowZoneFrom || s > f.cfg.SlowZoneFrom+10*time.Minute {
		return 1
	}
	if f.cfg.SlowZone == "*" || f.cfg.SlowZone == t.Zone {
		return 2
	}
	return 1
}

// faulty reports whether the fault affects a request.
func (f *fleet) faulty(t *target, route int, version string) bool {
	if version != newVersion || f.cfg.Fault == nil || f.faultOnset.IsZero() || f.now.Before(f.faultOnset) {
		return false
	}
	if f.cfg.Fault.Route >= 0 && f.cfg.Fault.Route != route {
		return false
	}
	return !f.cfg.Fault.UnderLoad || t.smoothedLoad >= 0.7*f.meanLoad
}

// ReserveTransfer implements platform.WeightStore. Transfers run one at a time.
func (f *fleet) ReserveTransfer(_ context.Context, _, _ string) (time.Duration, error) {
	if f.weightStoreFree.Before(f.now) {
		f.weightStoreFree = f.now
	}
	f.weightStoreFree = f.weightStoreFree.Add(f.cfg.LoadTime)
	return f.weightStoreFree.Sub(f.now), nil
}

// deliverCommand delivers a control command to a target. A fenced target ignores a
// command with a stale fencing token.
func (f *fleet) deliverCommand(name string, c moves.LoadCommand) {
	t := f.byName[name]
	if t == nil || (f.cfg.Fenced && c.FencingToken < t.fencingToken) {
		return
	}
	t.commands = append(t.commands, command{f.now, c.FencingToken})
	t.fencingToken = max(t.fencingToken, c.FencingToken)
	if t.Version == c.Version || t.loadingVersion == c.Version {
		return
	}
	t.Version, t.loadingVersion = "", c.Version
	f.after(f.cfg.LoadTime, func() {
		if t.loadingVersion == c.Version {
			t.Version, t.loadingVersion = c.Version, ""
		}
	})
}
