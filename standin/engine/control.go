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

// model is the state of the served model and of the load in progress.
type model struct {
	mu                           sync.Mutex
	name, adapter, version, role string
	loadingVersion               string
	maxFencingToken              int64
	commands                     []LoadCommandRecord
}

// LoadCommandRecord is a load command that the engine received.
type LoadCommandRecord struct {
	target.LoadCommand
	ReceivedAt time.Time
	Accepted   bool
}

func (m *model) currentVersion() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

func (m *model) report() target.LoadReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	return target.LoadReport{Model: m.name, Adapter: m.adapter, Version: m.version, Role: m.role, LoadingVersion: m.loadingVersion}
}

// acceptLoad records a load command. It reports whether the command is executed and
// returns the greatest fencing token so far.
func (m *model) acceptLoad(cmd target.LoadCommand, ignoreFencing bool, now time.Time) (bool, int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ok := ignoreFencing || cmd.FencingToken >= m.maxFencingToken
	m.commands = append(m.commands, LoadCommandRecord{LoadCommand: cmd, ReceivedAt: now, Accepted: ok})
	if !ok {
		return false, m.maxFencingToken
	}
	m.maxFencingToken = max(m.maxFencingToken, cmd.FencingToken)
	if cmd.Role != "" {
		m.role = cmd.Role
	}
	m.loadingVersion = cmd.Version
	return true, m.maxFencingToken
}

// finishLoad activates the loaded version. It reports false if a later command for
// another version has replaced this one.
func (m *model) finishLoad(cmd target.LoadCommand) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loadingVersion != cmd.Version {
		return false
	}
	m.loadingVersion = ""
	m.version = cmd.Version
	m.adapter = cmd.Adapter
	if cmd.Model != "" {
		m.name = cmd.Model
	}
	return true
}

// LoadCommands returns the received commands in order of arrival, rejected ones
// included.
func (s *Server) LoadCommands() []LoadCommandRecord {
	s.model.mu.Lock()
	defer s.model.mu.Unlock()
	return append([]LoadCommandRecord(nil), s.model.commands...)
}

// Version returns the version that the engine serves.
func (s *Server) Version() string { return s.model.currentVersion() }

// handleLoadCommand accepts a load command. The load continues after the response;
// the old version serves requests until the load has finished.
func (s *Server) handleLoadCommand(c fiber.Ctx) error {
	if s.cfg.SenderToken != "" && strings.TrimPrefix(c.Get("Authorization"), "Bearer ") != s.cfg.SenderToken {
		return c.Status(fiber.StatusUnauthorized).SendString("unknown sender")
	}
	var cmd target.LoadCommand
	if err := json.Unmarshal(c.Body(), &cmd); err != nil || cmd.Version == "" {
		return c.Status(fiber.StatusBadRequest).SendString("malformed load command")
	}
	token, err := strconv.ParseInt(c.Get(target.HeaderFencingToken), 10, 64)
	if err != nil && !s.cfg.IgnoreFencing {
		return c.Status(fiber.StatusBadRequest).SendString("missing fencing token")
	}
	cmd.FencingToken = token
	ok, maxToken := s.model.acceptLoad(cmd, s.cfg.IgnoreFencing, time.Now())
	if !ok {
		c.Set(target.HeaderFencingToken, strconv.FormatInt(maxToken, 10))
		return c.Status(fiber.StatusConflict).SendString("stale fencing token")
	}
	s.Go(func() {
		s.Sleep(s.cfg.LoadDuration)
		if s.Context().Err() == nil && s.model.finishLoad(cmd) {
			s.cache.clear()
		}
	})
	return c.SendStatus(fiber.StatusAccepted)
}

func (s *Server) serveLoadReport(c fiber.Ctx) error {
	if s.cfg.LoadReportLag <= 0 {
		return c.JSON(s.loadReport())
	}
	return c.JSON(s.reports.get())
}

func (s *Server) serveCacheEvents(c fiber.Ctx) error {
	after, err := strconv.ParseInt(c.Query("after", "0"), 10, 64)
	if err != nil {
		return c.Status(fiber.StatusBadRequest).SendString("malformed sequence number")
	}
	return c.JSON(s.cache.eventsAfter(after, time.Now()))
}
