package target

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"time"
)

// framing reads the bytes of a body and returns io.EOF only at its verified
// end.
type framing struct {
	exchange *exchange
	body     io.Reader
	left     int64 // bytes of a body with content length
	kind     framingKind
}

type framingKind uint8

const (
	framedNone framingKind = iota
	framedLength
	framedChunked
	framedClose // ends with the connection; the end cannot be verified
)

var errOpenEnd = errors.New("answer has neither content length nor chunks")

func newFraming(x *exchange, method string) *framing {
	f := &framing{exchange: x, body: x.conn.br}
	n, status := x.header.ContentLength(), x.header.StatusCode()
	switch {
	case method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified:
		f.kind = framedNone
	case n >= 0:
		f.kind, f.left = framedLength, int64(n)
	case n == -1:
		f.kind, f.body = framedChunked, httputil.NewChunkedReader(x.conn.br)
	default:
		f.kind = framedClose
	}
	return f
}

// Read implements io.Reader. A read waits for at most the stall timeout.
func (f *framing) Read(p []byte) (int, error) {
	if f.kind == framedNone || (f.kind == framedLength && f.left == 0) {
		return 0, io.EOF
	}
	if err := f.exchange.conn.SetReadDeadline(time.Now().Add(f.exchange.client.cfg.StallTimeout)); err != nil {
		return 0, err
	}
	switch f.kind {
	case framedLength:
		return f.readLength(p)
	case framedChunked:
		return f.readChunked(p)
	default:
		n, err := f.body.Read(p)
		if err == io.EOF {
			err = errOpenEnd
		}
		return n, err
	}
}

func (f *framing) readLength(p []byte) (int, error) {
	n, err := f.body.Read(p[:min(int64(len(p)), f.left)])
	f.left -= int64(n)
	if err == io.EOF && f.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (f *framing) readChunked(p []byte) (int, error) {
	n, err := f.body.Read(p)
	if err != io.EOF {
		return n, err
	}
	if terr := f.exchange.header.ReadTrailer(f.exchange.conn.br); terr != nil {
		return n, fmt.Errorf("trailer: %w", noEOF(terr))
	}
	f.kind = framedNone
	return n, io.EOF
}

func noEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// plainBody passes on the bytes of a body as they arrive.
type plainBody struct {
	exchange *exchange
	framing  *framing
	buf      []byte
	offset   int64
	err      error
}

const partBytes = 16 << 10

// Next implements Body.
func (b *plainBody) Next() ([]byte, error) {
	if b.err != nil {
		return nil, b.err
	}
	if b.buf == nil {
		b.buf = make([]byte, partBytes)
	}
	for {
		n, err := b.framing.Read(b.buf)
		if err != nil {
			b.err = b.end(err, int64(n))
		}
		if n > 0 {
			b.offset += int64(n)
			return b.buf[:n], nil
		}
		if b.err != nil {
			return nil, b.err
		}
	}
}

func (b *plainBody) end(err error, n int64) error {
	if err == io.EOF {
		b.exchange.finish(true)
		return io.EOF
	}
	return b.exchange.cut(b.offset+n, err)
}

// Close implements Body.
func (b *plainBody) Close() error {
	b.exchange.finish(false)
	return nil
}
