package gateway

import (
	"testing"
	"time"

	"sardinefront.dev/sched/reserve"
)

// Guards against speeds that reach only one group of the receivers, that every host tells
// again, or that no host confirms.
func TestSpeedIsAnnouncedByOneHost(t *testing.T) {
	const near, far = 250 * time.Millisecond, 1500 * time.Millisecond
	now := time.Unix(1000, 0)
	measured := func(gap time.Duration) []reserve.Speed {
		return []reserve.Speed{{Target: "t", Gap: gap, LocalMeasuredAt: now}}
	}
	var s, peer speedTable
	news := s.toAnnounce(measured(20*time.Millisecond), near, now)
	if len(news) != 1 || len(s.toAnnounce(measured(20*time.Millisecond), far, now)) != 1 {
		t.Error("a new speed is not told to all")
	}
	peer.recordPeerSpeeds(news, now)
	if got := peer.toAnnounce(measured(22*time.Millisecond), near, now); len(got) != 0 {
		t.Errorf("a speed that another host has told is told again: %v", got)
	}
	if got := peer.toAnnounce(measured(60*time.Millisecond), near, now); len(got) != 1 {
		t.Error("a speed that has changed is not told")
	}
	now = now.Add(2 * far)
	if got := s.toAnnounce(measured(20*time.Millisecond), far, now); len(got) != 0 {
		t.Errorf("told for ever: %v", got)
	}
	now = now.Add(reserve.SpeedTTL)
	if got := s.toAnnounce(measured(20*time.Millisecond), near, now); len(got) != 1 {
		t.Error("an old speed is not confirmed")
	}
	told := []reserve.Speed{{Target: "u", Gap: time.Second}}
	if got := s.toAnnounce(told, near, now); len(got) != 0 {
		t.Errorf("a speed that this host was told is told on: %v", got)
	}
}

// Guards against a host that comes back from a cut and replaces what the others have
// measured meanwhile.
func TestFirstHeartbeatHasRecentSpeedsOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	all := []reserve.Speed{
		{Target: "old", Gap: time.Second, UpdatedAt: now.Add(-reserve.SpeedTTL)},
		{Target: "new", Gap: time.Millisecond, UpdatedAt: now},
	}
	if got := recentSpeeds(all, now); len(got) != 1 || got[0].Target != "new" {
		t.Errorf("%v", got)
	}
	if len(all) != 2 || all[0].Target != "old" {
		t.Errorf("the given speeds have changed: %v", all)
	}
}
