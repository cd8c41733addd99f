package engine

import (
	"sync/atomic"

	"github.com/gofiber/fiber/v3"
)

// Stats counts the tokens of an engine since its start.
type Stats struct {
	// Prefilled prompt tokens were computed, Cached ones were found in the
	// prefix cache.
	Prefilled int64 `json:"prefilled"`
	Cached    int64 `json:"cached"`
	// Generated output tokens.
	Generated int64 `json:"generated"`
}

type tokenCounters struct {
	Prefilled, Cached, Generated atomic.Int64
}

// Stats returns the counts so far. GET /standin/stats serves them.
func (s *Server) Stats() Stats {
	return Stats{
		Prefilled: s.stats.Prefilled.Load(),
		Cached:    s.stats.Cached.Load(),
		Generated: s.stats.Generated.Load(),
	}
}

func (s *Server) serveStats(c fiber.Ctx) error { return c.JSON(s.Stats()) }
