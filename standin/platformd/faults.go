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

// Faults are the faults that are active. POST /standin/fault replaces them.
type Faults struct {
	// Down refuses every call without effect.
	Unavailable bool `json:"down,omitempty"`
	// SlowMS is added to each call, in milliseconds.
	DelayMS int `json:"slow_ms,omitempty"`
	// Lose executes the next writes and closes their connections without an
	// answer.
	LoseResponses int `json:"lose,omitempty"`
	// LoseFrom restricts Lose to these callers if it is not empty.
	LoseResponsesTo []string `json:"lose_from,omitempty"`
	// Cut names the callers whose calls are not executed and whose connections
	// are closed.
	DisconnectCallers []string `json:"cut,omitempty"`
	// Silent names the callers whose calls are not executed and never
	// answered.
	UnansweredCallers []string `json:"silent,omitempty"`
}

// SetFaults replaces the active faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// callFaults are the faults that concern one call.
type callFaults struct {
	down, cut, silent bool
	delay             time.Duration
}

func (s *Server) faultsFor(caller string) callFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return callFaults{
		down:   s.faults.Unavailable,
		cut:    slices.Contains(s.faults.DisconnectCallers, caller),
		silent: slices.Contains(s.faults.UnansweredCallers, caller),
		delay:  time.Duration(s.faults.DelayMS) * time.Millisecond,
	}
}

// loses reports whether the answer of an executed write is lost.
func (s *Server) loses(caller string) bool {
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

// Calls counts the calls that arrived, refused ones included.
type CallCounts struct {
	ByKind   map[string]int64 `json:"kinds"`
	ByPath   map[string]int64 `json:"paths"`
	ByCaller map[string]int64 `json:"callers"`
}

type counts struct {
	mu sync.Mutex
	c  *CallCounts
}

func newCounts() counts {
	return counts{c: &CallCounts{ByKind: map[string]int64{}, ByPath: map[string]int64{}, ByCaller: map[string]int64{}}}
}

func (n *counts) add(kind, path, caller string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.c.ByKind[kind]++
	n.c.ByPath[path]++
	n.c.ByCaller[caller]++
}

// Calls returns the counts so far.
func (s *Server) CallCounts() CallCounts {
	s.calls.mu.Lock()
	defer s.calls.mu.Unlock()
	c := s.calls.c
	return CallCounts{ByKind: maps.Clone(c.ByKind), ByPath: maps.Clone(c.ByPath), ByCaller: maps.Clone(c.ByCaller)}
}

// controls serves the paths for tests and demos.
func (s *Server) controls() {
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
		var hosts []platform.Endpoint
		if err := json.Unmarshal(c.Body(), &hosts); err != nil {
			return c.Status(fiber.StatusBadRequest).SendString(err.Error())
		}
		s.SetEndpoints(hosts)
		return nil
	})
	s.App.Use(func(c fiber.Ctx) error {
		return c.Status(fiber.StatusNotFound).SendString("no such path: " + web.Path(c))
	})
}
