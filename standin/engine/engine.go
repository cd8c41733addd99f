// Package engine simulates a model engine for clients of package target: continuous
// batching with a limited number of slots, a prefix cache, streams that outlive their
// connection, model loads with fencing, delayed load reports and fault injection.
package engine

import (
	"sync"
	"time"

	"sardinefront.dev/standin/internal/fault"
	"sardinefront.dev/standin/internal/web"
	"sardinefront.dev/target"
)

// The completion routes.
const (
	pathCompletions = "/v1/completions"
	pathChat        = "/v1/chat/completions"
)

// Fault is an injected fault. POST /standin/fault accepts it as JSON.
type Fault = fault.Fault

// PushBack is a time in which the engine turns all requests away. POST /standin/push-back
// accepts it as JSON.
type PushBack = web.PushBack

// The fault kinds of an engine.
const (
	FaultNone       = fault.None
	FaultSlow       = fault.Slow
	FaultFail       = fault.Fail
	FaultNoResponse = fault.NoResponse
	FaultTruncated  = fault.Truncated
	FaultMismatched = fault.Mismatched
	FaultEmpty      = fault.Empty
)

// Config configures the simulated engine. Zero values select the defaults.
type Config struct {
	// Name seeds the random choices, so that engines with different names lose
	// different cache events and fail different requests.
	Name    string
	Model   string
	Version string // default "1"
	Role    string
	// TokensPerSecond is the rate of output tokens of each stream. Default 50.
	TokensPerSecond float64
	// PrefillTokensPerSecond is the rate at which prompt tokens are processed,
	// one prompt at a time. Default 10,000.
	PrefillTokensPerSecond float64
	// Slots is the number of requests that run concurrently; others wait in
	// order of arrival. Default 16.
	Slots int
	// FullBatchSlowdown is the relative increase of the time per token when all
	// slots are in use: 0.5 makes it 1.5 times as long. With fewer running
	// requests the increase is proportionally smaller. Default 0.
	FullBatchSlowdown float64
	// CacheBlocks is the capacity of the prefix cache in blocks of
	// target.PromptBlockBytes. Default 4096.
	CacheBlocks int
	// LoadReportLag is the minimum age of a load report; the maximum is twice
	// that. 0 reports the current state.
	LoadReportLag time.Duration
	// CacheEventLag is the delay until a cache event can be read.
	// CacheEventLossRate is the fraction of cache events that is lost, in [0, 1].
	CacheEventLag      time.Duration
	CacheEventLossRate float64
	// IgnoreFencing executes load commands with a stale fencing token instead of
	// rejecting them.
	IgnoreFencing bool
	// SenderToken is the bearer token that load commands must carry. Empty
	// disables the check.
	SenderToken string
	// LoadDuration is how long a model load takes. Default 100 ms.
	LoadDuration time.Duration
	// StreamRetention is how long an ended or cancelled stream can be resumed.
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

// Server is a simulated engine. Its methods are safe for concurrent use.
type Server struct {
	*web.Server
	*web.Availability
	cfg       Config
	faults    fault.Set
	runCounts web.RunCounter
	cache     *cache
	batch     *batch
	model     model
	stats     tokenCounters

	mu   sync.Mutex
	runs map[string]*run

	reports delayedReports
}

// New returns an engine that does not listen until Start is called.
func New(cfg Config) *Server {
	cfg = cfg.withDefaults()
	s := &Server{
		Server:       web.New(),
		Availability: web.NewAvailability(),
		cfg:          cfg,
		faults:       fault.Set{Salt: cfg.Name},
		cache:        newCache(cfg),
		batch:        newBatch(cfg.Slots),
		model:        model{name: cfg.Model, version: cfg.Version, role: cfg.Role},
		runs:         make(map[string]*run),
	}
	initial := s.loadReport()
	s.reports.visible, s.reports.latest = initial, initial
	s.registerRoutes()
	return s
}

// Start listens on addr (host:port) and serves in the background.
func (s *Server) Start(addr string) error {
	if err := s.Server.Start(addr); err != nil {
		return err
	}
	s.Go(s.maintain)
	return nil
}

// maintain samples load reports and removes expired runs until the server closes.
func (s *Server) maintain() {
	sampleTicker := time.NewTicker(max(s.cfg.LoadReportLag, 10*time.Millisecond))
	defer sampleTicker.Stop()
	cleanupTicker := time.NewTicker(max(time.Second, s.cfg.StreamRetention/10))
	defer cleanupTicker.Stop()
	for {
		select {
		case <-sampleTicker.C:
			s.reports.addSample(s.loadReport())
		case now := <-cleanupTicker.C:
			s.removeEndedRuns(now.Add(-s.cfg.StreamRetention))
		case <-s.Context().Done():
			return
		}
	}
}

// removeEndedRuns removes the runs that ended before the given time.
func (s *Server) removeEndedRuns(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, r := range s.runs {
		if r.endedBefore(before) {
			delete(s.runs, id)
		}
	}
}

// AddFault adds a fault. The kind FaultNone removes all faults.
func (s *Server) AddFault(f Fault) { s.faults.Add(f) }

// RunCounts returns the number of runs by request id.
func (s *Server) RunCounts() map[string]int { return s.runCounts.Counts() }

// loadReport returns the current state. GET /v1/load returns it with a delay of
// Config.LoadReportLag.
func (s *Server) loadReport() target.LoadReport {
	r := s.model.report()
	r.Running, r.Waiting, r.RemainingTokens = s.batch.load()
	r.Slots = s.cfg.Slots
	r.CachedBlocks, r.CacheBlocks = s.cache.size(), s.cfg.CacheBlocks
	return r
}

// delayedReports delays load reports by one sampling interval: readers get the sample
// before the latest one.
type delayedReports struct {
	mu              sync.Mutex
	latest, visible target.LoadReport
}

func (r *delayedReports) addSample(report target.LoadReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.visible, r.latest = r.latest, report
}

func (r *delayedReports) get() target.LoadReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.visible
}
