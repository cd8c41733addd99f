package ingress

import (
	"testing"
	"time"

	"sardinefront.dev/gateway/protocol"
)

// Guards against a resumed stream that waits behind new requests, because its caller states less time
// than for the first attempt: its next event is due within the tolerated pause.
func TestResumedStreamHasNoAge(t *testing.T) {
	if got := statedTimeout(protocol.RequestInfo{Timeout: 9 * time.Second, LastEventID: "7"}); got != 0 {
		t.Errorf("a resumed stream states %s, want none", got)
	}
	if got := statedTimeout(protocol.RequestInfo{Timeout: 9 * time.Second}); got != 9*time.Second {
		t.Errorf("a new request states %s, want 9s", got)
	}
}
