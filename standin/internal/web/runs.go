package web

import (
	"maps"
	"sync"

	"github.com/gofiber/fiber/v3"
)

// RunCounter counts the runs of each request id, so that tests can verify that no
// request ran twice. It keeps every id and so grows without bound, which is acceptable
// for hours of use, not for months. Its methods are safe for concurrent use.
type RunCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

// Increment counts a run and returns the number of runs of the id so far.
func (r *RunCounter) Increment(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = make(map[string]int)
	}
	r.counts[id]++
	return r.counts[id]
}

// Counts returns a copy of the number of runs by request id.
func (r *RunCounter) Counts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.counts)
}

// Handle serves GET /standin/runs.
func (r *RunCounter) Handle(c fiber.Ctx) error {
	counts := r.Counts()
	if counts == nil {
		counts = map[string]int{}
	}
	return c.JSON(counts)
}
