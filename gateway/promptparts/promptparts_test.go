package promptparts_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"sardinefront.dev/gateway/promptparts"
	"sardinefront.dev/sched/quarantine"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// recorder counts what a Guard does.
type recorder struct {
	toAll   int
	changes []string
}

func (r *recorder) SendHeartbeat()                { /* only quarantines are counted */ }
func (r *recorder) SendHeartbeatToAll()           { r.toAll++ }
func (r *recorder) Hosts() (string, []string)     { return "h", []string{"h"} }
func (r *recorder) CountPromptPart(change string) { r.changes = append(r.changes, change) }

func newGuard() (*promptparts.Guard, *recorder, *bytes.Buffer) {
	var log bytes.Buffer
	r := &recorder{}
	g := promptparts.New(r, r, slog.New(slog.NewJSONHandler(&log, nil)))
	g.RecordSuccess("s", nil, start)
	return g, r, &log
}

var ids = []string{"bad"}

// Guards against hosts that learn of a quarantine only from their own crashes: three hosts see
// one crash each, and all of them refuse the part.
func TestEvidenceOfAllHostsQuarantines(t *testing.T) {
	var guards []*promptparts.Guard
	var recorders []*recorder
	for range 4 {
		g, r, _ := newGuard()
		guards, recorders = append(guards, g), append(recorders, r)
	}
	for i := range 3 {
		ms := 100 * (i + 1)
		guards[i].RecordCrash("s", ids, "target-"+string(rune('a'+i)), at(ms-80), at(ms))
		for _, to := range guards {
			to.Merge(guards[i].Reports(at(ms+1)), at(ms+2))
		}
	}
	for i, g := range guards {
		if id, verdict := g.Check("s", ids, at(400)); verdict != quarantine.Blocked || id != "bad" {
			t.Errorf("host %d: verdict %d by %q", i, verdict, id)
		}
		if _, verdict := g.Check("other", ids, at(400)); verdict != quarantine.Allowed {
			t.Errorf("host %d blocks the part at another service", i)
		}
	}
	if recorders[2].toAll == 0 || recorders[3].toAll != 0 {
		t.Errorf("heartbeats to all: %d of the host that found it, %d of one that heard of it", recorders[2].toAll, recorders[3].toAll)
	}
}

// Guards against a quarantine that leaves no line in the log and no count.
func TestChangesAreLoggedAndCounted(t *testing.T) {
	g, r, log := newGuard()
	for i := range 3 {
		g.RecordCrash("s", ids, "target-"+string(rune('a'+i)), at(100*i+20), at(100*i+100))
	}
	g.RecordSuccess("s", ids, at(400))
	if got := strings.Join(r.changes, " "); got != "suspected quarantined released" {
		t.Errorf("changes %q", got)
	}
	for _, s := range []string{`"event":307`, `"event":308`, `"event":309`, `"part":"bad"`, `"crashes":3`} {
		if !strings.Contains(log.String(), s) {
			t.Errorf("no %s in %s", s, log)
		}
	}
}

// Guards against a host that answers each outdated heartbeat with heartbeats to the whole fleet.
func TestCorrectionsOfPeersAreLimited(t *testing.T) {
	g, r, _ := newGuard()
	peer, _, _ := newGuard()
	for i := range 3 {
		peer.RecordCrash("s", ids, "target-"+string(rune('a'+i)), at(100*i+20), at(100*i+100))
	}
	g.RecordSuccess("s", ids, at(350))
	for i := range 10 {
		g.Merge(peer.Reports(at(400+i)), at(401+i))
	}
	if r.toAll != 1 {
		t.Errorf("%d heartbeats to all, want 1", r.toAll)
	}
}
