// Package config holds how the rules file gets to every host: the pure state
// machine of its spread between hosts (Spread), and the operator's writes to
// the platform's store (Push, Restore, Show, History).
package config

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"sardinefront.dev/platform"
)

// Key is the store's key of the rules file in force.
const RulesKey = "config/rules"

// HistoryPrefix is the prefix of the keys of accepted rules files; the number
// follows in decimal.
const HistoryKeyPrefix = "config/history/"

// Value is one accepted rules file, as stored and as passed between hosts. It
// is encoded as a CBOR array.
type RulesFile struct {
	_ struct{} `cbor:",toarray"`
	// Number grows by one with each push.
	Number  int64
	Author  string
	Comment string
	// Millis is the time of the push on the operator's clock, in Unix
	// milliseconds.
	PushedUnixMs int64
	// Token is unique to the push, so that a push that got no answer finds out
	// whether the stored value is its own.
	PushToken uint64
	// Parent is the hash of the value that this one replaced; 0 for none.
	ParentHash uint64
	// Oldest is the lowest number that the history held after this push.
	OldestHistory int64
	Text          []byte
}

// Time returns the time of the push.
func (v RulesFile) PushedAt() time.Time { return time.UnixMilli(v.PushedUnixMs) }

// Hash covers every field of the value but Oldest.
func (v RulesFile) Hash() uint64 {
	if v.Number == 0 {
		return 0
	}
	d := xxhash.New()
	var b [8]byte
	for _, n := range []uint64{uint64(v.Number), uint64(v.PushedUnixMs), v.PushToken, v.ParentHash, uint64(len(v.Author)), uint64(len(v.Comment))} {
		binary.BigEndian.PutUint64(b[:], n)
		_, _ = d.Write(b[:])
	}
	_, _ = d.WriteString(v.Author)
	_, _ = d.WriteString(v.Comment)
	_, _ = d.Write(v.Text)
	return d.Sum64()
}

// Stamp returns the value's place in the order of values.
func (v RulesFile) Version() Version {
	return Version{Number: v.Number, PushedUnixMs: v.PushedUnixMs, Hash: v.Hash()}
}

// Stamp orders values: by number, and between two values of one number by time
// and hash. One number has two values only after the store was set back to an
// older state; the order then lets all hosts settle on the same one. The zero
// Stamp stands for no value.
type Version struct {
	_            struct{} `cbor:",toarray"`
	Number       int64
	PushedUnixMs int64
	Hash         uint64
}

// Newer reports whether s comes after o.
func (s Version) Newer(o Version) bool {
	return cmp.Or(cmp.Compare(s.Number, o.Number), cmp.Compare(s.PushedUnixMs, o.PushedUnixMs), cmp.Compare(s.Hash, o.Hash)) > 0
}

// Encode returns the value as stored. It returns an error that wraps
// platform.ErrTooLarge if the store would not hold it.
func (v RulesFile) Encode() ([]byte, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode rules file %d: %w", v.Number, err)
	}
	if len(b) > platform.MaxValueBytes {
		return nil, fmt.Errorf("rules file %d: %d bytes encoded, limit %d: %w", v.Number, len(b), platform.MaxValueBytes, platform.ErrTooLarge)
	}
	return b, nil
}

// Decode reads a stored value.
func DecodeRulesFile(b []byte) (RulesFile, error) {
	var v RulesFile
	if err := cbor.Unmarshal(b, &v); err != nil {
		return RulesFile{}, fmt.Errorf("decode rules file: %w", err)
	}
	if v.Number <= 0 {
		return RulesFile{}, fmt.Errorf("decode rules file: number %d is not positive", v.Number)
	}
	return v, nil
}
