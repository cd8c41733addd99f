package main

import (
	"fmt"
	"time"
)

// readerRounds is how often the disruption comes, each time to hosts that have just started: it depends on
// the phase of their timers whether another host happens to read the list beside the first one.
const readerRounds = 5

// playReader: the host that reads the list of servers for all is partitioned from the store and comes
// back. A server leaves without a report (its entry is removed) shortly after. Rule DRAIN, of the hosts
// that were never disturbed.
func playReader(s *stage) (broken bool, err error) {
	p, err := newShop(s)
	if err != nil {
		return false, err
	}
	link, err := startProxy(s.ip(201)+":8225", p.store.address)
	if err != nil {
		return false, err
	}
	for round := range readerRounds {
		if round > 0 {
			s.stopHosts()
			if err := p.startServer(); err != nil {
				return false, err
			}
		}
		if err := s.startHosts([]string{s.ip(201) + ":8225", p.store.address, p.store.address}); err != nil {
			return false, err
		}
		p.steady(4 * time.Second)
		if p.playReaderRound(link) > 0 {
			broken = true
		}
	}
	p.end()
	return broken, nil
}

// playReaderRound returns the number of requests that reached the leaving server too late.
func (p *shop) playReaderRound(link *proxy) int {
	calm := p.hosts[1:]
	if p.trouble {
		link.cut(true)
		p.logf("%s is cut off from the store", p.hosts[0].name)
	}
	p.steady(5500 * time.Millisecond)
	if p.trouble {
		link.cut(false)
		p.logf("the cut has ended")
	}
	p.logf("the clients pause")
	time.Sleep(1300 * time.Millisecond)
	x := p.servers[len(p.servers)-1]
	removedAt := p.leave(x)
	time.Sleep(time.Until(removedAt.Add(drainTime + 20*time.Millisecond)))
	p.logf("clients return to the hosts that were not disturbed")
	for range 3 {
		p.burst(calm)
		time.Sleep(40 * time.Millisecond)
	}
	x.exit()
	p.logf("server %s exits", x.id)
	return p.lateRuns(x, removedAt)
}

// leave removes the entry of a server, which goes on serving, and returns when the store has acknowledged
// that.
func (p *shop) leave(x *server) time.Time {
	x.leave()
	p.store.Remove("servers/" + x.id)
	p.logf("server %s leaves without a report: its entry is removed; it goes on serving", x.id)
	return time.Now()
}

// startServer starts one more server.
func (p *shop) startServer() error {
	n := len(p.servers) + 1
	srv, err := startServer(fmt.Sprintf("i-%d", n), fmt.Sprintf("%s:8208", p.ip(100+n)), "shop", 80*time.Millisecond)
	if err != nil {
		return err
	}
	p.servers = append(p.servers, srv)
	p.store.Put("servers/"+srv.id, srv.entry("a", "ready"))
	p.logf("server %s starts at %s", srv.id, srv.address)
	return nil
}
