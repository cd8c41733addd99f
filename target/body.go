package target

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"time"
)

// bodyReader reads the bytes of a body. It returns io.EOF only when the framing
// shows that the body is complete.
type bodyReader struct {
	exchange  *exchange
	reader    io.Reader
	remaining int64 // unread bytes of a body with content length
	framing   framing
}

type framing uint8

const (
	framingNone framing = iota
	framingLength
	framingChunked
	framingClose // ends with the connection, so truncation cannot be detected
)

var errUnframedBody = errors.New("response has neither content length nor chunked encoding")

func newBodyReader(x *exchange, method string) *bodyReader {
	r := &bodyReader{exchange: x, reader: x.conn.br}
	n, status := x.header.ContentLength(), x.header.StatusCode()
	switch {
	case method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified:
		r.framing = framingNone
	case n >= 0:
		r.framing, r.remaining = framingLength, int64(n)
	case n == -1:
		r.framing, r.reader = framingChunked, httputil.NewChunkedReader(x.conn.br)
	default:
		r.framing = framingClose
	}
	return r
}

// Read implements io.Reader. It waits for at most Config.StallTimeout.
func (r *bodyReader) Read(p []byte) (int, error) {
	if r.framing == framingNone || (r.framing == framingLength && r.remaining == 0) {
		return 0, io.EOF
	}
	if err := r.exchange.conn.SetReadDeadline(time.Now().Add(r.exchange.client.cfg.StallTimeout)); err != nil {
		return 0, err
	}
	switch r.framing {
	case framingLength:
		return r.readLength(p)
	case framingChunked:
		return r.readChunked(p)
	default:
		n, err := r.reader.Read(p)
		if err == io.EOF {
			err = errUnframedBody
		}
		return n, err
	}
}

func (r *bodyReader) readLength(p []byte) (int, error) {
	n, err := r.reader.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	if err == io.EOF && r.remaining > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (r *bodyReader) readChunked(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if err != io.EOF {
		return n, err
	}
	if trailerErr := r.exchange.header.ReadTrailer(r.exchange.conn.br); trailerErr != nil {
		return n, fmt.Errorf("trailer: %w", unexpectedEOF(trailerErr))
	}
	r.framing = framingNone
	return n, io.EOF
}

func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// plainBody returns the bytes of a body as they arrive.
type plainBody struct {
	exchange *exchange
	reader   *bodyReader
	buf      []byte
	offset   int64
	err      error
}

const bodyBufferBytes = 16 << 10

// Next implements Body.
func (b *plainBody) Next() ([]byte, error) {
	if b.err != nil {
		return nil, b.err
	}
	if b.buf == nil {
		b.buf = make([]byte, bodyBufferBytes)
	}
	for {
		n, err := b.reader.Read(b.buf)
		if err != nil {
			b.err = b.endError(err, int64(n))
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

// endError ends the exchange after err and returns the error for the caller: io.EOF or
// a *TruncatedError. n counts the bytes that were read together with err.
func (b *plainBody) endError(err error, n int64) error {
	if err == io.EOF {
		b.exchange.finish(true)
		return io.EOF
	}
	return b.exchange.truncate(b.offset+n, err)
}

// Close implements Body.
func (b *plainBody) Close() error {
	b.exchange.finish(false)
	return nil
}
