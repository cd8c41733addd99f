package checkpoint_test

import (
	"testing"
	"time"

	"sardinefront.dev/gateway/checkpoint"
	"sardinefront.dev/gateway/quota"
)

var start = time.Unix(1000, 0)

// Guards against a record that is lost on its way through the store, and against an
// age below zero where the writer's clock is ahead.
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
		t.Errorf("ages %s and %s", a, b)
	}
}

// Guards against a record on each tick of a calm day, and against none while an
// organisation could exceed its quota.
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
		t.Error("no write for use near the quota, or for new speeds")
	}
	if s.Due(false, 0, start.Add(time.Hour)) {
		t.Error("a write of nothing")
	}
}

// Guards against malformed records that stop a start.
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
