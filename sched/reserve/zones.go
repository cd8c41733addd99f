package reserve

import (
	"maps"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/sched/drain"
)

// Zones is a set of availability zones. The nil value is empty.
type Zones map[string]bool

// Contain reports whether the set contains a zone. It never contains the empty name, which stands
// for an unknown zone.
func (z Zones) Contain(zone string) bool { return zone != "" && z[zone] }

// SetEvacuatedZones sets the zones whose targets get nothing, and reports whether they change.
// Requests that run there go on. Targets of a zone that is no longer evacuated may be cold, see
// RecordReturned.
func (p *Pool) SetEvacuatedZones(zones Zones, now time.Time) (changed bool) {
	if maps.Equal(p.evacuatedZones, zones) {
		return false
	}
	before := p.evacuatedZones
	p.evacuatedZones = maps.Clone(zones)
	for _, t := range p.order {
		evacuated := zones.Contain(t.Zone)
		t.drain.SetEvacuated(evacuated)
		if before.Contain(t.Zone) && !evacuated {
			p.RecordReturned(t.Name, now)
		}
	}
	return true
}

// Evacuated reports whether the targets of a zone get nothing.
func (p *Pool) Evacuated(zone string) bool { return p.evacuatedZones.Contain(zone) }

// refuseEvacuated returns a refusal if no target is open and at least one is in an evacuated zone.
// The operator may take as long as needed, so requests don't wait for the end of an evacuation.
func (p *Pool) refuseEvacuated(now time.Time) *refusal.Refusal {
	evacuated := 0
	for _, t := range p.order {
		switch t.drain.Closure(now) {
		case drain.Open:
			return nil
		case drain.Evacuated:
			evacuated++
		}
	}
	if evacuated == 0 {
		return nil
	}
	ref := refusal.New(refusal.NoTarget, "none of %d targets is open, %d are in evacuated zones", len(p.order), evacuated)
	ref.RetryAfter += time.Duration(p.rnd.Float64() * float64(callerReturnSpread))
	return ref
}
