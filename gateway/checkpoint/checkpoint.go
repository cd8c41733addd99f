// Package checkpoint defines the record of state that the hosts keep in the store in case all of
// them stop together. It contains state that is otherwise only in their memory and would be costly
// to lose. The package does no I/O and reads no clock.
package checkpoint

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sardinefront.dev/gateway/quota"
)

// formatVersion is the first field of a record. Hosts ignore records of other versions.
const formatVersion = 1

// Record is a snapshot of one host's state. It is encoded as an array in the order of its fields.
type Record struct {
	_      struct{} `cbor:",toarray"`
	Format uint8
	// WrittenUnixMs is the time of the write by the writer's clock, in Unix milliseconds.
	WrittenUnixMs int64
	// FleetUsage is the recent use of quotas by all hosts, by organisation.
	FleetUsage map[string]quota.History
	// EventGapsUs are the mean gaps between the events of a stream in microseconds, by the
	// 32-bit hash of the target's name.
	EventGapsUs map[uint32]uint32
}

// New returns a record of the given time.
func New(fleetUsage map[string]quota.History, eventGapsUs map[uint32]uint32, now time.Time) *Record {
	return &Record{Format: formatVersion, WrittenUnixMs: now.UnixMilli(), FleetUsage: fleetUsage, EventGapsUs: eventGapsUs}
}

// Encode returns the record in its stored encoding.
func (r *Record) Encode() ([]byte, error) { return cbor.Marshal(r) }

// maxUsageUnits bounds the use of a quota in a part of its window.
const maxUsageUnits = 1e15

// Decode decodes a record. It returns an error for malformed bytes, for other format versions
// and for implausible use of quotas.
func Decode(b []byte) (*Record, error) {
	var r Record
	if err := cbor.Unmarshal(b, &r); err != nil {
		return nil, fmt.Errorf("checkpoint: %w", err)
	}
	if r.Format != formatVersion {
		return nil, fmt.Errorf("checkpoint: format %d, want %d", r.Format, formatVersion)
	}
	for name, h := range r.FleetUsage {
		for _, units := range h {
			if !(units >= 0 && units <= maxUsageUnits) { // also rejects NaN
				return nil, fmt.Errorf("checkpoint: %v units used by organisation %.100q", units, name)
			}
		}
	}
	return &r, nil
}

// Age returns the age of the record, 0 if the writer's clock is ahead.
func (r *Record) Age(now time.Time) time.Duration {
	return max(0, now.Sub(time.UnixMilli(r.WrittenUnixMs)))
}

const (
	// eventGapsInterval is the time between writes if only the event gaps have changed.
	eventGapsInterval = 10 * time.Second
	// eventGapsGrowth is the growth in the number of known event gaps that causes an earlier
	// write.
	eventGapsGrowth = 1.25
)

// Schedule decides when a record should be written. The zero value is ready to use.
type Schedule struct {
	lastWrite     time.Time
	eventGapCount int
}

// Due reports whether a record should be written now, and records the write if so.
// usageNeedsCheckpoint is set if an organisation has used so much of its quota that hosts which
// restart without a checkpoint could exceed it.
func (s *Schedule) Due(usageNeedsCheckpoint bool, eventGapCount int, now time.Time) bool {
	switch {
	case usageNeedsCheckpoint:
	case float64(eventGapCount) >= eventGapsGrowth*float64(s.eventGapCount) && eventGapCount > s.eventGapCount:
	case eventGapCount > 0 && now.Sub(s.lastWrite) >= eventGapsInterval:
	default:
		return false
	}
	s.lastWrite, s.eventGapCount = now, eventGapCount
	return true
}
