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
	Down bool `json:"down,omitempty"`
	// SlowMS is added to each call, in milliseconds.
	SlowMS int `json:"slow_ms,omitempty"`
	// Lose executes the next writes and closes their connections without an
	// answer.
	Lose int `json:"lose,omitempty"`
	// LoseFrom restricts Lose to these callers if it is not empty.
	LoseFrom []string `json:"lose_from,omitempty"`
	// Cut names the callers whose calls are not executed and whose connections
	// are closed.
	Cut []string `json:"cut,omitempty"`
	// Silent names the callers whose calls are not executed and never
	// answered.
	Silent []string `json:"silent,omitempty"`
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
		down:   s.faults.Down,
		cut:    slices.Contains(s.faults.Cut, caller),
		silent: slices.Contains(s.faults.Silent, caller),
		delay:  time.Duration(s.faults.SlowMS) * time.Millisecond,
	}
}

// loses reports whether the answer of an executed write is lost.
func (s *Server) loses(caller string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Lose <= 0 {
		return false
	}
	if len(s.faults.LoseFrom) > 0 && !slices.Contains(s.faults.LoseFrom, caller) {
		return false
	}
	s.faults.Lose--
	return true
}

// Calls counts the calls that arrived, refused ones included.
type Calls struct {
	Kinds   map[string]int64 `json:"kinds"`
	Paths   map[string]int64 `json:"paths"`
	Callers map[string]int64 `json:"callers"`
}

type counts struct {
	mu sync.Mutex
	c  *Calls
}

func newCounts() counts {
	return counts{c: &Calls{Kinds: map[string]int64{}, Paths: map[string]int64{}, Callers: map[string]int64{}}}
}

func (n *counts) add(kind, path, caller string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.c.Kinds[kind]++
	n.c.Paths[path]++
	n.c.Callers[caller]++
}

// Calls returns the counts so far.
func (s *Server) Calls() Calls {
	s.calls.mu.Lock()
	defer s.calls.mu.Unlock()
	c := s.calls.c
	return Calls{Kinds: maps.Clone(c.Kinds), Paths: maps.Clone(c.Paths), Callers: maps.Clone(c.Callers)}
}

// controls serves the paths for tests and demos.
func (s *Server) controls() {
	s.App.Get("/standin/calls", func(c fiber.Ctx) error { return c.JSON(s.Calls()) })
	s.App.Post("/standin/fault", func(c fiber.Ctx) error {
		var f Faults
		if err := json.Unmarshal(c.Body(), &f); err != nil {
			return c.Status(fiber.StatusBadRequest).SendString(err.Error())
		}
		s.SetFaults(f)
		return nil
	})
	s.App.Post("/standin/hosts", func(c fiber.Ctx) error {
		var hosts []platform.Machine
		if err := json.Unmarshal(c.Body(), &hosts); err != nil {
			return c.Status(fiber.StatusBadRequest).SendString(err.Error())
		}
		s.SetHosts(hosts)
		return nil
	})
	s.App.Use(func(c fiber.Ctx) error {
		return c.Status(fiber.StatusNotFound).SendString("no such path: " + web.Path(c))
	})
}
