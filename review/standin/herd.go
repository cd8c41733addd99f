package main

import (
	"sort"
	"time"
)

const (
	lostEvidenceSeconds = 12                      // overS, as in the example of PROTOCOL.md
	badShare            = 45                      // of 100 answers of the bad version are failures
	badAfter            = 8900 * time.Millisecond // the version turns bad this long after the order
	killedAfter         = 9500 * time.Millisecond // all hosts are killed this long after the order
	downTime            = 2 * time.Second         // herd_kill: at most 2 s
	rollbackMs          = 5000
	badAnswers          = 50
	watchedTime         = 12 * time.Second
)

// lostEvidence plays a rollout of a version that turns bad before its end, and the loss of all hosts
// soon after that.
func lostEvidence(work string, log *recorder, trouble bool) (broken bool) {
	w := newWorld(work, log, 40, 15)
	time.Sleep(3 * time.Second)
	w.startNew()
	time.Sleep(time.Second)
	ordered := w.order(lostEvidenceSeconds)
	time.Sleep(time.Until(ordered.Add(badAfter)))
	w.setFailShare(badShare)
	time.Sleep(time.Until(ordered.Add(killedAfter)))
	if trouble {
		w.restartAll()
	}
	state := w.waitOutcome(ordered, (lostEvidenceSeconds+2)*time.Second)
	log.logf("the status of the rollout is %s, %.2f s after the order", state, time.Since(ordered).Seconds())
	time.Sleep(watchedTime)
	w.finish()

	failures, late := 0, 0
	var deadline time.Time
	for _, r := range w.newRuns() {
		if !deadline.IsZero() && r.at.After(deadline) {
			late++
		}
		if r.status == 500 {
			failures++
		}
		if failures == badAnswers && deadline.IsZero() {
			log.logf("the bad version gives its %dth bad answer %.2f s after the order", badAnswers, r.at.Sub(ordered).Seconds())
			deadline = r.at.Add(rollbackMs * time.Millisecond)
		}
	}
	log.logf("the bad version gave %d bad answers; later than rollbackMs after the %dth it got %d requests", failures, badAnswers, late)
	return late > 0
}

// restartAll kills all hosts and starts them again.
func (w *world) restartAll() {
	w.log.logf("trouble: all hosts are killed")
	for _, h := range w.hosts {
		h.kill()
	}
	time.Sleep(downTime)
	for _, h := range w.hosts {
		h.start()
	}
	w.log.logf("trouble: all hosts are started")
}

// newRuns returns the runs of the new servers in the order of their start.
func (w *world) newRuns() []run {
	var all []run
	for _, s := range w.newServers {
		s.mu.Lock()
		all = append(all, s.runs...)
		s.mu.Unlock()
	}
	sort.Slice(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
	return all
}
