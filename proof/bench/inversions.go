package bench

import (
	"fmt"
	"slices"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
)

// floorPropagation is the longest time until a tier floor, the lowest tier that
// may start, has reached all hosts of a zone.
const floorPropagation = maxPeerDelay

// startLog records when requests were started or resumed. It serves to detect
// inversions: requests that were refused while a host of the same zone started
// requests of a lower tier.
type startLog struct {
	byZone []map[startKey][]startRecord // lists sorted by time
}

type startKey struct {
	pool int
	tier request.Tier
}

type startRecord struct {
	at   time.Duration
	id   string
	host int
}

func newStartLog(zones int) *startLog {
	l := &startLog{byZone: make([]map[startKey][]startRecord, zones)}
	for i := range l.byZone {
		l.byZone[i] = map[startKey][]startRecord{}
	}
	return l
}

func (l *startLog) record(zone int, j *job, now time.Duration) {
	k := startKey{j.pool, j.req.Tier}
	l.byZone[zone][k] = append(l.byZone[zone][k], startRecord{now, j.req.ID, j.host})
}

// findInversion looks for a start of a lower tier in the zone. The search begins
// floorPropagation after the arrival of j, when a floor raised at the arrival has
// reached all hosts, and ends at until. The result describes the first such start
// and is empty if there is none.
func (l *startLog) findInversion(zone int, j *job, refused, until time.Duration, reason refusal.Reason) string {
	from := j.arrival + floorPropagation
	for tier := j.req.Tier + 1; tier < request.TierCount; tier++ {
		list := l.byZone[zone][startKey{j.pool, tier}]
		i, _ := slices.BinarySearchFunc(list, from, func(s startRecord, t time.Duration) int {
			return int(s.at - t)
		})
		if i < len(list) && list[i].at <= until {
			s := list[i]
			return fmt.Sprintf("%s request %s arrived at %v on host %d and was refused (%s) at %v; host %d started %s request %s at %v",
				j.req.Tier, j.req.ID, j.arrival, j.host, reason, refused, s.host, tier, s.id, s.at)
		}
	}
	return ""
}
