package bench

import (
	"fmt"
	"strconv"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/pool"
)

// Delays of a message between two hosts of the same zone or of different zones,
// including the time to handle it.
const (
	minPeerDelay       = 300 * time.Microsecond
	maxPeerDelay       = 2 * time.Millisecond
	crossZonePeerDelay = 5 * time.Millisecond
)

// Probe intervals from section 2.7 of docs/design.md. Each probe and each ack
// carries a digest.
const (
	sameZoneProbeInterval  = time.Second
	crossZoneProbeInterval = 5 * time.Second
)

// messageOverheadBytes is the size of a message without its digest: UDP, IP and
// QUIC headers (about 60) and the envelope.
const messageOverheadBytes = 80

// floorBytes is the size of the pool name, tier and time in a floor message,
// without messageOverheadBytes.
const floorBytes = 40

// tickInterval is the interval at which a host calls Tick of a pool.
const tickInterval = 50 * time.Millisecond

// poolScheduler is the scheduler under test. It runs sched/pool on every host.
type poolScheduler struct {
	w           *world
	jobs        map[string]*job
	targetIndex map[string]int // index of a target in its pool, by name
	hosts       []*entryHost
	reporter    *reporter
}

// entryHost is one host with its pools.
type entryHost struct {
	sched          *poolScheduler
	id             int
	name           string
	pools          [poolCount]*pool.Pool
	sameZonePeers  []int            // in the order of probes
	otherZonePeers []int            // in the order of probes
	nextCacheEvent [poolCount][]int // number of the next cache event to read, by target
}

// newPoolSchedulerWith returns a function that creates a poolScheduler with the
// given strategy of sharing targets.
func newPoolSchedulerWith(sharing pool.Sharing) func(*world) scheduler {
	return func(w *world) scheduler { return newPoolScheduler(w, sharing) }
}

func newPoolScheduler(w *world, sharing pool.Sharing) *poolScheduler {
	p := &poolScheduler{
		w: w, jobs: map[string]*job{}, targetIndex: map[string]int{}, reporter: newReporter(w),
	}
	for h := range w.deployment.hosts {
		p.hosts = append(p.hosts, p.newHost(h, sharing))
	}
	for _, h := range p.hosts {
		h.start()
	}
	return p
}

func targetName(poolIndex, target int) string {
	return [poolCount]string{"engine", "service"}[poolIndex] + strconv.Itoa(target)
}

func (p *poolScheduler) newHost(id int, sharing pool.Sharing) *entryHost {
	h := &entryHost{sched: p, id: id, name: "host" + strconv.Itoa(id)}
	w := p.w
	for _, peer := range w.rnd.Perm(w.deployment.hosts) {
		switch {
		case peer == id:
		case w.hostZone(peer) == w.hostZone(id):
			h.sameZonePeers = append(h.sameZonePeers, peer)
		default:
			h.otherZonePeers = append(h.otherZonePeers, peer)
		}
	}
	for i := range poolCount {
		if len(w.targets[i]) == 0 {
			continue
		}
		h.nextCacheEvent[i] = make([]int, len(w.targets[i]))
		h.pools[i] = pool.New(pool.Config{
			Name: w.deployment.poolName(i), Kind: pool.Kind(i), Sharing: sharing, Seed: w.seed,
			HostIndex: h.indexInZone(), HostCount: len(h.sameZonePeers) + 1,
		})
	}
	return h
}

// indexInZone returns the index of the host among the hosts of its zone.
func (h *entryHost) indexInZone() int { return h.id / h.sched.w.deployment.zones }

// start sets the targets of the pools and schedules the host's ticks and probes.
func (h *entryHost) start() {
	w := h.sched.w
	for i, p := range h.pools {
		if p == nil {
			continue
		}
		h.performActions(i, p.SetTargets(h.targets(i), w.clk.wallTime()))
		phase := time.Duration(w.rnd.Int64N(int64(tickInterval)))
		w.clk.every(phase, tickInterval, func() { h.performActions(i, p.Tick(w.clk.wallTime())) })
	}
	h.startProbing(h.sameZonePeers, sameZoneProbeInterval)
	h.startProbing(h.otherZonePeers, crossZoneProbeInterval)
	if w.deployment.remoteZones {
		h.startRemoteProbes()
	}
}

func (h *entryHost) targets(poolIndex int) []pool.Target {
	w := h.sched.w
	var list []pool.Target
	for t := range w.targets[poolIndex] {
		name := targetName(poolIndex, t)
		h.sched.targetIndex[name] = t
		class := ""
		if poolIndex == enginePool {
			class = w.engines[t].generation.name
		}
		list = append(list, pool.Target{
			Name: name, Zone: fmt.Sprintf("zone%d", w.zoneOf(t)), Version: "1", Class: class,
			Local: w.zoneOf(t) == w.hostZone(h.id),
		})
	}
	return list
}

// startProbing exchanges digests with one peer per interval, in round-robin order.
func (h *entryHost) startProbing(peers []int, interval time.Duration) {
	if len(peers) == 0 {
		return
	}
	next := 0
	w := h.sched.w
	w.clk.every(time.Duration(w.rnd.Int64N(int64(interval))), interval, func() {
		peer := h.sched.hosts[peers[next%len(peers)]]
		next++
		h.sendDigest(peer)
		w.clk.after(h.peerDelay(peer), func() { peer.sendDigest(h) })
	})
}

// startRemoteProbes counts the bytes of the probes that the host sends to other
// zones and of its acks to probes from there. Those zones are not part of the run.
func (h *entryHost) startRemoteProbes() {
	w := h.sched.w
	w.clk.every(time.Duration(w.rnd.Int64N(int64(crossZoneProbeInterval))), crossZoneProbeInterval, func() {
		for _, p := range h.pools {
			if p != nil {
				w.meter.addPeerBytes(h.id, 2*(len(p.EncodeDigest(w.clk.wallTime()))+messageOverheadBytes))
			}
		}
	})
}

func (h *entryHost) peerDelay(peer *entryHost) time.Duration {
	w := h.sched.w
	if w.hostZone(h.id) != w.hostZone(peer.id) {
		return crossZonePeerDelay
	}
	return minPeerDelay + time.Duration(w.rnd.Int64N(int64(maxPeerDelay-minPeerDelay)))
}

func (h *entryHost) sendDigest(peer *entryHost) {
	w := h.sched.w
	w.meter.addPeerBytes(h.id, messageOverheadBytes)
	for i, p := range h.pools {
		if p == nil {
			continue
		}
		d := p.EncodeDigest(w.clk.wallTime())
		w.meter.addPeerBytes(h.id, len(d))
		w.clk.after(h.peerDelay(peer), func() {
			if _, err := peer.pools[i].ApplyPeerDigest(h.name, d, w.clk.wallTime()); err != nil {
				panic(fmt.Sprintf("digest of %s rejected: %v", h.name, err))
			}
		})
	}
}

func (h *entryHost) performActions(poolIndex int, actions []pool.Action) {
	for _, a := range actions {
		h.perform(poolIndex, a)
	}
}

func (h *entryHost) perform(poolIndex int, a pool.Action) {
	w := h.sched.w
	switch a.Kind {
	case pool.Dispatch:
		w.dispatch(h.sched.jobs[a.Request.ID], h.sched.targetIndex[a.Target], a.Resume || a.Offset > 0)
	case pool.Refuse:
		w.refuse(h.sched.jobs[a.Request.ID], a.Refusal.Reason)
		delete(h.sched.jobs, a.Request.ID)
	case pool.Pause:
		w.pause(h.sched.jobs[a.Request.ID])
	case pool.Cancel:
		w.stop(h.sched.jobs[a.Request.ID])
	case pool.RaiseFloor:
		h.sendFloor(poolIndex, a.Tier, a.Until)
	case pool.Probe:
		h.sched.reporter.probe(h, poolIndex, h.sched.targetIndex[a.Target])
	}
}

func (h *entryHost) sendFloor(poolIndex int, tier request.Tier, until time.Time) {
	w := h.sched.w
	for _, id := range h.sameZonePeers {
		peer := h.sched.hosts[id]
		w.meter.addPeerBytes(h.id, floorBytes+messageOverheadBytes)
		w.clk.after(h.peerDelay(peer), func() {
			peer.performActions(poolIndex,
				peer.pools[poolIndex].ApplyPeerFloor(tier, until, h.name, w.clk.wallTime()))
		})
	}
}

func (p *poolScheduler) submit(j *job) {
	p.jobs[j.req.ID] = j
	h := p.hosts[j.host]
	h.performActions(j.pool, h.pools[j.pool].Submit(j.req, p.w.clk.wallTime()))
}

func (p *poolScheduler) poolOf(j *job) *pool.Pool { return p.hosts[j.host].pools[j.pool] }

func (p *poolScheduler) firstToken(j *job) { p.poolOf(j).RecordFirstByte(j.req.ID, p.w.clk.wallTime()) }

func (p *poolScheduler) progress(j *job) {
	p.poolOf(j).RecordProgress(j.req.ID, j.generated, p.w.clk.wallTime())
}

func (p *poolScheduler) finished(j *job) { p.done(j, pool.OK) }

func (p *poolScheduler) lost(j *job) { p.done(j, pool.Truncated) }

func (p *poolScheduler) notSent(j *job) { p.done(j, pool.NotSent) }

func (p *poolScheduler) done(j *job, result pool.Result) {
	if j.ended() {
		delete(p.jobs, j.req.ID)
	}
	p.hosts[j.host].performActions(j.pool, p.poolOf(j).Done(j.req.ID, result, p.w.clk.wallTime()))
}

func (p *poolScheduler) cancel(j *job) {
	p.hosts[j.host].performActions(j.pool, p.poolOf(j).Cancel(j.req.ID, p.w.clk.wallTime()))
	delete(p.jobs, j.req.ID)
}
