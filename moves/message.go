package moves

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sardinefront.dev/moves/analysis"
	"sardinefront.dev/moves/control"
)

// encoder is canonical, so that equal states are encoded as equal bytes.
var encoder = func() cbor.EncMode {
	opts := cbor.CanonicalEncOptions()
	opts.Time = cbor.TimeRFC3339Nano
	m, err := opts.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}()

// decoder limits the size of the arrays, maps and nesting in a peer's message.
var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 4096, MaxMapPairs: 4096, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}()

// Halt is the message that no host may send further requests to the new version
// of a move. It is never revoked: no later message clears it.
type Halt struct {
	_          struct{} `cbor:",toarray"`
	MoveID     string   // id of the move
	Pool       string
	Version    string // version that must not receive requests
	Reason     string
	DetectedBy string // host that detected the fault, or "state"
	DetectedAt time.Time
}

// digest is the wire form of one host's own samples for one move.
type digest struct {
	_       struct{} `cbor:",toarray"`
	MoveID  string
	Origin  string
	Windows []windowDigest
}

type windowDigest struct {
	_      struct{} `cbor:",toarray"`
	Number int64
	Routes []analysis.RouteDigest
}

// EncodeState returns the form of a state in the store and in messages.
func EncodeState(s control.State) ([]byte, error) {
	b, err := encoder.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode move state: %w", err)
	}
	return b, nil
}

// DecodeState decodes the result of EncodeState.
func DecodeState(b []byte) (control.State, error) {
	var s control.State
	if err := decoder.Unmarshal(b, &s); err != nil {
		return control.State{}, fmt.Errorf("decode move state: %w", err)
	}
	return s, nil
}
