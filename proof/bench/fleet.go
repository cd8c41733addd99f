package bench

import (
	"math/rand/v2"
	"time"
)

// Indices of the pools of a deployment.
const (
	enginePool = iota
	servicePool
	poolCount
)

// One-way network delays, typical of one zone and of two zones of a region.
// Section 1.3 of docs/design.md specifies none.
const (
	sameZoneDelay  = 500 * time.Microsecond
	crossZoneDelay = 1500 * time.Microsecond
)

// deployment describes a fleet and its organisations, see section 1.5 of
// docs/design.md.
type deployment struct {
	name          string
	zones         int
	engines       int
	services      int
	hosts         int
	organisations int
	// zipfExponent is the exponent of the Zipf distribution of requests over
	// organisations.
	zipfExponent float64
	// prefixesPerOrg is the number of shared prompt prefixes per organisation and
	// tier.
	prefixesPerOrg int
	prefixSeed     uint64
	// remoteZones means that there are zones outside the run. Probes of their hosts
	// are included in the peer traffic and not simulated otherwise.
	remoteZones bool
}

// fjellvarsel, lampuKaca and targetZone are the deployments of section 1.5.
// targetZone is one of nine zones and serves a ninth of the organisations.
var (
	fjellvarsel = &deployment{
		name: "fjellvarsel", zones: 3, engines: 12, services: 3, hosts: 8,
		organisations: 5, zipfExponent: 0.8, prefixesPerOrg: 12, prefixSeed: 1,
	}
	lampuKaca = &deployment{
		name: "lampu-kaca", zones: 4, engines: 20, services: 4, hosts: 8,
		organisations: 5, zipfExponent: 0.8, prefixesPerOrg: 20, prefixSeed: 2,
	}
	targetZone = &deployment{
		name: "target-zone", zones: 1, engines: 300, hosts: 40,
		organisations: 29_000 / 9, zipfExponent: 1, prefixesPerOrg: 2, prefixSeed: 3,
		remoteZones: true,
	}
)

// serviceWorkers is the number of concurrent requests of a plain service.
const serviceWorkers = 16

func (d *deployment) poolName(pool int) string {
	if pool == servicePool {
		return d.name + "-service"
	}
	return d.name + "-llm"
}

// generation returns the hardware generation of an engine. Each zone has all
// three.
func (d *deployment) generation(engine int) *generation {
	return &generations[engine/d.zones%len(generations)]
}

// capacity returns an upper bound of the requests per second that the pool's
// targets serve within the objectives, of one tier or, if onlyTier is -1, of
// all. It assumes that all targets run at full speed with their best batch size
// and that no shared prefix is computed twice.
func (d *deployment) capacity(pool int, onlyTier int) float64 {
	if pool == servicePool {
		return float64(d.services*serviceWorkers) / logUniformMean(serviceSeconds)
	}
	prompt, answer := meanTokens()
	if onlyTier >= 0 {
		prompt, answer = logUniformMean(tierShapes[onlyTier].suffix),
			logUniformMean(tierShapes[onlyTier].answer)
	}
	sum := 0.0
	for i := range d.engines {
		sum += d.generation(i).requestRate(prompt, answer)
	}
	return sum
}

// target is an engine or a plain service.
type target interface {
	submit(j *job)
	cancel(j *job)
	currentLoad() targetLoad
	up() bool
}

// targetLoad is the load of a target at one point in time.
type targetLoad struct {
	at               time.Duration
	running, waiting int
	tokens           int // remaining prompt tokens and estimated answer tokens
}

// buildTargets creates the targets of all pools. If slow is set, a third of
// them, chosen by the seed, run at a third of full speed.
func (w *world) buildTargets(slow bool) {
	slowdowns := func(n int) []float64 {
		f := make([]float64, n)
		for i, p := range rand.New(rand.NewPCG(w.seed, 77)).Perm(n) {
			f[p] = 1
			if slow && i < n/3 {
				f[p] = 3
			}
		}
		return f
	}
	holders := holderCounts{}
	for i, f := range slowdowns(w.deployment.engines) {
		g := w.deployment.generation(i)
		e := &engine{
			id: i, zone: i % w.deployment.zones, generation: g, slowdown: f, w: w,
			cache: newPrefixCache(g.cacheBlocks, holders),
		}
		w.engines = append(w.engines, e)
		w.targets[enginePool] = append(w.targets[enginePool], e)
	}
	for i, f := range slowdowns(w.deployment.services) {
		s := &service{w: w, zone: i % w.deployment.zones, workers: serviceWorkers, slowdown: f}
		w.targets[servicePool] = append(w.targets[servicePool], s)
	}
}

// zoneOf returns the zone of a target.
func (w *world) zoneOf(target int) int { return target % w.deployment.zones }

// hostZone returns the zone of a host.
func (w *world) hostZone(host int) int { return host % w.deployment.zones }
