// Package web implements the HTTP server that the stand-ins share, with connection faults.
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

	"sardinefront.dev/core/wait"
)

// bodyLimit is the maximum size of a request body, in bytes. An exported KV cache
// block has to fit.
const bodyLimit = 80 << 20

// Server is a fiber app whose connections can all be frozen or closed at once. Its
// methods are safe for concurrent use.
type Server struct {
	App    *fiber.App
	ctx    context.Context
	cancel context.CancelFunc
	wg     conc.WaitGroup

	mu     sync.Mutex
	ln     net.Listener
	conns  map[*trackedConn]struct{}
	closed bool
}

// New returns a server without routes.
func New() *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		App:    fiber.New(fiber.Config{BodyLimit: bodyLimit, ReadBufferSize: 64 << 10}),
		ctx:    ctx,
		cancel: cancel,
		conns:  make(map[*trackedConn]struct{}),
	}
	s.App.Post("/standin/freeze", func(fiber.Ctx) error {
		s.FreezeConnections()
		return nil
	})
	return s
}

// Start listens on addr (host:port) and serves in the background until Close.
func (s *Server) Start(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("stand-in: %w", err)
	}
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	s.Go(func() {
		// Listener returns an error when Close closes the listener.
		_ = s.App.Listener(&listener{Listener: ln, server: s}, fiber.ListenConfig{DisableStartupMessage: true})
	})
	return nil
}

// Addr returns the address (host:port) that the server listens on. Start must have
// succeeded.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ln.Addr().String()
}

// Context returns a context that is cancelled when the server closes.
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
func (s *Server) Sleep(d time.Duration) { wait.Sleep(s.ctx, d) }

// Close closes the listener and all connections and waits for the goroutines that Go
// started.
func (s *Server) Close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	s.cancel()
	if s.ln != nil {
		s.ln.Close()
	}
	for t := range s.conns {
		t.Conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// LeaveUnanswered never responds to the request, keeps the connection open and
// discards further requests on it.
func LeaveUnanswered(c fiber.Ctx) error {
	c.RequestCtx().HijackSetNoResponse(true)
	c.RequestCtx().Hijack(func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	return nil
}

// Disconnect closes the connection without a response.
func Disconnect(c fiber.Ctx) error {
	c.RequestCtx().HijackSetNoResponse(true)
	c.RequestCtx().Hijack(func(conn net.Conn) { conn.Close() })
	return nil
}

// SendTruncated sends the header with the full content length and the first half of the
// body, and closes the connection.
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

// Header returns a copy of a request header. Strings that fiber returns are invalid
// after the handler has returned.
func Header(c fiber.Ctx, name string) string { return strings.Clone(c.Get(name)) }

// Path returns a copy of the request's path, for the same reason as Header.
func Path(c fiber.Ctx) string { return strings.Clone(c.Path()) }
