package main

import "time"

// playRestore: a server leaves without a report (its entry is removed) and goes on serving for some
// seconds. The store comes back from a copy from before that. Rule DRAIN.
func playRestore(s *stage) (broken bool, err error) {
	p, err := newShop(s)
	if err != nil {
		return false, err
	}
	if err := s.startHosts([]string{p.store.address, p.store.address}); err != nil {
		return false, err
	}
	st, x := p.store, p.servers[2]
	p.steady(4 * time.Second)
	st.Copy()
	s.logf("the copy of the store is made; the clients pause")
	time.Sleep(time.Second)
	removedAt := p.leave(x)
	time.Sleep(2500 * time.Millisecond)
	if s.trouble {
		st.GoDown()
		s.logf("the store is away")
	}
	time.Sleep(300 * time.Millisecond)
	if s.trouble {
		st.ComeBack()
		s.logf("the store is back from the copy, with the next era")
	}
	backAt := time.Now()
	// What the servers wrote is written again: the removal of x.
	time.Sleep(1200 * time.Millisecond)
	st.Remove("servers/" + x.id)
	s.logf("the removal of the entry of %s is written again", x.id)
	// The hosts are in touch again once the store has been without disturbance for stableTime.
	time.Sleep(time.Until(backAt.Add(stableTime + 100*time.Millisecond)))
	s.logf("the store has been stable for 3 s; clients return")
	for i := range 4 {
		if i == 2 {
			x.exit()
			s.logf("server %s exits, as announced by the removal of its entry", x.id)
		}
		p.burst(s.hosts)
		time.Sleep(60 * time.Millisecond)
	}
	late := p.lateRuns(x, removedAt)
	p.end()
	return late > 0, nil
}
