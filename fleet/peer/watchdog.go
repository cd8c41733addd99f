package peer

import (
	"time"

	"github.com/quic-go/quic-go"
)

// watch closes the connection of a call when it receives no packet for Config.UnresponsiveAfter, not
// even an acknowledgement, until stop is called.
func (t *Transport) watch(c *quic.Conn) (stop func()) {
	received := c.ConnectionStats().PacketsReceived
	done := make(chan struct{})
	timer := time.AfterFunc(t.cfg.UnresponsiveAfter, func() { t.watchLongCall(c, received, done) })
	return func() {
		timer.Stop()
		close(done)
	}
}

// watchLongCall checks the connection until done is closed. What has arrived since the last check may
// have been sent before the peer became unresponsive, and a peer whose handler works sends nothing by
// itself. So an empty datagram, which is no message, asks for an acknowledgement after each check.
func (t *Transport) watchLongCall(c *quic.Conn, received uint64, done <-chan struct{}) {
	tick := time.NewTicker(t.cfg.UnresponsiveAfter)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		default:
		}
		now := c.ConnectionStats().PacketsReceived
		if now == received {
			t.closeUnresponsive(c)
			return
		}
		received = now
		_ = c.SendDatagram(nil) // fails only on a closed connection
		select {
		case <-done:
			return
		case <-c.Context().Done():
			return
		case <-tick.C:
		}
	}
}
