package web

import (
	"maps"
	"sync"

	"github.com/gofiber/fiber/v3"
)

// Runs counts how often each request id was run, to prove that nothing ran
// twice. It keeps every id, so a stand-in serves for hours, not for months.
type RunCounter struct {
	mu sync.Mutex
	n  map[string]int
}

// Add counts a run and returns how often the id has run.
func (r *RunCounter) Increment(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.n == nil {
		r.n = make(map[string]int)
	}
	r.n[id]++
	return r.n[id]
}

// All returns the counts by request id.
func (r *RunCounter) Counts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.n)
}

// Handle serves GET /standin/runs.
func (r *RunCounter) Handle(c fiber.Ctx) error {
	all := r.Counts()
	if all == nil {
		all = map[string]int{}
	}
	return c.JSON(all)
}
