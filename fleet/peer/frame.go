package peer

import (
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// frame is a message on the wire, one per datagram or stream direction.
type frame struct {
	_    struct{} `cbor:",toarray"`
	Kind string
	Body []byte
}

// reply ends a call. Failed replies carry an error text in Body.
type reply struct {
	_      struct{} `cbor:",toarray"`
	Failed bool
	Body   []byte
}

// errTooLong means that a frame exceeds the limit.
var errMessageTooLong = errors.New("message too long")

// readAll reads until the end of the stream, at most limit bytes.
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
