package bench

import (
	"fmt"
	"strconv"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/pool"
)

// Delay of a message between two hosts of a zone, handling included, and of
// one between zones.
const (
	peerDelayMin = 300 * time.Microsecond
	peerDelayMax = 2 * time.Millisecond
	farPeerDelay = 5 * time.Millisecond
)

// Probe intervals of section 2.7 of the design page; each probe and its ack
// carry a digest.
const (
	nearProbe = time.Second
	farProbe  = 5 * time.Second
)

// messageOverhead is the number of bytes that a message takes besides its
// digest: UDP, IP and QUIC headers (about 60) and the envelope.
const messageOverhead = 80

// floorBytes is the size of a floor message without messageOverhead: pool
// name, tier and time.
const floorBytes = 40

// tickEvery is the interval at which a host calls Tick.
const tickEvery = 50 * time.Millisecond

// pooled runs sched/pool on every host.
type pooled struct {
	w       *world
	jobs    map[string]*job
	index   map[string]int // target name to index in its pool
	hosts   []*entryHost
	reports *reporter
}

// entryHost is one host with its pools.
type entryHost struct {
	p     *pooled
	id    int
	name  string
	pools [poolCount]*pool.Pool
	near  []int // peers in the same zone, in probing order
	far   []int
	seen  [poolCount][]int // cache events read, by target
}

// pooledWith returns a builder for the given way of sharing targets.
func pooledWith(sharing pool.Sharing) func(*world) scheduler {
	return func(w *world) scheduler { return newPooled(w, sharing) }
}

func newPooled(w *world, sharing pool.Sharing) *pooled {
	p := &pooled{w: w, jobs: map[string]*job{}, index: map[string]int{}, reports: newReporter(w)}
	for h := range w.d.hosts {
		p.hosts = append(p.hosts, p.newHost(h, sharing))
	}
	for _, h := range p.hosts {
		h.begin()
	}
	return p
}

func targetName(poolIndex, target int) string {
	return [poolCount]string{"engine", "service"}[poolIndex] + strconv.Itoa(target)
}

func (p *pooled) newHost(id int, sharing pool.Sharing) *entryHost {
	h := &entryHost{p: p, id: id, name: "host" + strconv.Itoa(id)}
	w := p.w
	for _, peer := range w.rnd.Perm(w.d.hosts) {
		switch {
		case peer == id:
		case w.hostZone(peer) == w.hostZone(id):
			h.near = append(h.near, peer)
		default:
			h.far = append(h.far, peer)
		}
	}
	for i := range poolCount {
		if len(w.pools[i]) == 0 {
			continue
		}
		h.seen[i] = make([]int, len(w.pools[i]))
		h.pools[i] = pool.New(pool.Config{
			Name: w.d.poolName(i), Kind: pool.Kind(i), Sharing: sharing, Seed: w.seed,
			HostIndex: h.rank(), HostCount: len(h.near) + 1,
		})
	}
	return h
}

// rank returns the position of the host among the hosts of its zone.
func (h *entryHost) rank() int { return h.id / h.p.w.d.zones }

// begin lists the targets and starts the periodic work of the host.
func (h *entryHost) begin() {
	w := h.p.w
	for i, p := range h.pools {
		if p == nil {
			continue
		}
		h.apply(i, p.SetTargets(h.targets(i), w.clk.wall()))
		phase := time.Duration(w.rnd.Int64N(int64(tickEvery)))
		w.clk.every(phase, tickEvery, func() { h.apply(i, p.Tick(w.clk.wall())) })
	}
	h.probe(h.near, nearProbe)
	h.probe(h.far, farProbe)
	if w.d.remote {
		h.probeOutside()
	}
}

func (h *entryHost) targets(poolIndex int) []pool.Target {
	w := h.p.w
	var list []pool.Target
	for t := range w.pools[poolIndex] {
		name := targetName(poolIndex, t)
		h.p.index[name] = t
		class := ""
		if poolIndex == enginePool {
			class = w.engines[t].gen.name
		}
		list = append(list, pool.Target{
			Name: name, Zone: fmt.Sprintf("zone%d", w.zoneOf(t)), Version: "1", Class: class,
			Local: w.zoneOf(t) == w.hostZone(h.id),
		})
	}
	return list
}

// probe exchanges digests with one of the peers per interval, in turn.
func (h *entryHost) probe(peers []int, interval time.Duration) {
	if len(peers) == 0 {
		return
	}
	next := 0
	w := h.p.w
	w.clk.every(time.Duration(w.rnd.Int64N(int64(interval))), interval, func() {
		peer := h.p.hosts[peers[next%len(peers)]]
		next++
		h.sendDigest(peer)
		w.clk.after(h.peerDelay(peer), func() { peer.sendDigest(h) })
	})
}

// probeOutside counts the bytes of probes to hosts of other zones and of the
// acks to theirs; the other zones are not part of the run.
func (h *entryHost) probeOutside() {
	w := h.p.w
	w.clk.every(time.Duration(w.rnd.Int64N(int64(farProbe))), farProbe, func() {
		for _, p := range h.pools {
			if p != nil {
				w.meter.peerBytes(h.id, 2*(len(p.EncodeDigest(w.clk.wall()))+messageOverhead))
			}
		}
	})
}

func (h *entryHost) peerDelay(peer *entryHost) time.Duration {
	w := h.p.w
	if w.hostZone(h.id) != w.hostZone(peer.id) {
		return farPeerDelay
	}
	return peerDelayMin + time.Duration(w.rnd.Int64N(int64(peerDelayMax-peerDelayMin)))
}

func (h *entryHost) sendDigest(peer *entryHost) {
	w := h.p.w
	w.meter.peerBytes(h.id, messageOverhead)
	for i, p := range h.pools {
		if p == nil {
			continue
		}
		d := p.EncodeDigest(w.clk.wall())
		w.meter.peerBytes(h.id, len(d))
		w.clk.after(h.peerDelay(peer), func() {
			if err := peer.pools[i].ApplyPeerDigest(h.name, d, w.clk.wall()); err != nil {
				panic(fmt.Sprintf("digest of %s rejected: %v", h.name, err))
			}
		})
	}
}

// apply performs the actions of a pool.
func (h *entryHost) apply(poolIndex int, actions []pool.Action) {
	for _, a := range actions {
		h.act(poolIndex, a)
	}
}

func (h *entryHost) act(poolIndex int, a pool.Action) {
	w := h.p.w
	switch a.Kind {
	case pool.Dispatch:
		w.dispatch(h.p.jobs[a.Request.ID], h.p.index[a.Target], a.Resume || a.Offset > 0)
	case pool.Refuse:
		w.refuse(h.p.jobs[a.Request.ID], a.Refusal.Reason)
		delete(h.p.jobs, a.Request.ID)
	case pool.Pause:
		w.pause(h.p.jobs[a.Request.ID])
	case pool.Cancel:
		w.stop(h.p.jobs[a.Request.ID])
	case pool.RaiseFloor:
		h.sendFloor(poolIndex, a.Tier, a.Until)
	case pool.Probe:
		h.p.reports.ask(h, poolIndex, h.p.index[a.Target])
	}
}

func (h *entryHost) sendFloor(poolIndex int, tier request.Tier, until time.Time) {
	w := h.p.w
	for _, id := range h.near {
		peer := h.p.hosts[id]
		w.meter.peerBytes(h.id, floorBytes+messageOverhead)
		w.clk.after(h.peerDelay(peer), func() {
			peer.apply(poolIndex, peer.pools[poolIndex].ApplyPeerFloor(tier, until, h.name, w.clk.wall()))
		})
	}
}

func (p *pooled) submit(j *job) {
	p.jobs[j.req.ID] = j
	h := p.hosts[j.host]
	h.apply(j.pool, h.pools[j.pool].Submit(j.req, p.w.clk.wall()))
}

func (p *pooled) at(j *job) *pool.Pool { return p.hosts[j.host].pools[j.pool] }

func (p *pooled) firstToken(j *job) { p.at(j).RecordFirstByte(j.req.ID, p.w.clk.wall()) }

func (p *pooled) progress(j *job) { p.at(j).RecordProgress(j.req.ID, j.generated, p.w.clk.wall()) }

func (p *pooled) finished(j *job) { p.done(j, pool.OK) }

func (p *pooled) lost(j *job) { p.done(j, pool.Truncated) }

func (p *pooled) notSent(j *job) { p.done(j, pool.NotSent) }

func (p *pooled) done(j *job, res pool.Result) {
	if j.ended() {
		delete(p.jobs, j.req.ID)
	}
	p.hosts[j.host].apply(j.pool, p.at(j).Done(j.req.ID, res, p.w.clk.wall()))
}

func (p *pooled) leave(j *job) {
	p.hosts[j.host].apply(j.pool, p.at(j).Cancel(j.req.ID, p.w.clk.wall()))
	delete(p.jobs, j.req.ID)
}
