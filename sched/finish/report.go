package finish

import "time"

const (
	// reportTTL is the age at which a report has lost all of its weight: load and speed of a machine
	// change within the duration of a request.
	reportTTL = 300 * time.Millisecond
	// workTimeSmoothing is the time constant of the average work time. A report covers a few
	// milliseconds, while a request meets the mean of the next tenths of a second.
	workTimeSmoothing = 100 * time.Millisecond
	// maxSampleWeight bounds the weight of one report, however long the time since the last one.
	maxSampleWeight = 0.5
	// minWorkTime and maxWorkTime bound the reported work times.
	minWorkTime = 0.5
	maxWorkTime = 2
	// minWorkFactor and maxWorkFactor bound the effect on an estimate, so that a report moves a
	// target only between others of similar speed in the order.
	minWorkFactor = 0.8
	maxWorkFactor = 1.25
)

// WorkTime is the average of the work times that a target reports; the zero value is unknown.
type WorkTime struct {
	mean       float64
	reportedAt time.Time
}

// Report adds a reported work time: 1 is the usual one, 0 is unknown and ignored.
func (w *WorkTime) Report(value float64, now time.Time) {
	if !(value > 0) { // true for NaN too
		return
	}
	old := w.at(now)
	value = min(maxWorkTime, max(minWorkTime, value))
	elapsed := max(0, now.Sub(w.reportedAt))
	weight := min(maxSampleWeight, float64(elapsed)/float64(elapsed+workTimeSmoothing))
	w.mean, w.reportedAt = old+weight*(value-old), now
}

// Factor returns the factor by which work at the target takes longer than usual.
func (w *WorkTime) Factor(now time.Time) float64 {
	return min(maxWorkFactor, max(minWorkFactor, w.at(now)))
}

// at returns the average, which fades to 1 with its age.
func (w *WorkTime) at(now time.Time) float64 {
	return 1 + (w.mean-1)*freshness(w.reportedAt, now)
}

// Load is the load of a target: its last report and the requests that this host has sent there since.
type Load struct {
	perSlot    float64
	reportedAt time.Time
	sentSince  int
}

// Report records a report. Reports without slots are ignored.
func (l *Load) Report(running, waiting, slots int, now time.Time) {
	if slots > 0 {
		*l = Load{perSlot: float64(running+waiting) / float64(slots), reportedAt: now}
	}
}

// RecordSend records that this host sends a request to the target.
func (l *Load) RecordSend() { l.sentSince++ }

// RecordEnd records that a request of this host has ended at the target.
func (l *Load) RecordEnd() { l.sentSince = max(0, l.sentSince-1) }

// PerSlot returns the running and waiting requests per slot; 0 without a report or if it is too old.
// The own sends since the report fade with it.
func (l *Load) PerSlot(slots int, now time.Time) float64 {
	return (l.perSlot + float64(l.sentSince)/float64(max(1, slots))) * freshness(l.reportedAt, now)
}

// freshness returns the weight of a report, which falls linearly with its age from 1 to 0.
func freshness(reportedAt, now time.Time) float64 {
	age := now.Sub(reportedAt)
	if age >= reportTTL {
		return 0
	}
	return 1 - float64(max(0, age))/float64(reportTTL)
}
