//go:build !unix

// Package sockets checks the state of idle connections.
package sockets

import "net"

// Reusable always returns true, because sockets cannot be peeked on this platform. A request on
// a connection that the target has closed fails with a send error.
func Reusable(net.Conn) bool { return true }
