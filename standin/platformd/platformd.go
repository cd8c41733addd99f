// Package platformd simulates the platform: the key-value service, the list of
// hosts and the weight store, with rate limits and faults on demand.
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

// Config describes the simulated platform. A zero value selects the default.
type Config struct {
	// ReadsPerSecond and WritesPerSecond bound all callers together. Further
	// calls are refused without effect. Defaults 2000 and 400.
	ReadsPerSecond, WritesPerSecond float64
	// Latency is added to each call.
	Latency time.Duration
	// Hosts is the initial list.
	Endpoints []platform.Endpoint
	// HostLag is how long the list stays behind SetHosts.
	EndpointListLag time.Duration
	// TransferTime is the duration of one transfer of weights. Transfers run
	// one after the other. Default 1 s.
	TransferDuration time.Duration
	// Store holds the keys; nil means a new empty one. It outlives the server.
	Store *memkv.Store
}

// Server is the simulated platform.
type Server struct {
	*web.Server
	cfg           Config
	store         *memkv.Store
	reads, writes *rate.Limiter
	calls         counts

	mu       sync.Mutex
	faults   Faults
	hosts    []platform.Endpoint
	pending  []hostChange
	transfer time.Time // when the last reserved transfer ends
}

type hostChange struct {
	at    time.Time
	hosts []platform.Endpoint
}

// New returns a server that Start starts.
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
		// A tenth of a second's calls may start at once.
		reads:  rate.NewLimiter(rate.Limit(cfg.ReadsPerSecond), max(1, int(cfg.ReadsPerSecond/10))),
		writes: rate.NewLimiter(rate.Limit(cfg.WritesPerSecond), max(1, int(cfg.WritesPerSecond/10))),
		calls:  newCounts(),
		hosts:  cfg.Endpoints,
	}
	s.routes()
	return s
}

// Start listens on addr and serves in the background.
func (s *Server) Start(addr string) error {
	if err := s.Server.Start(addr); err != nil {
		return err
	}
	s.Go(s.expireLeases)
	return nil
}

// Store returns the store behind the server, for tests that look at it without
// a call.
func (s *Server) Store() *memkv.Store { return s.store }

// expireLeases reads a key now and then, because the store notices expired
// leases only when it is called, and a waiting watch has to see them.
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

// SetHosts replaces the list, which callers see after HostLag.
func (s *Server) SetEndpoints(hosts []platform.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, hostChange{at: time.Now().Add(s.cfg.EndpointListLag), hosts: hosts})
}

func (s *Server) visibleHosts() []platform.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.pending) > 0 && !s.pending[0].at.After(time.Now()) {
		s.hosts = s.pending[0].hosts
		s.pending = s.pending[1:]
	}
	return s.hosts
}

// reserve books the next transfer and returns how long it takes from now.
func (s *Server) reserve() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.transfer.Before(now) {
		s.transfer = now
	}
	s.transfer = s.transfer.Add(s.cfg.TransferDuration)
	return s.transfer.Sub(now)
}

// operation executes one call.
type operation func(ctx context.Context, in *httpkv.Request) (httpkv.Response, error)

func (s *Server) routes() {
	s.handle(httpkv.PathGet, httpkv.KindRead, s.get)
	s.handle(httpkv.PathList, httpkv.KindRead, s.list)
	s.handle(httpkv.PathWatch, httpkv.KindWatch, s.watch)
	s.handle(httpkv.PathHosts, httpkv.KindRead, s.listHosts)
	s.handle(httpkv.PathCompareAndSwap, httpkv.KindWrite, s.swap)
	s.handle(httpkv.PathDelete, httpkv.KindWrite, s.remove)
	s.handle(httpkv.PathGrant, httpkv.KindWrite, s.grant)
	s.handle(httpkv.PathKeepAlive, httpkv.KindWrite, s.keepAlive)
	s.handle(httpkv.PathRevoke, httpkv.KindWrite, s.revoke)
	s.handle(httpkv.PathReserve, httpkv.KindWrite, s.reserveWeights)
	s.controls()
}

// handle serves a path: count, cut off, slow down, limit, execute, answer.
func (s *Server) handle(path, kind string, op operation) {
	s.App.Post(path, func(c fiber.Ctx) error {
		caller := web.Header(c, httpkv.HeaderCaller)
		s.calls.add(kind, path, caller)
		f := s.faultsFor(caller)
		if f.silent {
			return web.LeaveUnanswered(c)
		}
		if f.cut {
			return web.Disconnect(c)
		}
		s.Sleep(s.cfg.Latency + f.delay)
		if f.down {
			return refuse(c, platform.ErrUnavailable)
		}
		if !s.limiter(kind).Allow() {
			return answer(c, fiber.StatusTooManyRequests, httpkv.Response{Code: "rate-limit", Detail: "too many calls"})
		}
		var in httpkv.Request
		if err := json.Unmarshal(c.Body(), &in); err != nil {
			return answer(c, fiber.StatusBadRequest, httpkv.Response{Code: "malformed", Detail: err.Error()})
		}
		out, err := op(c.Context(), &in)
		if kind == httpkv.KindWrite && s.loses(caller) {
			return web.Disconnect(c)
		}
		if err != nil {
			return refuse(c, err)
		}
		return answer(c, fiber.StatusOK, out)
	})
}

func (s *Server) limiter(kind string) *rate.Limiter {
	if kind == httpkv.KindWrite {
		return s.writes
	}
	return s.reads
}

func answer(c fiber.Ctx, status int, out httpkv.Response) error {
	body, err := json.Marshal(out)
	if err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(status).Send(body)
}

// refusals maps the store's errors to the protocol.
var refusals = []struct {
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

func refuse(c fiber.Ctx, err error) error {
	for _, r := range refusals {
		if errors.Is(err, r.err) {
			return answer(c, r.status, httpkv.Response{Code: r.code, Detail: err.Error()})
		}
	}
	return answer(c, fiber.StatusInternalServerError, httpkv.Response{Code: "internal", Detail: err.Error()})
}
