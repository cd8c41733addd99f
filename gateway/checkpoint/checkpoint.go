// Package checkpoint is the record that the hosts keep in the store for the case that
// all of them stop together: what is known only in their memory, and what it would
// cost to start without it. The package does no I/O and reads no clock.
package checkpoint

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sardinefront.dev/gateway/quota"
)

// formatVersion is the first field of the record. Hosts ignore other versions.
const formatVersion = 1

// Record is what one host knew at a time.
type Record struct {
	_      struct{} `cbor:",toarray"`
	Format uint8
	// AtMs is the writer's clock in Unix milliseconds.
	WrittenUnixMs int64
	// Used is what all hosts had used lately of quotas, by organisation.
	FleetUsage map[string]quota.History
	// Speeds are pauses between events in microseconds, by the short name of the
	// target.
	EventGapsUs map[uint32]uint32
}

// New returns the record of a moment.
func New(used map[string]quota.History, speeds map[uint32]uint32, now time.Time) *Record {
	return &Record{Format: formatVersion, WrittenUnixMs: now.UnixMilli(), FleetUsage: used, EventGapsUs: speeds}
}

// Encode returns the record as the store holds it.
func (r *Record) Encode() ([]byte, error) { return cbor.Marshal(r) }

// Decode reads a record. It returns an error for malformed bytes and other formats.
func Decode(b []byte) (*Record, error) {
	var r Record
	if err := cbor.Unmarshal(b, &r); err != nil {
		return nil, fmt.Errorf("checkpoint: %w", err)
	}
	if r.Format != formatVersion {
		return nil, fmt.Errorf("checkpoint: format %d", r.Format)
	}
	return &r, nil
}

// Age returns the age of the record, 0 if its writer's clock is ahead.
func (r *Record) Age(now time.Time) time.Duration {
	return max(0, now.Sub(time.UnixMilli(r.WrittenUnixMs)))
}

const (
	// speedsEvery is how often speeds are written if they are all that has changed.
	speedsEvery = 10 * time.Second
	// moreSpeeds is how many times the known speeds must be for an earlier write.
	moreSpeeds = 1.25
)

// Schedule decides when a record is worth a write.
type Schedule struct {
	at     time.Time
	speeds int
}

// Due reports whether to write now. Pressed says that an organisation has used so much
// of its quota that hosts without memory could exceed it.
func (s *Schedule) Due(pressed bool, speeds int, now time.Time) bool {
	switch {
	case pressed:
	case float64(speeds) >= moreSpeeds*float64(s.speeds) && speeds > s.speeds:
	case speeds > 0 && now.Sub(s.at) >= speedsEvery:
	default:
		return false
	}
	s.at, s.speeds = now, speeds
	return true
}
