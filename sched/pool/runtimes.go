package pool

import (
	"math"
	"time"

	"sardinefront.dev/core/request"
)

// runTimeEstimator estimates how long requests of the pool run, from moving averages. Times
// are in seconds.
type runTimeEstimator struct {
	// meanFirstToken and devFirstToken are the mean and mean deviation of the time to first token.
	meanFirstToken, devFirstToken float64
	// meanHighTierFirstToken is the mean time to first token of urgent and interactive
	// requests.
	meanHighTierFirstToken float64
	meanPerToken           float64
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

// recordFirstToken records a time to first token.
func (s *runTimeEstimator) recordFirstToken(d time.Duration, tier request.Tier) {
	v := d.Seconds()
	if tier != request.Patient {
		s.meanHighTierFirstToken += (v - s.meanHighTierFirstToken) * smoothingFactor
	}
	if s.meanFirstToken == 0 {
		s.meanFirstToken = v
	}
	s.meanFirstToken += (v - s.meanFirstToken) * smoothingFactor
	s.devFirstToken += (math.Abs(v-s.meanFirstToken) - s.devFirstToken) * smoothingFactor
}

// recordInterToken records that n tokens arrived within d.
func (s *runTimeEstimator) recordInterToken(d time.Duration, n int) {
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
	first, perToken, length := s.meanFirstToken+s.devFirstToken, s.meanPerToken, s.meanLength+s.devLength
	if s.meanFirstToken == 0 {
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
