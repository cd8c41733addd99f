package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// badPart is the part of a prompt that crashes servers, allowedBad the number of requests with it that may
// reach servers later than stableTime after the fifth crash.
const (
	badPart    = "bad0"
	allowedBad = 3
)

// llm is a small installation of servers of streams.
type llm struct {
	*stage
	engines []*engine
	clients sync.WaitGroup

	mu    sync.Mutex
	sent  map[string]time.Time
	sound int // requests without badPart
	cut   int // those of them that were broken off or failed
}

// newLLM starts a store, six servers and two hosts. The streams have the given number of events; a request
// with badPart crashes its server after badEvents of them.
func newLLM(s *stage, events, badEvents int) (*llm, error) {
	st, err := startStore(s.ip(200) + ":8225")
	if err != nil {
		return nil, err
	}
	st.Put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "brief", "host": "llm.example", "prefix": "/brief/", "kind": "streaming", "timeoutMs": 8000, "goalMs": 800, "gapAimMs": 500, "priority": 0,
			"service": "llm", "maxAttempts": 1, "public": true,
		}},
		"services": []any{map[string]any{"name": "llm", "healthPath": "/health", "maxConns": 100}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 10000},
	})
	p := &llm{stage: s, sent: map[string]time.Time{}}
	for i := range 6 {
		e := &engine{
			id: fmt.Sprintf("e-%d", i+1), address: fmt.Sprintf("%s:8208", s.ip(101+i)), badPart: badPart, events: events, badEvents: badEvents, logf: s.logf,
		}
		e.onStart = func(e *engine) { st.Put("servers/"+e.id, e.entry()) }
		if err := e.start(); err != nil {
			return nil, err
		}
		p.engines = append(p.engines, e)
	}
	return p, s.startHosts([]string{st.address, st.address})
}

// send sends a request with the part at a host drawn at random.
func (p *llm) send(part string) {
	p.mu.Lock()
	id, h := fmt.Sprintf("r%05d", len(p.sent)+1), p.hosts[rand.IntN(len(p.hosts))]
	p.sent[id] = time.Now()
	p.mu.Unlock()
	p.clients.Go(func() {
		headers := map[string]string{
			"Host": "llm.example", "Request-Id": id, "Request-Deadline": "8000", "Token-Count": "400,30",
			"Prompt-Prefix": fmt.Sprintf("5c1e:60,%s:200,%s:140", part, id[1:]),
		}
		a := exchange(h.front(), "POST /brief/"+id, headers, "prompt", 10*time.Second)
		p.logf("request %s with the part %s at %s: status %d, signature %q, %d bytes, error %v", id, part, h.name, a.status, a.stamp, len(a.body), a.err)
		if part == badPart {
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.sound++
		if a.err != nil || a.status != 200 && a.status != 503 {
			p.cut++
		}
	})
}

// broken waits for the clients and reports whether too many requests with badPart reached servers.
func (p *llm) broken() bool {
	p.clients.Wait()
	var crashes []time.Time
	var reached []run
	for _, e := range p.engines {
		e.mu.Lock()
		crashes, reached = append(crashes, e.crashes...), append(reached, e.bad...)
		e.mu.Unlock()
	}
	p.logf("sound requests: %d, of which broken off or failed: %d; crashes: %d", p.sound, p.cut, len(crashes))
	if len(crashes) < 5 {
		return false
	}
	slices.SortFunc(crashes, time.Time.Compare)
	limit := crashes[4].Add(stableTime)
	late := 0
	for _, r := range reached {
		if p.sent[r.id].After(limit) {
			late++
			p.logf("BUDGET: request %s with the part, sent %.3f s after the fifth crash, reached a server", r.id, p.sent[r.id].Sub(crashes[4]).Seconds())
		}
	}
	p.logf("requests with the part that were sent more than 3 s after the fifth crash and reached servers: %d (%d are allowed)", late, allowedBad)
	return late > allowedBad
}

// playPart: one part of a prompt crashes each server that begins to write an answer on it. Rule BUDGET of
// news.md, in two scenes.
func playPart(s *stage) (broken bool, err error) {
	s.logf("scene 1: ten sound requests a second; the servers crash after the first event")
	busy, err := playBusy(s)
	if err != nil {
		return false, err
	}
	s.nextScene()
	s.logf("scene 2: a sound request every 15 s; the servers crash after the head, before the first event")
	quiet, err := playQuiet(s)
	s.logf("rule broken in scene 1: %t, in scene 2: %t", busy, quiet)
	return busy || quiet, err
}

func playBusy(s *stage) (broken bool, err error) {
	p, err := newLLM(s, 6, 1)
	if err != nil {
		return false, err
	}
	for i := range 200 { // 20 s
		p.send(fmt.Sprintf("a%d", i%4))
		if s.trouble && i >= 30 && i%5 == 0 {
			p.send(badPart)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return p.broken(), nil
}

// playQuiet: the stream of a sound request lasts for 4 s.
func playQuiet(s *stage) (broken bool, err error) {
	p, err := newLLM(s, 80, 0)
	if err != nil {
		return false, err
	}
	p.send("a0")
	time.Sleep(5 * time.Second)
	for i := range 60 {
		if i%15 == 0 {
			p.send(fmt.Sprintf("a%d", i/15%4))
			time.Sleep(300 * time.Millisecond)
		}
		if s.trouble {
			p.send(badPart)
		}
		time.Sleep(time.Second)
	}
	return p.broken(), nil
}
