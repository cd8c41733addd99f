package pool

import (
	"testing"
	"time"

	"sardinefront.dev/core/request"
)

// Guards against a sound target that is ejected because requests take longer than their deadlines,
// and against one that never responds and is not ejected.
func TestDeadlinesEjectOnlyTargetsWithoutProgress(t *testing.T) {
	for _, progressing := range []bool{true, false} {
		p := newTestPool(Engine, "1")
		now := start
		stream := newRequest(0, request.Urgent)
		singleAction(t, p.Submit(stream, now), Dispatch)
		p.RecordFirstByte(stream.ID, now)
		ejected := false
		for k := 1; k <= 3; k++ {
			r := newRequest(k, request.Urgent)
			p.Submit(r, now)
			now = now.Add(time.Second)
			if progressing {
				p.RecordProgress(stream.ID, 10*k, now)
			}
			for _, a := range p.Done(r.ID, DeadlineReached, now) {
				ejected = ejected || a.Kind == Eject
			}
		}
		if ejected == progressing {
			t.Errorf("target that makes progress %v: ejected %v", progressing, ejected)
		}
	}
}
