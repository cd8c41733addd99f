package demo

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// The load. Capacity follows from the engines: slots divided by the mean time
// of a request.
const (
	loadFor     = 12 * time.Second
	burstFrom   = 3 * time.Second
	burstFor    = 2 * time.Second
	burstFactor = 4

	// loadFactor is the load on engines as a part of their capacity, outside
	// the burst. It leaves room for the engines that serve the bad version.
	loadFactor = 0.55
	// serviceRate is calls per second to plain services.
	serviceRate = 30

	slots       = 8
	tokenRate   = 60.0
	prefillRate = 40_000.0

	// Requests differ a hundredfold in length.
	minTokens, maxTokens = 2, 200
	minPrompt, maxPrompt = 25, 2500
	// sharedPrompts is how many different beginnings the prompts of a
	// deployment have, and sharedTokens how long these are.
	sharedPrompts = 40
	sharedTokens  = 512
	bytesPerToken = 4
)

// generations are the speeds of the three generations of hardware.
var generations = [3]float64{0.6, 1, 1.4}

// job is one call of the load. The list is the same for every scheduler.
type job struct {
	at           time.Duration
	kind         *requestKind
	id           string
	organisation string
	prompt       string
	promptTokens int
	// shared is the index of the prompt's beginning, or -1.
	shared int
	tokens int
}

// logUniform draws from lo to hi so that each order of magnitude is as likely.
func logUniform(rnd *rand.Rand, lo, hi float64) int {
	return int(math.Exp(math.Log(lo) + rnd.Float64()*(math.Log(hi)-math.Log(lo))))
}

func logUniformMean(lo, hi float64) float64 { return (hi - lo) / math.Log(hi/lo) }

// engineRate returns the calls per second to engines outside the burst.
func engineRate(d *deployment) float64 {
	perRequest := logUniformMean(minTokens, maxTokens)/tokenRate + logUniformMean(minPrompt, maxPrompt)/prefillRate
	return loadFactor * float64(d.engines*slots) / perRequest
}

// makeLoad returns the calls of a deployment in order of arrival.
func makeLoad(d *deployment, seed uint64) []job {
	rnd := rand.New(rand.NewPCG(seed, 1))
	var jobs []job
	for i := range d.kinds {
		kind := &d.kinds[i]
		rate := serviceRate * kind.share
		if kind.engine {
			rate = engineRate(d) * kind.share
		}
		jobs = append(jobs, arrivals(d, kind, rate, rnd)...)
	}
	sortJobs(jobs)
	for i := range jobs {
		jobs[i].id = fmt.Sprintf("%d-%d", seed, i)
	}
	return jobs
}

func arrivals(d *deployment, kind *requestKind, rate float64, rnd *rand.Rand) []job {
	var jobs []job
	for at := 0.0; ; {
		now := rate
		t := time.Duration(at * float64(time.Second))
		if kind.burst && t >= burstFrom && t < burstFrom+burstFor {
			now *= burstFactor
		}
		at += rnd.ExpFloat64() / now
		t = time.Duration(at * float64(time.Second))
		if t >= loadFor {
			return jobs
		}
		jobs = append(jobs, newJob(d, kind, t, rnd))
	}
}

func newJob(d *deployment, kind *requestKind, at time.Duration, rnd *rand.Rand) job {
	j := job{at: at, kind: kind, organisation: kind.organisation, shared: -1}
	if j.organisation == "" {
		j.organisation = d.organisations[rnd.IntN(len(d.organisations))]
	}
	if !kind.engine {
		return j
	}
	j.tokens = logUniform(rnd, minTokens, maxTokens)
	j.promptTokens = logUniform(rnd, minPrompt, maxPrompt)
	own := fmt.Sprintf("request %d ", rnd.Uint64())
	j.prompt = own + strings.Repeat("x", max(0, j.promptTokens*bytesPerToken-len(own)))
	if j.promptTokens > sharedTokens {
		j.shared = rnd.IntN(sharedPrompts)
		start := strings.Repeat(fmt.Sprintf("shared beginning %3d ", j.shared), sharedTokens*bytesPerToken/21+1)[:sharedTokens*bytesPerToken]
		j.prompt = start + j.prompt[:len(j.prompt)-len(start)]
	}
	j.promptTokens = len(j.prompt) / bytesPerToken
	return j
}

// leastPrefill returns the prompt tokens that the good answers needed at the
// least: each shared beginning once, everything else each time.
func leastPrefill(jobs []job, good func(i int) bool) int64 {
	var sum int64
	seen := make(map[int]bool)
	for i, j := range jobs {
		if !j.kind.engine || !good(i) {
			continue
		}
		sum += int64(j.promptTokens)
		if j.shared >= 0 && seen[j.shared] {
			sum -= sharedTokens
		}
		if j.shared >= 0 {
			seen[j.shared] = true
		}
	}
	return sum
}
