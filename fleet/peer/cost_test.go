package peer

import (
	"runtime"
	"slices"
	"testing"
	"time"
)

// headerBytes is the size of the IPv6 and UDP headers of a packet.
const headerBytes = 48

// trafficWithHeaders returns a transport's bytes so far, including IPv6 and UDP headers,
// and its packets.
func trafficWithHeaders(t *Transport) (out, in, packets uint64) {
	s := t.Stats()
	return s.BytesOut + headerBytes*s.PacketsOut, s.BytesIn + headerBytes*s.PacketsIn, s.PacketsOut + s.PacketsIn
}

// Guards the overheads that package simulate assumes: 7,200 bytes in both directions
// together for a handshake, and 163 bytes per message beyond its body, including the
// acknowledgement. Retransmissions depend on the speed of the machine, so the cheapest
// handshake and the median exchange are compared.
func TestCostOfHandshakeAndMessages(t *testing.T) {
	k := devKeys(t, t.TempDir(), "a", "b")
	defaultTimeout := func(c *Config) { c.UnresponsiveAfter = 0 } // the default
	b, fromA := newEchoTransport(t, "127.0.0.1:0", k["b"], defaultTimeout)
	var a *Transport
	var fromB chan string
	const bound, tries = 2 * 3600, 40
	cheapest := uint64(1 << 30)
	for i := 0; i < tries && cheapest > bound; i++ {
		a, fromB = newEchoTransport(t, "127.0.0.1:0", k["a"], defaultTimeout)
		a.Send(b.Address(), "g", nil)
		<-fromA
		time.Sleep(100 * time.Millisecond) // for outstanding acknowledgements
		out, in, packets := trafficWithHeaders(a)
		t.Logf("handshake: %d bytes out, %d in, %d packets", out, in, packets)
		cheapest = min(cheapest, out+in)
	}
	if cheapest > bound {
		t.Errorf("handshake: %d bytes, the cheapest of %d", cheapest, tries)
	}
	const exchanges, body = 15, 600
	var each []int
	for range exchanges {
		out, in, _ := trafficWithHeaders(a)
		a.Send(b.Address(), "g", make([]byte, body))
		<-fromA
		b.Send(a.Address(), "g", make([]byte, body))
		<-fromB
		time.Sleep(40 * time.Millisecond) // more than the maximum delay of acknowledgements
		afterOut, afterIn, _ := trafficWithHeaders(a)
		each = append(each, int(afterOut+afterIn-out-in)/2-body)
	}
	slices.Sort(each)
	t.Logf("message: %d bytes beyond the body", each)
	if median := each[exchanges/2]; median > 6+80+77 {
		t.Errorf("a message costs %d bytes beyond its body", median)
	}
}

// Guards against connections that use too much memory. A host has about 60 at 360 hosts;
// the test counts both ends of each.
func TestMemoryOfConnections(t *testing.T) {
	const conns = 20
	dir := t.TempDir()
	k := devKeys(t, dir, "a", "b")
	b, got := newEchoTransport(t, "127.0.0.1:0", k["b"], nil)
	var clients []*Transport
	for range conns {
		a, _ := newEchoTransport(t, "127.0.0.1:0", k["a"], nil)
		clients = append(clients, a)
	}
	before := heapBytes()
	for _, a := range clients {
		a.Send(b.Address(), "g", make([]byte, 600))
	}
	for range conns {
		<-got
	}
	each := (heapBytes() - before) / conns
	t.Logf("%d KB of heap and stacks for both ends of a connection", each>>10)
	if each > 512<<10 {
		t.Errorf("%d bytes for both ends of a connection", each)
	}
}

// heapBytes returns the size of the heap and the stacks after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc + s.StackInuse)
}
