package gateway

import (
	"fmt"
	"testing"
	"time"

	"sardinefront.dev/gateway/peers"
	"sardinefront.dev/sched/reserve"
)

// Guards against a new speed that misses the peers with longer heartbeat intervals, a speed
// that every host announces again although one has announced it, and a speed that no host
// renews before it expires at the peers.
func TestSpeedIsAnnouncedByOneHost(t *testing.T) {
	const near, far = 250 * time.Millisecond, 1500 * time.Millisecond
	now := time.Unix(1000, 0)
	measured := func(gap time.Duration) []reserve.Speed {
		return []reserve.Speed{{Target: "t", Gap: gap, LocalMeasuredAt: now}}
	}
	var s, peer speedTable
	announced := s.toAnnounce(measured(20*time.Millisecond), near, now)
	if len(announced) != 1 || len(s.toAnnounce(measured(20*time.Millisecond), far, now)) != 1 {
		t.Error("a new speed is not announced to the peers of both intervals")
	}
	peer.recordPeerSpeeds(announced, now)
	if got := peer.toAnnounce(measured(22*time.Millisecond), near, now); len(got) != 0 {
		t.Errorf("a speed that another host has announced is announced again: %v", got)
	}
	if got := peer.toAnnounce(measured(60*time.Millisecond), near, now); len(got) != 1 {
		t.Error("a changed speed is not announced")
	}
	now = now.Add(2 * far)
	if got := s.toAnnounce(measured(20*time.Millisecond), far, now); len(got) != 0 {
		t.Errorf("an unchanged speed is still announced after two intervals: %v", got)
	}
	now = now.Add(reserve.SpeedTTL)
	if got := s.toAnnounce(measured(20*time.Millisecond), near, now); len(got) != 1 {
		t.Error("an expired speed is not announced again")
	}
	fromPeer := []reserve.Speed{{Target: "u", Gap: time.Second}}
	if got := s.toAnnounce(fromPeer, near, now); len(got) != 0 {
		t.Errorf("a speed received from a peer is announced: %v", got)
	}
}

// Guards against a host that returns from a network partition and overwrites newer
// measurements of its peers with the old speeds in its first heartbeat.
func TestFirstHeartbeatHasRecentSpeedsOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	all := []reserve.Speed{
		{Target: "old", Gap: time.Second, UpdatedAt: now.Add(-reserve.SpeedTTL)},
		{Target: "new", Gap: time.Millisecond, UpdatedAt: now},
	}
	if got := recentSpeeds(all, now); len(got) != 1 || got[0].Target != "new" {
		t.Errorf("recentSpeeds returned %v, want only target new", got)
	}
	if len(all) != 2 || all[0].Target != "old" {
		t.Errorf("recentSpeeds modified its argument: %v", all)
	}
}

// Guards against a greeting that is larger than a datagram, so that no peer reads it: a host
// knows the speeds of thousands of targets.
func TestInitialHeartbeatFitsIntoADatagram(t *testing.T) {
	const maxBytes = 4 << 10
	now := time.Unix(1000, 0)
	var all []reserve.Speed
	for i := range 3000 {
		all = append(all, reserve.Speed{Target: fmt.Sprintf("i-%d@1", i), Gap: 20 * time.Millisecond, UpdatedAt: now})
	}
	h := &peers.Heartbeat{Name: "a", EventGapsUs: speedsByHash(sampleSpeeds(recentSpeeds(all, now), maxInitialSpeeds))}
	b, err := peers.Encode(h)
	if err != nil {
		t.Fatal(err)
	}
	if len(b) > maxBytes || len(h.EventGapsUs) != maxInitialSpeeds {
		t.Errorf("%d speeds in %d bytes", len(h.EventGapsUs), len(b))
	}
}
