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

// tierShape describes the requests of one tier. Lengths in tokens are drawn
// log-uniformly between the two bounds.
type tierShape struct {
	fraction float64 // part of all requests
	prefix   [2]float64
	suffix   [2]float64
	answer   [2]float64
	deadline time.Duration
}

// shapes spreads answers over a factor of 100 and prompt tails over a factor
// of 190; the mean answer of about 270 tokens is that of section 1.5 (860,000
// tokens/s at 3,100 requests/s). Deadlines of urgent and interactive requests
// are those of the rules in section 2.2; the patient deadline lies beyond every
// run, as the 6 h of the rules do.
var tierShapes = [request.TierCount]tierShape{
	request.Urgent:      {0.1, [2]float64{512, 1024}, [2]float64{32, 256}, [2]float64{20, 160}, 20 * time.Second},
	request.Interactive: {0.6, [2]float64{512, 1536}, [2]float64{32, 768}, [2]float64{20, 400}, 20 * time.Second},
	request.Patient:     {0.3, [2]float64{512, 2048}, [2]float64{200, 6000}, [2]float64{100, 2000}, 10 * time.Minute},
}

// Bursts: every burstEvery, the rate is burstFactor times the rate between
// bursts for burstLength.
const (
	burstInterval = 5 * time.Second
	burstLength   = time.Second
	burstFactor   = 2.0
)

// leaveShare is the part of interactive callers that give up within 2 s.
const disconnectFraction = 0.01

// serviceWork bounds the seconds that a call to a plain service takes, drawn
// log-uniformly.
var serviceSeconds = [2]float64{0.02, 2}

func logUniform(rnd *rand.Rand, b [2]float64) float64 {
	return b[0] * math.Pow(b[1]/b[0], rnd.Float64())
}

func logUniformMean(b [2]float64) float64 { return (b[1] - b[0]) / math.Log(b[1]/b[0]) }

// meanTokens returns the mean length of answers and of the prompt part that is
// not shared, over all tiers.
func meanTokens() (tail, answer float64) {
	for _, s := range tierShapes {
		tail += s.fraction * logUniformMean(s.suffix)
		answer += s.fraction * logUniformMean(s.answer)
	}
	return tail, answer
}

// prefixKey identifies a shared prompt prefix.
type prefixKey struct {
	org, tier, variant int
}

// generator draws the requests of one pool.
type generator struct {
	rnd              *rand.Rand
	d                *deployment
	pool             int
	cumulativeShares []float64 // cumulative part of requests by organisation
	onlyTier         int       // draw this tier alone; -1 draws all
	count            uint64
}

func newGenerator(d *deployment, pool int, seed uint64, only int) *generator {
	g := &generator{rnd: rand.New(rand.NewPCG(seed, uint64(pool))), d: d, pool: pool, onlyTier: only}
	sum := 0.0
	for i := range d.organisations {
		sum += 1 / math.Pow(float64(i+1), d.zipfExponent)
		g.cumulativeShares = append(g.cumulativeShares, sum)
	}
	return g
}

// arrivals draws all requests from 0 to end at rate requests per second on
// average, in the order of arrival.
func (g *generator) arrivals(rate float64, end time.Duration) []*job {
	var jobs []*job
	part := burstLength.Seconds() / burstInterval.Seconds()
	quiet := rate / (1 + part*(burstFactor-1))
	for at := time.Duration(0); ; {
		r := quiet
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
		pool: g.pool, org: org, host: g.rnd.IntN(g.d.hosts),
		arrival: at, deadline: at + s.deadline, target: -1,
		req: &request.Request{
			ID:           strconv.Itoa(g.pool) + "-" + strconv.FormatUint(g.count, 10),
			Organisation: orgName(org), Tier: tier, Pool: g.d.poolName(g.pool),
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
// the same organisation and tier, and the answer. The scheduler's estimate of
// the answer is off by up to a factor of two either way.
func (g *generator) drawTokens(j *job, s *tierShape) {
	key := prefixKey{j.org, int(j.req.Tier), g.rnd.IntN(g.d.prefixesPerOrg)}
	own := rand.New(rand.NewPCG(key.hash(), g.d.prefixSeed))
	prefix := int(logUniform(own, s.prefix)) / blockTokens * blockTokens
	j.promptTokens = prefix + int(logUniform(g.rnd, s.suffix))
	j.answerTokens = int(logUniform(g.rnd, s.answer))
	j.req.PromptTokens = j.promptTokens
	j.req.MaxTokens = max(1, int(float64(j.answerTokens)*math.Pow(2, 2*g.rnd.Float64()-1)))
	j.req.Prefix = make([]uint64, 0, j.promptTokens/blockTokens)
	for n := blockTokens; n <= j.promptTokens; n += blockTokens {
		h := own.Uint64()
		if n > prefix {
			h = g.rnd.Uint64()
		}
		j.req.Prefix = append(j.req.Prefix, h)
	}
}

func (k prefixKey) hash() uint64 {
	return uint64(k.org)<<16 | uint64(k.tier)<<8 | uint64(k.variant)
}
