package invariant

import (
	"fmt"
	"time"
)

// checkLeaving finds work that a target got after it was listed as leaving. A
// target that is listed again, without leaving, is another one.
func checkLeaving(h *history) []Violation {
	leaving := make(map[string]Event)
	var found []Violation
	for _, e := range h.events {
		switch e.Kind {
		case TargetLeaving:
			if _, ok := leaving[e.Target]; !ok {
				leaving[e.Target] = e
			}
		case Dispatched:
			if l, ok := leaving[e.Target]; ok && e.At.After(l.At.Add(h.limits.LeavingGrace)) {
				found = append(found, Violation{
					Message: fmt.Sprintf("%s got %s %s after it was listed as leaving", e.Target, e.Request, e.At.Sub(l.At)),
					Events:  []Event{l, e},
				})
			}
		}
	}
	return found
}

// checkShutdown finds answers that ended early on a host whose planned stop had
// begun. A host that crashes during the stop is recorded as down first.
func checkShutdown(h *history) []Violation {
	begun := make(map[string]Event)
	var found []Violation
	for _, e := range h.events {
		switch e.Kind {
		case ShutdownBegun:
			begun[e.Host] = e
		case HostDown, HostUp:
			delete(begun, e.Host)
		case ConnectionCut:
			if b, ok := begun[e.Host]; ok {
				found = append(found, Violation{
					Message: fmt.Sprintf("host %s cut off %d requests during its planned stop", e.Host, max(1, e.Count)),
					Events:  []Event{b, e},
				})
			}
		}
	}
	return found
}

// adoption is the configuration of one host.
type adoption struct {
	up     bool
	since  time.Time // when it was last taken as up
	number int64
	last   Event
}

// checkConfig requires that the number on each host never falls, also across
// restarts, and that each host that stays up adopts an accepted number in time.
func checkConfig(h *history) []Violation {
	hosts := make(map[string]*adoption)
	var found []Violation
	var due []Event
	host := func(name string) *adoption {
		if hosts[name] == nil {
			hosts[name] = &adoption{}
		}
		return hosts[name]
	}
	late := func(now time.Time) {
		for len(due) > 0 && now.After(due[0].At.Add(h.limits.ConfigSpread+h.limits.Observation)) {
			found = append(found, missing(hosts, due[0], now, h.limits.ConfigSpread)...)
			due = due[1:]
		}
	}
	for _, e := range h.events {
		late(e.At)
		switch e.Kind {
		case HostUp:
			a := host(e.Host)
			a.up, a.since = true, e.At
		case HostDown:
			host(e.Host).up = false
		case ConfigAccepted:
			due = append(due, e)
		case ConfigAdopted:
			a := host(e.Host)
			if e.Number < a.number {
				found = append(found, Violation{
					Message: fmt.Sprintf("host %s went back from configuration %d to %d", e.Host, a.number, e.Number),
					Events:  []Event{a.last, e},
				})
			}
			a.number, a.last = e.Number, e
		}
	}
	late(h.end())
	return found
}

// missing returns the hosts that have been up since the configuration was
// accepted and have not adopted it.
func missing(hosts map[string]*adoption, accepted Event, now time.Time, spread time.Duration) []Violation {
	var found []Violation
	for name, a := range hosts {
		if !a.up || a.since.After(accepted.At) || a.number >= accepted.Number {
			continue
		}
		found = append(found, Violation{
			Message: fmt.Sprintf("host %s has configuration %d, but %d was accepted more than %s before %s", name, a.number, accepted.Number, spread, now.Format("15:04:05.000")),
			Events:  []Event{accepted},
		})
	}
	return found
}
