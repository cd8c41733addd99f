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
	"sardinefront.dev/moves"
	"sardinefront.dev/moves/judge"
	"sardinefront.dev/moves/steer"
	"sardinefront.dev/platform"
	"sardinefront.dev/standin/engine"
)

const (
	// moveFor is the time that the demo's move has. Its first steps last
	// minutes, so the demo enters it at the step in which the new version
	// first has a share.
	moveFor  = 40 * time.Minute
	moveStep = 2
	// haltBound is how long after a fault is established anywhere requests may
	// still reach the bad version.
	haltBound = 2 * time.Second
	// moveWatch is how often the hosts and the engine are looked at.
	moveWatch = 50 * time.Millisecond
)

// badMove is a move to a version that fails, as far as it is seen from outside.
type badMove struct {
	// engines started with the bad version.
	engines []*engine.Server
	hosts   *hostSet
	to      string

	mu        sync.Mutex
	haltedAt  time.Time
	halt      string
	takenBack bool
	last      map[*engine.Server]int
	sent      int
	late      int
}

// onNewVersion is the number of engines that serve the new version when the demo
// begins: as many as a verdict needs.
func (d *deployment) onNewVersion() int { return judge.Config{Targets: d.engines}.MinNewTargets() }

// newVersion returns the version after the one in use.
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

// storeMove records that the move has reached the step in which the new
// version has its first share.
func storeMove(ctx context.Context, kv platform.KV, d *deployment, by time.Time) error {
	m := steer.Move{Pool: d.enginePool, Model: d.enginePool, From: d.version, To: d.newVersion(), By: by, AtMost: steer.DefaultAtMost}
	now := time.Now().UTC()
	s := steer.State{
		Seq: 1, Phase: steer.Running, Move: m, ID: m.ID(), Step: moveStep, Started: now, Since: now, Stretch: 1,
		Shares: [request.TierCount]float64{0, steer.DefaultAtMost, steer.DefaultAtMost},
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

// watch follows the move until ctx ends.
func (m *badMove) watch(ctx context.Context) {
	tick := time.NewTicker(moveWatch)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			m.look(now)
		}
	}
}

func (m *badMove) look(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.engines {
		m.count(e, now)
	}
	for _, h := range m.hosts.hosts {
		for _, s := range h.Moves() {
			if s.Halted != "" && m.haltedAt.IsZero() {
				m.haltedAt, m.halt = now, s.Halted
			}
			m.takenBack = m.takenBack || s.Phase == steer.RolledBack.String()
		}
	}
}

// count adds what an engine ran since the last look while it served the bad
// version.
func (m *badMove) count(e *engine.Server, now time.Time) {
	runs := len(e.RunCounts())
	more := runs - m.last[e]
	m.last[e] = runs
	if e.Version() != m.to {
		return
	}
	m.sent += more
	if !m.haltedAt.IsZero() && now.Sub(m.haltedAt) > haltBound {
		m.late += more
	}
}

// violations states what the move broke. total is the number of requests that
// ran at all engines.
func (m *badMove) violations(total int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []string
	if !m.takenBack {
		found = append(found, "I3: the bad version was not taken back")
	}
	if m.late > 0 {
		found = append(found, fmt.Sprintf("I3: %d requests reached the bad version more than %s after its fault was established", m.late, haltBound))
	}
	if share := float64(m.sent) / float64(max(1, total)); share > steer.DefaultAtMost {
		found = append(found, fmt.Sprintf("I3: the bad version received %.1f%% of the requests", 100*share))
	}
	return found
}

func (m *badMove) summary(started time.Time, total int) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.haltedAt.IsZero() {
		return "the bad version was not found"
	}
	return fmt.Sprintf("taken back %.1f s after the load began, %d of %d engine requests (%.1f%%) had gone to it: %s",
		m.haltedAt.Sub(started).Seconds(), m.sent, total, 100*float64(m.sent)/float64(max(1, total)), m.halt)
}
