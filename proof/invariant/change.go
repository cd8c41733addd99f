package invariant

import (
	"fmt"
	"time"
)

// checkLeaving returns the dispatches to targets that had been listed as leaving
// for longer than LeavingGrace. A target that is listed again without leaving is a
// different target.
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
					Message: fmt.Sprintf("target %s received request %s %s after it was listed as leaving", e.Target, e.Request, e.At.Sub(l.At)),
					Events:  []Event{l, e},
				})
			}
		}
	}
	return found
}

// checkShutdown returns the responses that were cut off on a host during its
// planned stop. HostDown and HostUp end the stop: responses cut by a crash during
// the stop are no violation, because HostDown is recorded before them.
func checkShutdown(h *history) []Violation {
	stopping := make(map[string]Event)
	var found []Violation
	for _, e := range h.events {
		switch e.Kind {
		case ShutdownStarted:
			stopping[e.Host] = e
		case HostDown, HostUp:
			delete(stopping, e.Host)
		case ConnectionCut:
			if stop, ok := stopping[e.Host]; ok {
				found = append(found, Violation{
					Message: fmt.Sprintf("host %s cut off %d requests during its planned stop", e.Host, max(1, e.RequestCount)),
					Events:  []Event{stop, e},
				})
			}
		}
	}
	return found
}

// hostConfig is the state of one host and of its active configuration.
type hostConfig struct {
	up      bool
	upSince time.Time // time of the last HostUp
	number  int64
	adopted Event
}

// checkConfig requires that the configuration number of each host never
// decreases, also across restarts, and that each host that stays up adopts an
// accepted number within ConfigPropagation.
func checkConfig(h *history) []Violation {
	hosts := make(map[string]*hostConfig)
	var found []Violation
	var pending []Event
	host := func(name string) *hostConfig {
		if hosts[name] == nil {
			hosts[name] = &hostConfig{}
		}
		return hosts[name]
	}
	reportOverdue := func(now time.Time) {
		for len(pending) > 0 && now.After(pending[0].At.Add(h.limits.ConfigPropagation+h.limits.ObservationDelay)) {
			found = append(found, missingAdoptions(hosts, pending[0], now, h.limits.ConfigPropagation)...)
			pending = pending[1:]
		}
	}
	for _, e := range h.events {
		reportOverdue(e.At)
		switch e.Kind {
		case HostUp:
			c := host(e.Host)
			c.up, c.upSince = true, e.At
		case HostDown:
			host(e.Host).up = false
		case ConfigAccepted:
			pending = append(pending, e)
		case ConfigAdopted:
			c := host(e.Host)
			if e.ConfigNumber < c.number {
				found = append(found, Violation{
					Message: fmt.Sprintf("host %s reverted from configuration %d to %d", e.Host, c.number, e.ConfigNumber),
					Events:  []Event{c.adopted, e},
				})
			}
			c.number, c.adopted = e.ConfigNumber, e
		}
	}
	reportOverdue(h.endTime())
	return found
}

// missingAdoptions returns a violation for each host that has been up since the
// configuration was accepted and has not adopted it or a later one.
func missingAdoptions(hosts map[string]*hostConfig, accepted Event, now time.Time, limit time.Duration) []Violation {
	var found []Violation
	for name, c := range hosts {
		if !c.up || c.upSince.After(accepted.At) || c.number >= accepted.ConfigNumber {
			continue
		}
		found = append(found, Violation{
			Message: fmt.Sprintf("host %s has configuration %d, but %d was accepted more than %s before %s", name, c.number, accepted.ConfigNumber, limit, now.Format("15:04:05.000")),
			Events:  []Event{accepted},
		})
	}
	return found
}
