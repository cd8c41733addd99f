package target

import (
	"bytes"
	"fmt"
	"io"

	"sardinefront.dev/core/membudget"
)

// minEventBufferBytes is the size of the first buffer of a stream.
const minEventBufferBytes = 4 << 10

// rawEvent is one event of a stream. Raw holds the bytes as they were sent,
// including the blank line and comments before the event. All slices are valid until
// the next call of next.
type rawEvent struct {
	Raw  []byte
	ID   []byte
	Data []byte
	// HasData is false for a block of comments or of fields without data.
	HasData bool
}

// eventReader splits a stream into events. Lines end in LF or CRLF. A CR elsewhere
// is an error, because a client that treats it as a line end would see fields that
// were not verified.
type eventReader struct {
	r          io.Reader
	buf        []byte
	eventStart int // offset in buf of the current event
	lineStart  int // offset in buf of the current line
	bufEnd     int // end of the buffered bytes
	id         []byte
	data       []byte
	event      rawEvent
	err        error // of r, returned after the buffered events
	memory     *membudget.Budget
	usage      membudget.Usage // of memory, for buf
}

// next returns the next event. At the end of the stream it returns the error of
// the reader, or io.ErrUnexpectedEOF if the last event lacks its blank line.
func (e *eventReader) next() (*rawEvent, error) {
	e.eventStart = e.lineStart
	e.data, e.id = e.data[:0], e.id[:0]
	e.event = rawEvent{}
	for {
		line, ok, err := e.nextLine()
		if err != nil {
			return nil, err
		}
		if !ok {
			if err := e.fill(); err != nil {
				return nil, err
			}
			continue
		}
		if len(line) > 0 {
			e.parseField(line)
			continue
		}
		if e.lineStart-e.eventStart <= 2 && !e.event.HasData && len(bytes.TrimRight(e.buf[e.eventStart:e.lineStart], "\r\n")) == 0 {
			e.eventStart = e.lineStart // a blank line between events
			continue
		}
		e.event.Raw = e.buf[e.eventStart:e.lineStart]
		e.event.ID, e.event.Data = e.id, e.data
		return &e.event, nil
	}
}

// nextLine returns the next complete line in the buffer without its line end, and
// false if there is none.
func (e *eventReader) nextLine() ([]byte, bool, error) {
	i := bytes.IndexByte(e.buf[e.lineStart:e.bufEnd], '\n')
	if i < 0 {
		return nil, false, nil
	}
	line := e.buf[e.lineStart : e.lineStart+i]
	e.lineStart += i + 1
	line = bytes.TrimSuffix(line, []byte("\r"))
	if bytes.IndexByte(line, '\r') >= 0 {
		return nil, false, fmt.Errorf("%w: carriage return within a line", ErrMalformed)
	}
	return line, true, nil
}

func (e *eventReader) parseField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		if e.event.HasData {
			e.data = append(e.data, '\n')
		}
		e.event.HasData = true
		e.data = append(e.data, value...)
	case "id":
		// Copied, because fill may move the bytes in buf before the event ends.
		e.id = append(e.id[:0], value...)
	}
}

// fill appends more bytes of the stream to the current event in buf.
func (e *eventReader) fill() error {
	if e.err != nil {
		return e.finalError()
	}
	if e.eventStart > 0 {
		copy(e.buf, e.buf[e.eventStart:e.bufEnd])
		e.lineStart -= e.eventStart
		e.bufEnd -= e.eventStart
		e.eventStart = 0
	}
	if e.bufEnd == len(e.buf) {
		if e.bufEnd >= membudget.MaxEventBytes {
			return fmt.Errorf("%w: event above %d bytes", ErrMalformed, membudget.MaxEventBytes)
		}
		larger := max(minEventBufferBytes, 2*len(e.buf))
		if !e.memory.Resize(&e.usage, larger) {
			return fmt.Errorf("%w: %d bytes", ErrEventMemory, larger)
		}
		e.buf = append(make([]byte, 0, larger), e.buf...)[:larger]
	}
	n, err := e.r.Read(e.buf[e.bufEnd:])
	e.bufEnd += n
	e.err = err
	return nil
}

// close drops the buffered bytes and returns their memory to the budget.
func (e *eventReader) close() {
	e.buf, e.eventStart, e.lineStart, e.bufEnd = nil, 0, 0, 0
	e.memory.Resize(&e.usage, 0)
}

// insideEvent reports whether a part of an event has been read.
func (e *eventReader) insideEvent() bool { return e.bufEnd > e.eventStart }

func (e *eventReader) finalError() error {
	if e.err == io.EOF && e.insideEvent() {
		return io.ErrUnexpectedEOF
	}
	return e.err
}
