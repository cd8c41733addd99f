package pool

import (
	"fmt"
	"testing"
	"time"

	"sardinefront.dev/core/request"
)

// newZonePool returns the pool of one of 40 hosts.
func newZonePool(targets int) *Pool {
	p := New(Config{Name: "p", HostCount: 40})
	var ts []Target
	for i := range targets {
		ts = append(ts, Target{Name: fmt.Sprint("t", i), Local: true})
	}
	p.SetTargets(ts, start)
	return p
}

// BenchmarkRequest measures one request from Submit to Done, with 100 progress reports, in
// a pool of 300 targets.
func BenchmarkRequest(b *testing.B) {
	p := newZonePool(300)
	now := start
	for k := 0; b.Loop(); k++ {
		now = now.Add(time.Millisecond)
		r := newRequest(k, request.Interactive)
		r.Arrived, r.Deadline = now, now.Add(time.Minute)
		r.Prefix = []uint64{1, uint64(k % 50), uint64(k)}
		p.Submit(r, now)
		p.RecordFirstByte(r.ID, now)
		for n := range 100 {
			p.RecordProgress(r.ID, n+1, now.Add(time.Duration(n)*20*time.Millisecond))
		}
		p.Done(r.ID, OK, now)
	}
}

// BenchmarkTick measures one Tick of a host with 80 requests in progress. A host ticks
// twenty times per second.
func BenchmarkTick(b *testing.B) {
	p := newZonePool(300)
	for k := range 80 {
		p.Submit(newRequest(k, request.Interactive), start)
	}
	now := start
	for b.Loop() {
		now = now.Add(tickInterval)
		p.Tick(now)
	}
}
