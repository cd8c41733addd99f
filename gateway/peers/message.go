// Package peers connects the hosts of the system: a heartbeat datagram from each
// host to each other one, several times a second, carries what every host must
// know of the others. Datagrams may be lost, so each repeats the whole state that
// it stands for. Membership is advice: nothing that must be exclusive hangs on it.
package peers

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"sardinefront.dev/moves/judge"
)

// formatVersion is the first field of every message. Hosts drop messages of other
// versions.
const formatVersion = 2

// Heartbeat is the state of one host.
type Heartbeat struct {
	_       struct{} `cbor:",toarray"`
	Format  uint8
	Name    string
	Zone    string
	Address string // IP:port of the peer socket
	// Incarnation differs between the processes of one host.
	Incarnation int64
	// UpMs is how long the process has run, in milliseconds.
	UptimeMs int64
	// EveryMs is how often the receiver gets a heartbeat, in milliseconds.
	IntervalMs int64
	// ConfigVersion is the version of the configuration in force, 0 for none.
	ConfigVersion int64
	// ListDigest is a hash over the list of targets; hosts with the same one hold
	// the same list.
	ListDigest uint64
	// ListAge is the time since the list was read from the store, by this host or
	// by the one it learned from, in milliseconds; negative for no list.
	ListAgeMs int64
	// Stopping hosts take no new connections.
	Stopping bool
	// Use is what the host has used of quotas since its start, by organisation.
	OwnUsage map[string]float64
	// Spent is what all hosts have used lately of quotas, by organisation.
	FleetUsage map[string]float64
	// Floors are the lowest lanes that have waited for long, by service.
	Floors map[string]uint8
	// Speeds are pauses between events in microseconds, by the short name of the
	// target.
	EventGapsUs map[uint32]uint32
	// Ejected are the short names of the targets that the host has ejected.
	Ejected []uint32
	// Known are addresses of other hosts.
	KnownAddresses []string
	// Changes are recent changes of the list of targets.
	Changes []Change
	// Rollouts are what the host knows of rollouts, by service.
	Rollouts map[string]Rollout
}

// Rollout is what one host knows of the rollout of a service.
type Rollout struct {
	_ struct{} `cbor:",toarray"`
	// Order is the store's revision of the order.
	OrderRevision int64
	// ElapsedMs is how long the order has been known, in milliseconds.
	ElapsedMs int64
	// State is a rollout.State.
	State  uint8
	Reason string
	// Windows are the host's own newest counts.
	Windows []RolloutWindow
}

// EvidenceWindow is what one host has counted in one window of a rollout.
type RolloutWindow struct {
	_      struct{} `cbor:",toarray"`
	Number int64
	Routes []judge.RouteDigest
}

// Change is one entry of the list of targets as the store holds it.
type Change struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Value    []byte // empty where Deleted
	Revision int64
	Deleted  bool
}

// offer says that a slot has come free at a target.
type offer struct {
	_      struct{} `cbor:",toarray"`
	Format uint8
	// Target is a short name.
	Target uint32
}

const (
	// offerFormat is the first field of an offer.
	offerFormat = 128
	// maxOffer is the size of the longest offer in bytes.
	maxOffer = 16
)

func encodeOffer(target uint32) ([]byte, error) {
	return encoder.Marshal(offer{Format: offerFormat, Target: target})
}

// decodeOffer reads an offer and reports whether the bytes are one.
func decodeOffer(b []byte) (target uint32, ok bool) {
	if len(b) > maxOffer {
		return 0, false
	}
	var o offer
	err := decoder.Unmarshal(b, &o)
	return o.Target, err == nil && o.Format == offerFormat
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

// Decoding bounds: a datagram is small, so larger counts are malformed.
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

// Encode returns the wire form of a heartbeat.
func Encode(h *Heartbeat) ([]byte, error) {
	h.Format = formatVersion
	return encoder.Marshal(h)
}

// Decode reads a heartbeat. It returns an error for malformed bytes and for other
// formats.
func Decode(b []byte) (*Heartbeat, error) {
	var h Heartbeat
	if err := decoder.Unmarshal(b, &h); err != nil {
		return nil, fmt.Errorf("peer message: %w", err)
	}
	if h.Format != formatVersion || h.Name == "" || h.Address == "" {
		return nil, fmt.Errorf("peer message: format %d from %q at %q", h.Format, h.Name, h.Address)
	}
	return &h, nil
}
