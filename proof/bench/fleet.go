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

// Network delays in one direction. Section 1.3 of the design page gives none;
// these are usual for one zone and for zones of one region.
const (
	sameZoneDelay  = 500 * time.Microsecond
	crossZoneDelay = 1500 * time.Microsecond
)

// deployment describes a fleet and who uses it, from section 1.5 of the design
// page.
type deployment struct {
	name          string
	zones         int
	engines       int
	services      int
	hosts         int
	organisations int
	// skew is the exponent of the Zipf law of the organisations' parts.
	zipfExponent float64
	// prefixes is the number of shared prefixes per organisation and tier.
	prefixesPerOrg int
	prefixSeed     uint64
	// remote says that hosts probe hosts of zones outside the run; the probes
	// are counted in bytes only.
	remoteZones bool
}

// fjellvarsel, lampuKaca and targetZone are the deployments of section 1.5.
// The target zone serves a ninth of the organisations.
var (
	fjellvarsel = &deployment{name: "fjellvarsel", zones: 3, engines: 12, services: 3, hosts: 8, organisations: 5, zipfExponent: 0.8, prefixesPerOrg: 12, prefixSeed: 1}
	lampuKaca   = &deployment{name: "lampu-kaca", zones: 4, engines: 20, services: 4, hosts: 8, organisations: 5, zipfExponent: 0.8, prefixesPerOrg: 20, prefixSeed: 2}
	targetZone  = &deployment{name: "target-zone", zones: 1, engines: 300, hosts: 40, organisations: 29_000 / 9, zipfExponent: 1, prefixesPerOrg: 2, prefixSeed: 3, remoteZones: true}
)

// serviceWorkers is the number of concurrent requests of a plain service.
const serviceWorkers = 16

func (d *deployment) poolName(pool int) string {
	if pool == servicePool {
		return d.name + "-service"
	}
	return d.name + "-llm"
}

// generation returns the hardware of an engine. Each zone has all three.
func (d *deployment) generation(engine int) *generation {
	return &generations[engine/d.zones%len(generations)]
}

// capacity returns the requests per second that the pool's targets serve
// within the objectives when all are at full speed, no shared prefix is
// computed twice and every target is always at its best batch size. It is
// computed from the parameters alone and is an upper bound.
func (d *deployment) capacity(pool int, only int) float64 {
	if pool == servicePool {
		return float64(d.services*serviceWorkers) / logUniformMean(serviceSeconds)
	}
	tail, answer := meanTokens()
	if only >= 0 {
		tail, answer = logUniformMean(tierShapes[only].suffix), logUniformMean(tierShapes[only].answer)
	}
	sum := 0.0
	for i := range d.engines {
		sum += d.generation(i).requestRate(tail, answer)
	}
	return sum
}

// target is what engines and services have in common.
type target interface {
	submit(j *job)
	cancel(j *job)
	currentLoad() targetLoad
	up() bool
}

// load is the true state of a target at one instant.
type targetLoad struct {
	at               time.Duration
	running, waiting int
	tokens           int // prompt and answer tokens still to do, answers by estimate
}

// buildTargets creates the targets of all pools. A third of them, chosen by
// the seed, runs at a third of its speed where slow is set.
func (w *world) buildTargets(slow bool) {
	factor := func(n int) []float64 {
		f := make([]float64, n)
		for i, p := range rand.New(rand.NewPCG(w.seed, 77)).Perm(n) {
			f[p] = 1
			if slow && i < n/3 {
				f[p] = 3
			}
		}
		return f
	}
	shared := holderCounts{}
	for i, f := range factor(w.d.engines) {
		g := w.d.generation(i)
		e := &engine{id: i, zone: i % w.d.zones, gen: g, slowdown: f, w: w, cache: newPrefixCache(g.cacheBlocks, shared)}
		w.engines = append(w.engines, e)
		w.targets[enginePool] = append(w.targets[enginePool], e)
	}
	for i, f := range factor(w.d.services) {
		s := &service{w: w, zone: i % w.d.zones, workers: serviceWorkers, slowdown: f}
		w.targets[servicePool] = append(w.targets[servicePool], s)
	}
}

// zoneOf returns the zone of a target.
func (w *world) zoneOf(target int) int { return target % w.d.zones }

// hostZone returns the zone of a host.
func (w *world) hostZone(host int) int { return host % w.d.zones }
