package dispatch

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"sardinefront.dev/gateway/directory"
	"sardinefront.dev/gateway/protocol"
	"sardinefront.dev/gateway/upstream"
	"sardinefront.dev/sched/pace"
)

type noPeers struct{}

func (noPeers) SendHeartbeat()           {}
func (noPeers) OfferSlot(string, string) {}

type countingMetrics struct{ unreadable int }

func (*countingMetrics) CountTargetClosed(string, string)  {}
func (*countingMetrics) CountRetryAfterRejected(string)    {}
func (m *countingMetrics) CountUnreadableLoad(name string) { m.unreadable++ }
func (*countingMetrics) CountPaceHeldBack(string, int)     {}

// Guards against unreadable load reports that go unnoticed, and against a log line for each of the
// many responses of a target that sends them.
func TestUnreadableLoadIsCountedEachTimeAndLoggedOncePerTarget(t *testing.T) {
	var log bytes.Buffer
	metrics := &countingMetrics{}
	s := newScheduler("s", true, slog.New(slog.NewTextHandler(&log, nil)), noPeers{}, metrics)
	list := []directory.Target{{ID: "a", Slots: 1}, {ID: "b", Slots: 1}}
	s.setTargets(list, "", nil)
	report := func(target directory.Target) {
		s.recordResponse(upstream.Observation{
			Target: target.Key(), Status: 200, SentAt: time.Now(), ReceivedAt: time.Now(), Info: protocol.ResponseInfo{UnreadableLoad: "1,x"},
		})
	}
	logged := func() int { return strings.Count(log.String(), "load report unreadable") }
	for range 3 {
		report(list[0])
		report(list[1])
	}
	if metrics.unreadable != 6 || logged() != 2 {
		t.Errorf("%d counted and %d logged, want 6 and 2", metrics.unreadable, logged())
	}
	s.setTargets(list[:1], "", nil)
	s.setTargets(list, "", nil)
	report(list[0])
	report(list[1])
	if metrics.unreadable != 8 || logged() != 3 {
		t.Errorf("%d counted and %d logged, want 8 and 3: only the target that was listed anew is logged again", metrics.unreadable, logged())
	}
}

// Guards against a crash of a cold target that is not attributed to the request that was sent there,
// because the target may get no further one.
func TestColdTargetIsOpenAfterItsAdmissionIsUsed(t *testing.T) {
	s := newScheduler("s", true, slog.New(slog.DiscardHandler), noPeers{}, &countingMetrics{})
	s.setColdBound(pace.Bound{PerSecond: 8, Duration: time.Minute})
	cold := directory.Target{ID: "a", Slots: 1, Cold: true, WarmUpUntil: time.Now().Add(time.Minute)}
	s.setTargets([]directory.Target{cold}, "", nil)
	if s.MaySend(cold) || !s.IsOpen(cold) {
		t.Errorf("may send %v, open %v", s.MaySend(cold), s.IsOpen(cold))
	}
}
