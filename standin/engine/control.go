package engine

import (
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"sardinefront.dev/target"
)

// model is what the engine serves.
type model struct {
	mu                           sync.Mutex
	name, adapter, version, role string
	loading                      string
	fence                        int64
	orders                       []LoadCommandRecord
}

// OrderRecord is an order that the engine received.
type LoadCommandRecord struct {
	target.LoadCommand
	ReceivedAt time.Time
	Accepted   bool
}

func (m *model) current() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

func (m *model) report() target.LoadReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	return target.LoadReport{Model: m.name, Adapter: m.adapter, Version: m.version, Role: m.role, LoadingVersion: m.loading}
}

// accept records the order and reports whether it is executed, with the greatest
// fencing number so far.
func (m *model) accept(o target.LoadCommand, ignoreFence bool, now time.Time) (bool, int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ok := ignoreFence || o.FencingToken >= m.fence
	m.orders = append(m.orders, LoadCommandRecord{LoadCommand: o, ReceivedAt: now, Accepted: ok})
	if !ok {
		return false, m.fence
	}
	m.fence = max(m.fence, o.FencingToken)
	if o.Role != "" {
		m.role = o.Role
	}
	m.loading = o.Version
	return true, m.fence
}

// finish serves the loaded version unless a later order has replaced it.
func (m *model) finish(o target.LoadCommand) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loading != o.Version {
		return false
	}
	m.loading = ""
	m.version = o.Version
	m.adapter = o.Adapter
	if o.Model != "" {
		m.name = o.Model
	}
	return true
}

// Orders returns the orders in order of arrival.
func (s *Server) LoadCommands() []LoadCommandRecord {
	s.model.mu.Lock()
	defer s.model.mu.Unlock()
	return append([]LoadCommandRecord(nil), s.model.orders...)
}

// Version returns the version that is served.
func (s *Server) Version() string { return s.model.current() }

// order accepts a control command. The load goes on after the answer; requests
// are served by the old version until it ends.
func (s *Server) order(c fiber.Ctx) error {
	if s.cfg.SenderToken != "" && strings.TrimPrefix(c.Get("Authorization"), "Bearer ") != s.cfg.SenderToken {
		return c.Status(fiber.StatusUnauthorized).SendString("unknown sender")
	}
	var o target.LoadCommand
	if err := json.Unmarshal(c.Body(), &o); err != nil || o.Version == "" {
		return c.Status(fiber.StatusBadRequest).SendString("malformed order")
	}
	fence, err := strconv.ParseInt(c.Get(target.HeaderFencingToken), 10, 64)
	if err != nil && !s.cfg.IgnoreFencing {
		return c.Status(fiber.StatusBadRequest).SendString("no fencing number")
	}
	o.FencingToken = fence
	ok, greatest := s.model.accept(o, s.cfg.IgnoreFencing, time.Now())
	if !ok {
		c.Set(target.HeaderFencingToken, strconv.FormatInt(greatest, 10))
		return c.Status(fiber.StatusConflict).SendString("old fencing number")
	}
	s.Go(func() {
		s.Sleep(s.cfg.LoadDuration)
		if s.Context().Err() == nil && s.model.finish(o) {
			s.cache.clear()
		}
	})
	return c.SendStatus(fiber.StatusAccepted)
}

func (s *Server) report(c fiber.Ctx) error {
	if s.cfg.LoadReportLag <= 0 {
		return c.JSON(s.load())
	}
	return c.JSON(s.reports.get())
}

func (s *Server) cacheEvents(c fiber.Ctx) error {
	after, err := strconv.ParseInt(c.Query("after", "0"), 10, 64)
	if err != nil {
		return c.Status(fiber.StatusBadRequest).SendString("malformed sequence")
	}
	return c.JSON(s.cache.after(after, time.Now()))
}
