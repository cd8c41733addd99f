package target

import (
	"encoding/json"
	"fmt"
	"io"
)

// terminalData is the data of the event that ends a stream.
const terminalData = "[DONE]"

// eventBody returns the events of an engine's stream after verifying their request
// ids.
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

// nextData returns the next event with data. Blocks without data are skipped: they
// have no request id to verify, and a caller that counts parts would count them as
// tokens.
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

// finishStream reads to the end of the body and returns the terminal event. Further
// data after the terminal event is an error.
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

// verifyEventID compares the request id of an event, which is in its id field or else
// in its JSON data.
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
	// Data that is not JSON has no request id.
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
