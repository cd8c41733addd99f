package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// linkFault is the fault that a relay injects into its connections.
type linkFault uint8

const (
	linkHealthy       linkFault = iota
	linkSlow                    // delays each chunk of data by slowLinkDelay
	linkRefuse                  // resets open connections and closes new ones at once
	linkStallToServer           // holds back the data from the client to the server
	linkStallToClient           // holds back the data from the server to the client
	linkStallBoth               // holds back the data in both directions
)

var linkFaultNames = [...]string{"healthy", "slow", "refuses connections", "stalled to the server", "stalled to the client", "stalled both ways"}

// String returns the name of the fault for the schedule.
func (f linkFault) String() string { return linkFaultNames[f] }

// slowLinkDelay is the delay of each chunk of data on a slow link.
const slowLinkDelay = 120 * time.Millisecond

// relay forwards TCP connections and injects faults into them. Data that a stalled link
// holds back is delivered when the fault ends, as TCP does by retransmission after
// packet loss.
type relay struct {
	upstream string
	listener net.Listener

	mu      sync.Mutex
	fault   linkFault
	changed chan struct{} // closed at each change of the fault
	conns   map[*net.TCPConn]bool
	closed  bool
}

func newRelay(upstream string) (*relay, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{upstream: upstream, listener: l, changed: make(chan struct{}), conns: map[*net.TCPConn]bool{}}
	go r.accept()
	return r, nil
}

func (r *relay) listenAddress() string { return r.listener.Addr().String() }

// setFault changes the fault of all connections. linkRefuse also resets the open ones.
func (r *relay) setFault(f linkFault) {
	r.mu.Lock()
	r.fault = f
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	if f == linkRefuse {
		r.resetConnections()
	}
}

// resetConnections closes the open connections with a TCP reset.
func (r *relay) resetConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.SetLinger(0) // the connection may have ended already
		_ = c.Close()
	}
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.setFault(linkHealthy) // releases data that is held back
	r.resetConnections()
}

func (r *relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(c.(*net.TCPConn))
	}
}

func (r *relay) forward(client *net.TCPConn) {
	defer client.Close()
	r.mu.Lock()
	refuses := r.fault == linkRefuse || r.closed
	r.mu.Unlock()
	if refuses {
		return
	}
	c, err := net.DialTimeout("tcp4", r.upstream, time.Second)
	if err != nil {
		return
	}
	server := c.(*net.TCPConn)
	defer server.Close()
	if !r.add(client, server) {
		return
	}
	defer r.remove(client, server)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.copy(server, client, linkStallToServer)
	}()
	r.copy(client, server, linkStallToClient)
	<-done
}

func (r *relay) add(conns ...*net.TCPConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = true
	}
	return !r.closed
}

func (r *relay) remove(conns ...*net.TCPConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
	}
}

// copy forwards one direction, which the given fault stalls. When it ends, both connections
// are closed.
func (r *relay) copy(to, from *net.TCPConn, stall linkFault) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		r.applyFault(stall)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = to.SetLinger(0) // forwards a reset as a reset
			}
			return
		}
	}
}

// applyFault delays one direction as the current fault requires: for as long as the link is
// stalled in this direction, or by slowLinkDelay on a slow link.
func (r *relay) applyFault(stall linkFault) {
	for {
		r.mu.Lock()
		f, changed, closed := r.fault, r.changed, r.closed
		r.mu.Unlock()
		switch {
		case closed || f != stall && f != linkStallBoth && f != linkSlow:
			return
		case f == linkSlow:
			time.Sleep(slowLinkDelay)
			return
		}
		<-changed
	}
}
