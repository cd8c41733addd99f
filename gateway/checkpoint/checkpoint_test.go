package checkpoint_test

import (
	"math"
	"testing"
	"time"

	"sardinefront.dev/gateway/checkpoint"
	"sardinefront.dev/gateway/quota"
)

var start = time.Unix(1000, 0)

// Guards against a record that changes in the store's encoding, and against a negative age if the
// writer's clock is ahead.
func TestRecordIsReadBack(t *testing.T) {
	b, err := checkpoint.New(map[string]quota.History{"org": {12}}, map[uint32]uint32{7: 9000}, start).Encode()
	if err != nil {
		t.Fatal(err)
	}
	r, err := checkpoint.Decode(b)
	if err != nil {
		t.Fatal(err)
	}
	if r.EventGapsUs[7] != 9000 || r.FleetUsage["org"][0] != 12 {
		t.Errorf("read back %+v", r)
	}
	if a, b := r.Age(start.Add(time.Minute)), r.Age(start.Add(-time.Hour)); a != time.Minute || b != 0 {
		t.Errorf("ages %s and %s, want 1m0s and 0s", a, b)
	}
}

// Guards against a write in each call without a change, and against no write while an organisation
// could exceed its quota.
func TestScheduleWritesWhatChanged(t *testing.T) {
	var s checkpoint.Schedule
	writes := 0
	for i := range 30 {
		if s.Due(false, 12, start.Add(time.Duration(i)*time.Second)) {
			writes++
		}
	}
	if writes != 3 {
		t.Errorf("%d writes in 30 s without a change, want 3", writes)
	}
	if !s.Due(true, 12, start.Add(30*time.Second)) || !s.Due(false, 18, start.Add(31*time.Second)) {
		t.Error("no write for use near the quota, or for new event gaps")
	}
	if s.Due(false, 0, start.Add(time.Hour)) {
		t.Error("a write without event gaps or usage")
	}
}

// Guards against a panic on malformed records, which would prevent a start.
func FuzzDecode(f *testing.F) {
	b, err := checkpoint.New(map[string]quota.History{"org": {12}}, map[uint32]uint32{7: 9000}, start).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{0x84, 0x02})
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := checkpoint.Decode(b)
		if err == nil && r.Format != 1 {
			t.Errorf("accepted %+v", r)
		}
	})
}

// Guards against quota use that no host can have had: with infinite use, all requests of the
// organisation are refused for the length of the window after a start.
func TestImplausibleUsageIsRejected(t *testing.T) {
	for _, v := range []float64{math.Inf(1), math.Inf(-1), math.NaN(), -1, 1e300} {
		b, err := checkpoint.New(map[string]quota.History{"org": {12, v}}, nil, start).Encode()
		if err != nil {
			t.Fatal(err)
		}
		if r, err := checkpoint.Decode(b); err == nil {
			t.Errorf("use of %v units is read back as %+v", v, r.FleetUsage)
		}
	}
}
