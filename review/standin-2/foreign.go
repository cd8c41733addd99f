package main

import "time"

// playForeign: another writer replaces the entry of a server of the service desk by one in which fields
// are missing and which names the service shop. The server writes its entry again with its next report.
// Rule ROUTE.
func playForeign(s *stage) (broken bool, err error) {
	p, err := newShop(s)
	if err != nil {
		return false, err
	}
	desk, err := startServer("d-1", s.ip(150)+":8208", "desk", 80*time.Millisecond)
	if err != nil {
		return false, err
	}
	report := func() {
		p.store.Put("servers/"+desk.id, desk.entry("a", "ready"))
		s.logf("server %s of the service %s, at %s, writes its entry", desk.id, desk.service, desk.address)
	}
	report()
	if err := s.startHosts([]string{p.store.address, p.store.address}); err != nil {
		return false, err
	}
	p.steady(3 * time.Second)
	for range 3 {
		if s.trouble {
			entry := map[string]any{"service": "shop", "address": desk.address, "state": "ready"}
			p.store.Put("servers/"+desk.id, entry)
			s.logf("another writer replaces the entry of %s: %v; zone, version, slots, coldLeftMs, sequence and born are missing", desk.id, entry)
		}
		p.steady(1200 * time.Millisecond)
		report()
		p.steady(2 * time.Second)
	}
	p.clients.Wait()
	for _, r := range desk.Runs() {
		broken = true
		s.logf("ROUTE: request %s (%s %s), whose route allows only the service shop, was run by %s of the service %s", r.id, r.method, r.uri, desk.id, desk.service)
	}
	s.logf("requests of the service shop that the service desk ran: %d", len(desk.Runs()))
	p.end()
	desk.exit()
	return broken, nil
}
