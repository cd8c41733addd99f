package main

import (
	"strings"
	"time"
)

// The bounds of the case. Those of disruptions are the largest of the site file.
const (
	rolloutSeconds  = 8               // overS of the order
	greyTime        = 2 * time.Second // srv_grey: at most 4 s
	greyShare       = 45              // of 100
	recoverTime     = 12 * time.Second
	observedTime    = 15 * time.Second
	recoverFraction = 0.25
)

// splitOutcome plays a rollout at whose end the store's answer to the final write is lost, and the
// new servers fail some requests for a short time when the old ones stop.
func splitOutcome(work string, log *recorder, trouble bool) (broken bool) {
	w := newWorld(work, log, 130, 15)
	time.Sleep(4 * time.Second)
	w.startNew()
	time.Sleep(time.Second)
	ordered := w.order(rolloutSeconds)
	if trouble {
		w.loseOutcome()
	}
	state := w.waitOutcome(ordered, (rolloutSeconds+2)*time.Second)
	log.logf("the status of the rollout is %s, %.2f s after the order", state, time.Since(ordered).Seconds())

	// The last disturbance is over a second and a half after the time limit.
	settled := ordered.Add(rolloutSeconds*time.Second + greyTime)
	return w.judgeRecovery(ordered, settled, settled.Add(recoverTime), observedTime)
}

// judgeRecovery ends the load some time after recovered and reports whether less than a quarter of
// the requests sent from recovered on was served, though a quarter or more was before the order.
func (w *world) judgeRecovery(ordered, settled, recovered time.Time, watched time.Duration) (broken bool) {
	time.Sleep(time.Until(recovered.Add(watched)))
	end := w.finish()
	c := w.clients
	for _, kind := range []string{"status", "stock"} {
		n, served := c.share(kind, w.begun, ordered)
		w.log.logf("%s: of %d requests before the order, %.3f served, by status %v", kind, n, served, c.statuses(kind, w.begun, ordered))
		n, served = c.share(kind, ordered, settled)
		w.log.logf("%s: of %d requests from the order on, %.3f served, by status %v", kind, n, served, c.statuses(kind, ordered, settled))
		n, served = c.share(kind, recovered, end)
		w.log.logf("%s: of %d requests later than recoverS after the last disturbance, %.3f served, by status %v", kind, n, served, c.statuses(kind, recovered, end))
	}
	before, servedBefore := c.share("", w.begun, ordered)
	after, servedAfter := c.share("", recovered, end)
	w.log.logf("all: of %d requests before, %.3f served; of %d afterwards, %.3f", before, servedBefore, after, servedAfter)
	it, _ := w.store.get(statusKey)
	w.log.logf("status in the store at the end: %s", it.Value)
	if servedBefore < recoverFraction {
		fail("too few requests were served before the disturbance")
	}
	return servedAfter < recoverFraction
}

// loseOutcome loses the answer to the first write of the state done, and lets the new servers fail
// some requests from when the old ones stop.
func (w *world) loseOutcome() {
	lost := false
	w.store.lost = func(_, key string, value []byte) bool {
		if lost || key != statusKey || !strings.Contains(string(value), "done") {
			return false
		}
		lost = true
		w.setFailShare(greyShare)
		time.AfterFunc(greyTime, func() { w.setFailShare(0) })
		return true
	}
}
