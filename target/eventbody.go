package target

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// terminalData is the data of the event that ends a stream.
const terminalData = "[DONE]"

// eventBody returns the events of an engine's stream after verifying their request
// ids.
type eventBody struct {
	exchange  *exchange
	events    eventReader
	requestID string
	offset    int64
	err       error
}

func newEventBody(x *exchange, reader *bodyReader, id string, offset int64) *eventBody {
	return &eventBody{exchange: x, events: eventReader{r: reader, memory: x.client.cfg.EventMemory}, requestID: id, offset: offset}
}

// Next implements Body. The terminal event is returned after the end of the
// body has been verified.
func (b *eventBody) Next() ([]byte, error) {
	if b.err != nil {
		return nil, b.err
	}
	event, err := b.nextData()
	if err != nil {
		return nil, b.truncate(err)
	}
	if string(event.Data) == terminalData {
		return b.finishStream(append([]byte(nil), event.Raw...))
	}
	if err := b.verifyEventID(event); err != nil {
		b.end(false)
		b.err = err
		return nil, err
	}
	b.exchange.identified = b.exchange.identified || b.requestID != ""
	b.offset++
	return event.Raw, nil
}

// nextData returns the next event with data. Blocks without data are skipped: they
// have no request id to verify, and a caller that counts parts would count them as
// tokens.
func (b *eventBody) nextData() (*rawEvent, error) {
	for {
		event, err := b.events.next()
		if err != nil || event.HasData {
			return event, err
		}
	}
}

func (b *eventBody) truncate(err error) error {
	b.err = b.exchange.truncate(b.offset, err)
	b.events.close()
	return b.err
}

// end releases the connection, and the memory for events.
func (b *eventBody) end(complete bool) {
	b.exchange.finish(complete)
	b.events.close()
}

// finishStream reads to the end of the body and returns the terminal event. Further
// data after the terminal event is an error. The terminal event also shows that a body
// without a length or chunks is complete, although its connection cannot be reused.
func (b *eventBody) finishStream(last []byte) ([]byte, error) {
	_, err := b.nextData()
	if errors.Is(err, errUnframedBody) && !b.events.insideEvent() {
		b.end(false)
		b.err = io.EOF
		return last, nil
	}
	if err == nil {
		err = fmt.Errorf("%w: event after the terminal event", ErrMalformed)
	}
	if err != io.EOF {
		return nil, b.truncate(err)
	}
	b.end(true)
	b.err = io.EOF
	return last, nil
}

// verifyEventID compares the request id of an event, which is in its id field or else
// in its JSON data.
func (b *eventBody) verifyEventID(event *rawEvent) error {
	if b.requestID == "" || string(event.ID) == b.requestID {
		return nil
	}
	if len(event.ID) > 0 {
		return &MismatchError{Want: b.requestID, Got: string(event.ID)}
	}
	var data struct {
		ID string `json:"id"`
	}
	// Data that is not JSON has no request id.
	if json.Unmarshal(event.Data, &data) != nil || data.ID != b.requestID {
		return &MismatchError{Want: b.requestID, Got: data.ID}
	}
	return nil
}

// Close implements Body.
func (b *eventBody) Close() error {
	b.end(false)
	return nil
}
