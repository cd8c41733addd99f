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

func (s *Server) routes() {
	s.App.Use(s.common)
	s.App.Post(pathCompletions, s.complete)
	s.App.Post(pathChat, s.complete)
	s.App.Get("/v1/streams/:id", s.resume)
	s.App.Delete("/v1/streams/:id", s.cancel)
	s.App.Get("/v1/kv/:prefix", s.export)
	s.App.Put("/v1/kv/:prefix", s.imported)
	s.App.Post("/v1/models/load", s.order)
	s.App.Get("/v1/load", s.report)
	s.App.Get("/v1/cache/events", s.cacheEvents)
	s.App.Post("/standin/fault", s.faults.Handle)
	s.App.Get("/standin/runs", s.counts.Handle)
	s.App.Get("/standin/stats", s.serveStats)
}

// common sets the headers of every answer and applies the faults that concern a
// control route. Completions apply theirs after the run was counted.
func (s *Server) common(c fiber.Ctx) error {
	path := web.Path(c)
	if strings.HasPrefix(path, "/standin/") {
		return c.Next()
	}
	id := web.Header(c, target.HeaderRequestID)
	version := s.model.current()
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
		return c.Status(fiber.StatusInternalServerError).SendString("failure on demand")
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

// complete serves both completion routes.
func (s *Server) complete(c fiber.Ctx) error {
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
	version := s.model.current()
	s.counts.Increment(id)
	running, _, _ := s.batch.load()
	f := s.faults.Match(fault.RequestInfo{ID: id, Path: path, Version: version, DataPlane: true, Running: running})
	if f.Kind == fault.Fail {
		return c.Status(fiber.StatusInternalServerError).SendString("failure on demand")
	}
	r := newRun(id, in.Prompt, chat, in.MaxTokens, version)
	if f.Kind == fault.Slow {
		r.slow, r.delay = f.SlowFactor, time.Duration(f.DelayMS)*time.Millisecond
	}
	s.register(r)
	return s.answer(c, r, in.Stream, f.Kind)
}

func (s *Server) register(r *run) {
	s.mu.Lock()
	s.runs[r.id] = r
	s.mu.Unlock()
	s.start(r)
}

// answer sends the answer of a run, changed by a fault.
func (s *Server) answer(c fiber.Ctx, r *run, streamed bool, kind fault.Kind) error {
	shown := r
	switch kind {
	case fault.NoResponse:
		return web.LeaveUnanswered(c)
	case fault.Mismatched:
		shown = s.other(r)
		c.Set(target.HeaderRequestID, shown.id)
	case fault.Empty:
		shown = &run{id: r.id, chat: r.chat, promptTokens: r.promptTokens}
	}
	if streamed {
		cutAt := -1
		if kind == fault.Truncated {
			cutAt = r.text.count / 2
		}
		return s.send(c, shown, 0, cutAt)
	}
	if !r.await(s.Context(), r.text.count-1) {
		return web.Disconnect(c)
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	body := shown.whole()
	if kind == fault.Truncated {
		return web.SendTruncated(c, body)
	}
	return c.Send(body)
}

// other returns a finished run of another request.
func (s *Server) other(r *run) *run {
	o := newRun("crossed-"+r.id, "", r.chat, r.text.count, r.version)
	o.produced = o.text.count
	return o
}

// send streams the events of a run from an offset. The header is sent with the
// first event.
func (s *Server) send(c fiber.Ctx, r *run, offset, cutAt int) error {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	return c.SendStream(&stream{ctx: s.Context(), run: r, next: offset, cutAt: cutAt})
}

func (s *Server) find(c fiber.Ctx) *run {
	id, err := url.PathUnescape(c.Params("id"))
	if err != nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// resume streams a run from an offset and continues it if it was cancelled.
func (s *Server) resume(c fiber.Ctx) error {
	r := s.find(c)
	if r == nil {
		return c.Status(fiber.StatusNotFound).SendString("unknown stream")
	}
	offset, err := strconv.Atoi(c.Query("offset", "0"))
	if err != nil || offset < 0 || offset > r.text.count {
		return c.Status(fiber.StatusBadRequest).SendString("offset out of range")
	}
	s.start(r)
	c.Set(target.HeaderVersion, r.version)
	return s.send(c, r, offset, -1)
}

// cancel stops a run. It can be resumed.
func (s *Server) cancel(c fiber.Ctx) error {
	r := s.find(c)
	if r == nil {
		return c.Status(fiber.StatusNotFound).SendString("unknown stream")
	}
	r.cancel(s.Context())
	return c.SendStatus(fiber.StatusNoContent)
}

func prefixParam(c fiber.Ctx) (uint64, error) {
	return strconv.ParseUint(c.Params("prefix"), 16, 64)
}

// block returns the stand-in's KV cache of a prefix.
func block(prefix uint64) []byte {
	return bytes.Repeat([]byte(strconv.FormatUint(prefix, 16)+"\n"), 64)
}

func (s *Server) export(c fiber.Ctx) error {
	p, err := prefixParam(c)
	if err != nil {
		return c.Status(fiber.StatusBadRequest).SendString("malformed prefix")
	}
	if !s.cache.has(p) {
		return c.Status(fiber.StatusNotFound).SendString("not cached")
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEOctetStream)
	return c.Send(block(p))
}

func (s *Server) imported(c fiber.Ctx) error {
	p, err := prefixParam(c)
	if err != nil || !bytes.Equal(c.Body(), block(p)) {
		return c.Status(fiber.StatusBadRequest).SendString("block does not belong to the prefix")
	}
	s.cache.put(p)
	return c.SendStatus(fiber.StatusNoContent)
}
