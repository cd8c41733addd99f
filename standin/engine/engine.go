// Package engine simulates a model engine: continuous batching with a limited
// number of slots, a prefix cache, streams that outlive their connection, model
// loads with fencing, late reports and faults on demand.
package engine

import (
	"sync"
	"time"

	"sardinefront.dev/standin/internal/fault"
	"sardinefront.dev/standin/internal/web"
	"sardinefront.dev/target"
)

// The routes of completions and the header values.
const (
	pathCompletions = "/v1/completions"
	pathChat        = "/v1/chat/completions"
)

// Fault is a fault on demand, see POST /standin/fault.
type Fault = fault.Fault

// The kinds of faults.
const (
	FaultNone       = fault.None
	FaultSlow       = fault.Slow
	FaultFail       = fault.Fail
	FaultNoResponse = fault.NoResponse
	FaultTruncated  = fault.Truncated
	FaultMismatched = fault.Mismatched
	FaultEmpty      = fault.Empty
)

// Config describes the simulated engine. A zero value selects the default.
type Config struct {
	// Name separates the random choices of engines.
	Name    string
	Model   string
	Version string // default "1"
	Role    string
	// TokenRate is in output tokens per second and stream. Default 50.
	TokensPerSecond float64
	// PrefillRate is in prompt tokens per second; one prompt is processed at a
	// time. Default 10,000.
	PrefillTokensPerSecond float64
	// Slots is how many requests run at once; others wait in order of arrival.
	// Default 16.
	Slots int
	// BatchSlowdown is how much longer a token takes when all slots are in
	// use, as a share. Default 0.
	FullBatchSlowdown float64
	// CacheBlocks is the size of the prefix cache in blocks of
	// target.BlockBytes. Default 4096.
	CacheBlocks int
	// ReportLag is the least age of a load report; the greatest is twice that.
	LoadReportLag time.Duration
	// CacheLag is the delay of cache events, CacheGap the share of them that
	// is lost.
	CacheEventLag      time.Duration
	CacheEventLossRate float64
	// IgnoreFencing executes orders with an old fencing number instead of
	// refusing them.
	IgnoreFencing bool
	// SenderToken is the bearer token that orders need; empty means that
	// senders are not checked.
	SenderToken string
	// LoadTime is how long a model load takes. Default 100 ms.
	LoadDuration time.Duration
	// Retention is how long an ended or cancelled stream can be resumed.
	// Default 10 min.
	StreamRetention time.Duration
}

func (c Config) withDefaults() Config {
	if c.Version == "" {
		c.Version = "1"
	}
	if c.TokensPerSecond <= 0 {
		c.TokensPerSecond = 50
	}
	if c.PrefillTokensPerSecond <= 0 {
		c.PrefillTokensPerSecond = 10_000
	}
	if c.Slots <= 0 {
		c.Slots = 16
	}
	if c.CacheBlocks <= 0 {
		c.CacheBlocks = 4096
	}
	if c.LoadDuration <= 0 {
		c.LoadDuration = 100 * time.Millisecond
	}
	if c.StreamRetention <= 0 {
		c.StreamRetention = 10 * time.Minute
	}
	return c
}

// Server is a simulated engine.
type Server struct {
	*web.Server
	cfg    Config
	faults fault.FaultSet
	counts web.RunCounter
	cache  *cache
	batch  *batch
	model  model
	stats  stats

	mu   sync.Mutex
	runs map[string]*run

	reports reports
}

// New returns an engine that Start starts.
func New(cfg Config) *Server {
	cfg = cfg.withDefaults()
	s := &Server{
		Server: web.New(),
		cfg:    cfg,
		faults: fault.FaultSet{Salt: cfg.Name},
		cache:  newCache(cfg),
		batch:  newBatch(cfg.Slots),
		model:  model{name: cfg.Model, version: cfg.Version, role: cfg.Role},
		runs:   make(map[string]*run),
	}
	idle := s.load()
	s.reports.shown, s.reports.latest = idle, idle
	s.routes()
	return s
}

// Start listens on addr and serves in the background.
func (s *Server) Start(addr string) error {
	if err := s.Server.Start(addr); err != nil {
		return err
	}
	s.Go(s.maintain)
	return nil
}

// maintain samples load reports and forgets old runs.
func (s *Server) maintain() {
	sample := time.NewTicker(max(s.cfg.LoadReportLag, 10*time.Millisecond))
	defer sample.Stop()
	old := time.NewTicker(max(time.Second, s.cfg.StreamRetention/10))
	defer old.Stop()
	for {
		select {
		case <-sample.C:
			s.reports.sample(s.load())
		case now := <-old.C:
			s.forget(now.Add(-s.cfg.StreamRetention))
		case <-s.Context().Done():
			return
		}
	}
}

// forget removes the runs that ended before the given time.
func (s *Server) forget(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, r := range s.runs {
		if r.endedBefore(before) {
			delete(s.runs, id)
		}
	}
}

// AddFault adds a fault; FaultNone removes all.
func (s *Server) AddFault(f Fault) { s.faults.Add(f) }

// Runs returns how often each request id was run.
func (s *Server) RunCounts() map[string]int { return s.counts.Counts() }

// load returns the current truth, which callers see late.
func (s *Server) load() target.LoadReport {
	r := s.model.report()
	r.Running, r.Waiting, r.RemainingTokens = s.batch.load()
	r.Slots = s.cfg.Slots
	r.CachedBlocks, r.CacheBlocks = s.cache.size(), s.cfg.CacheBlocks
	return r
}

// reports delays load reports.
type reports struct {
	mu            sync.Mutex
	latest, shown target.LoadReport
}

func (r *reports) sample(now target.LoadReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shown, r.latest = r.latest, now
}

// get returns the delayed report.
func (r *reports) get() target.LoadReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shown
}
