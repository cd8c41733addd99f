package httphead

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
)

const sound = "HTTP/1.1 200 OK\r\nServer: s\r\nContent-Length: 2\r\n\r\n"

// Guards against a head that is taken for whole before its blank line, or that lacks a part of it,
// in whatever parts it arrives.
func TestHeadIsPeekedWhole(t *testing.T) {
	for _, head := range []string{sound, "HTTP/1.0 200\n\n", "HTTP/1.1 200 OK\r\nA: b\n\r\n", "\r\n"} {
		br := bufio.NewReader(iotest.OneByteReader(strings.NewReader(head + "hi")))
		if got, err := Peek(br); string(got) != head || err != nil {
			t.Errorf("%q: %q, %v", head, got, err)
		}
		if rest, _ := io.ReadAll(br); string(rest) != head+"hi" {
			t.Errorf("%q: Peek consumed a part, %q is left", head, rest)
		}
		for n := range len(head) {
			if got, err := Peek(bufio.NewReader(strings.NewReader(head[:n]))); !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("%q: %q, %v", head[:n], got, err)
			}
		}
	}
}

// Guards against a head longer than the buffer that is waited for without end.
func TestHeadLongerThanTheBuffer(t *testing.T) {
	br := bufio.NewReaderSize(strings.NewReader("HTTP/1.1 200 OK\r\nA: "+strings.Repeat("x", 100)), 64)
	if _, err := Peek(br); !errors.Is(err, bufio.ErrBufferFull) {
		t.Error(err)
	}
}

// Guards against memory that each head takes on the path of requests.
func TestCheckDoesNotAllocate(t *testing.T) {
	r := strings.NewReader(sound)
	br := bufio.NewReader(r)
	allocs := testing.AllocsPerRun(100, func() {
		r.Reset(sound)
		br.Reset(r)
		head, err := Peek(br)
		if err != nil || Check(head) != nil {
			t.Fatal(err)
		}
	})
	if allocs > 0 {
		t.Errorf("%v allocations", allocs)
	}
}

// Guards against a head that passes the check although net/http reads its framing otherwise: it
// drops a length or an encoding, or takes a line for a part of another one.
func FuzzCheck(f *testing.F) {
	f.Add(sound)
	f.Add("HTTP/1.1 200 OK\r\nContent-Length : 12\r\n\r\nhi")
	f.Add("HTTP/1.1 200 OK\r\nA: b\r\n Content-Length: 12\r\n\r\nhi")
	f.Add("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	f.Add("HTTP/1.1 304 Not Modified\r\ncontent-length:  12\t\r\n\r\n")
	f.Fuzz(func(t *testing.T, raw string) {
		head, err := Peek(bufio.NewReader(strings.NewReader(raw)))
		if err != nil || Check(head) != nil {
			return
		}
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(raw)), &http.Request{Method: http.MethodHead})
		if err != nil {
			return
		}
		fields := 0
		for _, values := range resp.Header {
			fields += len(values)
		}
		text := strings.ToLower(string(head))
		if strings.Contains(text, "\ntransfer-encoding:") {
			fields++ // net/http removes it
			if len(resp.TransferEncoding) != 1 {
				t.Errorf("%q: encodings %q", head, resp.TransferEncoding)
			}
		}
		if strings.Contains(text, "\npragma:") && resp.Header.Get("Cache-Control") != "" || strings.Contains(text, "\ntrailer:") {
			return // net/http adds a field or moves one
		}
		if lines := strings.Count(string(head), "\n") - 2; lines != fields {
			t.Errorf("%q: %d lines, %d fields", head, lines, fields)
		}
		if (resp.ContentLength >= 0) != strings.Contains(text, "\ncontent-length:") {
			t.Errorf("%q: length %d", head, resp.ContentLength)
		}
	})
}

// BenchmarkCheck measures what a head costs.
func BenchmarkCheck(b *testing.B) {
	head := []byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: 9c41d07be2a35f68\r\nServer-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nKeep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n")
	for b.Loop() {
		if err := Check(head); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against passing on a status that no caller knows: parsers accept any three digits, some also
// a sign.
func TestStatusOutsideTheRangeIsMalformed(t *testing.T) {
	for _, status := range []string{"000", "099", "99", "+20", "+200", "600", "999", "-20"} {
		if err := Check([]byte("HTTP/1.1 " + status + " X\r\n\r\n")); !errors.Is(err, ErrMalformed) {
			t.Errorf("status %s: %v", status, err)
		}
	}
	for _, status := range []string{"100", "200", "451", "599"} {
		if err := Check([]byte("HTTP/1.1 " + status + " X\r\n\r\n")); err != nil {
			t.Errorf("status %s: %v", status, err)
		}
	}
}
