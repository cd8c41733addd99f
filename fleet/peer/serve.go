package peer

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
	"github.com/sourcegraph/conc"
)

// readTimeout limits the time in which a peer sends one message or reads one response.
const readTimeout = 30 * time.Second

// serve handles the messages and calls of a connection until it is closed.
func (t *Transport) serve(c *quic.Conn) {
	from := Peer{
		Name:    hostName(c.ConnectionState().TLS.PeerCertificates),
		Address: c.RemoteAddr().String(),
	}
	var wg conc.WaitGroup
	wg.Go(func() { t.serveDatagrams(c, from) })
	wg.Go(func() { t.serveMessages(c, from, &wg) })
	wg.Go(func() { t.serveCalls(c, from, &wg) })
	<-c.Context().Done()
	wg.Wait()
	t.removeConn(c)
}

func (t *Transport) serveDatagrams(c *quic.Conn, from Peer) {
	for {
		b, err := c.ReceiveDatagram(c.Context())
		if err != nil {
			return
		}
		var f frame
		if cbor.Unmarshal(b, &f) == nil {
			t.handlers.Message(from, f.Kind, f.Body)
		}
	}
}

func (t *Transport) serveMessages(c *quic.Conn, from Peer, wg *conc.WaitGroup) {
	for {
		s, err := c.AcceptUniStream(c.Context())
		if err != nil {
			return
		}
		wg.Go(func() {
			_ = s.SetReadDeadline(time.Now().Add(readTimeout))
			f, err := readFrame(s, t.cfg.MaxMessageBytes)
			if err != nil {
				s.CancelRead(0)
				return
			}
			t.handlers.Message(from, f.Kind, f.Body)
		})
	}
}

func (t *Transport) serveCalls(c *quic.Conn, from Peer, wg *conc.WaitGroup) {
	for {
		s, err := c.AcceptStream(c.Context())
		if err != nil {
			return
		}
		wg.Go(func() { t.serveCall(s, from) })
	}
}

func (t *Transport) serveCall(s *quic.Stream, from Peer) {
	_ = s.SetReadDeadline(time.Now().Add(readTimeout))
	f, err := readFrame(s, t.cfg.MaxMessageBytes)
	if err != nil {
		cancelStream(s)
		return
	}
	body, err := t.handleCall(s.Context(), from, f)
	r := response{Body: body}
	if err != nil {
		r = response{Failed: true, Body: []byte(err.Error())}
	}
	b, err := cbor.Marshal(r)
	if err != nil || len(b) > t.cfg.MaxMessageBytes {
		b, _ = cbor.Marshal(response{Failed: true, Body: []byte("the response exceeds the message size limit")})
	}
	_ = s.SetWriteDeadline(time.Now().Add(readTimeout))
	_, _ = s.Write(b)
	_ = s.Close()
}

func (t *Transport) handleCall(ctx context.Context, from Peer, f frame) ([]byte, error) {
	if t.handlers.Call == nil {
		return nil, fmt.Errorf("no handler for calls of kind %q", f.Kind)
	}
	return t.handlers.Call(ctx, from, f.Kind, f.Body)
}
