// Package config distributes the rules file to every host. Replica is the pure state
// machine by which hosts exchange it; Push, Restore, Get and ListHistory access it in
// the platform's store.
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

// RulesKey is the store's key of the current rules file.
const RulesKey = "config/rules"

// HistoryKeyPrefix is the prefix of the history's keys. The number of the rules file
// follows in decimal.
const HistoryKeyPrefix = "config/history/"

// RulesFile is an accepted rules file, as stored and as sent between hosts. It is
// encoded as a CBOR array.
type RulesFile struct {
	_ struct{} `cbor:",toarray"`
	// Number increases by one with each push.
	Number  int64
	Author  string
	Comment string
	// PushedUnixMs is the time of the push on the operator's clock, in Unix
	// milliseconds.
	PushedUnixMs int64
	// PushToken is unique to the push. It identifies the file in the
	// store after a push that got no response.
	PushToken uint64
	// ParentHash is the Hash of the file that this one replaced; 0 for none.
	ParentHash uint64
	// OldestHistory is the lowest number that the history held after this push.
	OldestHistory int64
	Text          []byte
}

// PushedAt returns the time of the push on the operator's clock.
func (v RulesFile) PushedAt() time.Time { return time.UnixMilli(v.PushedUnixMs) }

// Hash returns a hash of all fields except OldestHistory, or 0 if Number is 0.
func (v RulesFile) Hash() uint64 {
	if v.Number == 0 {
		return 0
	}
	d := xxhash.New()
	var b [8]byte
	for _, n := range []uint64{
		uint64(v.Number), uint64(v.PushedUnixMs), v.PushToken, v.ParentHash,
		uint64(len(v.Author)), uint64(len(v.Comment)),
	} {
		binary.BigEndian.PutUint64(b[:], n)
		_, _ = d.Write(b[:])
	}
	_, _ = d.WriteString(v.Author)
	_, _ = d.WriteString(v.Comment)
	_, _ = d.Write(v.Text)
	return d.Sum64()
}

// Version returns the version of the file, which orders it among all files.
func (v RulesFile) Version() Version {
	return Version{Number: v.Number, PushedUnixMs: v.PushedUnixMs, Hash: v.Hash()}
}

// Version orders rules files by number, then by time and hash. Two files have the
// same number only after the store was rolled back to an older state; time and hash
// then make all hosts converge on the same file. The zero Version means no file.
type Version struct {
	_            struct{} `cbor:",toarray"`
	Number       int64
	PushedUnixMs int64
	Hash         uint64
}

// Newer reports whether s is newer than o.
func (v Version) Newer(other Version) bool {
	return cmp.Or(cmp.Compare(v.Number, other.Number), cmp.Compare(v.PushedUnixMs, other.PushedUnixMs), cmp.Compare(v.Hash, other.Hash)) > 0
}

// Encode returns the file as stored. The error wraps platform.ErrTooLarge if the file
// exceeds the store's limit.
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

// DecodeRulesFile decodes a stored rules file. It fails if the number is not positive.
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
