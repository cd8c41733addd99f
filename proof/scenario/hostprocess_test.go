package scenario

import (
	"testing"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/host"
	"sardinefront.dev/proof/invariant"
)

// Guards against recording two tier floors as one when the gap between them falls
// between two observations: requests that a host starts in the gap are allowed and
// would be reported as violations.
func TestFloorsWithAGapAreTwo(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	floor := func(since int) host.Status {
		return host.Status{Pools: []host.PoolStatus{{Name: "p", Floor: request.Urgent.String(), FloorSince: at(since)}}}
	}
	p := &hostProcess{name: "a", floors: map[string]observedFloor{}}
	rec := invariant.NewRecorder(invariant.Limits{}, time.Now)
	p.observeFloors(rec, floor(0), at(10))
	p.observeFloors(rec, floor(0), at(150))
	p.observeFloors(rec, floor(350), at(360))
	p.observeFloors(rec, floor(350), at(700))
	p.observeFloors(rec, host.Status{Pools: []host.PoolStatus{{Name: "p"}}}, at(800))
	got := rec.Events()
	if len(got) != 2 {
		t.Fatalf("%d floors, want 2: %v", len(got), got)
	}
	for i, want := range [][2]time.Time{{at(10), at(150)}, {at(360), at(700)}} {
		if !got[i].At.Equal(want[0]) || !got[i].Until.Equal(want[1]) {
			t.Errorf("floor %d from %s until %s, want %s and %s", i, got[i].At, got[i].Until, want[0], want[1])
		}
	}
}
