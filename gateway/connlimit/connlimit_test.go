package connlimit

import (
	"errors"
	"net"
	"strings"
	"testing"
)

// acceptOne returns the server's and the client's side of a connection of a listener, and the causes
// for which the listener has closed connections.
func acceptOne(t *testing.T) (server, client net.Conn, causes *[]Cause) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	causes = &[]Cause{}
	limited := Listen(l, Config{MaxConns: 4, Heads: NewHeadBudget(64 << 10), OnClose: func(c Cause, _ net.Addr) { *causes = append(*causes, c) }})
	if client, err = net.Dial("tcp4", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = limited.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close(); client.Close(); server.Close() })
	return server, client, causes
}

// Guards against a head of very many short fields, which takes some 20 times its bytes once parsed.
func TestHeadWithTooManyLinesIsClosed(t *testing.T) {
	server, client, causes := acceptOne(t)
	go client.Write([]byte(strings.Repeat("a:b\r\n", 2*maxHeadLines)))
	var err error
	for buf := make([]byte, 4<<10); err == nil; {
		_, err = server.Read(buf)
	}
	if !errors.Is(err, ErrHeadTooLarge) || len(*causes) != 1 || (*causes)[0] != CauseHead {
		t.Errorf("error %v, causes %v", err, *causes)
	}
}

// Guards against a connection that was closed for another reason and is counted as one with a head
// that is too large.
func TestClosedConnectionIsNoLargeHead(t *testing.T) {
	server, _, causes := acceptOne(t)
	c := server.(*Conn)
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	if err := c.chargeHead([]byte("late")); !errors.Is(err, net.ErrClosed) || len(*causes) != 0 {
		t.Errorf("error %v, causes %v", err, *causes)
	}
}

// Guards against a wrapped connection that can't be shut down on one side: net/http does so for a
// client that still sends, which could not read its response otherwise.
func TestSendingSideCanBeShutDown(t *testing.T) {
	server, client, _ := acceptOne(t)
	if err := server.(*Conn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if n, err := client.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Errorf("%d bytes, error %v after the sending side was shut down", n, err)
	}
	if _, err := client.Write([]byte("GET")); err != nil {
		t.Errorf("the receiving side is shut down too: %v", err)
	}
}
