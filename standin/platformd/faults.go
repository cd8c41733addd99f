package platformd

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"sardinefront.dev/platform"
	"sardinefront.dev/standin/internal/web"
)

// Faults holds the active faults. POST /standin/fault replaces them.
type Faults struct {
	// Unavailable rejects every call without executing it.
	Unavailable bool `json:"down,omitempty"`
	// DelayMS is the additional delay of each call, in milliseconds.
	DelayMS int `json:"slow_ms,omitempty"`
	// LoseResponses is the number of following writes that are executed and
	// whose connections are closed without a response.
	LoseResponses int `json:"lose,omitempty"`
	// LoseResponsesTo restricts LoseResponses to these callers if it is not
	// empty.
	LoseResponsesTo []string `json:"lose_from,omitempty"`
	// DisconnectCallers lists the callers whose calls are not executed and whose
	// connections are closed.
	DisconnectCallers []string `json:"cut,omitempty"`
	// UnansweredCallers lists the callers whose calls are not executed and get
	// no response, with the connection left open.
	UnansweredCallers []string `json:"silent,omitempty"`
}

// SetFaults replaces the active faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// callFaults holds the faults that apply to one call.
type callFaults struct {
	unavailable, disconnect, noResponse bool
	delay                               time.Duration
}

func (s *Server) faultsFor(caller string) callFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return callFaults{
		unavailable: s.faults.Unavailable,
		disconnect:  slices.Contains(s.faults.DisconnectCallers, caller),
		noResponse:  slices.Contains(s.faults.UnansweredCallers, caller),
		delay:       time.Duration(s.faults.DelayMS) * time.Millisecond,
	}
}

// consumeLostResponse reports whether the response of an executed write is to be lost,
// and decrements the number of responses to lose.
func (s *Server) consumeLostResponse(caller string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseResponses <= 0 {
		return false
	}
	if len(s.faults.LoseResponsesTo) > 0 && !slices.Contains(s.faults.LoseResponsesTo, caller) {
		return false
	}
	s.faults.LoseResponses--
	return true
}

// CallCounts holds the numbers of received calls, rejected ones included.
type CallCounts struct {
	ByKind   map[string]int64 `json:"kinds"`
	ByPath   map[string]int64 `json:"paths"`
	ByCaller map[string]int64 `json:"callers"`
}

type callCounter struct {
	mu     sync.Mutex
	counts *CallCounts
}

func newCallCounter() callCounter {
	return callCounter{counts: &CallCounts{ByKind: map[string]int64{}, ByPath: map[string]int64{}, ByCaller: map[string]int64{}}}
}

func (c *callCounter) add(kind, path, caller string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.ByKind[kind]++
	c.counts.ByPath[path]++
	c.counts.ByCaller[caller]++
}

// CallCounts returns a copy of the counts so far.
func (s *Server) CallCounts() CallCounts {
	s.calls.mu.Lock()
	defer s.calls.mu.Unlock()
	c := s.calls.counts
	return CallCounts{ByKind: maps.Clone(c.ByKind), ByPath: maps.Clone(c.ByPath), ByCaller: maps.Clone(c.ByCaller)}
}

// registerControlRoutes registers the routes with which tests and demos control the
// stand-in, and the response to unknown paths.
func (s *Server) registerControlRoutes() {
	s.App.Get("/standin/calls", func(c fiber.Ctx) error { return c.JSON(s.CallCounts()) })
	s.App.Post("/standin/fault", func(c fiber.Ctx) error {
		var f Faults
		if err := json.Unmarshal(c.Body(), &f); err != nil {
			return c.Status(fiber.StatusBadRequest).SendString(err.Error())
		}
		s.SetFaults(f)
		return nil
	})
	s.App.Post("/standin/hosts", func(c fiber.Ctx) error {
		var endpoints []platform.Endpoint
		if err := json.Unmarshal(c.Body(), &endpoints); err != nil {
			return c.Status(fiber.StatusBadRequest).SendString(err.Error())
		}
		s.SetEndpoints(endpoints)
		return nil
	})
	s.App.Use(func(c fiber.Ctx) error {
		return c.Status(fiber.StatusNotFound).SendString("no such path: " + web.Path(c))
	})
}
