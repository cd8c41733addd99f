package pool

import (
	"math"
	"time"

	"sardinefront.dev/core/request"
)

// runTimeEstimator learns how long requests of the pool run. Times are in seconds.
type runTimeEstimator struct {
	// meanFirst and devFirst are the mean and mean deviation of the time to first token.
	meanFirst, devFirst float64
	// meanHighTierFirst is the mean time to first token of urgent and interactive
	// requests.
	meanHighTierFirst float64
	meanPerToken      float64
	// meanLength and devLength describe the generated tokens as a fraction of MaxTokens.
	meanLength, devLength float64
}

const (
	// smoothingFactor averages over about the last 64 requests.
	smoothingFactor = 1.0 / 64
	// The defaults apply until the first measurement.
	defaultFirstSeconds    = 0.1
	defaultPerTokenSeconds = 0.02
	defaultLengthFraction  = 0.5
)

// recordFirst records a time to first token.
func (s *runTimeEstimator) recordFirst(d time.Duration, tier request.Tier) {
	v := d.Seconds()
	if tier != request.Patient {
		s.meanHighTierFirst += (v - s.meanHighTierFirst) * smoothingFactor
	}
	if s.meanFirst == 0 {
		s.meanFirst = v
	}
	s.meanFirst += (v - s.meanFirst) * smoothingFactor
	s.devFirst += (math.Abs(v-s.meanFirst) - s.devFirst) * smoothingFactor
}

// recordBetween records that n tokens took d.
func (s *runTimeEstimator) recordBetween(d time.Duration, n int) {
	v := d.Seconds() / float64(n)
	if s.meanPerToken == 0 {
		s.meanPerToken = v
	}
	s.meanPerToken += (v - s.meanPerToken) * smoothingFactor / 8
}

// recordLength records the length of a complete response. Responses without reported
// tokens are ignored.
func (s *runTimeEstimator) recordLength(e *entry, now time.Time) {
	if e.req.MaxTokens <= 0 || e.offset <= 0 {
		return
	}
	v := min(1, float64(e.offset)/float64(e.req.MaxTokens))
	if s.meanLength == 0 {
		s.meanLength = v
	}
	s.meanLength += (v - s.meanLength) * smoothingFactor
	s.devLength += (math.Abs(v-s.meanLength) - s.devLength) * smoothingFactor
}

// estimate returns the run time to allow for a request: the mean plus one mean deviation
// of each component.
func (s *runTimeEstimator) estimate(r *request.Request) time.Duration {
	first, perToken, length := s.meanFirst+s.devFirst, s.meanPerToken, s.meanLength+s.devLength
	if s.meanFirst == 0 {
		first = defaultFirstSeconds
	}
	if perToken == 0 {
		perToken = defaultPerTokenSeconds
	}
	if s.meanLength == 0 {
		length = defaultLengthFraction
	}
	seconds := first + perToken*min(1, length)*float64(max(0, r.MaxTokens))
	return time.Duration(seconds * float64(time.Second))
}
