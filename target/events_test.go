package target

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"
)

// readEvents returns the raw events, the id and the data of each, and the final
// error.
func readEvents(r io.Reader) (raw, fields [][]byte, err error) {
	e := eventReader{r: r}
	for {
		ev, err := e.next()
		if err != nil {
			return raw, fields, err
		}
		raw = append(raw, bytes.Clone(ev.Raw))
		fields = append(fields, bytes.Clone(ev.ID), bytes.Clone(ev.Data))
	}
}

// Guards against a parser whose events depend on how the bytes are split into reads,
// that returns bytes which were not sent, or that reports the end of a stream in the
// middle of an event.
func FuzzEvents(f *testing.F) {
	for _, seed := range []string{
		"", "\n", "\r\n\r\n", "data: a\n\n", "id: 1\r\ndata: a\r\ndata: b\r\n\r\n", ": c\n\ndata: [DONE]\n\n",
		"data: a\rdata: b\n\n", "data", "data\n\n", "data: a\n", "\n\n\ndata:a\n\n\n\nid:x\n\n", "\r\r\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		raw, fields, err := readEvents(bytes.NewReader(in))
		raw1, fields1, err1 := readEvents(iotest.OneByteReader(bytes.NewReader(in)))
		if err != err1 && err.Error() != err1.Error() {
			t.Fatalf("errors differ: %v, %v", err, err1)
		}
		if !bytes.Equal(bytes.Join(raw, []byte("|")), bytes.Join(raw1, []byte("|"))) ||
			!bytes.Equal(bytes.Join(fields, []byte("|")), bytes.Join(fields1, []byte("|"))) {
			t.Fatalf("events differ: %q, %q", raw, raw1)
		}
		rest := in
		for _, ev := range raw {
			i := bytes.Index(rest, ev)
			if i < 0 || len(bytes.Trim(rest[:i], "\r\n")) > 0 {
				t.Fatalf("event %q is not next in %q", ev, rest)
			}
			rest = rest[i+len(ev):]
		}
		if err == io.EOF && len(bytes.Trim(rest, "\r\n")) > 0 {
			t.Fatalf("%q was dropped without an error", rest)
		}
	})
}
