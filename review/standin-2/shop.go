package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	drainTime  = 2 * time.Second // drainMs
	stableTime = 3 * time.Second // stableWindowMs
)

// shop is a small installation: a store, three servers of one service and its unsafe route.
type shop struct {
	*stage
	store   *store
	servers []*server
	clients sync.WaitGroup

	sentMu sync.Mutex
	sent   map[string]sentRequest
	lost   int // requests without an answer of a server that were not refused as not run
}

// sentRequest is when and to which host a client sent a request.
type sentRequest struct {
	at   time.Time
	host *host
}

func newShop(s *stage) (*shop, error) {
	p := &shop{stage: s, sent: map[string]sentRequest{}}
	var err error
	if p.store, err = startStore(s.ip(200) + ":8225"); err != nil {
		return nil, err
	}
	p.store.Put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "orders", "host": "shop.example", "prefix": "/orders/", "kind": "unsafe", "timeoutMs": 1500, "goalMs": 150, "priority": 0,
			"service": "shop", "maxAttempts": 1, "public": true,
		}},
		"services": []any{
			map[string]any{"name": "shop", "healthPath": "/health", "maxConns": 100},
			map[string]any{"name": "desk", "healthPath": "/health", "maxConns": 100},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 10000},
	})
	for range 3 {
		if err := p.startServer(); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// send sends one request to a host.
func (p *shop) send(h *host) {
	p.sentMu.Lock()
	id := fmt.Sprintf("r%05d", len(p.sent)+1)
	p.sent[id] = sentRequest{time.Now(), h}
	p.sentMu.Unlock()
	p.clients.Go(func() {
		headers := map[string]string{"Host": "shop.example", "Request-Id": id, "Request-Deadline": "1500"}
		a := exchange(h.front(), "POST /orders/"+id, headers, "counter", 3*time.Second)
		p.logf("request %s at %s: %v", id, h.name, a)
		if a.status != 200 && a.status != 503 && a.status != 429 {
			p.sentMu.Lock()
			p.lost++
			p.sentMu.Unlock()
		}
	})
}

// steady sends a request to each host every 100 ms.
func (p *shop) steady(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, h := range p.hosts {
			p.send(h)
		}
	}
}

// burst sends six requests at once to each of the hosts.
func (p *shop) burst(hosts []*host) {
	for range 6 {
		for _, h := range hosts {
			p.send(h)
		}
	}
}

// lateRuns logs the requests that reached a server although a client sent them later than drainTime
// after the ack of its leaving, and returns their number.
func (p *shop) lateRuns(x *server, ackedAt time.Time) (late int) {
	p.clients.Wait()
	for _, r := range x.Runs() {
		sent := p.sent[r.id]
		if after := sent.at.Sub(ackedAt); after > drainTime {
			late++
			p.logf("DRAIN: request %s, sent to %s %.3f s after the leaving of %s was acknowledged, ran there", r.id, sent.host.name, after.Seconds(), x.id)
		}
	}
	p.logf("requests of clients sent later than 2 s after the ack that reached %s: %d", x.id, late)
	return late
}

// end logs what was served and ends the servers.
func (p *shop) end() {
	p.logf("requests without an answer of a server, and not refused as not run: %d", p.lost)
	for _, srv := range p.servers {
		p.logf("server %s ran %d requests", srv.id, len(srv.Runs()))
		srv.exit()
	}
}
