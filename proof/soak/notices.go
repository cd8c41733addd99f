package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sardinefront.dev/standin/slotengine"
)

const (
	// noticeInterval is the mean time between two servers that leave or push back.
	noticeInterval = 2 * time.Second
	// leavingGrace is how long after a response that states the leaving of its server a caller
	// may send a request that its host forwards to this server.
	leavingGrace = 2 * time.Second
	// backOffGrace is the time after a rejection in which requests under way may still arrive,
	// maxBackOffArrivals the number of a host's requests that may arrive later.
	backOffGrace       = 500 * time.Millisecond
	maxBackOffArrivals = 2
)

// planNotices returns the times at which servers state that they leave, or push back. They are
// drawn apart from the faults, so that a seed plans the same faults as without them.
func planNotices(seed uint64, length time.Duration) []action {
	p := &planner{rnd: rand.New(rand.NewPCG(seed, seed+2))}
	for range max(1, int(length/noticeInterval)) {
		at := time.Duration(p.rnd.Int64N(int64(length)))
		if p.rnd.IntN(2) == 0 {
			p.planServerLeaving(at)
		} else {
			p.planPushBack(at)
		}
	}
	return p.actions
}

// planServerLeaving makes a server state in its responses that it is leaving. The list has it as
// ready until it is removed.
func (p *planner) planServerLeaving(at time.Duration) {
	number := p.rnd.IntN(100)
	p.add(at, fmt.Sprintf("server %d states that it is leaving", number), func(w *world) {
		w.replaceServer(number, func(s *server) {
			s.SetLeaving(true)
			time.Sleep(drainTime)
			w.removeServer(s, 0)
		})
	})
}

func (p *planner) planPushBack(at time.Duration) {
	number, d, asDate := p.rnd.IntN(100), p.durationBetween(time.Second, 4*time.Second), p.rnd.IntN(2) == 0
	p.add(at, fmt.Sprintf("server %d pushes back for %s", number, d.Round(time.Millisecond)), func(w *world) {
		if s := w.pickServer(number, ""); s != nil {
			s.PushBack(d, asDate)
		}
	})
}

// checkNotices checks that hosts send nothing to servers that have stated that they leave, and
// at most maxBackOffArrivals requests to a server during its back-off.
func (w *world) checkNotices(seen observations) []Violation {
	exchanges := make(map[string]*exchange, len(seen.exchanges))
	for i := range seen.exchanges {
		exchanges[seen.exchanges[i].request.ID] = &seen.exchanges[i]
	}
	var found []Violation
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		found = append(found, checkLeaving(s.id, s.Arrivals(), exchanges)...)
		found = append(found, checkBackOffs(s.id, s.Arrivals(), exchanges)...)
	}
	return found
}

// checkLeaving checks the requests that arrived at one server after its host had passed on a
// response that states the leaving.
func checkLeaving(id string, arrivals []slotengine.Arrival, exchanges map[string]*exchange) []Violation {
	told := map[*entryHost]time.Time{}
	for _, a := range arrivals {
		x := exchanges[a.RequestID]
		if x == nil || !a.Leaving || x.response.Status == 0 {
			continue
		}
		if t, ok := told[x.host]; !ok || x.endedAt.Before(t) {
			told[x.host] = x.endedAt
		}
	}
	var found []Violation
	for _, a := range arrivals {
		x := exchanges[a.RequestID]
		if x == nil {
			continue
		}
		at, ok := told[x.host]
		if !ok || !x.sentAt.After(at.Add(leavingGrace)) || x.host.disturbances.overlaps(at, a.At) {
			continue
		}
		found = append(found, Violation{"no new requests at leaving servers", fmt.Sprintf("%s arrived at %s %s after %s had passed on that it is leaving", a.RequestID, id, a.At.Sub(at).Round(time.Millisecond), x.host.name)})
	}
	return found
}

// backOffOf identifies the back-off of a server for one host by its end.
type backOffOf struct {
	host *entryHost
	end  time.Time
}

// checkBackOffs counts the requests of each host that arrived at one server during a back-off,
// later than backOffGrace after the first rejected one.
func checkBackOffs(id string, arrivals []slotengine.Arrival, exchanges map[string]*exchange) []Violation {
	rejectedAt := map[backOffOf]time.Time{}
	late := map[backOffOf]int{}
	var found []Violation
	for _, a := range arrivals {
		x := exchanges[a.RequestID]
		if x == nil || a.BackOffLeft == 0 {
			continue
		}
		b := backOffOf{x.host, a.At.Add(a.BackOffLeft)}
		if _, ok := rejectedAt[b]; !ok {
			rejectedAt[b] = a.At
		}
		if a.At.Sub(rejectedAt[b]) <= backOffGrace || x.host.disturbances.overlaps(rejectedAt[b], a.At) {
			continue
		}
		if late[b]++; late[b] == maxBackOffArrivals+1 {
			found = append(found, Violation{"back-offs of servers", fmt.Sprintf("%d requests of %s arrived at %s in its back-off, %s the last", late[b], x.host.name, id, a.RequestID)})
		}
	}
	return found
}
