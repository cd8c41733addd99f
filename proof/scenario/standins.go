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

// server is what simulated engines and services share.
type server interface {
	Start(address string) error
	Addr() string
	Close()
	RunCounts() map[string]int
	AddFault(f engine.Fault)
}

// standin is one simulated target.
type standin struct {
	info   platform.Endpoint
	engine *engine.Server // nil for a service

	mu      sync.Mutex
	server  server
	build   func() server
	seen    map[string]int // runs of the running process that are recorded
	earlier map[string]int // runs of ended processes
	leaving time.Time
}

// targets are the simulated targets of a scenario.
type targets struct {
	mu  sync.Mutex
	all map[string]*standin
}

func (t *targets) get(name string) *standin {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.all[name]
}

func (t *targets) each(f func(s *standin)) {
	t.mu.Lock()
	all := make([]*standin, 0, len(t.all))
	for _, s := range t.all {
		all = append(all, s)
	}
	t.mu.Unlock()
	for _, s := range all {
		f(s)
	}
}

// observe records the runs since the last call. They began after the given
// time, which is recorded because it cannot be later than the dispatch.
func (t *targets) observe(rec *invariant.Recorder, since time.Time) {
	t.each(func(s *standin) { s.observe(rec, since) })
}

func (t *targets) closeAll() {
	t.each(func(s *standin) { s.server.Close() })
}

// runs returns how often a request has run, over all targets.
func (t *targets) runs(key string) int {
	n := 0
	t.each(func(s *standin) { n += s.runs(key) })
	return n
}

func (s *standin) observe(rec *invariant.Recorder, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := s.info.Version
	if s.engine != nil {
		version = s.engine.Version()
	}
	for key, n := range s.server.RunCounts() {
		for ; s.seen[key] < n; s.seen[key]++ {
			rec.Record(invariant.Event{
				At: since, Kind: invariant.Dispatched, Request: key, Target: s.info.Name, Pool: s.info.Pool, Version: version,
			})
		}
	}
}

func (s *standin) runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server.RunCounts()[key] + s.earlier[key]
}

// total returns how many runs the target has had.
func (s *standin) total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, runs := range s.server.RunCounts() {
		n += runs
	}
	for _, runs := range s.earlier {
		n += runs
	}
	return n
}

// addTarget starts a simulated target and lists it.
func (w *world) addTarget(info platform.Endpoint, build func() server) error {
	s := &standin{info: info, build: build, server: build(), seen: map[string]int{}, earlier: map[string]int{}}
	s.engine, _ = s.server.(*engine.Server)
	if err := s.server.Start(w.loopback); err != nil {
		return err
	}
	s.info.Address = s.server.Addr()
	w.targets.mu.Lock()
	w.targets.all[info.Name] = s
	w.targets.mu.Unlock()
	w.list(s.info)
	return nil
}

// leave lists the target as leaving.
func (w *world) leave(s *standin) {
	s.mu.Lock()
	s.info.Leaving = true
	s.leaving = time.Now()
	info := s.info
	s.mu.Unlock()
	w.rec.Record(invariant.Event{Kind: invariant.TargetLeaving, Target: info.Name})
	w.list(info)
}

// crash ends the target's process with all its connections and runs.
func (s *standin) crash(rec *invariant.Recorder) {
	s.server.Close()
	s.observe(rec, time.Now().Add(-observeEvery))
}

// restart starts a new process of the target on another port.
func (w *world) restartTarget(s *standin) error {
	s.mu.Lock()
	for key, n := range s.server.RunCounts() {
		s.earlier[key] += n
	}
	s.seen = map[string]int{}
	s.server = s.build()
	s.engine, _ = s.server.(*engine.Server)
	err := s.server.Start(w.loopback)
	if err == nil {
		s.info.Address = s.server.Addr()
	}
	info := s.info
	s.mu.Unlock()
	if err == nil {
		w.list(info)
	}
	return err
}

// busy returns how many requests an engine runs or has waiting.
func (s *standin) busy() (int, error) {
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
		return 0, fmt.Errorf("load report of %s: %w", s.info.Name, err)
	}
	return report.Running + report.Waiting, nil
}

var (
	_ server = (*engine.Server)(nil)
	_ server = (*service.Server)(nil)
)
