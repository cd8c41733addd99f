package moves

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sardinefront.dev/moves/judge"
	"sardinefront.dev/moves/steer"
)

// encoder is canonical, so that equal states have equal bytes.
var encoder = func() cbor.EncMode {
	opts := cbor.CanonicalEncOptions()
	opts.Time = cbor.TimeRFC3339Nano
	m, err := opts.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}()

// decoder bounds what a peer's message may contain.
var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 4096, MaxMapPairs: 4096, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}()

// Halt tells a peer to stop sending to the new version of a move. It is never
// undone: a later message cannot clear it.
type Halt struct {
	_          struct{} `cbor:",toarray"`
	MoveID     string   // id of the move
	Pool       string
	Version    string // version that receives nothing any more
	Reason     string
	DetectedBy string // host that established the fault
	DetectedAt time.Time
}

// digest is one host's own evidence on one move.
type digest struct {
	_       struct{} `cbor:",toarray"`
	Move    string
	Origin  string
	Windows []windowDigest
}

type windowDigest struct {
	_      struct{} `cbor:",toarray"`
	Number int64
	Routes []judge.RouteDigest
}

// EncodeState returns the stored form of a state.
func EncodeState(s steer.State) ([]byte, error) {
	b, err := encoder.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("move state: %w", err)
	}
	return b, nil
}

// DecodeState reads what EncodeState wrote.
func DecodeState(b []byte) (steer.State, error) {
	var s steer.State
	if err := decoder.Unmarshal(b, &s); err != nil {
		return steer.State{}, fmt.Errorf("move state: %w", err)
	}
	return s, nil
}
