package pool

import (
	"math"
	"time"

	"sardinefront.dev/core/request"
)

// serviceTime learns how long requests of the pool run, in seconds.
type serviceTime struct {
	firstMean, firstDev float64
	// fastFirst is the mean time to first token of urgent and interactive work.
	fastFirst float64
	perToken  float64
	// length is the mean of generated tokens as a part of MaxTokens.
	length, lengthDev float64
}

const (
	// smoothing averages over the last 64 requests or so.
	smoothing = 1.0 / 64
	// The assumptions before the first answers.
	defaultFirst    = 0.1
	defaultPerToken = 0.02
	defaultLength   = 0.5
)

func (s *serviceTime) first(d time.Duration, tier request.Tier) {
	v := d.Seconds()
	if tier != request.Patient {
		s.fastFirst += (v - s.fastFirst) * smoothing
	}
	if s.firstMean == 0 {
		s.firstMean = v
	}
	s.firstMean += (v - s.firstMean) * smoothing
	s.firstDev += (math.Abs(v-s.firstMean) - s.firstDev) * smoothing
}

func (s *serviceTime) between(d time.Duration, n int) {
	v := d.Seconds() / float64(n)
	if s.perToken == 0 {
		s.perToken = v
	}
	s.perToken += (v - s.perToken) * smoothing / 8
}

// done learns the length of complete answers that ran without a pause. Answers
// whose tokens were not reported are left out.
func (s *serviceTime) done(e *entry, now time.Time) {
	if e.req.MaxTokens <= 0 || e.offset <= 0 {
		return
	}
	v := min(1, float64(e.offset)/float64(e.req.MaxTokens))
	if s.length == 0 {
		s.length = v
	}
	s.length += (v - s.length) * smoothing
	s.lengthDev += (math.Abs(v-s.length) - s.lengthDev) * smoothing
}

// estimate returns the run time to allow for: the mean and one mean deviation
// of each part.
func (s *serviceTime) estimate(r *request.Request) time.Duration {
	first, perToken, length := s.firstMean+s.firstDev, s.perToken, s.length+s.lengthDev
	if s.firstMean == 0 {
		first = defaultFirst
	}
	if perToken == 0 {
		perToken = defaultPerToken
	}
	if s.length == 0 {
		length = defaultLength
	}
	seconds := first + perToken*min(1, length)*float64(max(0, r.MaxTokens))
	return time.Duration(seconds * float64(time.Second))
}
