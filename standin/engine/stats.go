package engine

import (
	"sync/atomic"

	"github.com/gofiber/fiber/v3"
)

// Stats counts the tokens that an engine has processed since its start.
type Stats struct {
	// PrefilledTokens counts the prompt tokens that were computed, CachedTokens
	// those that were found in the prefix cache.
	Prefilled int64 `json:"prefilled"`
	Cached    int64 `json:"cached"`
	// GeneratedTokens counts the output tokens.
	Generated int64 `json:"generated"`
}

type tokenCounters struct {
	prefilled, cached, generated atomic.Int64
}

// Stats returns the counts so far. GET /standin/stats serves them.
func (s *Server) Stats() Stats {
	return Stats{
		Prefilled: s.stats.prefilled.Load(),
		Cached:    s.stats.cached.Load(),
		Generated: s.stats.generated.Load(),
	}
}

func (s *Server) serveStats(c fiber.Ctx) error { return c.JSON(s.Stats()) }
