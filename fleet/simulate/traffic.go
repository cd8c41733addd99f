package simulate

import "time"

// The assumed traffic of a message beyond its encoded bytes.
const (
	// frameBytes is the CBOR frame around the body: array header, kind "g" and the
	// header of the byte string.
	frameBytes = 6
	// packetOverheadBytes is the overhead of each packet: 40 for IPv6 (IPv4: 20), 8
	// for UDP, and for QUIC 1 for the flags, 4 for the connection id, 2 for the
	// packet number, 16 for the authentication tag, 3 for the frame header, and
	// about 6 for an ACK frame in the same packet.
	packetOverheadBytes = 48 + 23 + 3 + 6
	// ackBytes is the size of a packet that carries only an ACK frame. Every message
	// is charged with one, although a response often carries the acknowledgement. On
	// loopback a message cost 160 bytes beyond its body; 163 are assumed here, and
	// guarded by peer.TestCostOfHandshakeAndMessages.
	ackBytes = 48 + 23 + 6
	// handshakeBytes is charged to each side for a handshake with two P-256
	// certificates. On loopback the dialling side sent 4,237 bytes and the other
	// 2,470; peer.TestCostOfHandshakeAndMessages guards the sum.
	handshakeBytes = 3600
	// failedDialBytes is the cost of a dial without a response: the padded first
	// packet and its retransmissions within the handshake timeout of 3 s.
	failedDialBytes = 4 * (1280 + 48)
	// maxPacketBodyBytes is how much stream data fits into a packet.
	maxPacketBodyBytes = 1200
	// idleTimeout is the time after which unused connections are closed: the default
	// of peer.Config.IdleTimeout.
	idleTimeout = 2 * time.Minute
)

// Traffic holds a host's totals since the last ResetTraffic.
type Traffic struct {
	BytesIn, BytesOut   int
	Messages            int // one-way messages sent
	MessageBytes        int // encoded bytes of these messages
	LongestMessageBytes int
	Calls               int // requests and responses of calls sent
	Handshakes          int // connections opened
	FailedDials         int
}

// ResetTraffic zeroes all counters.
func (w *World) ResetTraffic() {
	for _, h := range w.Hosts {
		h.Traffic = Traffic{}
	}
}

// dropConnections removes the connections of a restarted host.
func (w *World) dropConnections(h *Host) {
	for key := range w.connLastUse {
		if key[0] == h.index || key[1] == h.index {
			delete(w.connLastUse, key)
		}
	}
}

// charge adds bytes sent from one host to another.
func (w *World) charge(from, to *Host, bytes int) {
	from.Traffic.BytesOut += bytes
	to.Traffic.BytesIn += bytes
}

// chargeConnection charges a handshake if the two hosts have no open connection, or the
// packets of a failed dial if they cannot connect.
func (w *World) chargeConnection(a, b *Host) {
	key := [2]int{min(a.index, b.index), max(a.index, b.index)}
	last, ok := w.connLastUse[key]
	open := ok && w.Now.Sub(last) < idleTimeout
	if !open && (!b.up || w.partitions[[2]int{a.index, b.index}] || w.partitions[[2]int{b.index, a.index}]) {
		a.Traffic.BytesOut += failedDialBytes
		a.Traffic.FailedDials++
		return
	}
	w.connLastUse[key] = w.Now
	if open {
		return
	}
	a.Traffic.Handshakes++
	w.charge(a, b, handshakeBytes)
	w.charge(b, a, handshakeBytes)
}

// chargeMessage charges a one-way message sent in one datagram.
func (w *World) chargeMessage(from, to *Host, bytes int) {
	w.chargeConnection(from, to)
	w.charge(from, to, bytes+frameBytes+packetOverheadBytes)
	w.charge(to, from, ackBytes)
	t := &from.Traffic
	t.Messages++
	t.MessageBytes += bytes
	t.LongestMessageBytes = max(t.LongestMessageBytes, bytes+frameBytes)
}

// chargeCall charges one direction of a call.
func (w *World) chargeCall(from, to *Host, bytes int) {
	w.chargeConnection(from, to)
	packets := 1 + bytes/maxPacketBodyBytes
	w.charge(from, to, bytes+frameBytes+packets*packetOverheadBytes)
	w.charge(to, from, packets*ackBytes)
	from.Traffic.Calls++
}
