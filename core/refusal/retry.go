package refusal

import "fmt"

// Retry identifies why a request was tried at another target. Requests that must
// not run twice are retried only where it is proven that they did not run.
type RetryReason uint8

// The retry reasons. They label the retry counter.
const (
	RetryDialFailed RetryReason = iota
	RetryTargetRemoved
	RetryVersionHalted
	RetryTargetFull
	RetryTargetFailed
	RetryTargetTimedOut
	RetryResponseTruncated
	RetryResponseMismatched
	retryCount
)

var retryNames = [retryCount]string{"dial-failed", "target-left", "version-halted", "target-full", "target-failed", "target-silent", "answer-cut", "answer-mismatched"}

// String returns the counter label.
func (r RetryReason) String() string {
	if r >= retryCount {
		return fmt.Sprintf("retry(%d)", uint8(r))
	}
	return retryNames[r]
}

// Retries returns all retry reasons in table order.
func RetryReasons() []RetryReason {
	all := make([]RetryReason, retryCount)
	for i := range all {
		all[i] = RetryReason(i)
	}
	return all
}
