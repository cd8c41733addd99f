package peer

import (
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// frame is a message or a call as sent, one per datagram or stream.
type frame struct {
	_    struct{} `cbor:",toarray"`
	Kind string
	Body []byte
}

// response is the response to a call. If Failed is set, Body is the text of the error.
type response struct {
	_      struct{} `cbor:",toarray"`
	Failed bool
	Body   []byte
}

// errMessageTooLong means that a message exceeds Config.MaxMessageBytes.
var errMessageTooLong = errors.New("message too long")

// readAll reads to the end of the stream. More than limit bytes are an error.
func readAll(r io.Reader, limit int) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(b) > limit {
		return nil, fmt.Errorf("%w: more than %d bytes", errMessageTooLong, limit)
	}
	return b, nil
}

func readFrame(r io.Reader, limit int) (frame, error) {
	var f frame
	b, err := readAll(r, limit)
	if err != nil {
		return f, err
	}
	return f, cbor.Unmarshal(b, &f)
}
