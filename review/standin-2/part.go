package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// playPart: one part of a prompt crashes each server that begins to write an answer on it. Rule BUDGET
// of news.md.
func playPart(s *stage) (broken bool, err error) {
	st, err := startStore(s.ip(200) + ":8225")
	if err != nil {
		return false, err
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
	var engines []*engine
	for i := range 6 {
		e := &engine{id: fmt.Sprintf("e-%d", i+1), address: fmt.Sprintf("%s:8208", s.ip(101+i)), badPart: "bad0", logf: s.logf}
		e.onStart = func(e *engine) { st.Put("servers/"+e.id, e.entry()) }
		if err := e.start(); err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	if err := s.startHosts([]string{st.address, st.address}); err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	sent := map[string]time.Time{}
	n, sound, cut := 0, 0, 0
	send := func(part string) {
		n++
		id, h := fmt.Sprintf("r%05d", n), s.hosts[rand.IntN(len(s.hosts))]
		mu.Lock()
		sent[id] = time.Now()
		mu.Unlock()
		clients.Go(func() {
			headers := map[string]string{
				"Host": "llm.example", "Request-Id": id, "Request-Deadline": "8000", "Token-Count": "400,30",
				"Prompt-Prefix": fmt.Sprintf("5c1e:60,%s:200,%s:140", part, id[1:]),
			}
			a := exchange(h.front(), "POST /brief/"+id, headers, "prompt", 10*time.Second)
			s.logf("request %s with the part %s at %s: status %d, signature %q, %d bytes, error %v", id, part, h.name, a.status, a.stamp, len(a.body), a.err)
			mu.Lock()
			defer mu.Unlock()
			if part != "bad0" {
				sound++
				if a.err != nil || a.status != 200 && a.status != 503 {
					cut++
				}
			}
		})
	}
	for i := range 200 { // 20 s
		send(fmt.Sprintf("a%d", i%4))
		if s.trouble && i >= 30 && i%5 == 0 {
			send("bad0")
		}
		time.Sleep(100 * time.Millisecond)
	}
	clients.Wait()
	var crashes []time.Time
	var reached []run
	for _, e := range engines {
		e.mu.Lock()
		crashes, reached = append(crashes, e.crashes...), append(reached, e.bad...)
		e.mu.Unlock()
	}
	s.logf("sound requests: %d, of which broken off or failed: %d; crashes: %d", sound, cut, len(crashes))
	slices.SortFunc(crashes, time.Time.Compare)
	if len(crashes) < 5 {
		return false, nil
	}
	limit := crashes[4].Add(stableTime)
	late := 0
	for _, r := range reached {
		if sent[r.id].After(limit) {
			late++
		}
	}
	s.logf("fifth crash at %.3f s; requests with the part that were sent more than 3 s later and reached servers: %d (3 are allowed)", crashes[4].Sub(s.begun).Seconds(), late)
	return late > 3, nil
}
