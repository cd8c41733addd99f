package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sardinefront.dev/standin/slotengine"
)

const (
	// drainLimit is how long after a host has passed on a response that states the leaving of
	// its server callers may send requests that still reach the server through this host.
	drainLimit = 2 * time.Second
	// backOffReaction is how long after a rejection with Retry-After a host may take to stop.
	backOffReaction = 500 * time.Millisecond
	// maxBackOffRequests is the number of requests that may reach a server from a host
	// between then and the end of the back-off.
	maxBackOffRequests = 2
)

// closureInterval is the mean time between two servers that leave or push back.
const closureInterval = 1200 * time.Millisecond

// planClosures returns the times at which servers leave and push back. They have a random
// source of their own, so that the faults of a seed don't depend on them.
func planClosures(seed uint64, length time.Duration) []action {
	p := &planner{rnd: rand.New(rand.NewPCG(seed, seed+2))}
	for range int(length / closureInterval) {
		at := time.Duration(p.rnd.Int64N(int64(length)))
		if p.rnd.IntN(2) == 0 {
			p.planServerLeave(at)
		} else {
			p.planPushBack(at)
		}
	}
	return p.actions
}

// planServerLeave makes a server state in its responses that it is leaving. It is listed as
// draining only after a delay.
func (p *planner) planServerLeave(at time.Duration) {
	number, listDelay := p.rnd.IntN(100), p.durationBetween(0, 2500*time.Millisecond)
	p.add(at, fmt.Sprintf("server %d leaves, listed after %s", number, listDelay.Round(time.Millisecond)), func(w *world) {
		w.replaceServer(number, func(s *server) {
			s.SetLeaving(true)
			time.Sleep(listDelay)
			w.drainServer(s)
		})
	})
}

// planPushBack makes a server turn all requests away for a while.
func (p *planner) planPushBack(at time.Duration) {
	number, d, asDate := p.rnd.IntN(100), p.durationBetween(time.Second, 4*time.Second), p.rnd.IntN(3) == 0
	p.add(at, fmt.Sprintf("server %d pushes back for %s, as a date %t", number, d.Round(time.Millisecond), asDate), func(w *world) {
		if s := w.pickServer(number, ""); s != nil {
			s.PushBack(d, asDate)
		}
	})
}

// exchangesByID returns the exchanges by request id.
func (o *observations) exchangesByID() map[string]*exchange {
	byID := make(map[string]*exchange, len(o.exchanges))
	for i := range o.exchanges {
		byID[o.exchanges[i].request.ID] = &o.exchanges[i]
	}
	return byID
}

// hostServer is a host and the id of a server.
type hostServer struct {
	host   *entryHost
	server string
}

// passedOnLeaving returns when a host first passed on a response that states the leaving of its
// server.
func passedOnLeaving(seen observations) map[hostServer]time.Time {
	passedOn := map[hostServer]time.Time{}
	for i := range seen.exchanges {
		x := &seen.exchanges[i]
		k := hostServer{x.host, x.response.Server}
		if first, ok := passedOn[k]; x.response.Leaving && (!ok || x.response.HeaderAt.Before(first)) {
			passedOn[k] = x.response.HeaderAt
		}
	}
	return passedOn
}

// checkClosures checks what reaches servers that leave or push back.
func (w *world) checkClosures(seen observations) []Violation {
	passedOn, byID := passedOnLeaving(seen), seen.exchangesByID()
	var found []Violation
	for _, s := range w.allServers() {
		arrivals := s.Arrivals()
		found = append(found, checkLeavingAt(s.id, arrivals, passedOn, byID)...)
		found = append(found, checkBackOffsAt(s, arrivals, byID)...)
	}
	return found
}

// checkLeavingAt checks that no request that a caller sent later than drainLimit after a host had
// passed on the leaving of a server reaches the server through this host, unless the process of
// the host was frozen or restarted meanwhile.
func checkLeavingAt(id string, arrivals []slotengine.Arrival, passedOn map[hostServer]time.Time, byID map[string]*exchange) []Violation {
	var found []Violation
	for _, a := range arrivals {
		x := byID[a.RequestID]
		if x == nil {
			continue
		}
		at, ok := passedOn[hostServer{x.host, id}]
		if !ok || !x.sentAt.After(at.Add(drainLimit)) || x.host.outages.overlapsExactly(at, a.At) {
			continue
		}
		found = append(found, Violation{"no new requests at leaving servers", fmt.Sprintf("%s reached %s through %s, sent %s after the host had passed on the leaving", x.request.ID, id, x.host.name, x.sentAt.Sub(at).Round(time.Millisecond))})
	}
	return found
}

// checkBackOffsAt checks that a server that has asked a host for a back-off receives at most
// maxBackOffRequests from it after backOffReaction and before the end of the back-off, unless the
// host or the link to the server was disturbed.
func checkBackOffsAt(s *server, arrivals []slotengine.Arrival, byID map[string]*exchange) []Violation {
	var found []Violation
	for h, list := range arrivalsByHost(arrivals, byID) {
		var end time.Time
		for _, a := range list {
			if a.BackOffLeft == 0 || a.At.Before(end) {
				continue
			}
			end = a.At.Add(a.BackOffLeft)
			n := countBetween(list, a.At.Add(backOffReaction), end)
			disturbed := h.disturbances.overlaps(a.At, end) || h.storeDisturbances.overlaps(a.At, end) || s.linkDisturbances.overlaps(a.At, end)
			if n > maxBackOffRequests && !disturbed {
				found = append(found, Violation{"back-off is kept", fmt.Sprintf("%d requests reached %s through %s later than %s after it had asked for a back-off of %s at %s", n, s.id, h.name, backOffReaction, a.BackOffLeft.Round(time.Millisecond), a.At.Format("15:04:05.000"))})
			}
		}
	}
	return found
}

func (w *world) allServers() []*server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.servers)
}

// arrivalsByHost returns the arrivals at a server by the host that they came from, in order.
// Reservations name no request, but use the connections of requests.
func arrivalsByHost(arrivals []slotengine.Arrival, byID map[string]*exchange) map[*entryHost][]slotengine.Arrival {
	hosts := map[string]*entryHost{}
	for _, a := range arrivals {
		if x := byID[a.RequestID]; x != nil {
			hosts[a.Connection] = x.host
		}
	}
	byHost := map[*entryHost][]slotengine.Arrival{}
	for _, a := range arrivals {
		if h := hosts[a.Connection]; h != nil {
			byHost[h] = append(byHost[h], a)
		}
	}
	for _, list := range byHost {
		slices.SortStableFunc(list, func(a, b slotengine.Arrival) int { return a.At.Compare(b.At) })
	}
	return byHost
}

func countBetween(arrivals []slotengine.Arrival, from, to time.Time) int {
	n := 0
	for _, a := range arrivals {
		if a.At.After(from) && a.At.Before(to) {
			n++
		}
	}
	return n
}
