// Package peers connects the hosts. Each host sends a heartbeat datagram to each other one
// several times a second, with the state that all hosts share. Datagrams may be lost, so
// later heartbeats repeat the state of earlier ones. Membership is only a hint: mutual
// exclusion must not depend on it.
package peers

import (
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"

	"sardinefront.dev/moves/analysis"
	"sardinefront.dev/sched/quarantine"
)

// formatVersion is the first field of every heartbeat. Hosts drop heartbeats of other
// versions.
const formatVersion = 3

// Heartbeat is the state of one host. It is encoded as an array in the order of its fields.
type Heartbeat struct {
	_       struct{} `cbor:",toarray"`
	Format  uint8
	Name    string
	Zone    string
	Address string // IP:port of the peer socket
	// Incarnation identifies the process; it changes with each restart of the host.
	Incarnation int64
	// UptimeMs is how long the process has run, in milliseconds.
	UptimeMs int64
	// IntervalMs is the interval of heartbeats to the receiver, in milliseconds.
	IntervalMs int64
	// ConfigVersion is the version of the active configuration, 0 for none.
	ConfigVersion int64
	// ListDigest is a hash of the target list and the evacuated zones. It is equal for equal ones.
	ListDigest uint64
	// ListAgeMs is the time since the list was read from the store, by this host or by the
	// host that it got the list from, in milliseconds; negative for no list.
	ListAgeMs int64
	// Stopping is set while the host shuts down. It then accepts no new connections.
	Stopping bool
	// OwnUsage is the use of quotas by this host since its start, by organisation, in units.
	OwnUsage map[string]float64
	// FleetUsage is the recent use of quotas by all hosts, by organisation, in units.
	FleetUsage map[string]float64
	// Floors is the most urgent lane in which the host has starved requests, by service. The
	// receivers dispatch no requests of less urgent lanes to fast targets.
	Floors map[string]uint8
	// EventGapsUs are the mean gaps between the events of a stream in microseconds, by the
	// 32-bit hash of the target's name.
	EventGapsUs map[uint32]uint32
	// Ejected are the 32-bit hashes of the names of the targets that the host has ejected.
	Ejected []uint32
	// KnownAddresses are addresses of other hosts.
	KnownAddresses []string
	// Changes are recent changes of the target list and of operator orders.
	Changes []Change
	// Rollouts is the state of rollouts on this host, by service.
	Rollouts map[string]Rollout
	// PromptParts is the evidence on parts of prompts that crash targets.
	PromptParts []quarantine.Report
	// LeavingAgesMs are the times since the host has read in a response that a target is
	// leaving, in milliseconds, by the name of the target.
	LeavingAgesMs map[string]uint32
	// StoreEra is the newest era of the store of which the host has listed everything. ListDigest and
	// Changes are of that era.
	StoreEra int64
	// StoreResponseAgeMs is the time since the store has last responded to a read of the host, in
	// milliseconds; negative if it has not.
	StoreResponseAgeMs int64
	// StoreUptimeMs is the time until that response in which the host has read the store without a
	// gap that may be an outage, in milliseconds.
	StoreUptimeMs int64
	// ListUnconfirmed is set while the target list may contain targets whose entries have been
	// removed, because live ones may have expired in an outage of the store.
	ListUnconfirmed bool
}

// Rollout is the state of the rollout of a service on one host.
type Rollout struct {
	_ struct{} `cbor:",toarray"`
	// OrderRevision is the store's revision of the rollout order.
	OrderRevision int64
	// ElapsedMs is the time since the start of the order, in milliseconds.
	ElapsedMs int64
	// State is a rollout.State, Reason the reason for it.
	State  uint8
	Reason string
	// Windows are the newest observations that the host itself has made.
	Windows []RolloutWindow
	// Speeds are those that the host itself has measured since the order.
	Speeds []TargetSpeed
}

// TargetSpeed is what one host has measured of the speed of a target of a rollout.
type TargetSpeed struct {
	_          struct{} `cbor:",toarray"`
	Target     uint32   // hash of the name
	NewVersion bool
	Count      uint64
	// Floor and Recent are the smallest and an average logarithm of the gaps between events.
	Floor, Recent int64
}

// RolloutWindow is what one host has observed in one time window of a rollout.
type RolloutWindow struct {
	_      struct{} `cbor:",toarray"`
	Number int64
	Routes []analysis.RouteDigest
}

// Change is one entry of the target list, or an operator order, as the store holds it.
type Change struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Value    []byte // empty where Deleted
	Revision int64
	Deleted  bool
}

// slotOffer is the datagram that offers a peer a free slot at a target.
type slotOffer struct {
	_      struct{} `cbor:",toarray"`
	Format uint8
	// Target is the 32-bit hash of the target's name.
	Target uint32
}

const (
	// slotOfferFormat is the first field of a slotOffer. It differs from formatVersion.
	slotOfferFormat = 128
	// maxSlotOfferBytes is the size of the longest encoded slotOffer.
	maxSlotOfferBytes = 16
)

func encodeSlotOffer(targetHash uint32) ([]byte, error) {
	return encoder.Marshal(slotOffer{Format: slotOfferFormat, Target: targetHash})
}

// decodeSlotOffer decodes a slotOffer. The result is not ok for any other message.
func decodeSlotOffer(b []byte) (targetHash uint32, ok bool) {
	if len(b) > maxSlotOfferBytes {
		return 0, false
	}
	var o slotOffer
	err := decoder.Unmarshal(b, &o)
	return o.Target, err == nil && o.Format == slotOfferFormat
}

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(fmt.Sprintf("peer message encoder: %v", err))
	}
	return m
}

// Limits for decoding: messages are small, so larger counts are malformed.
const (
	maxElements = 4096
	maxNesting  = 8
)

func mustDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: maxNesting}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("peer message decoder: %v", err))
	}
	return m
}

// Encode sets the format version of a heartbeat and returns its wire format.
func Encode(h *Heartbeat) ([]byte, error) {
	h.Format = formatVersion
	return encoder.Marshal(h)
}

// Decode decodes a heartbeat. It returns an error for malformed bytes and for other format
// versions.
func Decode(b []byte) (*Heartbeat, error) {
	var h Heartbeat
	if err := decoder.Unmarshal(b, &h); err != nil {
		return nil, fmt.Errorf("peer message: %w", err)
	}
	if h.Format != formatVersion || h.Name == "" || h.Address == "" {
		return nil, fmt.Errorf("peer message: format %d, want %d, from host %q at %q", h.Format, formatVersion, h.Name, h.Address)
	}
	if err := h.validate(); err != nil {
		return nil, fmt.Errorf("peer message from host %q: %w", h.Name, err)
	}
	return &h, nil
}

// maxIntervalMs bounds the interval of heartbeats. A peer with a longer one would count as
// alive long after its end.
const maxIntervalMs = 60_000

const (
	// MaxLeaving bounds the leaving targets in a heartbeat.
	MaxLeaving = 32
	// maxTargetNameBytes bounds the name of a target.
	maxTargetNameBytes = 256
)

// validate returns an error for values that would corrupt the receiver's own state: quotas
// are not limited any more once a NaN has been added to their use.
func (h *Heartbeat) validate() error {
	if h.IntervalMs <= 0 || h.IntervalMs > maxIntervalMs || h.UptimeMs < 0 {
		return fmt.Errorf("interval of %d ms, uptime of %d ms", h.IntervalMs, h.UptimeMs)
	}
	if len(h.LeavingAgesMs) > MaxLeaving {
		return fmt.Errorf("%d leaving targets, at most %d are allowed", len(h.LeavingAgesMs), MaxLeaving)
	}
	for name := range h.LeavingAgesMs {
		if name == "" || len(name) > maxTargetNameBytes {
			return fmt.Errorf("leaving target with a name of %d bytes, 1 to %d are allowed", len(name), maxTargetNameBytes)
		}
	}
	for _, usage := range []map[string]float64{h.OwnUsage, h.FleetUsage} {
		for organisation, units := range usage {
			if math.IsNaN(units) || math.IsInf(units, 0) {
				return fmt.Errorf("organisation %q has used %v units", organisation, units)
			}
		}
	}
	for service, r := range h.Rollouts {
		for _, s := range r.Speeds {
			if err := s.validate(); err != nil {
				return fmt.Errorf("rollout of service %q: %w", service, err)
			}
		}
	}
	return quarantine.Validate(h.PromptParts)
}

const (
	// maxSpeedCount bounds the samples of one host at a target, so that sums don't overflow.
	maxSpeedCount = 1 << 40
	// MaxLogGap and LogGapScale define the range of the logarithms in a TargetSpeed: at most
	// MaxLogGap up or down, in LogGapScale integer steps per unit.
	MaxLogGap   = 5
	LogGapScale = 64
)

// validate returns an error for a speed that no host measures. Such a speed would make each
// comparison of both versions undecidable.
func (s TargetSpeed) validate() error {
	const limit = MaxLogGap * LogGapScale
	if s.Count == 0 || s.Count > maxSpeedCount || s.Floor < -limit || s.Floor > limit || s.Recent < -limit || s.Recent > limit {
		return fmt.Errorf("implausible speed of a target: %d samples, smallest log gap %d, average %d", s.Count, s.Floor, s.Recent)
	}
	return nil
}
