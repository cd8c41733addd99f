// Package callerconn detects that a caller has closed its connection while its request is being
// handled. fasthttp does not report this: it cancels neither the handler's context nor the
// request context.
package callerconn

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// Watch calls onClose once if the peer closes its side of the connection before stop is called. A
// half-close counts as a close. stop waits until the watch has ended and leaves the connection
// usable for the next request. Watch does nothing for connections without a file descriptor.
func Watch(conn net.Conn, onClose func()) (stop func()) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return func() {}
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return func() {}
	}
	// The server's read deadline for the request must not end the watch.
	if conn.SetReadDeadline(time.Time{}) != nil {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if closedByPeer(raw) {
			onClose()
		}
	}()
	return sync.OnceFunc(func() {
		// A deadline in the past wakes the pending wait for readability.
		_ = conn.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = conn.SetReadDeadline(time.Time{})
	})
}

// closedByPeer waits until the socket is readable and reports whether the peer has closed it. It
// peeks, so that bytes of a following request stay in the socket.
func closedByPeer(raw syscall.RawConn) bool {
	closed := false
	err := raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		n, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
			return false
		}
		closed = err != nil || n == 0
		return true
	})
	return err == nil && closed
}
