package peer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
)

// The classes of errors of Call and CallHost.
var (
	// ErrNotSent means that no byte of the call was sent.
	ErrNotSent = errors.New("not sent to the peer")
	// ErrNoResponse means that no response arrived; the peer may have handled the call.
	ErrNoResponse = errors.New("no response from the peer")
	// ErrHandlerFailed means that the peer's handler returned an error, whose text the
	// error includes.
	ErrHandlerFailed = errors.New("the peer returned an error")
)

// Call sends a call of the given kind to the address and returns the response of
// the peer's handler. The error wraps ErrNotSent, ErrNoResponse or ErrHandlerFailed.
func (t *Transport) Call(ctx context.Context, address, kind string, body []byte) ([]byte, error) {
	return t.CallHost(ctx, "", address, kind, body)
}

// CallHost is Call, but sends nothing if the certificate of the peer does not have the
// given name. The address of a replaced host may have been reused by another one.
func (t *Transport) CallHost(ctx context.Context, name, address, kind string, body []byte) ([]byte, error) {
	data, err := cbor.Marshal(frame{Kind: kind, Body: body})
	if err != nil {
		return nil, callError(address, kind, ErrNotSent, err)
	}
	if len(data) > t.cfg.MaxMessageBytes {
		return nil, callError(address, kind, ErrNotSent, errMessageTooLong)
	}
	c, s, err := t.openStream(ctx, name, address)
	if err != nil {
		return nil, callError(address, kind, ErrNotSent, err)
	}
	r, err := t.roundTrip(ctx, c, s, data)
	if err != nil {
		return nil, callError(address, kind, ErrNoResponse, err)
	}
	if r.Failed {
		return nil, callError(address, kind, ErrHandlerFailed, errors.New(string(r.Body)))
	}
	return r.Body, nil
}

// openStream opens a stream to the named peer at the address. A connection that was closed
// or reset refuses streams a moment before its context ends; it is then replaced once, which
// is safe because nothing has been sent.
func (t *Transport) openStream(ctx context.Context, name, address string) (*quic.Conn, *quic.Stream, error) {
	c, s, err := t.tryOpenStream(ctx, name, address)
	if c == nil || err == nil || ctx.Err() != nil {
		return c, s, err
	}
	t.dropConn(c)
	return t.tryOpenStream(ctx, name, address)
}

// tryOpenStream opens a stream on the current connection to the address. If that fails, the
// connection is returned with the error, nil if there is none to the named peer.
func (t *Transport) tryOpenStream(ctx context.Context, name, address string) (*quic.Conn, *quic.Stream, error) {
	connect, cancel := context.WithTimeout(ctx, t.cfg.ConnectTimeout)
	defer cancel()
	c, err := t.connection(connect, address)
	if err != nil {
		return nil, nil, err
	}
	if got := hostName(c.ConnectionState().TLS.PeerCertificates); name != "" && got != name {
		return nil, nil, fmt.Errorf("the peer at this address is %s, not %s", got, name)
	}
	s, err := c.OpenStreamSync(ctx)
	return c, s, err
}

func callError(address, kind string, class, err error) error {
	return fmt.Errorf("call %s at %s: %w: %w", kind, address, class, err)
}

// roundTrip writes the request and reads the response. An unresponsive connection is closed, so
// that the next call uses a new one.
func (t *Transport) roundTrip(ctx context.Context, c *quic.Conn, s *quic.Stream, data []byte) (response, error) {
	stop := context.AfterFunc(ctx, func() { cancelStream(s) })
	defer stop()
	defer t.watch(c)()
	var r response
	if _, err := s.Write(data); err != nil {
		return r, contextError(ctx, err)
	}
	if err := s.Close(); err != nil {
		return r, contextError(ctx, err)
	}
	b, err := readAll(s, t.cfg.MaxMessageBytes)
	if err != nil {
		return r, contextError(ctx, err)
	}
	return r, cbor.Unmarshal(b, &r)
}

// contextError returns the error of the context, if it has ended, instead of the stream
// error err that it caused.
func contextError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

func cancelStream(s *quic.Stream) {
	s.CancelRead(0)
	s.CancelWrite(0)
}

// Send queues a one-way message and returns at once. The message is lost if the peer
// cannot be reached, if too many messages are queued for it, or if the network drops
// the datagram.
func (t *Transport) Send(address, kind string, body []byte) { t.send(address, kind, body, false) }

// SendReliable is Send over a stream, so that the message is not lost if the network drops
// packets, as long as the connection stays open.
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
	if len(l.queue) >= maxQueuedMessages {
		return
	}
	l.queue = append(l.queue, outgoing{data, reliable})
	if !l.sending {
		l.sending = true
		t.wg.Go(func() { t.sendQueued(l) })
	}
}

// sendQueued sends the queued messages of a link until the queue is empty. If the peer
// cannot be reached, it discards them.
func (t *Transport) sendQueued(l *link) {
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

// transmit sends a message in a datagram, or in a stream if it is reliable or too long.
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
