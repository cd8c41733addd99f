package simulate

import (
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/moves"
	"sardinefront.dev/moves/control"
)

// haltPropagationLimit is the time after a host detected a fault from which no
// reachable host may dispatch requests to the version.
const haltPropagationLimit = 2 * time.Second

// rejoinPropagationLimit is the same limit for a host that was partitioned, after
// the end of its partition.
const rejoinPropagationLimit = 15 * time.Second

// Result holds the outcome of one run.
type Result struct {
	Phase                   control.Phase
	EndedAfter              time.Duration // from the start of the move
	DetectionDelay          time.Duration // from the onset of the fault until detected
	DetectionStep           int           // step of the move when detected
	ReportedLate            bool
	Reason                  string
	Requests                int // requests served from the start until the end of the move
	ToNewVersion            int // requests to the new version
	ToFaultyVersion         int // requests to the new version while it was faulty
	Unserved                int // requests without a target
	DispatchesAfterHalt     int // dispatches to the new version after haltPropagationLimit
	DispatchesAfterRollback int // dispatches to the new version after it was rolled back
	ShareViolations         int // states with a share above the limit before sufficient evidence
	EarlyUrgentRequests     int // urgent requests to the new version before the 25% step
	StaleCommands           int // commands with a smaller fencing token after a larger one
	Errors                  int
	// StepsDuringOutage counts steps taken while the store was down.
	StepsDuringOutage int
	MaxDigestBytes    int // of the largest digest
	StepEnteredAfter  [8]time.Duration
	Reports           []control.Report

	startedAt, haltedAt time.Time
	ended, stepsStarted bool
	step                int
}

func (r *Result) recordReport(f *fleet, report control.Report) {
	r.Reports = append(r.Reports, report)
	switch report.Kind {
	case control.ReportStarted:
		if !r.startedAt.IsZero() {
			return
		}
		r.startedAt = f.now
		if f.cfg.Fault != nil && f.cfg.Fault.OnsetStep == 0 {
			f.faultOnset = f.now.Add(f.cfg.Fault.OnsetDelay)
		}
	case control.ReportLate:
		r.ReportedLate = true
	}
}

// recordHalt records the first halt.
func (r *Result) recordHalt(f *fleet, _ *host, h moves.Halt) {
	if !r.haltedAt.IsZero() {
		return
	}
	r.haltedAt, r.Reason, r.DetectionStep = f.now, h.Reason, r.step
	if !f.faultOnset.IsZero() {
		r.DetectionDelay = f.now.Sub(f.faultOnset)
	}
}

func (r *Result) recordDigestSize(n int) { r.MaxDigestBytes = max(r.MaxDigestBytes, n) }

func (r *Result) recordRequest(f *fleet, h *host, t request.Tier, version string, served bool) {
	if r.startedAt.IsZero() || r.ended {
		return
	}
	if !served {
		r.Unserved++
		return
	}
	r.Requests++
	if version != newVersion {
		return
	}
	r.ToNewVersion++
	if !f.faultOnset.IsZero() && !f.now.Before(f.faultOnset) {
		r.ToFaultyVersion++
	}
	if t == request.Urgent && r.step < 3 {
		r.EarlyUrgentRequests++
	}
	if s := h.tracker.TrafficSplit(pool); r.Phase == control.RolledBack && s != nil && s.Halted {
		r.DispatchesAfterRollback++
	}
	if !r.haltedAt.IsZero() && !h.partitioned && f.now.After(r.haltedAt.Add(haltPropagationLimit)) && f.now.After(h.partitionEnd.Add(rejoinPropagationLimit)) {
		r.DispatchesAfterHalt++
	}
}

// observeState updates the result from the move's state on a host.
func (r *Result) observeState(f *fleet, h *host) {
	s, ok := h.tracker.State(pool)
	if !ok || !s.HasMoveID(f.cfg.move().ID()) {
		return
	}
	if s.Phase == control.Running && !r.stepsStarted {
		r.stepsStarted = true
		f.stepEntered(0)
	}
	if s.Step > r.step && s.Phase == control.Running {
		r.step = s.Step
		f.stepEntered(s.Step)
		r.StepEnteredAfter[s.Step] = f.now.Sub(r.startedAt)
		if fault := f.cfg.Fault; fault != nil && fault.OnsetStep == s.Step {
			f.faultOnset = f.now.Add(fault.OnsetDelay)
		}
	}
	if s.Phase == control.Running && s.Step < 3 && s.Shares[request.Interactive] > 0.05 {
		r.ShareViolations++
	}
	if r.Phase != s.Phase && s.Phase != control.Idle && r.Phase < s.Phase {
		r.Phase = s.Phase
		r.EndedAfter = f.now.Sub(r.startedAt)
		if s.Phase != control.Running {
			f.end = minTime(f.end, f.now.Add(2*time.Minute))
		}
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// checkEnded runs every second of virtual time. It stops the counting of requests
// 30 s after the halt of a faulty version.
func (f *fleet) checkEnded() {
	f.after(time.Second, f.checkEnded)
	if f.result.Phase != control.Idle && f.result.Phase != control.Running && f.cfg.Fault != nil {
		f.result.ended = f.now.After(f.result.haltedAt.Add(30 * time.Second))
	}
}

func (c Case) move() control.Move {
	return control.Move{Pool: pool, Model: pool, From: oldVersion, To: newVersion, By: epoch.Add(c.Deadline), AtMost: 0.05}
}

// countStaleCommands counts the commands that a target accepted from a controller
// after one from its successor.
func (f *fleet) countStaleCommands() {
	for _, t := range f.targets {
		var newest int64
		for _, c := range t.commands {
			if c.fencingToken < newest {
				f.result.StaleCommands++
			}
			newest = max(newest, c.fencingToken)
		}
	}
}
