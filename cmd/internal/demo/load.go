package demo

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// The parameters of the load. The capacity of the engines is the number of their slots divided
// by the mean time of a request.
const (
	loadDuration  = 12 * time.Second
	burstStart    = 3 * time.Second
	burstDuration = 2 * time.Second
	burstFactor   = 4

	// engineUtilisation is the load on the engines outside the burst as a fraction of their
	// capacity. The rest compensates for the engines that serve the bad version.
	engineUtilisation     = 0.55
	serviceCallsPerSecond = 30

	engineSlots            = 8
	tokensPerSecond        = 60.0
	prefillTokensPerSecond = 40_000.0

	// The lengths of requests vary by a factor of 100.
	minOutputTokens, maxOutputTokens = 2, 200
	minPromptTokens, maxPromptTokens = 25, 2500
	// sharedPrefixCount is the number of different prefixes that long prompts of a deployment
	// start with. Each has sharedPrefixTokens tokens.
	sharedPrefixCount  = 40
	sharedPrefixTokens = 512
	bytesPerToken      = 4
)

// hardwareSpeeds are the relative speeds of the three generations of hardware.
var hardwareSpeeds = [3]float64{0.6, 1, 1.4}

// job is one call of the load. Every scheduler receives the same jobs.
type job struct {
	arrival      time.Duration
	kind         *requestKind
	id           string
	organisation string
	prompt       string
	promptTokens int
	// sharedPrefix is the index of the prompt's shared prefix, or -1.
	sharedPrefix int
	outputTokens int
}

// logUniform draws a number between lo and hi whose logarithm is uniformly distributed.
func logUniform(rnd *rand.Rand, lo, hi float64) int {
	return int(math.Exp(math.Log(lo) + rnd.Float64()*(math.Log(hi)-math.Log(lo))))
}

// logUniformMean returns the mean of the distribution of logUniform.
func logUniformMean(lo, hi float64) float64 { return (hi - lo) / math.Log(hi/lo) }

// engineCallsPerSecond returns the rate of calls to engines outside the burst.
func engineCallsPerSecond(d *deployment) float64 {
	perRequest := logUniformMean(minOutputTokens, maxOutputTokens)/tokensPerSecond + logUniformMean(minPromptTokens, maxPromptTokens)/prefillTokensPerSecond
	return engineUtilisation * float64(d.engines*engineSlots) / perRequest
}

// generateLoad returns the jobs of a deployment in order of arrival.
func generateLoad(d *deployment, seed uint64) []job {
	rnd := rand.New(rand.NewPCG(seed, 1))
	var jobs []job
	for i := range d.kinds {
		kind := &d.kinds[i]
		rate := serviceCallsPerSecond * kind.share
		if kind.usesEngine {
			rate = engineCallsPerSecond(d) * kind.share
		}
		jobs = append(jobs, generateArrivals(d, kind, rate, rnd)...)
	}
	sortJobs(jobs)
	for i := range jobs {
		jobs[i].id = fmt.Sprintf("%d-%d", seed, i)
	}
	return jobs
}

// generateArrivals returns the jobs of one kind, which arrive as a Poisson process.
func generateArrivals(d *deployment, kind *requestKind, rate float64, rnd *rand.Rand) []job {
	var jobs []job
	for at := 0.0; ; {
		currentRate := rate
		t := time.Duration(at * float64(time.Second))
		if kind.hasBurst && t >= burstStart && t < burstStart+burstDuration {
			currentRate *= burstFactor
		}
		at += rnd.ExpFloat64() / currentRate
		t = time.Duration(at * float64(time.Second))
		if t >= loadDuration {
			return jobs
		}
		jobs = append(jobs, newJob(d, kind, t, rnd))
	}
}

func newJob(d *deployment, kind *requestKind, at time.Duration, rnd *rand.Rand) job {
	j := job{arrival: at, kind: kind, organisation: kind.organisation, sharedPrefix: -1}
	if j.organisation == "" {
		j.organisation = d.organisations[rnd.IntN(len(d.organisations))]
	}
	if !kind.usesEngine {
		return j
	}
	j.outputTokens = logUniform(rnd, minOutputTokens, maxOutputTokens)
	j.promptTokens = logUniform(rnd, minPromptTokens, maxPromptTokens)
	unique := fmt.Sprintf("request %d ", rnd.Uint64())
	j.prompt = unique + strings.Repeat("x", max(0, j.promptTokens*bytesPerToken-len(unique)))
	if j.promptTokens > sharedPrefixTokens {
		j.sharedPrefix = rnd.IntN(sharedPrefixCount)
		prefix := strings.Repeat(fmt.Sprintf("shared beginning %3d ", j.sharedPrefix), sharedPrefixTokens*bytesPerToken/21+1)[:sharedPrefixTokens*bytesPerToken]
		j.prompt = prefix + j.prompt[:len(j.prompt)-len(prefix)]
	}
	j.promptTokens = len(j.prompt) / bytesPerToken
	return j
}

// minPrefillTokens returns the minimum number of prompt tokens to prefill for the jobs that good
// selects: each shared prefix once, and the rest of each prompt.
func minPrefillTokens(jobs []job, good func(i int) bool) int64 {
	var sum int64
	seen := make(map[int]bool)
	for i, j := range jobs {
		if !j.kind.usesEngine || !good(i) {
			continue
		}
		sum += int64(j.promptTokens)
		if j.sharedPrefix >= 0 && seen[j.sharedPrefix] {
			sum -= sharedPrefixTokens
		}
		if j.sharedPrefix >= 0 {
			seen[j.sharedPrefix] = true
		}
	}
	return sum
}
