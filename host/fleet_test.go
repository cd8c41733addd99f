package host

import (
	"testing"
	"time"

	"sardinefront.dev/fleet/member"
)

// Guards against a takeover of a live host's claims while its incarnation is still unknown, and
// against a dead host whose claims are never taken over.
func TestLastEndedIncarnation(t *testing.T) {
	now := time.UnixMilli(5000)
	cases := []struct {
		member member.Member
		want   uint64
	}{
		{member.Member{State: member.Alive}, 0},
		{member.Member{State: member.Suspect}, 0},
		{member.Member{State: member.Alive, Incarnation: 9}, 8},
		{member.Member{State: member.Dead, Incarnation: 9}, 9},
		{member.Member{State: member.Left, Incarnation: 9}, 9},
		{member.Member{State: member.Dead}, 5000},
	}
	for _, c := range cases {
		if got := lastEndedIncarnation(c.member, now); got != c.want {
			t.Errorf("%+v: got %d, want %d", c.member, got, c.want)
		}
	}
}

// Guards against partitions whose writers are all in one availability zone, and against a
// partition without candidates.
func TestCandidatesFollowZones(t *testing.T) {
	var members []member.Member
	for i, zone := range []string{"a", "a", "a", "b", "b", "b"} {
		members = append(members, member.Member{Name: string(rune('p' + i)), Zone: zone, Incarnation: 1})
	}
	for partition, zone := range []string{"a", "b"} {
		chosen := 0
		for _, m := range members {
			if !isCandidate(m.Name, members, partition) {
				continue
			}
			chosen++
			if m.Zone != zone {
				t.Errorf("partition %d: candidate %s is in zone %s", partition, m.Name, m.Zone)
			}
		}
		if chosen != candidateCount {
			t.Errorf("partition %d has %d candidates, want %d", partition, chosen, candidateCount)
		}
	}
}
