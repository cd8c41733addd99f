package main

import "time"

const (
	oldGoneOverS   = 60              // overS of the order
	oldGoneAfter   = 5 * time.Second // the old servers are lost this long after the order
	oldGoneWatched = 20 * time.Second
)

// lostOldServers plays a rollout from two large servers to six, and the loss of the old ones.
func lostOldServers(work string, log *recorder, trouble bool) (broken bool) {
	w := newWorldWith(work, log, 40, 5, []*server{
		startServer("i-1", "desk", "v1", "a", newSlots, workTime), startServer("i-2", "desk", "v1", "b", newSlots, workTime),
	})
	time.Sleep(3 * time.Second)
	for i, id := range []string{"i-11", "i-12", "i-13", "i-14", "i-15", "i-16"} {
		w.newServers = append(w.newServers, w.add(id, "desk", "v2", []string{"a", "b", "c"}[i%3], oldSlots))
	}
	time.Sleep(time.Second)
	ordered := w.order(oldGoneOverS)
	time.Sleep(time.Until(ordered.Add(oldGoneAfter)))
	lost := time.Now()
	if trouble {
		w.lose("old", w.oldServers)
	}
	return w.judgeRecovery(ordered, lost, lost.Add(recoverTime), oldGoneWatched)
}
