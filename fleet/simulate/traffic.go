package simulate

import "time"

// The allowance for what a message costs beyond its encoded bytes.
const (
	// framing is the CBOR frame around the body: array header, kind "g" and the
	// header of the byte string.
	framing = 6
	// packetBytes is what each packet adds: 40 for IPv6 (IPv4: 20), 8 for UDP,
	// and for QUIC 1 for the flags, 4 for the connection id, 2 for the packet
	// number, 16 for the authentication tag, 3 for the frame header, and an ACK
	// frame of about 6 that rides along.
	packetBytes = 48 + 23 + 3 + 6
	// ackBytes is a packet that carries only an ACK frame. Every message is
	// charged with one, although an answer often carries the acknowledgement.
	// On loopback a message cost 160 bytes beyond its body, where this allows
	// 163; peer.TestCostOfHandshakeAndMessages guards it.
	ackBytes = 48 + 23 + 6
	// handshakeBytes is charged to each side for a connection with two P-256
	// certificates. On loopback the dialling side sent 4,237 bytes and the other
	// 2,470; peer.TestCostOfHandshakeAndMessages guards the sum.
	handshakeBytes = 3600
	// failedDialBytes is a dial without an answer: the padded first packet and
	// its retransmissions within the handshake timeout of 3 s.
	failedDialBytes = 4 * (1280 + 48)
	// packetBody is how much of a stream fits a packet.
	packetBody = 1200
	// idleTimeout closes connections without use, as in peer.Config.
	idleTimeout = 2 * time.Minute
)

// Traffic is a host's totals since the last reset.
type Traffic struct {
	BytesIn, BytesOut   int
	Messages            int // one-way messages sent
	MessageBytes        int // of which encoded
	LongestMessageBytes int
	Calls               int // calls and answers sent
	Handshakes          int // connections opened
	FailedDials         int
}

// ResetTraffic zeroes all counters.
func (w *World) ResetTraffic() {
	for _, h := range w.Hosts {
		h.Traffic = Traffic{}
	}
}

// disconnect forgets the connections of a host that starts anew.
func (w *World) disconnect(h *Host) {
	for key := range w.links {
		if key[0] == h.index || key[1] == h.index {
			delete(w.links, key)
		}
	}
}

func (w *World) charge(from, to *Host, bytes int) {
	from.Traffic.BytesOut += bytes
	to.Traffic.BytesIn += bytes
}

// connect charges the handshake if the two hosts have no open connection, or
// the packets of a dial that fails.
func (w *World) connect(a, b *Host) {
	key := [2]int{min(a.index, b.index), max(a.index, b.index)}
	last, ok := w.links[key]
	open := ok && w.Now.Sub(last) < idleTimeout
	if !open && (!b.up || w.cuts[[2]int{a.index, b.index}] || w.cuts[[2]int{b.index, a.index}]) {
		a.Traffic.BytesOut += failedDialBytes
		a.Traffic.FailedDials++
		return
	}
	w.links[key] = w.Now
	if open {
		return
	}
	a.Traffic.Handshakes++
	w.charge(a, b, handshakeBytes)
	w.charge(b, a, handshakeBytes)
}

// chargeMessage counts a one-way message in one datagram.
func (w *World) chargeMessage(from, to *Host, bytes int) {
	w.connect(from, to)
	w.charge(from, to, bytes+framing+packetBytes)
	w.charge(to, from, ackBytes)
	t := &from.Traffic
	t.Messages++
	t.MessageBytes += bytes
	t.LongestMessageBytes = max(t.LongestMessageBytes, bytes+framing)
}

// chargeCall counts one direction of a call.
func (w *World) chargeCall(from, to *Host, bytes int) {
	w.connect(from, to)
	packets := 1 + bytes/packetBody
	w.charge(from, to, bytes+framing+packets*packetBytes)
	w.charge(to, from, packets*ackBytes)
	from.Traffic.Calls++
}
