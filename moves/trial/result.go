package trial

import (
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/moves"
	"sardinefront.dev/moves/steer"
)

// haltGrace is the time after which no reachable host may dispatch to a version
// whose fault any host has established.
const haltPropagationLimit = 2 * time.Second

// rejoinGrace is the same for a host that was cut off, after it is back.
const rejoinPropagationLimit = 15 * time.Second

// Result is what one run showed.
type Result struct {
	Phase                   steer.Phase
	EndedAfter              time.Duration // from the start of the move
	DetectionDelay          time.Duration // from the onset of the fault until established
	DetectionStep           int           // step when established
	ReportedLate            bool
	Reason                  string
	Requests                int // requests from the start until the end of the move
	ToNewVersion            int // of these, to the new version
	ToFaultyVersion         int // of these, while it was faulty
	Unserved                int // requests without a target
	DispatchesAfterHalt     int // dispatches to the new version after haltGrace
	DispatchesAfterRollback int // dispatches to the new version after it was taken back
	ShareViolations         int // states with a share above the bound before the evidence
	UrgentToUnproven        int // urgent requests to the new version below the 25% step
	StaleCommands           int // commands of an older fence after a newer one
	Errors                  int
	// WidenedDown counts steps taken while the store was down.
	StepsDuringOutage int
	MaxDigestBytes    int // largest digest in bytes
	StepEnteredAfter  [8]time.Duration
	Reports           []steer.Report

	startedAt, haltedAt time.Time
	ended, stepsStarted bool
	step                int
}

func (r *Result) recordReport(f *fleet, x steer.Report) {
	r.Reports = append(r.Reports, x)
	switch x.Kind {
	case steer.ReportStarted:
		if !r.startedAt.IsZero() {
			return
		}
		r.startedAt = f.now
		if f.c.Fault != nil && f.c.Fault.OnsetStep == 0 {
			f.faultOnset = f.now.Add(f.c.Fault.OnsetDelay)
		}
	case steer.ReportLate:
		r.ReportedLate = true
	}
}

// established notes the first host that established the fault.
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
		r.UrgentToUnproven++
	}
	if s := h.tracker.TrafficSplit(pool); r.Phase == steer.RolledBack && s != nil && s.Halted {
		r.DispatchesAfterRollback++
	}
	if !r.haltedAt.IsZero() && !h.partitioned && f.now.After(r.haltedAt.Add(haltPropagationLimit)) && f.now.After(h.partitionEnd.Add(rejoinPropagationLimit)) {
		r.DispatchesAfterHalt++
	}
}

// observeState follows the move's state as the hosts see it.
func (r *Result) observeState(f *fleet, h *host) {
	s, ok := h.tracker.State(pool)
	if !ok || !s.HasMoveID(f.c.move().ID()) {
		return
	}
	if s.Phase == steer.Running && !r.stepsStarted {
		r.stepsStarted = true
		f.stepEntered(0)
	}
	if s.Step > r.step && s.Phase == steer.Running {
		r.step = s.Step
		f.stepEntered(s.Step)
		r.StepEnteredAfter[s.Step] = f.now.Sub(r.startedAt)
		if x := f.c.Fault; x != nil && x.OnsetStep == s.Step {
			f.faultOnset = f.now.Add(x.OnsetDelay)
		}
	}
	if s.Phase == steer.Running && s.Step < 3 && s.Shares[request.Interactive] > 0.05 {
		r.ShareViolations++
	}
	if r.Phase != s.Phase && s.Phase != steer.Idle && r.Phase < s.Phase {
		r.Phase = s.Phase
		r.EndedAfter = f.now.Sub(r.startedAt)
		if s.Phase != steer.Running {
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

// measure is a hook every second of virtual time.
func (f *fleet) checkEnded() {
	f.after(time.Second, f.checkEnded)
	if f.res.Phase != steer.Idle && f.res.Phase != steer.Running && f.c.Fault != nil {
		f.res.ended = f.now.After(f.res.haltedAt.Add(30 * time.Second))
	}
}

func (c Case) move() steer.Move {
	return steer.Move{Pool: pool, Model: pool, From: oldVersion, To: newVersion, By: epoch.Add(c.Deadline), AtMost: 0.05}
}

// close counts commands that an older controller got through to a target after
// a newer one.
func (f *fleet) countStaleCommands() {
	for _, t := range f.targets {
		var newest int64
		for _, c := range t.commands {
			if c.fencingToken < newest {
				f.res.StaleCommands++
			}
			newest = max(newest, c.fencingToken)
		}
	}
}
