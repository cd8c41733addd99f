package refusal

import "fmt"

// Retry identifies why a request was tried at another target. Requests that must
// not run twice are retried only where it is proven that they did not run.
type Retry uint8

// The retry reasons. They label the retry counter.
const (
	RetryDialFailed Retry = iota
	RetryTargetLeft
	RetryVersionHalted
	RetryTargetFull
	RetryTargetFailed
	RetryTargetSilent
	RetryAnswerCut
	RetryAnswerMismatched
	retryCount
)

var retryNames = [retryCount]string{"dial-failed", "target-left", "version-halted", "target-full", "target-failed", "target-silent", "answer-cut", "answer-mismatched"}

// String returns the counter label.
func (r Retry) String() string {
	if r >= retryCount {
		return fmt.Sprintf("retry(%d)", uint8(r))
	}
	return retryNames[r]
}

// Retries returns all retry reasons in table order.
func Retries() []Retry {
	all := make([]Retry, retryCount)
	for i := range all {
		all[i] = Retry(i)
	}
	return all
}
