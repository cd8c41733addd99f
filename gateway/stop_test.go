package gateway_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"sardinefront.dev/gateway/ingress"
	"sardinefront.dev/platform/wire"
	"sardinefront.dev/standin/fleetuser"
	"sardinefront.dev/standin/slotengine"
)

// stop begins a planned stop and returns the channel of its result.
func (fx *fixture) stop() <-chan error {
	stopped := make(chan error, 1)
	go func() { stopped <- fx.host.Stop() }()
	fx.eventually("the host is not ready", func() bool { return !fx.isReady() })
	return stopped
}

// closedByHost reports whether the host has closed the connection after its last response.
func (fx *fixture) closedByHost(c *caller) bool {
	c.SetReadDeadline(time.Now().Add(time.Second))
	_, err := c.br.ReadByte()
	return errors.Is(err, io.EOF)
}

// Guards against a planned stop that closes a connection which its caller may still use: a request
// that was on its way then ended without a response.
func TestStopKeepsConnectionsThatCallersMayUse(t *testing.T) {
	fx := newFixture(t)
	fx.addServer(plainName, slotengine.Config{})
	fx.startHost()
	c := fx.dial()
	fx.send(c, "GET", pathIdempotent, "")
	resp := fx.read(c)
	if want := fmt.Sprintf("timeout=%.0f", ingress.KeepAliveTimeout.Seconds()); resp.header.Get("Keep-Alive") != want {
		t.Fatalf("response %+v, want Keep-Alive %q", resp, want)
	}
	answeredAt := time.Now()
	stopped := fx.stop()
	time.Sleep(time.Until(answeredAt.Add(ingress.KeepAliveTimeout - 20*time.Millisecond)))
	fx.send(c, "GET", pathIdempotent, "", "Request-Deadline: 1000")
	if resp := fx.read(c); resp.status != http.StatusOK || !fx.closedByHost(c) {
		t.Errorf("response %+v to a request on a connection that may be used", resp)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// Guards against a request that arrives late in a planned stop, on a connection that was opened
// before, is passed on, and is cut without a response at the end of the grace period.
func TestLateRequestOfStopFitsOrIsRefused(t *testing.T) {
	const longerThanGrace = 8 * time.Second
	fx := newFixture(t)
	fx.store.Put(wire.KeyConfig, fleetuser.Configuration(1, int(longerThanGrace.Milliseconds()), 0, 2))
	slow := fx.addServer(plainName, slotengine.Config{ResponseDelay: longerThanGrace})
	fx.startHost()
	long, short := fx.dial(), fx.dial()
	stopped := fx.stop()
	time.Sleep(2800 * time.Millisecond) // the load balancer has removed the host
	fx.send(long, "POST", pathNonIdempotent, "order", "Request-Deadline: 8000")
	if resp := fx.read(long); resp.status != http.StatusServiceUnavailable || resp.header.Get("Retry-After") == "" || !fx.closedByHost(long) {
		t.Errorf("response %+v to a request that does not fit", resp)
	}
	if n := len(slow.Runs()); n != 0 {
		t.Errorf("%d runs of a request that was refused as not run", n)
	}
	fx.send(short, "POST", pathNonIdempotent, "order", "Request-Deadline: 500")
	if resp := fx.read(short); resp.status != http.StatusGatewayTimeout {
		t.Errorf("response %+v to a request that fits", resp)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// Guards against requests that are cut without a response at the end of the grace period, whether
// they were passed on or still queued.
func TestRequestsInProgressAtTheEndOfAStopGetAResponse(t *testing.T) {
	fx := newFixture(t)
	fx.graceSeconds = 3
	fx.store.Put(wire.KeyConfig, fleetuser.Configuration(1, 8000, 0, 2))
	fx.addRawServer(plainName, "i-mute", func(net.Conn, *http.Request) bool {
		time.Sleep(8 * time.Second)
		return false
	})
	fx.startHost()
	var callers []*caller
	for range 12 {
		c := fx.dial()
		fx.send(c, "POST", pathNonIdempotent, "order", "Request-Deadline: 8000")
		callers = append(callers, c)
	}
	stopped := fx.stop()
	statuses := map[int]int{}
	for _, c := range callers {
		resp := fx.read(c)
		statuses[resp.status]++
		if resp.status != http.StatusServiceUnavailable && resp.status != http.StatusGatewayTimeout {
			t.Errorf("response %+v", resp)
		}
	}
	if statuses[http.StatusServiceUnavailable] == 0 || statuses[http.StatusGatewayTimeout] == 0 {
		t.Errorf("statuses %v, want queued and sent requests", statuses)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// Guards against a host of the fixture that outlives its test: its calls reached later targets that
// had got the port of its store, and counted there as requests.
func TestHostOfEndedTestCallsNoStore(t *testing.T) {
	l := listenAtEndedStore(t)
	defer l.Close()
	if err := l.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if c, err := l.Accept(); err == nil {
		c.Close()
		t.Error("the store is called after the end of its test")
	}
}

// listenAtEndedStore listens at the address of the store of a test that has ended.
func listenAtEndedStore(t *testing.T) *net.TCPListener {
	t.Helper()
	for range 5 { // the system may have assigned the port again
		var address string
		t.Run("ended", func(t *testing.T) {
			fx := newFixture(t)
			fx.startHost()
			address = fx.store.Address()
		})
		if l, err := net.Listen("tcp4", address); err == nil {
			return l.(*net.TCPListener)
		}
	}
	t.Fatal("no port of a store is free after its test")
	return nil
}
