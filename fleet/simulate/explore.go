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

// HistoryResult is the result of one random history.
type HistoryResult struct {
	Seed            uint64
	Hosts           int
	Pushes          int // accepted pushes
	Conflicts       int
	UnknownOutcomes int // pushes that returned config.ErrOutcomeUnknown
	StoreRolledBack bool
	Adoptions       int // newer rules files received, by all hosts together
	// ConvergenceTime is the time from the end of all faults to the last adoption.
	ConvergenceTime time.Duration
	Failures        []string
}

// Totals are the sums over many histories.
type Totals struct {
	Histories, Pushes, Conflicts, UnknownOutcomes, StoreRollbacks, Adoptions int
	// SlowestConvergence is the longest time from the end of all faults until every
	// host held the newest file.
	SlowestConvergence time.Duration
	Failures           []string
}

// Explore runs the histories with seeds first to first+count-1 on up to workers
// goroutines. The result does not depend on workers.
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

// String returns the totals in one line.
func (t Totals) String() string {
	return fmt.Sprintf("%d histories, %d failures, %d pushes accepted, %d conflicts, %d outcomes unknown, %d with a store rollback, %d adoptions, converged at most %v after the last fault",
		t.Histories, len(t.Failures), t.Pushes, t.Conflicts, t.UnknownOutcomes, t.StoreRollbacks, t.Adoptions, t.SlowestConvergence)
}

// historyRun runs one fleet through random faults and checks its invariants.
type historyRun struct {
	HistoryResult
	w             *World
	lastVersion   map[*Host]config.Version // of the running process
	outcomes      map[string]outcome       // as reported to the operator, by comment
	snapshots     [][]platform.Entry
	faultsEndedAt time.Time
}

// outcome is the result of a push as reported to the operator.
type outcome uint8

const (
	accepted outcome = iota + 1
	rejected
	unknown
)

// RunHistory runs a small fleet through about a minute of random partitions, pauses,
// restarts, store faults and concurrent operators, then removes all faults. It checks
// that no host returns to an older file, that hosts adopt only accepted files, that the
// outcomes reported to operators are correct, and that all hosts converge on the newest
// file.
func RunHistory(seed uint64) HistoryResult {
	w := New(seed, Layout{TickInterval: 200 * time.Millisecond, Zones: 1 + int(seed%3), HostsPerZone: 2 + int(seed/3%2)})
	w.LossRate = 0.1 * w.rnd.Float64()
	s := w.Store
	s.OutageRate = 0.5 * w.rnd.Float64()
	s.LostResponseRate, s.LostRequestRate, s.LateRequestRate = 0.3*w.rnd.Float64(), 0.2*w.rnd.Float64(), 0.2*w.rnd.Float64()
	h := &historyRun{w: w, lastVersion: make(map[*Host]config.Version), outcomes: make(map[string]outcome)}
	h.Seed, h.Hosts = seed, len(w.Hosts)
	w.OnAdopt = h.checkAdoption
	w.StartAll(2 * time.Second)
	for range 30 + w.rnd.IntN(30) {
		h.step()
		w.Run(time.Duration(w.rnd.Int64N(int64(2 * time.Second))))
	}
	h.finish()
	return h.HistoryResult
}

// fail records a violation. Only the first ten are kept.
func (h *historyRun) fail(format string, args ...any) {
	if len(h.Failures) < 10 {
		h.Failures = append(h.Failures, fmt.Sprintf("at %v: ", h.w.Now.Sub(epoch))+fmt.Sprintf(format, args...))
	}
}

// checkAdoption checks the rules file that a host has just adopted.
func (h *historyRun) checkAdoption(host *Host) {
	h.Adoptions++
	version := host.Version()
	if old := h.lastVersion[host]; !version.Newer(old) || version.Number < old.Number {
		h.fail("%s returned from version %v to %v", host.Name, old, version)
	}
	if host.LatestRules().Version() != version {
		h.fail("%s holds a file that does not match its version %d", host.Name, version.Number)
	}
	h.lastVersion[host] = version
	if !h.faultsEndedAt.IsZero() {
		h.ConvergenceTime = h.w.Now.Sub(h.faultsEndedAt)
	}
	for _, v := range h.w.Store.Accepted {
		if v.Hash() == version.Hash {
			return
		}
	}
	h.fail("%s adopted number %d, which was never accepted", host.Name, version.Number)
}

func (h *historyRun) randomHost() *Host { return h.w.Hosts[h.w.rnd.IntN(len(h.w.Hosts))] }

// step injects one random fault, ends one, or starts an operator.
func (h *historyRun) step() {
	w := h.w
	host := h.randomHost()
	switch w.rnd.IntN(16) {
	case 0:
		h.start(host)
	case 1:
		host.Crash()
	case 2:
		if host.up {
			host.Stop()
		}
	case 3:
		host.Pause()
		w.Schedule(time.Duration(w.rnd.Int64N(int64(20*time.Second))), host.Resume)
	case 4:
		w.Partition(host, h.randomHost(), w.rnd.IntN(2) == 0)
	case 5:
		w.PartitionZone(w.rnd.IntN(w.Zones))
	case 6:
		w.Heal()
	case 7:
		host.StoreBlocked = !host.StoreBlocked
	case 8:
		w.Store.Down = !w.Store.Down
	case 9:
		h.snapshots = append(h.snapshots, w.Store.Snapshot())
	case 10:
		h.rollBackStore()
	default:
		h.startOperator()
	}
}

// start starts a stopped host or restarts a running one.
func (h *historyRun) start(host *Host) {
	delete(h.lastVersion, host)
	host.Start()
}

// rollBackStore restores a backup of the store, but only in one of three histories.
func (h *historyRun) rollBackStore() {
	if h.Seed%3 != 0 || len(h.snapshots) == 0 {
		return
	}
	h.StoreRolledBack = true
	h.w.Store.RestoreSnapshot(h.snapshots[h.w.rnd.IntN(len(h.snapshots))])
}

// startOperator starts an operator that reads the rules file, takes some time to edit
// it, and pushes. One in eight operators restores the file of a random host instead.
func (h *historyRun) startOperator() {
	w := h.w
	comment := fmt.Sprintf("push %d", len(h.outcomes))
	h.outcomes[comment] = unknown
	editTime := time.Duration(w.rnd.Int64N(int64(3 * time.Second)))
	text := RulesText(3+w.rnd.IntN(20), len(h.outcomes))
	restore := w.rnd.IntN(8) == 0
	w.RunPublisher(func(ctx context.Context, p *config.Publisher) {
		var err error
		if from := h.randomHost(); restore && from.up {
			_, err = p.Restore(ctx, from.LatestRules(), "operator", comment)
		} else {
			base, showErr := config.Get(ctx, p.KV)
			if showErr != nil && !errors.Is(showErr, platform.ErrNotFound) {
				h.outcomes[comment] = rejected
				return
			}
			p.Sleep(ctx, editTime)
			var v config.RulesFile
			v, err = p.Push(ctx, text, "operator", comment, base.Number)
			if err == nil && v.ParentHash != base.Hash() && !h.StoreRolledBack {
				h.fail("%s replaced a file that its operator had not seen", comment)
			}
		}
		h.recordOutcome(comment, err)
	})
}

// recordOutcome records the outcome reported to the operator of a push.
func (h *historyRun) recordOutcome(comment string, err error) {
	var conflict *config.ConflictError
	switch {
	case err == nil:
		h.Pushes++
		h.outcomes[comment] = accepted
	case errors.Is(err, config.ErrOutcomeUnknown):
		h.UnknownOutcomes++
	default:
		if errors.As(err, &conflict) {
			h.Conflicts++
		}
		h.outcomes[comment] = rejected
	}
}

// finish removes all faults and checks that the fleet converges.
func (h *historyRun) finish() {
	w := h.w
	h.faultsEndedAt = w.Now
	w.Heal()
	w.LossRate = 0
	w.Store.Down, w.Store.OutageRate = false, 0
	w.Store.LostResponseRate, w.Store.LostRequestRate, w.Store.LateRequestRate = 0, 0, 0
	for _, host := range w.Hosts {
		if host.paused {
			host.Resume()
		}
		if !host.up {
			h.start(host)
		}
	}
	w.Run(20 * time.Second) // until all operators have finished
	newest, _ := w.Store.rulesFile()
	want := newest.Version()
	for _, host := range w.Hosts {
		if host.Version().Newer(want) {
			want = host.Version()
		}
	}
	_, ok := w.RunUntil(time.Minute, func() bool {
		for _, host := range w.Hosts {
			if host.Version() != want {
				return false
			}
		}
		return true
	})
	if !ok {
		h.fail("the hosts did not converge on %v", want)
	}
	h.checkOrder(want)
	h.checkReportedOutcomes()
	h.checkHistory(newest)
}

// checkOrder checks that the numbers of accepted files are consecutive and that the
// hosts hold the last one, unless the store was rolled back.
func (h *historyRun) checkOrder(want config.Version) {
	all := h.w.Store.Accepted
	if h.StoreRolledBack || len(all) == 0 {
		return
	}
	for i, v := range all {
		if v.Number != int64(i+1) {
			h.fail("accepted file %d has number %d", i+1, v.Number)
		}
	}
	if last := all[len(all)-1].Version(); want != last {
		h.fail("the hosts converged on %v, the last accepted file is %v", want, last)
	}
}

// checkReportedOutcomes compares the outcomes reported to operators with the accepted
// files.
func (h *historyRun) checkReportedOutcomes() {
	written := make(map[string]bool)
	for _, v := range h.w.Store.Accepted {
		written[v.Comment] = true
	}
	for comment, reported := range h.outcomes {
		if reported == accepted && !written[comment] {
			h.fail("%s was reported as accepted and was not", comment)
		}
		if reported == rejected && written[comment] && !h.StoreRolledBack {
			h.fail("%s was reported as rejected and was accepted", comment)
		}
	}
}

// checkHistory checks that the history holds every accepted file.
func (h *historyRun) checkHistory(newest config.RulesFile) {
	if h.StoreRolledBack || newest.Number == 0 {
		return
	}
	h.w.RunPublisher(func(ctx context.Context, p *config.Publisher) {
		all, err := config.ListHistory(ctx, p.KV, 1000)
		if err != nil || len(all) != int(newest.Number) {
			h.fail("the history holds %d of %d files: %v", len(all), newest.Number, err)
		}
	})
	h.w.Run(10 * time.Second)
}
