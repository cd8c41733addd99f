package demo

import (
	"fmt"
	"time"

	"sardinefront.dev/platform"
	"sardinefront.dev/standin/engine"
	"sardinefront.dev/standin/service"
)

// reportLag and cacheLag make the engines' reports stale, as real ones are.
const (
	reportLag = 500 * time.Millisecond
	cacheLag  = 300 * time.Millisecond
	cacheGap  = 0.05
	// serviceLatency is the time of one call to a plain service.
	serviceLatency = 20 * time.Millisecond
)

// targetSet is the simulated targets of one deployment.
type targetSet struct {
	engines  []*engine.Server
	services []*service.Server
	list     []platform.Endpoint
}

// startTargets starts the targets. The first engines serve a new version that
// fails every request.
func startTargets(d *deployment) (*targetSet, error) {
	s := &targetSet{}
	for i := range d.engines {
		speed := generations[i%len(generations)]
		version := d.version
		if i < d.onNewVersion() {
			version = d.newVersion()
		}
		e := engine.New(engine.Config{
			Name: fmt.Sprintf("%s-%d", d.enginePool, i), Model: d.enginePool, Version: version,
			TokensPerSecond: tokenRate * speed, PrefillTokensPerSecond: prefillRate * speed, Slots: slots,
			LoadReportLag: reportLag, CacheEventLag: cacheLag, CacheEventLossRate: cacheGap,
			IgnoreFencing: i%2 == 1,
		})
		if version != d.version {
			e.AddFault(engine.Fault{Kind: engine.FaultFail, Version: version})
		}
		if err := e.Start("127.0.0.1:0"); err != nil {
			return s, err
		}
		s.engines = append(s.engines, e)
		s.add(d, fmt.Sprintf("%s-%d", d.enginePool, i), e.Addr(), d.enginePool, version, i)
	}
	for i := range d.services {
		v := service.New(service.Config{Name: fmt.Sprintf("%s-%d", d.servicePool, i), Latency: serviceLatency})
		if err := v.Start("127.0.0.1:0"); err != nil {
			return s, err
		}
		s.services = append(s.services, v)
		s.add(d, fmt.Sprintf("%s-%d", d.servicePool, i), v.Addr(), d.servicePool, "", i)
	}
	return s, nil
}

func (s *targetSet) add(d *deployment, name, address, pool, version string, i int) {
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

// runs returns how often each request id ran, over all targets.
func (s *targetSet) runs() map[string]int {
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

// engineRuns returns the number of requests that ran at engines.
func (s *targetSet) engineRuns() int {
	n := 0
	for _, e := range s.engines {
		n += len(e.RunCounts())
	}
	return n
}

func (s *targetSet) prefilled() int64 {
	var sum int64
	for _, e := range s.engines {
		sum += e.Stats().PrefilledTokens
	}
	return sum
}
