// Package platformd simulates the platform for clients of package platform/httpkv: the
// key-value service, the list of hosts and targets, and the weight store, with rate limits
// and fault injection.
package platformd

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
	"golang.org/x/time/rate"

	"sardinefront.dev/platform"
	"sardinefront.dev/platform/httpkv"
	"sardinefront.dev/platform/memkv"
	"sardinefront.dev/standin/internal/web"
)

// Config configures the simulated platform. Zero values select the defaults.
type Config struct {
	// ReadsPerSecond and WritesPerSecond limit all callers together. Calls above
	// the limit are rejected without being executed. Defaults 2000 and 400.
	ReadsPerSecond, WritesPerSecond float64
	// Latency is the delay of each call.
	Latency time.Duration
	// Endpoints is the initial list of hosts and targets.
	Endpoints []platform.Endpoint
	// EndpointListLag is the delay until callers see a list that SetEndpoints set.
	EndpointListLag time.Duration
	// TransferDuration is the duration of one transfer of weights. Transfers run
	// one after the other. Default 1 s.
	TransferDuration time.Duration
	// Store holds the keys. nil means a new empty store. Close does not clear
	// it, so that a later server can continue with the same keys.
	Store *memkv.Store
}

// Server is the simulated platform. Its methods are safe for concurrent use.
type Server struct {
	*web.Server
	cfg           Config
	store         *memkv.Store
	reads, writes *rate.Limiter
	calls         callCounter

	mu           sync.Mutex
	faults       Faults
	endpoints    []platform.Endpoint
	pendingLists []endpointListChange
	transfersEnd time.Time // when the last reserved transfer ends
}

// endpointListChange is a list that becomes visible to callers at visibleAt.
type endpointListChange struct {
	visibleAt time.Time
	endpoints []platform.Endpoint
}

// New returns a server that does not listen until Start is called.
func New(cfg Config) *Server {
	if cfg.ReadsPerSecond <= 0 {
		cfg.ReadsPerSecond = 2000
	}
	if cfg.WritesPerSecond <= 0 {
		cfg.WritesPerSecond = 400
	}
	if cfg.TransferDuration <= 0 {
		cfg.TransferDuration = time.Second
	}
	if cfg.Store == nil {
		cfg.Store = memkv.New(time.Now)
	}
	s := &Server{
		Server: web.New(),
		cfg:    cfg,
		store:  cfg.Store,
		// The burst is the number of calls of a tenth of a second.
		reads:     rate.NewLimiter(rate.Limit(cfg.ReadsPerSecond), max(1, int(cfg.ReadsPerSecond/10))),
		writes:    rate.NewLimiter(rate.Limit(cfg.WritesPerSecond), max(1, int(cfg.WritesPerSecond/10))),
		calls:     newCallCounter(),
		endpoints: cfg.Endpoints,
	}
	s.registerRoutes()
	return s
}

// Start listens on addr (host:port) and serves in the background.
func (s *Server) Start(addr string) error {
	if err := s.Server.Start(addr); err != nil {
		return err
	}
	s.Go(s.expireLeases)
	return nil
}

// Store returns the store behind the server, for tests that access it without a counted
// and rate-limited call.
func (s *Server) Store() *memkv.Store { return s.store }

// expireLeases reads a key periodically. The store deletes the keys of expired leases
// only when it is called, and a waiting watch has to receive these deletions.
func (s *Server) expireLeases() {
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			_, _ = s.store.Get(context.Background(), "")
		case <-s.Context().Done():
			return
		}
	}
}

// SetEndpoints replaces the list of hosts and targets. Callers see the new list after
// Config.EndpointListLag.
func (s *Server) SetEndpoints(endpoints []platform.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingLists = append(s.pendingLists, endpointListChange{visibleAt: time.Now().Add(s.cfg.EndpointListLag), endpoints: endpoints})
}

func (s *Server) visibleEndpoints() []platform.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.pendingLists) > 0 && !s.pendingLists[0].visibleAt.After(time.Now()) {
		s.endpoints = s.pendingLists[0].endpoints
		s.pendingLists = s.pendingLists[1:]
	}
	return s.endpoints
}

// reserveTransfer schedules a transfer after those already reserved and returns the
// time until it ends.
func (s *Server) reserveTransfer() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.transfersEnd.Before(now) {
		s.transfersEnd = now
	}
	s.transfersEnd = s.transfersEnd.Add(s.cfg.TransferDuration)
	return s.transfersEnd.Sub(now)
}

// operation executes one call of the protocol on the store, list or weight store.
type operation func(ctx context.Context, in *httpkv.Request) (httpkv.Response, error)

func (s *Server) registerRoutes() {
	s.registerOperation(httpkv.PathGet, httpkv.KindRead, s.get)
	s.registerOperation(httpkv.PathList, httpkv.KindRead, s.list)
	s.registerOperation(httpkv.PathWatch, httpkv.KindWatch, s.watch)
	s.registerOperation(httpkv.PathHosts, httpkv.KindRead, s.listEndpoints)
	s.registerOperation(httpkv.PathCompareAndSwap, httpkv.KindWrite, s.compareAndSwap)
	s.registerOperation(httpkv.PathDelete, httpkv.KindWrite, s.deleteKey)
	s.registerOperation(httpkv.PathGrant, httpkv.KindWrite, s.grant)
	s.registerOperation(httpkv.PathKeepAlive, httpkv.KindWrite, s.keepAlive)
	s.registerOperation(httpkv.PathRevoke, httpkv.KindWrite, s.revoke)
	s.registerOperation(httpkv.PathReserve, httpkv.KindWrite, s.reserveWeightTransfer)
	s.registerControlRoutes()
}

// registerOperation registers the handler of a path: it counts the call, applies the
// active faults and the rate limit, executes the operation and responds.
func (s *Server) registerOperation(path, kind string, op operation) {
	s.App.Post(path, func(c fiber.Ctx) error {
		caller := web.Header(c, httpkv.HeaderCaller)
		s.calls.add(kind, path, caller)
		f := s.faultsFor(caller)
		if f.noResponse {
			return web.LeaveUnanswered(c)
		}
		if f.disconnect {
			return web.Disconnect(c)
		}
		s.Sleep(s.cfg.Latency + f.delay)
		if f.unavailable {
			return respondError(c, platform.ErrUnavailable)
		}
		if !s.limiterFor(kind).Allow() {
			return respond(c, fiber.StatusTooManyRequests, httpkv.Response{Code: "rate-limit", Detail: "too many calls"})
		}
		var in httpkv.Request
		if err := json.Unmarshal(c.Body(), &in); err != nil {
			return respond(c, fiber.StatusBadRequest, httpkv.Response{Code: "malformed", Detail: err.Error()})
		}
		out, err := op(c.Context(), &in)
		if kind == httpkv.KindWrite && s.consumeLostResponse(caller) {
			return web.Disconnect(c)
		}
		if err != nil {
			return respondError(c, err)
		}
		return respond(c, fiber.StatusOK, out)
	})
}

func (s *Server) limiterFor(kind string) *rate.Limiter {
	if kind == httpkv.KindWrite {
		return s.writes
	}
	return s.reads
}

func respond(c fiber.Ctx, status int, out httpkv.Response) error {
	body, err := json.Marshal(out)
	if err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(status).Send(body)
}

// errorCodes maps the store's errors to the error codes and statuses of the protocol.
var errorCodes = []struct {
	err    error
	code   string
	status int
}{
	{platform.ErrNotFound, "not-found", fiber.StatusNotFound},
	{platform.ErrConflict, "conflict", fiber.StatusConflict},
	{platform.ErrLeaseLost, "lease-lost", fiber.StatusGone},
	{platform.ErrTooLarge, "too-large", fiber.StatusRequestEntityTooLarge},
	{platform.ErrUnavailable, "unavailable", fiber.StatusServiceUnavailable},
}

func respondError(c fiber.Ctx, err error) error {
	for _, r := range errorCodes {
		if errors.Is(err, r.err) {
			return respond(c, r.status, httpkv.Response{Code: r.code, Detail: err.Error()})
		}
	}
	return respond(c, fiber.StatusInternalServerError, httpkv.Response{Code: "internal", Detail: err.Error()})
}
