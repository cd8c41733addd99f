package peer

import (
	"runtime"
	"slices"
	"testing"
	"time"
)

// udpIP is what IPv6 and UDP add to each packet.
const udpIP = 48

// cost returns a transport's traffic so far with IPv6 and UDP headers.
func cost(t *Transport) (out, in, packets uint64) {
	s := t.Stats()
	return s.BytesOut + udpIP*s.PacketsOut, s.BytesIn + udpIP*s.PacketsIn, s.PacketsOut + s.PacketsIn
}

// Guards the allowances that simulate uses for traffic: 7,200 bytes in both
// directions for a handshake, and 163 bytes for each message beyond its body,
// the answering acknowledgement included. Retransmissions depend on the speed
// of the machine, so the cheapest handshake and the median exchange count.
func TestCostOfHandshakeAndMessages(t *testing.T) {
	k := devKeys(t, t.TempDir(), "a", "b")
	quiet := func(c *Config) { c.UnresponsiveAfter = 0 } // the default
	b, fromA := echo(t, "127.0.0.1:0", k["b"], quiet)
	var a *Transport
	var fromB chan string
	const bound, tries = 2 * 3600, 40
	cheapest := uint64(1 << 30)
	for i := 0; i < tries && cheapest > bound; i++ {
		a, fromB = echo(t, "127.0.0.1:0", k["a"], quiet)
		a.Send(b.Address(), "g", nil)
		<-fromA
		time.Sleep(100 * time.Millisecond) // acknowledgements settle
		out, in, packets := cost(a)
		t.Logf("handshake: %d bytes out, %d in, %d packets", out, in, packets)
		cheapest = min(cheapest, out+in)
	}
	if cheapest > bound {
		t.Errorf("handshake: %d bytes, the cheapest of %d", cheapest, tries)
	}
	const exchanges, body = 15, 600
	var each []int
	for range exchanges {
		out, in, _ := cost(a)
		a.Send(b.Address(), "g", make([]byte, body))
		<-fromA
		b.Send(a.Address(), "g", make([]byte, body))
		<-fromB
		time.Sleep(40 * time.Millisecond) // more than the delay of acknowledgements
		afterOut, afterIn, _ := cost(a)
		each = append(each, int(afterOut+afterIn-out-in)/2-body)
	}
	slices.Sort(each)
	t.Logf("message: %d bytes beyond the body", each)
	if median := each[exchanges/2]; median > 6+80+77 {
		t.Errorf("a message costs %d bytes beyond its body", median)
	}
}

// Guards the memory of a host's connections: about 60 at 360 hosts, both sides
// of which are counted here.
func TestMemoryOfConnections(t *testing.T) {
	const conns = 20
	dir := t.TempDir()
	k := devKeys(t, dir, "a", "b")
	b, got := echo(t, "127.0.0.1:0", k["b"], nil)
	var clients []*Transport
	for range conns {
		a, _ := echo(t, "127.0.0.1:0", k["a"], nil)
		clients = append(clients, a)
	}
	before := heap()
	for _, a := range clients {
		a.Send(b.Address(), "g", make([]byte, 600))
	}
	for range conns {
		<-got
	}
	each := (heap() - before) / conns
	t.Logf("%d KB of heap and stacks for both ends of a connection", each>>10)
	if each > 512<<10 {
		t.Errorf("%d bytes for both ends of a connection", each)
	}
}

func heap() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc + s.StackInuse)
}
