//go:build unix

// Package sockets checks the state of idle connections.
package sockets

import (
	"net"
	"syscall"
)

// Reusable reports whether an idle connection can carry another request: it is open and has no
// unread bytes. A request on a connection that the target has closed would be lost, and bytes
// that arrive before the request would be taken for its response.
func Reusable(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peeked = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && (peeked == syscall.EAGAIN || peeked == syscall.EWOULDBLOCK)
}
