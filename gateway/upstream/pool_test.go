package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"sardinefront.dev/gateway/protocol"
)

// Guards against a connection that stays open for good because its target left the list while the
// connection carried a request: targets accept few connections.
func TestConnectionOfRemovedTargetIsClosedAfterItsRequest(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	closed := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			closed <- err
			return
		}
		defer c.Close()
		br := bufio.NewReader(c)
		if _, err := http.ReadRequest(br); err != nil {
			closed <- err
			return
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 0\r\n\r\n")
		c.SetReadDeadline(time.Now().Add(time.Second))
		_, err = br.ReadByte()
		closed <- err
	}()
	p := New(headerCodec{}, time.Second, nil)
	c, err := p.Get(t.Context(), "removed", l.Addr().String(), "r")
	if err != nil {
		t.Fatal(err)
	}
	c.BindContext(context.Background())
	if err := c.Send(protocol.Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}}); err != nil {
		t.Fatal(err)
	}
	p.Retain(nil)
	resp, err := c.Receive("GET", "r", 0)
	if err != nil {
		t.Fatal(err)
	}
	c.Release(resp, true)
	if err := <-closed; errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("the connection stays open")
	}
}
