package rules

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
)

// ErrOtherBase says that a delta was made for another text than the one given.
// The receiver then needs the whole file.
var ErrOtherBase = errors.New("delta is for another text")

// ErrBadDelta says that a delta is damaged.
var ErrBadDelta = errors.New("damaged delta")

// A delta is one byte with the version of the encoding, the hash of the old
// text, the hash of the new text, and steps. A step is an unsigned varint whose
// two lowest bits are the kind and whose other bits are a count: of old lines
// for copy and skip, of bytes for insert. The inserted bytes follow their step.
const (
	deltaVersion = 1
	hashSize     = 8
	deltaHeader  = 1 + 2*hashSize
)

const (
	stepCopy = iota
	stepSkip
	stepInsert
)

// Hash returns the first 8 bytes of the SHA-256 sum of a text. It detects
// damage and mix-ups, not forgery.
func Hash(text []byte) uint64 {
	sum := sha256.Sum256(text)
	return binary.BigEndian.Uint64(sum[:hashSize])
}

// Delta returns the steps that turn old into new. It is exact to the byte.
func Delta(old, new []byte) []byte {
	a, b := strings.SplitAfter(string(old), "\n"), strings.SplitAfter(string(new), "\n")
	out := []byte{deltaVersion}
	out = binary.BigEndian.AppendUint64(out, Hash(old))
	out = binary.BigEndian.AppendUint64(out, Hash(new))
	done := 0
	for _, g := range gaps(matchLines(a, b), len(b)) {
		out = appendStep(out, stepCopy, g.a0-done)
		out = appendStep(out, stepSkip, g.a1-g.a0)
		inserted := strings.Join(b[g.b0:g.b1], "")
		out = appendStep(out, stepInsert, len(inserted))
		out = append(out, inserted...)
		done = g.a1
	}
	return appendStep(out, stepCopy, len(a)-done)
}

func appendStep(out []byte, kind, count int) []byte {
	if count == 0 {
		return out
	}
	return binary.AppendUvarint(out, uint64(count)<<2|uint64(kind))
}

// ApplyDelta returns the text that a delta makes of old. It returns
// ErrOtherBase if the delta was made for another text, and ErrBadDelta if it is
// damaged or its result is longer than MaxText. The result always has the hash
// that the delta names.
func ApplyDelta(old, delta []byte) ([]byte, error) {
	if len(delta) < deltaHeader || delta[0] != deltaVersion {
		return nil, fmt.Errorf("%w: no header of version %d", ErrBadDelta, deltaVersion)
	}
	if binary.BigEndian.Uint64(delta[1:]) != Hash(old) {
		return nil, ErrOtherBase
	}
	text, err := applySteps(strings.SplitAfter(string(old), "\n"), delta[deltaHeader:])
	if err != nil {
		return nil, err
	}
	if binary.BigEndian.Uint64(delta[1+hashSize:]) != Hash(text) {
		return nil, fmt.Errorf("%w: the result has another hash", ErrBadDelta)
	}
	return text, nil
}

// applySteps runs the steps over the old lines.
func applySteps(lines []string, steps []byte) ([]byte, error) {
	text := []byte{}
	for len(steps) > 0 {
		step, size := binary.Uvarint(steps)
		if size <= 0 {
			return nil, fmt.Errorf("%w: a step is cut off", ErrBadDelta)
		}
		steps = steps[size:]
		count, kind := step>>2, step&3
		available := uint64(len(lines))
		if kind == stepInsert {
			available = uint64(len(steps))
		}
		if kind > stepInsert || count > available {
			return nil, fmt.Errorf("%w: a step exceeds the text", ErrBadDelta)
		}
		switch kind {
		case stepCopy:
			for _, l := range lines[:count] {
				text = append(text, l...)
			}
			lines = lines[count:]
		case stepSkip:
			lines = lines[count:]
		case stepInsert:
			text = append(text, steps[:count]...)
			steps = steps[count:]
		}
		if len(text) > MaxText {
			return nil, fmt.Errorf("%w: the result is longer than %d bytes", ErrBadDelta, MaxText)
		}
	}
	return text, nil
}
