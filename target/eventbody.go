package target

import (
	"encoding/json"
	"fmt"
	"io"
)

// terminal is the data of the event that ends a stream.
const terminalData = "[DONE]"

// eventBody passes on the events of an engine's stream after verification.
type eventBody struct {
	exchange *exchange
	events   eventReader
	id       string
	offset   int64
	err      error
}

func newEventBody(x *exchange, f *bodyReader, id string, offset int64) *eventBody {
	return &eventBody{exchange: x, events: eventReader{r: f}, id: id, offset: offset}
}

// Next implements Body. The terminal event is returned after the end of the
// body has been verified.
func (b *eventBody) Next() ([]byte, error) {
	if b.err != nil {
		return nil, b.err
	}
	ev, err := b.nextData()
	if err != nil {
		return nil, b.truncate(err)
	}
	if string(ev.Data) == terminalData {
		return b.finishStream(append([]byte(nil), ev.Raw...))
	}
	if err := b.verifyEventID(ev); err != nil {
		b.exchange.finish(false)
		b.err = err
		return nil, err
	}
	b.offset++
	return ev.Raw, nil
}

// nextData skips blocks without data. They name no request, and a caller that
// counts parts would take them for tokens.
func (b *eventBody) nextData() (*rawEvent, error) {
	for {
		ev, err := b.events.next()
		if err != nil || ev.HasData {
			return ev, err
		}
	}
}

func (b *eventBody) truncate(err error) error {
	b.err = b.exchange.truncate(b.offset, err)
	return b.err
}

// finish reads to the end of the body, in which no data may follow the terminal
// event.
func (b *eventBody) finishStream(last []byte) ([]byte, error) {
	_, err := b.nextData()
	if err == nil {
		err = fmt.Errorf("%w: event after the terminal event", ErrMalformed)
	}
	if err != io.EOF {
		return nil, b.truncate(err)
	}
	b.exchange.finish(true)
	b.err = io.EOF
	return last, nil
}

// verify compares the id of an event, which is its id field, else the id of its
// JSON data.
func (b *eventBody) verifyEventID(ev *rawEvent) error {
	if b.id == "" || string(ev.ID) == b.id {
		return nil
	}
	if len(ev.ID) > 0 {
		return &MismatchError{Want: b.id, Got: string(ev.ID)}
	}
	var data struct {
		ID string `json:"id"`
	}
	// Data that is no JSON names no request.
	if json.Unmarshal(ev.Data, &data) != nil || data.ID != b.id {
		return &MismatchError{Want: b.id, Got: data.ID}
	}
	return nil
}

// Close implements Body.
func (b *eventBody) Close() error {
	b.exchange.finish(false)
	return nil
}
