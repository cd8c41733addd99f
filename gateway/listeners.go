package gateway

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"syscall"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/core/membudget"
	"sardinefront.dev/gateway/connlimit"
	"sardinefront.dev/gateway/peers"
)

const (
	// headerTimeout bounds the time to read a request's headers.
	headerTimeout = 5 * time.Second
	// idleTimeout closes idle connections of callers. It is longer than any configured idle
	// timeout.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 64 << 10
	// shortRequestTime bounds a request at the ready, metrics and internal listeners, and
	// shortResponseTime its response.
	shortRequestTime  = 5 * time.Second
	shortResponseTime = 10 * time.Second
	// maxShortHeaderBytes bounds the headers of a request at those listeners.
	maxShortHeaderBytes = 8 << 10
	// callerDescriptorShare and otherDescriptorShare are the parts of the descriptors of the process
	// that connections to the callers' listener and to each other listener may use.
	callerDescriptorShare = 2
	otherDescriptorShare  = 16
	// bytesPerCallerConn is the memory limit of the process for each connection of a caller.
	bytesPerCallerConn = 128 << 10
	// defaultDescriptors is assumed if the limit of descriptors can't be read.
	defaultDescriptors = 1024
	// headMemoryShare is the part of the memory limit for heads in progress, defaultHeadBytes the
	// value without a memory limit.
	headMemoryShare  = 16
	defaultHeadBytes = 16 << 20
)

// newServers creates the HTTP servers of all listeners.
func (g *Gateway) newServers() {
	g.callers = g.newServer(g.ingress, 0, 0, maxHeaderBytes)
	g.callers.ConnState = g.conns.track
	g.ready = g.newShortServer(http.HandlerFunc(g.serveReady))
	g.metrics = g.newShortServer(g.cfg.MetricsHandler)
	g.internal = g.newShortServer(peers.SnapshotHandler(g.dir))
}

func (g *Gateway) newShortServer(h http.Handler) *http.Server {
	return g.newServer(h, shortRequestTime, shortResponseTime, maxShortHeaderBytes)
}

func (g *Gateway) newServer(h http.Handler, readTimeout, writeTimeout time.Duration, headerBytes int) *http.Server {
	return &http.Server{
		Handler: connlimit.Handler(h), ConnContext: connlimit.ConnContext,
		ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: headerBytes, ErrorLog: slog.NewLogLogger(g.cfg.Log.Handler(), slog.LevelDebug),
	}
}

func (g *Gateway) listenAll() error {
	s := g.cfg.Settings
	descriptors, memory := maxDescriptors(), s.Limits.MemoryMB<<20
	callerConns, headBytes := descriptors/callerDescriptorShare, defaultHeadBytes
	if memory > 0 {
		callerConns, headBytes = min(callerConns, memory/bytesPerCallerConn), memory/headMemoryShare
	}
	heads := connlimit.NewHeadBudget(headBytes)
	otherConns := descriptors / otherDescriptorShare
	listeners := []struct {
		server   *http.Server
		address  string
		maxConns int
	}{
		{g.callers, s.Listen.Callers, callerConns}, {g.ready, s.Listen.Ready, otherConns},
		{g.internal, s.PeerAddress(), otherConns}, {g.metrics, s.Listen.Metrics, otherConns},
	}
	for _, l := range listeners {
		if l.address == "" {
			continue
		}
		if err := g.listen(l.server, l.address, l.maxConns, heads); err != nil {
			return err
		}
	}
	return nil
}

func (g *Gateway) listen(server *http.Server, address string, maxConns int, heads *membudget.Budget) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	bounded := connlimit.Listen(l, connlimit.Config{MaxConns: max(1, maxConns), Heads: heads, OnClose: func(cause connlimit.Cause, client net.Addr) {
		g.cfg.Metrics.CountClientLimit(string(cause))
		event.ClientConnClosed.Log(g.cfg.Log, slog.String("cause", string(cause)), slog.String("listener", address), slog.String("client", client.String()))
	}})
	g.wg.Go(func() {
		if err := server.Serve(bounded); !errors.Is(err, http.ErrServerClosed) {
			g.cfg.Log.Error("HTTP server stopped unexpectedly", "address", address, "error", err)
		}
	})
	return nil
}

// maxDescriptors returns the limit of descriptors of the process.
func maxDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, 1<<20)) // an unlimited number does not fit into an int
}
