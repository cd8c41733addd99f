package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"sardinefront.dev/core/request"
)

// tierShape describes the requests of one tier. The numbers of tokens are drawn
// log-uniformly between the two bounds. A prompt is a prefix shared with other
// requests and a suffix of its own.
type tierShape struct {
	fraction float64 // of all requests
	prefix   [2]float64
	suffix   [2]float64
	answer   [2]float64
	deadline time.Duration
}

// tierShapes spreads answers over a factor of 100 and prompt suffixes over a
// factor of 190. The mean answer of about 270 tokens is that of section 1.5 of
// docs/design.md (860,000 tokens/s at 3,100 requests/s). Deadlines of urgent and
// interactive requests are those of the rules in section 2.2. The rules give
// patient requests 6 h. The 10 min here are also later than the end of every run.
var tierShapes = [request.TierCount]tierShape{
	request.Urgent:      {0.1, [2]float64{512, 1024}, [2]float64{32, 256}, [2]float64{20, 160}, 20 * time.Second},
	request.Interactive: {0.6, [2]float64{512, 1536}, [2]float64{32, 768}, [2]float64{20, 400}, 20 * time.Second},
	request.Patient:     {0.3, [2]float64{512, 2048}, [2]float64{200, 6000}, [2]float64{100, 2000}, 10 * time.Minute},
}

// In the last burstLength of each burstInterval, the arrival rate is burstFactor
// times the rate between bursts.
const (
	burstInterval = 5 * time.Second
	burstLength   = time.Second
	burstFactor   = 2.0
)

// disconnectFraction is the fraction of interactive requests whose client
// disconnects within 2 s.
const disconnectFraction = 0.01

// serviceSeconds are the bounds of the processing time of a request to a plain
// service, drawn log-uniformly.
var serviceSeconds = [2]float64{0.02, 2}

func logUniform(rnd *rand.Rand, b [2]float64) float64 {
	return b[0] * math.Pow(b[1]/b[0], rnd.Float64())
}

func logUniformMean(b [2]float64) float64 { return (b[1] - b[0]) / math.Log(b[1]/b[0]) }

// meanTokens returns the mean length of prompt suffixes and of answers over all
// tiers.
func meanTokens() (suffix, answer float64) {
	for _, s := range tierShapes {
		suffix += s.fraction * logUniformMean(s.suffix)
		answer += s.fraction * logUniformMean(s.answer)
	}
	return suffix, answer
}

// prefixKey identifies a shared prompt prefix.
type prefixKey struct {
	org, tier, variant int
}

// generator draws random requests to one pool.
type generator struct {
	rnd              *rand.Rand
	deployment       *deployment
	pool             int
	cumulativeShares []float64 // cumulative weights of the organisations, not normalised
	onlyTier         int       // draw requests of this tier only; -1 means all tiers
	count            uint64
}

func newGenerator(d *deployment, pool int, seed uint64, onlyTier int) *generator {
	g := &generator{
		rnd: rand.New(rand.NewPCG(seed, uint64(pool))), deployment: d, pool: pool, onlyTier: onlyTier,
	}
	sum := 0.0
	for i := range d.organisations {
		sum += 1 / math.Pow(float64(i+1), d.zipfExponent)
		g.cumulativeShares = append(g.cumulativeShares, sum)
	}
	return g
}

// arrivals draws all requests from 0 to end in the order of arrival, with the
// given mean rate per second.
func (g *generator) arrivals(rate float64, end time.Duration) []*job {
	var jobs []*job
	burstFraction := burstLength.Seconds() / burstInterval.Seconds()
	baseRate := rate / (1 + burstFraction*(burstFactor-1))
	for at := time.Duration(0); ; {
		r := baseRate
		if at%burstInterval >= burstInterval-burstLength {
			r *= burstFactor
		}
		at += time.Duration(g.rnd.ExpFloat64() / r * float64(time.Second))
		if at >= end {
			return jobs
		}
		jobs = append(jobs, g.drawRequest(at))
	}
}

func (g *generator) drawRequest(at time.Duration) *job {
	tier := g.drawTier()
	s := &tierShapes[tier]
	org := g.drawOrg()
	g.count++
	j := &job{
		pool: g.pool, org: org, host: g.rnd.IntN(g.deployment.hosts),
		arrival: at, deadline: at + s.deadline, target: -1,
		req: &request.Request{
			ID:           strconv.Itoa(g.pool) + "-" + strconv.FormatUint(g.count, 10),
			Organisation: orgName(org), Tier: tier, Pool: g.deployment.poolName(g.pool),
			Arrived: wallEpoch.Add(at), Deadline: wallEpoch.Add(at + s.deadline),
		},
	}
	if g.pool == servicePool {
		j.serviceTime = time.Duration(logUniform(g.rnd, serviceSeconds) * float64(time.Second))
		return j
	}
	g.drawTokens(j, s)
	if tier != request.Patient {
		j.req.FirstToken = maxTimeToFirstToken
	}
	if tier == request.Interactive && g.rnd.Float64() < disconnectFraction {
		j.disconnectAt = at + time.Duration(g.rnd.Float64()*float64(2*time.Second))
	}
	return j
}

func orgName(org int) string { return fmt.Sprintf("org%04d", org) }

func (g *generator) drawTier() request.Tier {
	if g.onlyTier >= 0 {
		return request.Tier(g.onlyTier)
	}
	x := g.rnd.Float64()
	for t := range tierShapes {
		if x -= tierShapes[t].fraction; x < 0 {
			return request.Tier(t)
		}
	}
	return request.Patient
}

func (g *generator) drawOrg() int {
	x := g.rnd.Float64() * g.cumulativeShares[len(g.cumulativeShares)-1]
	i, _ := slices.BinarySearch(g.cumulativeShares, x)
	return min(i, len(g.cumulativeShares)-1)
}

// drawTokens draws the prompt, whose prefix is shared with other requests of
// the same organisation and tier, and the length of the answer. The estimate that
// schedulers see is too high or too low by up to a factor of two.
func (g *generator) drawTokens(j *job, s *tierShape) {
	key := prefixKey{j.org, int(j.req.Tier), g.rnd.IntN(g.deployment.prefixesPerOrg)}
	prefixRand := rand.New(rand.NewPCG(key.hash(), g.deployment.prefixSeed))
	prefix := int(logUniform(prefixRand, s.prefix)) / blockTokens * blockTokens
	j.promptTokens = prefix + int(logUniform(g.rnd, s.suffix))
	j.answerTokens = int(logUniform(g.rnd, s.answer))
	j.req.PromptTokens = j.promptTokens
	j.req.MaxTokens = max(1, int(float64(j.answerTokens)*math.Pow(2, 2*g.rnd.Float64()-1)))
	j.req.Prefix = make([]uint64, 0, j.promptTokens/blockTokens)
	for n := blockTokens; n <= j.promptTokens; n += blockTokens {
		h := prefixRand.Uint64()
		if n > prefix {
			h = g.rnd.Uint64()
		}
		j.req.Prefix = append(j.req.Prefix, h)
	}
}

func (k prefixKey) hash() uint64 {
	return uint64(k.org)<<16 | uint64(k.tier)<<8 | uint64(k.variant)
}
