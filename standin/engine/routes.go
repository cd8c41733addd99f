package engine

import (
	"bytes"
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"sardinefront.dev/standin/internal/fault"
	"sardinefront.dev/standin/internal/web"
	"sardinefront.dev/target"
)

func (s *Server) registerRoutes() {
	s.Register(s.App)
	s.App.Use(s.prepareResponse)
	s.App.Post(pathCompletions, s.serveCompletion)
	s.App.Post(pathChat, s.serveCompletion)
	s.App.Get("/v1/streams/:id", s.resumeStream)
	s.App.Delete("/v1/streams/:id", s.cancelStream)
	s.App.Get("/v1/kv/:prefix", s.exportCache)
	s.App.Put("/v1/kv/:prefix", s.importCache)
	s.App.Post("/v1/models/load", s.handleLoadCommand)
	s.App.Get("/v1/load", s.serveLoadReport)
	s.App.Get("/v1/cache/events", s.serveCacheEvents)
	s.App.Post("/standin/fault", s.faults.Handle)
	s.App.Get("/standin/runs", s.runCounts.Handle)
	s.App.Get("/standin/stats", s.serveStats)
}

// prepareResponse is the middleware that sets the headers of every response and
// applies faults to the control routes. serveCompletion applies its faults itself,
// after it has counted the run.
func (s *Server) prepareResponse(c fiber.Ctx) error {
	path := web.Path(c)
	if strings.HasPrefix(path, "/standin/") {
		return c.Next()
	}
	id := web.Header(c, target.HeaderRequestID)
	version := s.model.currentVersion()
	c.Set(target.HeaderVersion, version)
	if id != "" {
		c.Set(target.HeaderRequestID, id)
	}
	if path == pathCompletions || path == pathChat {
		return c.Next()
	}
	f := s.faults.Match(fault.RequestInfo{ID: id, Path: path, Version: version})
	switch f.Kind {
	case fault.Slow:
		s.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	case fault.Fail:
		return c.Status(fiber.StatusInternalServerError).SendString("injected failure")
	case fault.NoResponse:
		return web.LeaveUnanswered(c)
	case fault.Truncated:
		return web.Disconnect(c)
	case fault.Mismatched:
		c.Set(target.HeaderRequestID, "crossed-"+id)
	}
	return c.Next()
}

type completionRequest struct {
	Prompt    string    `json:"prompt"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// serveCompletion serves the text and the chat completion route.
func (s *Server) serveCompletion(c fiber.Ctx) error {
	var in completionRequest
	if err := json.Unmarshal(c.Body(), &in); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	id := web.Header(c, target.HeaderRequestID)
	if id == "" {
		return c.Status(fiber.StatusBadRequest).SendString("no request id")
	}
	path := web.Path(c)
	chat := path == pathChat
	if chat {
		in.Prompt = ChatPrompt(in.Messages)
	}
	version := s.model.currentVersion()
	s.runCounts.Increment(id)
	running, _, _ := s.batch.load()
	f := s.faults.Match(fault.RequestInfo{ID: id, Path: path, Version: version, DataPlane: true, Running: running})
	if f.Kind == fault.Fail {
		return c.Status(fiber.StatusInternalServerError).SendString("injected failure")
	}
	r := newRun(id, in.Prompt, chat, in.MaxTokens, version)
	if f.Kind == fault.Slow {
		r.slowFactor, r.startDelay = f.SlowFactor, time.Duration(f.DelayMS)*time.Millisecond
	}
	s.registerRun(r)
	return s.sendResponse(c, r, in.Stream, f.Kind)
}

func (s *Server) registerRun(r *run) {
	s.mu.Lock()
	s.runs[r.id] = r
	s.mu.Unlock()
	s.startRun(r)
}

// sendResponse sends the response of a run, modified by a fault of the given kind.
func (s *Server) sendResponse(c fiber.Ctx, r *run, streamed bool, kind fault.Kind) error {
	source := r
	switch kind {
	case fault.NoResponse:
		return web.LeaveUnanswered(c)
	case fault.Mismatched:
		source = s.mismatchedRun(r)
		c.Set(target.HeaderRequestID, source.id)
	case fault.Empty:
		source = &run{id: r.id, chat: r.chat, promptTokens: r.promptTokens}
	}
	if streamed {
		truncateAt := -1
		if kind == fault.Truncated {
			truncateAt = r.output.tokenCount / 2
		}
		return s.sendStream(c, source, 0, truncateAt)
	}
	if !r.waitForToken(s.Context(), r.output.tokenCount-1) {
		return web.Disconnect(c)
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	body := source.completionBody()
	if kind == fault.Truncated {
		return web.SendTruncated(c, body)
	}
	return c.Send(body)
}

// mismatchedRun returns a finished run of an invented request, whose output is sent
// instead of the output of r.
func (s *Server) mismatchedRun(r *run) *run {
	other := newRun("crossed-"+r.id, "", r.chat, r.output.tokenCount, r.version)
	other.tokensProduced = other.output.tokenCount
	return other
}

// sendStream streams the events of a run, starting at token offset. The stream breaks
// before token truncateAt unless that is -1. The header is sent with the first event.
func (s *Server) sendStream(c fiber.Ctx, r *run, offset, truncateAt int) error {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	return c.SendStream(&eventReader{ctx: s.Context(), run: r, nextToken: offset, truncateAt: truncateAt})
}

func (s *Server) findRun(c fiber.Ctx) *run {
	id, err := url.PathUnescape(c.Params("id"))
	if err != nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// resumeStream streams a run from an offset, and restarts the generation if the run
// was cancelled.
func (s *Server) resumeStream(c fiber.Ctx) error {
	r := s.findRun(c)
	if r == nil {
		return c.Status(fiber.StatusNotFound).SendString("unknown stream")
	}
	offset, err := strconv.Atoi(c.Query("offset", "0"))
	if err != nil || offset < 0 || offset > r.output.tokenCount {
		return c.Status(fiber.StatusBadRequest).SendString("offset out of range")
	}
	s.startRun(r)
	c.Set(target.HeaderVersion, r.version)
	return s.sendStream(c, r, offset, -1)
}

// cancelStream stops a run, which can be resumed later.
func (s *Server) cancelStream(c fiber.Ctx) error {
	r := s.findRun(c)
	if r == nil {
		return c.Status(fiber.StatusNotFound).SendString("unknown stream")
	}
	r.cancel(s.Context())
	return c.SendStatus(fiber.StatusNoContent)
}

func prefixParam(c fiber.Ctx) (uint64, error) {
	return strconv.ParseUint(c.Params("prefix"), 16, 64)
}

// cacheBlock returns the simulated KV cache content of a prefix.
func cacheBlock(prefix uint64) []byte {
	return bytes.Repeat([]byte(strconv.FormatUint(prefix, 16)+"\n"), 64)
}

func (s *Server) exportCache(c fiber.Ctx) error {
	prefix, err := prefixParam(c)
	if err != nil {
		return c.Status(fiber.StatusBadRequest).SendString("malformed prefix")
	}
	if !s.cache.contains(prefix) {
		return c.Status(fiber.StatusNotFound).SendString("not cached")
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEOctetStream)
	return c.Send(cacheBlock(prefix))
}

func (s *Server) importCache(c fiber.Ctx) error {
	prefix, err := prefixParam(c)
	if err != nil || !bytes.Equal(c.Body(), cacheBlock(prefix)) {
		return c.Status(fiber.StatusBadRequest).SendString("block does not belong to the prefix")
	}
	s.cache.store(prefix)
	return c.SendStatus(fiber.StatusNoContent)
}
