// Package web holds what the HTTP servers of all stand-ins share.
package web

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"
)

// bodyLimit bounds a request, in bytes. A block of KV cache has to fit.
const bodyLimit = 80 << 20

// Server is a fiber app whose connections can be made silent, dropped, and
// closed all at once.
type Server struct {
	App  *fiber.App
	ctx  context.Context
	stop context.CancelFunc
	wg   conc.WaitGroup

	mu     sync.Mutex
	ln     net.Listener
	conns  map[*tracked]struct{}
	closed bool
}

// New returns a server without routes.
func New() *Server {
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{
		App:   fiber.New(fiber.Config{BodyLimit: bodyLimit, ReadBufferSize: 64 << 10}),
		ctx:   ctx,
		stop:  stop,
		conns: make(map[*tracked]struct{}),
	}
	s.App.Post("/standin/freeze", func(fiber.Ctx) error {
		s.FreezeConnections()
		return nil
	})
	return s
}

// Start listens on addr (host:port) and serves in the background.
func (s *Server) Start(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("stand-in: %w", err)
	}
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	s.Go(func() {
		// The error of a closed listener is the normal end.
		_ = s.App.Listener(&listener{Listener: ln, server: s}, fiber.ListenConfig{DisableStartupMessage: true})
	})
	return nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ln.Addr().String()
}

// Context ends when the server closes.
func (s *Server) Context() context.Context { return s.ctx }

// Go runs f in the background unless the server is closed. Close waits for it.
func (s *Server) Go(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.wg.Go(f)
	}
}

// Sleep waits for d or until the server closes.
func (s *Server) Sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.ctx.Done():
	}
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	s.stop()
	if s.ln != nil {
		s.ln.Close()
	}
	for t := range s.conns {
		t.Conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// Hang leaves the request without an answer and the connection open and silent
// for good.
func LeaveUnanswered(c fiber.Ctx) error {
	c.RequestCtx().HijackSetNoResponse(true)
	c.RequestCtx().Hijack(func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	return nil
}

// Drop closes the connection without an answer.
func Disconnect(c fiber.Ctx) error {
	c.RequestCtx().HijackSetNoResponse(true)
	c.RequestCtx().Hijack(func(conn net.Conn) { conn.Close() })
	return nil
}

// Cut sends the header and the first half of a body, whose full length the
// header states, and closes the connection.
func SendTruncated(c fiber.Ctx, body []byte) error {
	h := &c.RequestCtx().Response.Header
	h.SetContentLength(len(body))
	part := append([]byte(nil), h.Header()...)
	part = append(part, body[:len(body)/2]...)
	c.RequestCtx().HijackSetNoResponse(true)
	c.RequestCtx().Hijack(func(conn net.Conn) {
		_, _ = conn.Write(part)
		conn.Close()
	})
	return nil
}

// Header returns a copy of a request header. The strings of fiber are invalid
// after the handler has returned.
func Header(c fiber.Ctx, name string) string { return strings.Clone(c.Get(name)) }

// Path returns a copy of the request's path.
func Path(c fiber.Ctx) string { return strings.Clone(c.Path()) }
