package trial

import (
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/moves"
	"sardinefront.dev/moves/steer"
)

// haltGrace is the time after which no reachable host may dispatch to a version
// whose fault any host has established.
const haltGrace = 2 * time.Second

// rejoinGrace is the same for a host that was cut off, after it is back.
const rejoinGrace = 15 * time.Second

// Result is what one run showed.
type Result struct {
	Phase     steer.Phase
	DoneAt    time.Duration // from the start of the move
	Detected  time.Duration // from the onset of the fault until established
	AtStep    int           // step when established
	LateSaid  bool
	Reason    string
	All       int // requests from the start until the end of the move
	ToNew     int // of these, to the new version
	ToBad     int // of these, while it was faulty
	Unserved  int // requests without a target
	AfterHalt int // dispatches to the new version after haltGrace
	Resumed   int // dispatches to the new version after it was taken back
	OverShare int // states with a share above the bound before the evidence
	UrgentTo  int // urgent requests to the new version below the 25% step
	Stale     int // commands of an older fence after a newer one
	Errors    int
	// WidenedDown counts steps taken while the store was down.
	WidenedDown int
	Digest      int // largest digest in bytes
	Steps       [8]time.Duration
	Reports     []steer.Report

	start, halt    time.Time
	ended, entered bool
	step           int
}

func (r *Result) report(f *fleet, x steer.Report) {
	r.Reports = append(r.Reports, x)
	switch x.Kind {
	case steer.ReportStarted:
		if !r.start.IsZero() {
			return
		}
		r.start = f.now
		if f.c.Fault != nil && f.c.Fault.Step == 0 {
			f.onset = f.now.Add(f.c.Fault.Delay)
		}
	case steer.ReportLate:
		r.LateSaid = true
	}
}

// established notes the first host that established the fault.
func (r *Result) established(f *fleet, _ *host, h moves.Halt) {
	if !r.halt.IsZero() {
		return
	}
	r.halt, r.Reason, r.AtStep = f.now, h.Reason, r.step
	if !f.onset.IsZero() {
		r.Detected = f.now.Sub(f.onset)
	}
}

func (r *Result) digest(n int) { r.Digest = max(r.Digest, n) }

func (r *Result) count(f *fleet, h *host, t request.Tier, version string, served bool) {
	if r.start.IsZero() || r.ended {
		return
	}
	if !served {
		r.Unserved++
		return
	}
	r.All++
	if version != newVersion {
		return
	}
	r.ToNew++
	if !f.onset.IsZero() && !f.now.Before(f.onset) {
		r.ToBad++
	}
	if t == request.Urgent && r.step < 3 {
		r.UrgentTo++
	}
	if s := h.tracker.TrafficSplit(pool); r.Phase == steer.RolledBack && s != nil && s.Halted {
		r.Resumed++
	}
	if !r.halt.IsZero() && !h.cut && f.now.After(r.halt.Add(haltGrace)) && f.now.After(h.rejoined.Add(rejoinGrace)) {
		r.AfterHalt++
	}
}

// observeState follows the move's state as the hosts see it.
func (r *Result) observeState(f *fleet, h *host) {
	s, ok := h.tracker.State(pool)
	if !ok || !s.HasMoveID(f.c.move().ID()) {
		return
	}
	if s.Phase == steer.Running && !r.entered {
		r.entered = true
		f.entered(0)
	}
	if s.Step > r.step && s.Phase == steer.Running {
		r.step = s.Step
		f.entered(s.Step)
		r.Steps[s.Step] = f.now.Sub(r.start)
		if x := f.c.Fault; x != nil && x.Step == s.Step {
			f.onset = f.now.Add(x.Delay)
		}
	}
	if s.Phase == steer.Running && s.Step < 3 && s.Shares[request.Interactive] > 0.05 {
		r.OverShare++
	}
	if r.Phase != s.Phase && s.Phase != steer.Idle && r.Phase < s.Phase {
		r.Phase = s.Phase
		r.DoneAt = f.now.Sub(r.start)
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
func (f *fleet) measure() {
	f.after(time.Second, f.measure)
	if f.res.Phase != steer.Idle && f.res.Phase != steer.Running && f.c.Fault != nil {
		f.res.ended = f.now.After(f.res.halt.Add(30 * time.Second))
	}
}

func (c Case) move() steer.Move {
	return steer.Move{Pool: pool, Model: pool, From: oldVersion, To: newVersion, By: epoch.Add(c.By), AtMost: 0.05}
}

// close counts commands that an older controller got through to a target after
// a newer one.
func (f *fleet) close() {
	for _, t := range f.targets {
		var newest int64
		for _, c := range t.commands {
			if c.fence < newest {
				f.res.Stale++
			}
			newest = max(newest, c.fence)
		}
	}
}
