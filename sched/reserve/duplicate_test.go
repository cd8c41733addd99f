package reserve_test

import (
	"testing"

	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/reserve"
)

// Guards against a scheduler that panics with its lock held, or forgets a waiting request,
// because two requests that wait at the same time have the same id.
func TestWaitingRequestsMayShareAnID(t *testing.T) {
	p := reserve.New(reserve.Config{})
	first, second := waiter("same", request.Urgent, "o", start), waiter("same", request.Urgent, "o", start)
	submit(t, p, first, start)
	submit(t, p, second, start)
	submit(t, p, waiter("other", request.Urgent, "o", start), start)
	if !p.Remove(first) {
		t.Error("the first request does not wait")
	}
	p.SetTargets(engines(1, 4))
	grants := grantsOnly(p.Dispatch(start))
	if len(grants) != 2 || grants[0].Waiter != second || grants[1].Waiter.Request.ID != "other" {
		t.Errorf("grants %v, want the second request and the other one", grants)
	}
	if s := p.Stats(start); s.Waiting[request.Urgent] != 0 {
		t.Errorf("%d requests still wait", s.Waiting[request.Urgent])
	}
}
