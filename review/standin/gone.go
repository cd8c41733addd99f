package main

import "time"

const (
	goneOverS   = 12              // overS, as in the example of PROTOCOL.md
	goneAfter   = 6 * time.Second // the new servers are lost this long after the order
	lapseTime   = 3600 * time.Millisecond
	moreOld     = 3
	newSlots    = 18
	goneWatched = 10 * time.Second
)

// lostServers plays a rollout from six servers to two large ones, which are lost for good halfway.
func lostServers(work string, log *recorder, trouble bool) (broken bool) {
	w := newWorld(work, log, 40, 5)
	for _, id := range []string{"i-11", "i-12", "i-13"}[:moreOld] {
		w.oldServers = append(w.oldServers, w.add(id, "desk", "v1", "c", oldSlots))
	}
	time.Sleep(4 * time.Second)
	w.newServers = []*server{w.add("i-4", "desk", "v2", "a", newSlots), w.add("i-5", "desk", "v2", "b", newSlots)}
	time.Sleep(time.Second)
	ordered := w.order(goneOverS)
	time.Sleep(time.Until(ordered.Add(goneAfter)))
	if trouble {
		w.lose("new", w.newServers)
	}
	state := w.waitOutcome(ordered, (goneOverS+1)*time.Second)
	log.logf("the status of the rollout is %s, %.2f s after the order", state, time.Since(ordered).Seconds())
	limit := ordered.Add(goneOverS * time.Second)
	return w.judgeRecovery(ordered, limit, limit.Add(recoverTime), goneWatched)
}

// lose ends servers of desk for good. Their entries are removed after three intervals of status
// reports.
func (w *world) lose(which string, servers []*server) {
	w.log.logf("trouble: the %d %s servers crash and are lost for good, of %d servers of desk", len(servers), which, len(w.newServers)+len(w.oldServers))
	for _, s := range servers {
		s.stop()
		time.AfterFunc(lapseTime, func() {
			w.store.remove("servers/" + s.id)
			w.log.logf("store: the entry of %s has lapsed", s.id)
		})
	}
}
