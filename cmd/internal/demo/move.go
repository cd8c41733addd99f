package demo

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/core/wait"
	"sardinefront.dev/moves"
	"sardinefront.dev/moves/analysis"
	"sardinefront.dev/moves/control"
	"sardinefront.dev/platform"
	"sardinefront.dev/standin/engine"
)

const (
	// moveDuration is the time until the move's deadline. The first steps last minutes, so the
	// demo starts the move at initialMoveStep, where the new version first has a traffic share.
	moveDuration    = 40 * time.Minute
	initialMoveStep = 2
	// maxHaltDelay is how long requests may still reach the bad version after the first host
	// halted it.
	maxHaltDelay = 2 * time.Second
	// movePollInterval is how often the state of the hosts and engines is polled.
	movePollInterval = 50 * time.Millisecond
)

// moveMonitor observes a move to a failing version from outside.
type moveMonitor struct {
	// engines are those that start with the bad version.
	engines    []*engine.Server
	hosts      *hostSet
	newVersion string

	mu             sync.Mutex
	haltedAt       time.Time
	haltReason     string
	rolledBack     bool
	lastRuns       map[*engine.Server]int
	newVersionRuns int
	runsAfterHalt  int
}

// newVersionEngines returns the number of engines that serve the new version when the demo
// starts: the minimum that the comparison of the versions needs.
func (d *deployment) newVersionEngines() int {
	return analysis.Config{Targets: d.engines}.MinNewTargets()
}

// newVersion returns the version to which the deployment moves.
func (d *deployment) newVersion() string {
	n, _ := strconv.Atoi(d.version)
	return strconv.Itoa(n + 1)
}

// moveRules returns the deployment's rules with a move to the new version.
func moveRules(d *deployment, by time.Time) []byte {
	var kept [][]byte
	for line := range bytes.Lines(d.rules) {
		if !bytes.HasPrefix(line, []byte("move ")) {
			kept = append(kept, line)
		}
	}
	kept = append(kept, fmt.Appendf(nil, "move %s from version %s to version %s by %s, at most 5%%  # the demo\n",
		d.enginePool, d.version, d.newVersion(), by.Format(time.RFC3339)))
	return bytes.Join(kept, nil)
}

// storeMoveState writes the state of the move at initialMoveStep to the store.
func storeMoveState(ctx context.Context, kv platform.KV, d *deployment, by time.Time) error {
	m := control.Move{Pool: d.enginePool, Model: d.enginePool, From: d.version, To: d.newVersion(), By: by, AtMost: control.DefaultAtMost}
	now := time.Now().UTC()
	s := control.State{
		Seq: 1, Phase: control.Running, Move: m, ID: m.ID(), Step: initialMoveStep, Started: now, Since: now, Stretch: 1,
		Shares: [request.TierCount]float64{0, control.DefaultAtMost, control.DefaultAtMost},
	}
	for i := range d.engines {
		s.Roster = append(s.Roster, fmt.Sprintf("%s-%d", d.enginePool, i))
	}
	slices.Sort(s.Roster)
	b, err := moves.EncodeState(s)
	if err != nil {
		return err
	}
	_, err = kv.CompareAndSwap(ctx, "moves/"+d.enginePool+"/state", b, 0, platform.NoLease)
	return err
}

// watch polls the state of the move until ctx ends.
func (m *moveMonitor) watch(ctx context.Context) {
	wait.Every(ctx, movePollInterval, m.poll)
}

func (m *moveMonitor) poll(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.engines {
		m.countRuns(e, now)
	}
	for _, h := range m.hosts.hosts {
		for _, s := range h.Moves() {
			if s.Halted != "" && m.haltedAt.IsZero() {
				m.haltedAt, m.haltReason = now, s.Halted
			}
			m.rolledBack = m.rolledBack || s.Phase == control.RolledBack.String()
		}
	}
}

// countRuns counts the requests that an engine ran since the last poll if it serves the bad
// version.
func (m *moveMonitor) countRuns(e *engine.Server, now time.Time) {
	runs := len(e.RunCounts())
	newRuns := runs - m.lastRuns[e]
	m.lastRuns[e] = runs
	if e.Version() != m.newVersion {
		return
	}
	m.newVersionRuns += newRuns
	if !m.haltedAt.IsZero() && now.Sub(m.haltedAt) > maxHaltDelay {
		m.runsAfterHalt += newRuns
	}
}

// violations returns the violations of invariant I3: a bad version is halted and rolled back,
// and receives at most its share of the requests until then. total is the number of requests that
// ran at engines.
func (m *moveMonitor) violations(total int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []string
	if !m.rolledBack {
		found = append(found, "I3: the move to the bad version was not rolled back")
	}
	if m.runsAfterHalt > 0 {
		found = append(found, fmt.Sprintf("I3: %d requests reached the bad version more than %s after it was halted", m.runsAfterHalt, maxHaltDelay))
	}
	if share := float64(m.newVersionRuns) / float64(max(1, total)); share > control.DefaultAtMost {
		found = append(found, fmt.Sprintf("I3: the bad version received %.1f%% of the requests", 100*share))
	}
	return found
}

func (m *moveMonitor) summary(started time.Time, total int) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.haltedAt.IsZero() {
		return "the bad version was not detected"
	}
	return fmt.Sprintf("halted %.1f s after the load started; %d of %d engine requests (%.1f%%) ran on the bad version: %s",
		m.haltedAt.Sub(started).Seconds(), m.newVersionRuns, total, 100*float64(m.newVersionRuns)/float64(max(1, total)), m.haltReason)
}
