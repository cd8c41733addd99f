// Package httphead checks the heads of HTTP/1.x responses. The parsers of net/http and fasthttp
// accept malformed lines, for instance a blank before the colon or a folded line. A framing header
// in such a line has no effect, so that the end of the connection passes for the end of the body.
package httphead

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// ErrMalformed is returned for a head that is not valid HTTP/1.x, or whose framing is ambiguous.
var ErrMalformed = errors.New("malformed response head")

// Peek waits until br holds a whole head, up to the end of its blank line, and returns it without
// consuming it. The error is io.ErrUnexpectedEOF if the input ends before that, and
// bufio.ErrBufferFull if the head exceeds the buffer.
func Peek(br *bufio.Reader) ([]byte, error) {
	line := 0 // offset of the first line that is not complete
	for {
		buffered, _ := br.Peek(br.Buffered())
		for {
			n := bytes.IndexByte(buffered[line:], '\n')
			if n < 0 {
				break
			}
			blank := n == 0 || n == 1 && buffered[line] == '\r'
			line += n + 1
			if blank {
				return buffered[:line], nil
			}
		}
		if _, err := br.Peek(len(buffered) + 1); err == io.EOF {
			return nil, io.ErrUnexpectedEOF
		} else if err != nil {
			return nil, err
		}
	}
}

// Check returns an error that wraps ErrMalformed unless the head, as returned by Peek, is well
// formed and shows the length of the body in one way at most.
func Check(head []byte) error {
	line, rest := cutLine(head)
	c := checker{}
	if err := c.statusLine(line); err != nil {
		return err
	}
	for {
		if line, rest = cutLine(rest); len(line) == 0 {
			return c.framing()
		}
		if err := c.field(line); err != nil {
			return err
		}
	}
}

// cutLine returns the first line without its end, and the rest.
func cutLine(b []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(b, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}

// checker holds what is known of a head while its lines are checked.
type checker struct {
	http10                bool
	status                int
	length                []byte // value of Content-Length, nil if there is none
	hasLength, hasCodings bool
}

func malformed(what string, line []byte) error {
	return fmt.Errorf("%w: %s: %.80q", ErrMalformed, what, line)
}

// statusLine checks "HTTP/1.x NNN reason" with a status from 100 to 599. The reason and the blank
// before it may be missing.
func (c *checker) statusLine(line []byte) error {
	const digits = len("HTTP/1.1 200")
	valid := len(line) >= digits && bytes.HasPrefix(line, []byte("HTTP/1.")) && isDigits(line[7:8]) && line[8] == ' ' &&
		isDigits(line[9:digits]) && line[9] >= '1' && line[9] <= '5' && (len(line) == digits || line[digits] == ' ')
	if !valid || !isText(line) {
		return malformed("status line", line)
	}
	c.http10 = line[7] == '0'
	c.status = int(line[9]-'0')*100 + int(line[10]-'0')*10 + int(line[11]-'0')
	return nil
}

// field checks a field line. A folded line has a blank in its name.
func (c *checker) field(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !isToken(name) {
		return malformed("field name", line)
	}
	if !isText(value) {
		return malformed("field value", line)
	}
	value = bytes.Trim(value, " \t")
	switch {
	case len(name) == len("Content-Length") && bytes.EqualFold(name, []byte("Content-Length")):
		if c.hasLength || !isDigits(value) {
			return malformed("content length", line)
		}
		c.hasLength, c.length = true, value
	case len(name) == len("Transfer-Encoding") && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		if c.hasCodings || !bytes.EqualFold(value, []byte("chunked")) {
			return malformed("transfer encoding", line)
		}
		c.hasCodings = true
	}
	return nil
}

// framing checks the framing headers together.
func (c *checker) framing() error {
	switch {
	case c.hasCodings && c.hasLength:
		return fmt.Errorf("%w: both a content length and a transfer encoding", ErrMalformed)
	case c.hasCodings && c.http10:
		return fmt.Errorf("%w: a transfer encoding in HTTP/1.0", ErrMalformed)
	case c.status < http.StatusOK || c.status == http.StatusNoContent:
		if c.hasCodings || len(bytes.Trim(c.length, "0")) > 0 {
			return fmt.Errorf("%w: a body with status %d", ErrMalformed, c.status)
		}
	}
	return nil
}

// isDigits reports whether b is a decimal number.
func isDigits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(b) > 0
}

// isText reports whether b has no control characters but tabs.
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// isToken reports whether b is a token of RFC 9110, the form of field names.
func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(b) > 0
}

var tokenBytes = func() (table [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		table[c] = true
	}
	return table
}()
