package peer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
)

// The errors of Call.
var (
	// ErrNotSent means that no byte of the call went out.
	ErrNotSent = errors.New("not sent to the peer")
	// ErrNoReply means that the peer may have handled the call.
	ErrNoReply = errors.New("no reply from the peer")
	// ErrRefused means that the peer's handler failed; the text is its error.
	ErrRefused = errors.New("refused by the peer")
)

// Call sends a message of that kind to the address and returns the answer. The
// error wraps ErrNotSent, ErrNoReply or ErrRefused.
func (t *Transport) Call(ctx context.Context, address, kind string, body []byte) ([]byte, error) {
	return t.CallHost(ctx, "", address, kind, body)
}

// CallHost is Call to the host whose certificate bears the name. Replaced hosts
// leave their addresses to others; nothing is sent to another host.
func (t *Transport) CallHost(ctx context.Context, name, address, kind string, body []byte) ([]byte, error) {
	data, err := cbor.Marshal(frame{Kind: kind, Body: body})
	if err != nil {
		return nil, callError(address, kind, ErrNotSent, err)
	}
	if len(data) > t.cfg.MaxMessageBytes {
		return nil, callError(address, kind, ErrNotSent, errTooLong)
	}
	connect, cancel := context.WithTimeout(ctx, t.cfg.ConnectTimeout)
	c, err := t.connection(connect, address)
	cancel()
	if err != nil {
		return nil, callError(address, kind, ErrNotSent, err)
	}
	if got := nameOf(c.ConnectionState().TLS.PeerCertificates); name != "" && got != name {
		return nil, callError(address, kind, ErrNotSent, fmt.Errorf("%s is there, not %s", got, name))
	}
	s, err := c.OpenStreamSync(ctx)
	if err != nil {
		return nil, callError(address, kind, ErrNotSent, err)
	}
	r, err := t.exchange(ctx, c, s, data)
	if err != nil {
		return nil, callError(address, kind, ErrNoReply, err)
	}
	if r.Failed {
		return nil, callError(address, kind, ErrRefused, errors.New(string(r.Body)))
	}
	return r.Body, nil
}

func callError(address, kind string, class, err error) error {
	return fmt.Errorf("call %s at %s: %w: %w", kind, address, class, err)
}

// exchange writes the request and reads the reply. A connection that receives
// not even an acknowledgement within SilentAfter is closed, so that the next
// call uses a new one.
func (t *Transport) exchange(ctx context.Context, c *quic.Conn, s *quic.Stream, data []byte) (reply, error) {
	stop := context.AfterFunc(ctx, func() { cancelStream(s) })
	defer stop()
	before := c.ConnectionStats().PacketsReceived
	silence := time.AfterFunc(t.cfg.UnresponsiveAfter, func() {
		if c.ConnectionStats().PacketsReceived == before {
			t.silent(c)
		}
	})
	defer silence.Stop()
	var r reply
	if _, err := s.Write(data); err != nil {
		return r, cause(ctx, err)
	}
	if err := s.Close(); err != nil {
		return r, cause(ctx, err)
	}
	b, err := readAll(s, t.cfg.MaxMessageBytes)
	if err != nil {
		return r, cause(ctx, err)
	}
	return r, cbor.Unmarshal(b, &r)
}

// cause prefers the context's error to the stream error that it led to.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

func cancelStream(s *quic.Stream) {
	s.CancelRead(0)
	s.CancelWrite(0)
}

// Send queues a one-way message and returns at once. The message is lost if
// the peer cannot be reached, if too many wait for the same peer, or on the
// way.
func (t *Transport) Send(address, kind string, body []byte) { t.send(address, kind, body, false) }

// SendReliable is Send over a stream: it is lost only if the connection is.
func (t *Transport) SendReliable(address, kind string, body []byte) {
	t.send(address, kind, body, true)
}

func (t *Transport) send(address, kind string, body []byte, reliable bool) {
	data, err := cbor.Marshal(frame{Kind: kind, Body: body})
	if err != nil || len(data) > t.cfg.MaxMessageBytes {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return
	}
	l := t.link(address)
	if len(l.queue) >= maxQueue {
		return
	}
	l.queue = append(l.queue, outgoing{data, reliable})
	if !l.sending {
		l.sending = true
		t.wg.Go(func() { t.drain(l) })
	}
}

// drain sends the queued messages of a link and ends when none are left.
func (t *Transport) drain(l *link) {
	for {
		c, err := t.connection(t.ctx, l.address)
		t.mu.Lock()
		if err != nil {
			l.queue = nil
		}
		if len(l.queue) == 0 {
			l.sending = false
			t.mu.Unlock()
			return
		}
		out := l.queue[0]
		l.queue = l.queue[1:]
		t.mu.Unlock()
		t.transmit(c, out)
	}
}

func (t *Transport) transmit(c *quic.Conn, out outgoing) {
	if !out.reliable {
		err := c.SendDatagram(out.data)
		var long *quic.DatagramTooLargeError
		if !errors.As(err, &long) {
			return
		}
	}
	ctx, cancel := context.WithTimeout(t.ctx, t.cfg.UnresponsiveAfter)
	defer cancel()
	s, err := c.OpenUniStreamSync(ctx)
	if err != nil {
		return
	}
	_ = s.SetWriteDeadline(time.Now().Add(t.cfg.UnresponsiveAfter))
	_, _ = s.Write(out.data)
	_ = s.Close()
}
