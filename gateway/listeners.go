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
	// The descriptors of the process, divided by callerDescriptorDivisor, may be connections to the
	// callers' listener, and divided by otherDescriptorDivisor, to each other listener.
	callerDescriptorDivisor = 2
	otherDescriptorDivisor  = 16
	// bytesPerCallerConn is the memory limit of the process for each connection of a caller.
	bytesPerCallerConn = 128 << 10
	// defaultDescriptors is assumed if the limit of descriptors can't be read. An unlimited number,
	// which does not fit into an int, counts as maxCountedDescriptors.
	defaultDescriptors    = 1024
	maxCountedDescriptors = 1 << 20
	// The memory limit, divided by headMemoryDivisor, is for heads in progress. Without a limit
	// defaultHeadBytes are.
	headMemoryDivisor = 16
	defaultHeadBytes  = 16 << 20
)

// newServers creates the HTTP servers of all listeners.
func (g *Gateway) newServers() {
	g.callers = g.newServer(g.ingress, 0, 0, maxHeaderBytes)
	g.callers.ConnState = g.conns.track
	g.ready = g.newShortServer(http.HandlerFunc(g.serveReady))
	g.metrics = g.newShortServer(g.cfg.MetricsHandler)
	g.internal = g.newShortServer(peers.SnapshotHandler(g.dir))
}

// newShortServer creates a server for short requests without a body.
func (g *Gateway) newShortServer(h http.Handler) *http.Server {
	return g.newServer(h, shortRequestTime, shortResponseTime, maxShortHeaderBytes)
}

// newServer creates a server with the given bounds; a timeout of 0 means none.
func (g *Gateway) newServer(h http.Handler, readTimeout, writeTimeout time.Duration, headerBytes int) *http.Server {
	return &http.Server{
		Handler: connlimit.Handler(h), ConnContext: connlimit.ConnContext,
		ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: headerBytes, ErrorLog: slog.NewLogLogger(g.cfg.Log.Handler(), slog.LevelDebug),
	}
}

// listenAll opens the configured listeners with their limits of connections.
func (g *Gateway) listenAll() error {
	s := g.cfg.Settings
	descriptors, memory := maxDescriptors(), s.Limits.MemoryMB<<20
	callerConns, headBytes := descriptors/callerDescriptorDivisor, defaultHeadBytes
	if memory > 0 {
		callerConns, headBytes = min(callerConns, memory/bytesPerCallerConn), memory/headMemoryDivisor
	}
	heads := connlimit.NewHeadBudget(headBytes)
	otherConns := descriptors / otherDescriptorDivisor
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

// listen serves connections to an address. heads is shared by all listeners.
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

// maxDescriptors returns the number of descriptors that the process may open.
func maxDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, maxCountedDescriptors))
}
