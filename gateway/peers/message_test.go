package peers_test

import (
	"math"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"sardinefront.dev/gateway/peers"
	"sardinefront.dev/sched/quarantine"
)

func heartbeat() *peers.Heartbeat {
	return &peers.Heartbeat{
		Name: "host-1", Zone: "zone-1", Address: "127.0.0.1:7000", Incarnation: 7, IntervalMs: 250, ConfigVersion: 3, ListDigest: 99, ListAgeMs: 120,
		OwnUsage: map[string]float64{"org": 12.5}, FleetUsage: map[string]float64{"org": 3}, Floors: map[string]uint8{"s": 1},
		EventGapsUs: map[uint32]uint32{1: 8000}, KnownAddresses: []string{"127.0.0.1:7001"},
		Changes:       []peers.Change{{Key: "k", Value: []byte("v"), Revision: 4}},
		PromptParts:   []quarantine.Report{{Service: "s", ID: "5c1e07a2", SuccessAgeMs: -1, Crashes: []quarantine.Crash{{Target: 9, SentAgeMs: 70, CrashedAgeMs: 20}}}},
		LeavingAgesMs: map[string]uint32{"e1@5": 30},
	}
}

// Guards against fields of a heartbeat that are lost or changed by encoding and decoding.
func TestHeartbeatRoundTrip(t *testing.T) {
	want := heartbeat()
	b, err := peers.Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := peers.Decode(b)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if len(b) > 400 {
		t.Errorf("a small heartbeat takes %d bytes", len(b))
	}
}

// Guards against a panic on malformed datagrams, and against messages of other formats that are
// accepted as heartbeats.
func FuzzDecode(f *testing.F) {
	b, err := peers.Encode(heartbeat())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add(b[:len(b)/2])
	f.Add([]byte{})
	f.Add([]byte{0x9f, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		h, err := peers.Decode(b)
		if err == nil && (h.Name == "" || h.Address == "" || h.Format != 3) {
			t.Errorf("accepted %+v", h)
		}
		if bulk, err := peers.DecodeSnapshot(b); err == nil && bulk == nil {
			t.Error("DecodeSnapshot returned neither a snapshot nor an error")
		}
	})
}

// Guards against a malformed heartbeat that corrupts the receiver's state: a quota with a use
// of NaN is never exhausted, and a peer with an interval of years never expires.
func TestImplausibleHeartbeatIsRejected(t *testing.T) {
	tooManyLeaving := map[string]uint32{}
	for i := range peers.MaxLeaving + 1 {
		tooManyLeaving[strconv.Itoa(i)] = 0
	}
	cases := map[string]func(*peers.Heartbeat){
		"NaN":             func(h *peers.Heartbeat) { h.OwnUsage = map[string]float64{"org": math.NaN()} },
		"infinite":        func(h *peers.Heartbeat) { h.FleetUsage = map[string]float64{"org": math.Inf(1)} },
		"long interval":   func(h *peers.Heartbeat) { h.IntervalMs = math.MaxInt64 },
		"no interval":     func(h *peers.Heartbeat) { h.IntervalMs = 0 },
		"part without id": func(h *peers.Heartbeat) { h.PromptParts = []quarantine.Report{{Service: "s"}} },
		"crash in the future": func(h *peers.Heartbeat) {
			h.PromptParts = []quarantine.Report{{Service: "s", ID: "p", Crashes: []quarantine.Crash{{Target: 1, SentAgeMs: 10, CrashedAgeMs: -1}}}}
		},
		"crash before the send": func(h *peers.Heartbeat) {
			h.PromptParts = []quarantine.Report{{Service: "s", ID: "p", Crashes: []quarantine.Crash{{Target: 1, SentAgeMs: 10, CrashedAgeMs: 11}}}}
		},
		"many leaving":    func(h *peers.Heartbeat) { h.LeavingAgesMs = tooManyLeaving },
		"nameless target": func(h *peers.Heartbeat) { h.LeavingAgesMs = map[string]uint32{"": 1} },
		"long target name": func(h *peers.Heartbeat) {
			h.LeavingAgesMs = map[string]uint32{strings.Repeat("x", 1000): 1}
		},
		"speed without samples": func(h *peers.Heartbeat) { h.Rollouts = speedReport(peers.TargetSpeed{Target: 1}) },
		"overflowing samples":   func(h *peers.Heartbeat) { h.Rollouts = speedReport(peers.TargetSpeed{Count: math.MaxUint64}) },
		"smallest gap out of range": func(h *peers.Heartbeat) {
			h.Rollouts = speedReport(peers.TargetSpeed{Count: 1, Floor: math.MinInt64})
		},
		"average gap out of range": func(h *peers.Heartbeat) {
			h.Rollouts = speedReport(peers.TargetSpeed{Count: 1, Recent: math.MaxInt64})
		},
		"negative uptime": func(h *peers.Heartbeat) { h.UptimeMs = -1 },
	}
	for name, corrupt := range cases {
		h := &peers.Heartbeat{Name: "a", Address: "127.0.0.1:1", IntervalMs: 250}
		corrupt(h)
		b, err := peers.Encode(h)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := peers.Decode(b); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

func speedReport(s peers.TargetSpeed) map[string]peers.Rollout {
	return map[string]peers.Rollout{"s": {OrderRevision: 1, Speeds: []peers.TargetSpeed{s}}}
}
