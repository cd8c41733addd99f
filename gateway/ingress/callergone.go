package ingress

import (
	"net/http"

	"sardinefront.dev/core/refusal"
)

// callerGone returns the refusal of a request whose caller has closed its side of the connection. It
// may still read: a caller that has left can't be told from one that sends no further request.
func (x *exchange) callerGone(format string, args ...any) *refusal.Refusal {
	ref := refusal.New(refusal.CallerDisconnected, format, args...)
	if !x.mayHaveRun {
		ref.RunState = refusal.NotRun
	}
	return ref
}

// responseStatus returns the status with which a refusal is sent. That of a caller who is gone is for
// logs only: callers know no status for it that tells them whether the request ran.
func responseStatus(ref *refusal.Refusal) int {
	switch {
	case ref.Reason != refusal.CallerDisconnected:
		return ref.Reason.Status()
	case ref.RunState == refusal.NotRun:
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
