package demo

import (
	"fmt"
	"time"

	"sardinefront.dev/platform"
	"sardinefront.dev/standin/engine"
	"sardinefront.dev/standin/service"
)

const (
	// The engines' load reports and cache events are delayed, and some cache events are lost.
	reportLag           = 500 * time.Millisecond
	cacheLag            = 300 * time.Millisecond
	cacheEventLossRatio = 0.05
	// serviceLatency is the duration of a call to a plain service.
	serviceLatency = 20 * time.Millisecond
)

// targetSet holds the simulated targets of one deployment.
type targetSet struct {
	engines  []*engine.Server
	services []*service.Server
	list     []platform.Endpoint
}

// startTargets starts the targets. The first engines serve the new version, which fails every
// request. Every second engine ignores fencing tokens.
func startTargets(d *deployment) (*targetSet, error) {
	s := &targetSet{}
	for i := range d.engines {
		speed := hardwareSpeeds[i%len(hardwareSpeeds)]
		version := d.version
		if i < d.newVersionEngines() {
			version = d.newVersion()
		}
		e := engine.New(engine.Config{
			Name: fmt.Sprintf("%s-%d", d.enginePool, i), Model: d.enginePool, Version: version,
			TokensPerSecond: tokensPerSecond * speed, PrefillTokensPerSecond: prefillTokensPerSecond * speed, Slots: engineSlots,
			LoadReportLag: reportLag, CacheEventLag: cacheLag, CacheEventLossRate: cacheEventLossRatio,
			IgnoreFencing: i%2 == 1,
		})
		if version != d.version {
			e.AddFault(engine.Fault{Kind: engine.FaultFail, Version: version})
		}
		if err := e.Start("127.0.0.1:0"); err != nil {
			return s, err
		}
		s.engines = append(s.engines, e)
		s.addEndpoint(d, fmt.Sprintf("%s-%d", d.enginePool, i), e.Addr(), d.enginePool, version, i)
	}
	for i := range d.services {
		v := service.New(service.Config{Name: fmt.Sprintf("%s-%d", d.servicePool, i), Latency: serviceLatency})
		if err := v.Start("127.0.0.1:0"); err != nil {
			return s, err
		}
		s.services = append(s.services, v)
		s.addEndpoint(d, fmt.Sprintf("%s-%d", d.servicePool, i), v.Addr(), d.servicePool, "", i)
	}
	return s, nil
}

func (s *targetSet) addEndpoint(d *deployment, name, address, pool, version string, i int) {
	s.list = append(s.list, platform.Endpoint{
		Name: name, Role: platform.RoleTarget, Address: address, Zone: d.zones[i%len(d.zones)], Pool: pool, Version: version,
	})
}

func (s *targetSet) close() {
	for _, e := range s.engines {
		e.Close()
	}
	for _, v := range s.services {
		v.Close()
	}
}

// runsByID returns how often each request id ran, summed over all targets.
func (s *targetSet) runsByID() map[string]int {
	all := make(map[string]int)
	for _, e := range s.engines {
		for id, n := range e.RunCounts() {
			all[id] += n
		}
	}
	for _, v := range s.services {
		for id, n := range v.RunCounts() {
			all[id] += n
		}
	}
	return all
}

// engineRuns returns the number of request ids that ran at engines, counted per engine.
func (s *targetSet) engineRuns() int {
	n := 0
	for _, e := range s.engines {
		n += len(e.RunCounts())
	}
	return n
}

// prefilledTokens returns the number of prompt tokens that the engines prefilled.
func (s *targetSet) prefilledTokens() int64 {
	var sum int64
	for _, e := range s.engines {
		sum += e.Stats().PrefilledTokens
	}
	return sum
}
