package refusal

import "fmt"

// RetryReason is the cause of a retry at another target. Requests that must not run twice are
// retried only if it is proven that they did not run.
type RetryReason uint8

// The retry reasons. They are labels of the metric sardinefront_retries.
const (
	RetryDialFailed RetryReason = iota
	RetryTargetRemoved
	RetryVersionHalted
	RetryTargetFull
	RetryTargetFailed
	RetryTargetTimedOut
	RetryResponseTruncated
	RetryResponseMismatched
	RetryTargetClosed
	retryReasonCount
)

var retryReasonNames = [retryReasonCount]string{"dial-failed", "target-left", "version-halted", "target-full", "target-failed", "target-silent", "answer-cut", "answer-mismatched", "target-closed"}

// String returns the metric label.
func (r RetryReason) String() string {
	if r >= retryReasonCount {
		return fmt.Sprintf("retry(%d)", uint8(r))
	}
	return retryReasonNames[r]
}

// RetryReasons returns all retry reasons in the order of declaration.
func RetryReasons() []RetryReason {
	all := make([]RetryReason, retryReasonCount)
	for i := range all {
		all[i] = RetryReason(i)
	}
	return all
}
