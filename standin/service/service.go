// Package service simulates a plain HTTP service for clients of package target. It accepts
// any method and path, with a configurable latency and fault injection.
package service

import (
	"encoding/json"
	"hash/fnv"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"

	"sardinefront.dev/standin/internal/fault"
	"sardinefront.dev/standin/internal/web"
	"sardinefront.dev/target"
)

// Fault is an injected fault. POST /standin/fault accepts it as JSON.
type Fault = fault.Fault

// Config configures the simulated service. Zero values select the defaults.
type Config struct {
	// Name seeds the selection of requests for faults, so that services with
	// different names fail different requests.
	Name    string
	Version string // default "1"
	// Latency is the processing time of each request.
	Latency time.Duration
	// Slots is the number of requests that run concurrently; others wait. 0
	// means no limit.
	Slots int
}

// Server is a simulated service. Its methods are safe for concurrent use.
type Server struct {
	*web.Server
	*web.Availability
	cfg       Config
	faults    fault.Set
	runCounts web.RunCounter
	slots     chan struct{}
	running   atomic.Int64
}

// New returns a service that does not listen until Start is called.
func New(cfg Config) *Server {
	if cfg.Version == "" {
		cfg.Version = "1"
	}
	s := &Server{Server: web.New(), Availability: web.NewAvailability(), cfg: cfg, faults: fault.Set{Salt: cfg.Name}}
	if cfg.Slots > 0 {
		s.slots = make(chan struct{}, cfg.Slots)
	}
	s.Register(s.App)
	s.App.Post("/standin/fault", s.faults.Handle)
	s.App.Get("/standin/runs", s.runCounts.Handle)
	s.App.Use(s.serve)
	return s
}

// AddFault adds a fault. The kind "none" removes all faults.
func (s *Server) AddFault(f Fault) { s.faults.Add(f) }

// RunCounts returns the number of runs by request id.
func (s *Server) RunCounts() map[string]int { return s.runCounts.Counts() }

// ExpectedBody returns the body of the response to a request. It depends only on the
// request, so that a caller can verify that it received the response to its own
// request.
func ExpectedBody(id, method, path string, body []byte) string {
	h := fnv.New64a()
	h.Write(body)
	text, _ := json.Marshal(map[string]string{
		"id": id, "method": method, "path": path, "body_hash": strconv.FormatUint(h.Sum64(), 16),
	})
	return string(text)
}

func (s *Server) serve(c fiber.Ctx) error {
	id := web.Header(c, target.HeaderRequestID)
	method, path := strings.Clone(c.Method()), web.Path(c)
	s.runCounts.Increment(id)
	if s.slots != nil {
		s.slots <- struct{}{}
		defer func() { <-s.slots }()
	}
	running := s.running.Add(1)
	defer s.running.Add(-1)
	f := s.faults.Match(fault.RequestInfo{ID: id, Path: path, Version: s.cfg.Version, DataPlane: true, Running: int(running)})
	s.Sleep(s.latencyFor(f))
	c.Set(target.HeaderVersion, s.cfg.Version)
	c.Set(target.HeaderRequestID, id)
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	body := ExpectedBody(id, method, path, c.Body())
	switch f.Kind {
	case fault.Fail:
		return c.Status(fiber.StatusInternalServerError).SendString("injected failure")
	case fault.NoResponse:
		return web.LeaveUnanswered(c)
	case fault.Truncated:
		return web.SendTruncated(c, []byte(body))
	case fault.Mismatched:
		c.Set(target.HeaderRequestID, "crossed-"+id)
		return c.SendString(ExpectedBody("crossed-"+id, method, path, c.Body()))
	case fault.Empty:
		return nil
	}
	return c.SendString(body)
}

func (s *Server) latencyFor(f Fault) time.Duration {
	if f.Kind != fault.Slow {
		return s.cfg.Latency
	}
	return time.Duration(f.SlowFactor*float64(s.cfg.Latency)) + time.Duration(f.DelayMS)*time.Millisecond
}
