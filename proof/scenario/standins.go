package scenario

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"sardinefront.dev/platform"
	"sardinefront.dev/proof/invariant"
	"sardinefront.dev/standin/engine"
	"sardinefront.dev/standin/service"
)

// standinServer is the common interface of simulated engines and services.
type standinServer interface {
	Start(address string) error
	Addr() string
	Close()
	RunCounts() map[string]int
	AddFault(f engine.Fault)
	SetLeaving(leaving bool)
	SetPushBack(p engine.PushBack)
	Rejected() (all, late int)
}

// standin is one simulated target. A restart replaces its server.
type standin struct {
	endpoint platform.Endpoint
	engine   *engine.Server // nil for a service

	mu           sync.Mutex
	server       standinServer
	newServer    func() standinServer
	recordedRuns map[string]int // recorded runs of the current server, by request
	endedRuns    map[string]int // runs of previous servers, by request
	leavingSince time.Time
}

// targets holds the simulated targets of a scenario by name.
type targets struct{ registry[*standin] }

// observe records the runs that have started since the last call. They are recorded with
// the time at, which must not be later than the start of any of them.
func (t *targets) observe(rec *invariant.Recorder, at time.Time) {
	t.forEach(func(s *standin) { s.observe(rec, at) })
}

func (t *targets) closeAll() {
	t.forEach(func(s *standin) { s.server.Close() })
}

// runCount returns how often a request has run at all targets together.
func (t *targets) runCount(requestID string) int {
	n := 0
	t.forEach(func(s *standin) { n += s.runCount(requestID) })
	return n
}

func (s *standin) observe(rec *invariant.Recorder, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := s.endpoint.Version
	if s.engine != nil {
		version = s.engine.Version()
	}
	for requestID, n := range s.server.RunCounts() {
		for ; s.recordedRuns[requestID] < n; s.recordedRuns[requestID]++ {
			rec.Record(invariant.Event{
				At: at, Kind: invariant.Dispatched, Request: requestID, Target: s.endpoint.Name, Pool: s.endpoint.Pool, Version: version,
			})
		}
	}
}

func (s *standin) runCount(requestID string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server.RunCounts()[requestID] + s.endedRuns[requestID]
}

// totalRuns returns the number of runs of all requests at the target.
func (s *standin) totalRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, runs := range s.server.RunCounts() {
		n += runs
	}
	for _, runs := range s.endedRuns {
		n += runs
	}
	return n
}

// addTarget starts a simulated target and adds it to the platform's list.
func (w *world) addTarget(endpoint platform.Endpoint, newServer func() standinServer) error {
	s := &standin{endpoint: endpoint, newServer: newServer, server: newServer(), recordedRuns: map[string]int{}, endedRuns: map[string]int{}}
	s.engine, _ = s.server.(*engine.Server)
	if err := w.startServer(s); err != nil {
		return err
	}
	w.targets.add(endpoint.Name, s)
	w.addEndpoint(s.endpoint)
	return nil
}

// startServer starts the target's server on a port that no other listener had before, so that
// requests to the previous server of another target cannot reach it.
func (w *world) startServer(s *standin) error {
	address, err := reservedAddress(w.listenAddress)
	if err != nil {
		return err
	}
	if err := s.server.Start(address); err != nil {
		return err
	}
	s.endpoint.Address = address
	return nil
}

// markLeaving records that the target is leaving, and marks it so in the platform's list if
// listed is set.
func (w *world) markLeaving(s *standin, listed bool) {
	s.mu.Lock()
	s.endpoint.Leaving = listed
	s.leavingSince = time.Now()
	endpoint := s.endpoint
	s.mu.Unlock()
	w.rec.Record(invariant.Event{Kind: invariant.TargetLeaving, Target: endpoint.Name})
	w.addEndpoint(endpoint)
}

// crash closes the target's server with all its connections and runs.
func (s *standin) crash(rec *invariant.Recorder) {
	s.server.Close()
	s.observe(rec, time.Now().Add(-observeInterval))
}

// restartTarget starts a new server of the target on another port.
func (w *world) restartTarget(s *standin) error {
	s.mu.Lock()
	for requestID, n := range s.server.RunCounts() {
		s.endedRuns[requestID] += n
	}
	s.recordedRuns = map[string]int{}
	s.server = s.newServer()
	s.engine, _ = s.server.(*engine.Server)
	err := w.startServer(s)
	endpoint := s.endpoint
	s.mu.Unlock()
	if err == nil {
		w.addEndpoint(endpoint)
	}
	return err
}

// activeRequests returns the number of requests that run or wait at an engine.
func (s *standin) activeRequests() (int, error) {
	resp, err := http.Get("http://" + s.server.Addr() + "/v1/load")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var report struct {
		Running int `json:"running"`
		Waiting int `json:"waiting"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&report); err != nil {
		return 0, fmt.Errorf("load report of %s: %w", s.endpoint.Name, err)
	}
	return report.Running + report.Waiting, nil
}

var (
	_ standinServer = (*engine.Server)(nil)
	_ standinServer = (*service.Server)(nil)
)
