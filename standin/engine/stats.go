package engine

import (
	"sync/atomic"

	"github.com/gofiber/fiber/v3"
)

// Stats counts the tokens that an engine has processed since its start.
type Stats struct {
	// PrefilledTokens counts the prompt tokens that were computed, CachedTokens
	// those that were found in the prefix cache.
	PrefilledTokens int64 `json:"prefilled"`
	CachedTokens    int64 `json:"cached"`
	// GeneratedTokens counts the output tokens.
	GeneratedTokens int64 `json:"generated"`
}

type tokenCounters struct {
	prefilled, cached, generated atomic.Int64
}

// Stats returns the counts so far. GET /standin/stats serves them.
func (s *Server) Stats() Stats {
	return Stats{
		PrefilledTokens: s.stats.prefilled.Load(),
		CachedTokens:    s.stats.cached.Load(),
		GeneratedTokens: s.stats.generated.Load(),
	}
}

func (s *Server) serveStats(c fiber.Ctx) error { return c.JSON(s.Stats()) }
