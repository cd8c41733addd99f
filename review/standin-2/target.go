package main

import (
	"fmt"
	"time"
)

// playTarget: clients name the target of their requests in the absolute form of HTTP/1.1, or ask
// `OPTIONS *`. Rule UNASKED (and MIXED).
func playTarget(s *stage) (broken bool, err error) {
	p, err := newShop(s)
	if err != nil {
		return false, err
	}
	if err := s.startHosts([]string{p.store.address, p.store.address}); err != nil {
		return false, err
	}
	// target is what the client writes on the request line; path is what a server may run, empty if the
	// request has no route.
	type request struct{ method, target, path string }
	requests := []request{
		{"POST", "/orders/1?a=1", "/orders/1?a=1"},
		{"POST", "http://shop.example/orders/2?a=1", "/orders/2?a=1"},
		{"POST", "/?back=/orders/3", ""},
		{"OPTIONS", "/", ""},
	}
	if s.trouble {
		requests = append(requests, request{"POST", "http://shop.example?back=/orders/4", ""}, request{"OPTIONS", "*", ""})
	}
	for i, r := range requests {
		id := fmt.Sprintf("r%d", i+1)
		a := exchange(s.hosts[i%2].front(), r.method+" "+r.target, map[string]string{"Host": "shop.example", "Request-Id": id, "Request-Deadline": "1500"}, "", 3*time.Second)
		s.logf("request %s, %s %s: %v", id, r.method, r.target, a)
		for _, srv := range p.servers {
			for _, run := range srv.Runs() {
				if run.id != id {
					continue
				}
				s.logf("server %s ran %s as %s %s", srv.id, id, run.method, run.uri)
				if run.uri != r.path {
					s.logf("UNASKED: the client asked for %q; a server may run %q at most", r.target, r.path)
					broken = true
				}
			}
		}
		if a.err == nil && a.status/100 == 2 && a.stamp == "" {
			s.logf("MIXED: a success without the signature of a server")
			broken = true
		}
	}
	p.end()
	return broken, nil
}
