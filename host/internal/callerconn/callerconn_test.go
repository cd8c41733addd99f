package callerconn

import (
	"net"
	"testing"
	"time"
)

// tcpPair returns both ends of a TCP connection.
func tcpPair(t *testing.T) (server, client net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close(); client.Close() })
	return server, client
}

// Guards against a generation that continues after its caller has closed the connection.
func TestWatchReportsClosedCaller(t *testing.T) {
	server, client := tcpPair(t)
	gone := make(chan struct{})
	stop := Watch(server, func() { close(gone) })
	defer stop()
	client.Close()
	select {
	case <-gone:
	case <-time.After(10 * time.Second):
		t.Fatal("closed connection not reported")
	}
}

// Guards against a watch that consumes bytes of the next request, and against one that leaves a
// read deadline on a keep-alive connection.
func TestStopLeavesConnectionUsable(t *testing.T) {
	server, client := tcpPair(t)
	stop := Watch(server, func() { t.Error("open connection reported as closed") })
	stop()
	stop = Watch(server, func() { t.Error("pipelined bytes reported as closed") })
	if _, err := client.Write([]byte("next")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Millisecond)
	stop()
	buf := make([]byte, 4)
	if _, err := server.Read(buf); err != nil || string(buf) != "next" {
		t.Fatalf("read %q, %v", buf, err)
	}
}
