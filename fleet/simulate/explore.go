package simulate

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sourcegraph/conc/pool"

	"sardinefront.dev/fleet/config"
	"sardinefront.dev/platform"
)

// HistoryResult is what one random history showed.
type HistoryResult struct {
	Seed            uint64
	Hosts           int
	Pushes          int // accepted
	Conflicts       int
	UnknownOutcomes int // pushes that ended with config.ErrUnsettled
	StoreRolledBack bool
	Adoptions       int // rules files put into force, all hosts together
	// Settled is the time from the end of all faults to the last adoption.
	ConvergenceTime time.Duration
	Failures        []string
}

// Totals are the sums over many histories.
type Totals struct {
	Histories, Pushes, Conflicts, UnknownOutcomes, StoreRollbacks, Adoptions int
	// SlowestSettled is the longest time from the end of all faults until every
	// host held the newest file.
	SlowestConvergence time.Duration
	Failures           []string
}

// Explore runs the histories with seeds first to first+count-1 on up to
// workers goroutines. The result does not depend on workers.
func Explore(first uint64, count, workers int) Totals {
	results := make([]HistoryResult, count)
	p := pool.New().WithMaxGoroutines(max(1, workers))
	for i := range results {
		p.Go(func() { results[i] = RunHistory(first + uint64(i)) })
	}
	p.Wait()
	var t Totals
	for _, r := range results {
		t.add(r)
	}
	return t
}

func (t *Totals) add(r HistoryResult) {
	t.Histories++
	t.Pushes += r.Pushes
	t.Conflicts += r.Conflicts
	t.UnknownOutcomes += r.UnknownOutcomes
	t.Adoptions += r.Adoptions
	t.SlowestConvergence = max(t.SlowestConvergence, r.ConvergenceTime)
	if r.StoreRolledBack {
		t.StoreRollbacks++
	}
	for _, f := range r.Failures {
		t.Failures = append(t.Failures, fmt.Sprintf("seed %d: %s", r.Seed, f))
	}
}

// String returns one line.
func (t Totals) String() string {
	return fmt.Sprintf("%d histories, %d failures, %d pushes accepted, %d conflicts, %d outcomes unknown, %d with the store set back, %d adoptions, settled at most %v after the last fault",
		t.Histories, len(t.Failures), t.Pushes, t.Conflicts, t.UnknownOutcomes, t.StoreRollbacks, t.Adoptions, t.SlowestConvergence)
}

// history runs one fleet through random faults and checks it.
type history struct {
	HistoryResult
	w         *World
	last      map[*Host]config.Version // by process
	pushed    map[string]outcome       // by comment
	snapshots [][]platform.Entry
	healed    time.Time
}

type outcome uint8

const (
	accepted outcome = iota + 1
	refused
	unknown
)

// History runs a small fleet through about a minute of random cuts, pauses,
// restarts, store faults and racing operators, then removes all faults. It
// checks that no host ever goes back, that nothing but accepted files is put
// into force, that operators are told the truth, and that all hosts end with
// the newest file.
func RunHistory(seed uint64) HistoryResult {
	w := New(seed, Layout{TickInterval: 200 * time.Millisecond, Zones: 1 + int(seed%3), HostsPerZone: 2 + int(seed/3%2)})
	w.LossRate = 0.1 * w.rnd.Float64()
	s := w.Store
	s.OutageRate = 0.5 * w.rnd.Float64()
	s.LostAnswerRate, s.LostRequestRate, s.LateRequestRate = 0.3*w.rnd.Float64(), 0.2*w.rnd.Float64(), 0.2*w.rnd.Float64()
	h := &history{w: w, last: make(map[*Host]config.Version), pushed: make(map[string]outcome)}
	h.Seed, h.Hosts = seed, len(w.Hosts)
	w.OnAdopt = h.adopted
	w.StartAll(2 * time.Second)
	for range 30 + w.rnd.IntN(30) {
		h.step()
		w.Run(time.Duration(w.rnd.Int64N(int64(2 * time.Second))))
	}
	h.end()
	return h.HistoryResult
}

func (h *history) fail(format string, args ...any) {
	if len(h.Failures) < 10 {
		h.Failures = append(h.Failures, fmt.Sprintf("at %v: ", h.w.Now.Sub(epoch))+fmt.Sprintf(format, args...))
	}
}

// adopted checks a change of what a host holds.
func (h *history) adopted(o *Host) {
	h.Adoptions++
	st := o.Version()
	if old := h.last[o]; !st.Newer(old) || st.Number < old.Number {
		h.fail("%s went back from %v to %v", o.Name, old, st)
	}
	if o.LatestRules().Version() != st {
		h.fail("%s holds another text than number %d has", o.Name, st.Number)
	}
	h.last[o] = st
	if !h.healed.IsZero() {
		h.ConvergenceTime = h.w.Now.Sub(h.healed)
	}
	for _, v := range h.w.Store.Accepted {
		if v.Hash() == st.Hash {
			return
		}
	}
	h.fail("%s put number %d into force, which was never accepted", o.Name, st.Number)
}

func (h *history) any() *Host { return h.w.Hosts[h.w.rnd.IntN(len(h.w.Hosts))] }

// step makes one random change to the world.
func (h *history) step() {
	w := h.w
	o := h.any()
	switch w.rnd.IntN(16) {
	case 0:
		h.start(o)
	case 1:
		o.Crash()
	case 2:
		if o.up {
			o.Stop()
		}
	case 3:
		o.Pause()
		w.Schedule(time.Duration(w.rnd.Int64N(int64(20*time.Second))), o.Resume)
	case 4:
		w.Partition(o, h.any(), w.rnd.IntN(2) == 0)
	case 5:
		w.PartitionZone(w.rnd.IntN(w.Zones))
	case 6:
		w.Heal()
	case 7:
		o.StoreBlocked = !o.StoreBlocked
	case 8:
		w.Store.Down = !w.Store.Down
	case 9:
		h.snapshots = append(h.snapshots, w.Store.Snapshot())
	case 10:
		h.setBack()
	default:
		h.operate()
	}
}

// start starts a host that is down, or restarts it.
func (h *history) start(o *Host) {
	delete(h.last, o)
	o.Start()
}

// setBack restores a backup of the store in one of three histories.
func (h *history) setBack() {
	if h.Seed%3 != 0 || len(h.snapshots) == 0 {
		return
	}
	h.StoreRolledBack = true
	h.w.Store.RestoreSnapshot(h.snapshots[h.w.rnd.IntN(len(h.snapshots))])
}

// operate starts an operator that reads the file, thinks, and pushes. One of
// eight restores what a host holds.
func (h *history) operate() {
	w := h.w
	comment := fmt.Sprintf("push %d", len(h.pushed))
	h.pushed[comment] = unknown
	think := time.Duration(w.rnd.Int64N(int64(3 * time.Second)))
	text := RulesText(3+w.rnd.IntN(20), len(h.pushed))
	restore := w.rnd.IntN(8) == 0
	w.RunPublisher(func(ctx context.Context, o *config.Publisher) {
		var err error
		if held := h.any(); restore && held.up {
			_, err = o.Restore(ctx, held.LatestRules(), "operator", comment)
		} else {
			base, showErr := config.Get(ctx, o.KV)
			if showErr != nil && !errors.Is(showErr, platform.ErrNotFound) {
				h.pushed[comment] = refused
				return
			}
			o.Sleep(ctx, think)
			var v config.RulesFile
			v, err = o.Push(ctx, text, "operator", comment, base.Number)
			if err == nil && v.ParentHash != base.Hash() && !h.StoreRolledBack {
				h.fail("%s replaced a file that its operator had not seen", comment)
			}
		}
		h.told(comment, err)
	})
}

// told records what an operator was told.
func (h *history) told(comment string, err error) {
	var conflict *config.ConflictError
	switch {
	case err == nil:
		h.Pushes++
		h.pushed[comment] = accepted
	case errors.Is(err, config.ErrOutcomeUnknown):
		h.UnknownOutcomes++
	default:
		if errors.As(err, &conflict) {
			h.Conflicts++
		}
		h.pushed[comment] = refused
	}
}

// end removes all faults and checks where the fleet arrives.
func (h *history) end() {
	w := h.w
	h.healed = w.Now
	w.Heal()
	w.LossRate = 0
	w.Store.Down, w.Store.OutageRate = false, 0
	w.Store.LostAnswerRate, w.Store.LostRequestRate, w.Store.LateRequestRate = 0, 0, 0
	for _, o := range w.Hosts {
		if o.paused {
			o.Resume()
		}
		if !o.up {
			h.start(o)
		}
	}
	w.Run(20 * time.Second) // operators finish
	newest, _ := w.Store.value()
	goal := newest.Version()
	for _, o := range w.Hosts {
		if o.Version().Newer(goal) {
			goal = o.Version()
		}
	}
	_, ok := w.RunUntil(time.Minute, func() bool {
		for _, o := range w.Hosts {
			if o.Version() != goal {
				return false
			}
		}
		return true
	})
	if !ok {
		h.fail("the hosts did not settle on %v", goal)
	}
	h.checkOrder(goal)
	h.checkTruth()
	h.checkHistory(newest)
}

// checkOrder requires one value for each number, and the last accepted value in
// force, unless the store was set back.
func (h *history) checkOrder(goal config.Version) {
	all := h.w.Store.Accepted
	if h.StoreRolledBack || len(all) == 0 {
		return
	}
	for i, v := range all {
		if v.Number != int64(i+1) {
			h.fail("accepted value %d has number %d", i+1, v.Number)
		}
	}
	if last := all[len(all)-1].Version(); goal != last {
		h.fail("the hosts settled on %v, accepted last was %v", goal, last)
	}
}

func (h *history) checkTruth() {
	written := make(map[string]bool)
	for _, v := range h.w.Store.Accepted {
		written[v.Comment] = true
	}
	for comment, told := range h.pushed {
		if told == accepted && !written[comment] {
			h.fail("%s was reported as accepted and was not", comment)
		}
		if told == refused && written[comment] && !h.StoreRolledBack {
			h.fail("%s was reported as refused and was accepted", comment)
		}
	}
}

// checkHistory requires every accepted value in the history.
func (h *history) checkHistory(newest config.RulesFile) {
	if h.StoreRolledBack || newest.Number == 0 {
		return
	}
	h.w.RunPublisher(func(ctx context.Context, o *config.Publisher) {
		all, err := config.ListHistory(ctx, o.KV, 1000)
		if err != nil || len(all) != int(newest.Number) {
			h.fail("the history holds %d of %d values: %v", len(all), newest.Number, err)
		}
	})
	h.w.Run(10 * time.Second)
}
