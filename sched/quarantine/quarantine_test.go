package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"sardinefront.dev/sched/quarantine"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func parts(ids ...string) []quarantine.Part {
	var out []quarantine.Part
	for _, id := range ids {
		out = append(out, quarantine.NewPart("s", id))
	}
	return out
}

// newTable returns a table of a host at which the service has just served a request.
func newTable() *quarantine.Table {
	t := quarantine.New()
	t.RecordServed("s", start)
	return t
}

func alone() (string, []string) { return "h", []string{"h"} }

func blocked(t *quarantine.Table, ms int, ids ...string) bool {
	_, verdict := t.Check(parts(ids...), alone, at(ms))
	return verdict == quarantine.Blocked
}

// crashInTurn records n crashes in a row, one each 100 ms, under requests with the ids.
func crashInTurn(t *quarantine.Table, n int, ids ...string) {
	for i := range n {
		t.RecordCrash(parts(ids...), uint32(i+1), at(100*i+20), at(100*i+100))
	}
}

// Guards against a part that goes on crashing targets.
func TestCrashesInTurnQuarantine(t *testing.T) {
	table := newTable()
	crashInTurn(table, 2, "a")
	if blocked(table, 300, "a") {
		t.Error("quarantined after two crashes")
	}
	crashInTurn(table, 3, "a")
	if !blocked(table, 300, "x", "a") || blocked(table, 300, "x") {
		t.Error("not quarantined after three crashes, or another part is")
	}
}

// Guards against a quarantine of a part that many requests share when many targets crash at once.
func TestSimultaneousCrashesDoNotQuarantine(t *testing.T) {
	table := newTable()
	for i := range 30 {
		table.RecordCrash(parts("hot"), uint32(i), at(i), at(100+i%5))
	}
	if blocked(table, 200, "hot") {
		t.Error("a part was quarantined by crashes at the same time")
	}
}

// Guards against quarantines after outages of a whole service, in which each request crashes with
// its target or waits.
func TestOutagesDoNotQuarantine(t *testing.T) {
	table := newTable()
	for outage := range 4 {
		begin := 4000 * outage
		for i := range 10 {
			table.RecordCrash(parts("a"), uint32(100*outage+i), at(begin), at(begin+100+i))
		}
	}
	table.RecordServed("s", at(20_000))
	if blocked(table, 20_001, "a") {
		t.Error("a part was quarantined by outages of all targets")
	}
}

// Guards against a quarantine of a part with which responses begin.
func TestSuccessClearsCrashes(t *testing.T) {
	table := newTable()
	crashInTurn(table, 2, "a")
	table.RecordSuccess(parts("a"), at(250))
	table.RecordCrash(parts("a"), 3, at(260), at(300))
	table.RecordCrash(parts("a"), 4, at(310), at(400))
	if blocked(table, 450, "a") {
		t.Error("quarantined by crashes before and after a success")
	}
	table.RecordCrash(parts("a"), 5, at(410), at(500))
	if !blocked(table, 550, "a") {
		t.Error("not quarantined by three crashes after a success")
	}
}

// Guards against refusals of sound requests that share a part with all requests that crash targets.
func TestSharedPartAloneIsServed(t *testing.T) {
	table := newTable()
	crashInTurn(table, 4, "shared", "bad")
	if !blocked(table, 500, "shared", "bad") || blocked(table, 500, "shared") {
		t.Error("requests with both parts are served, or those with the shared part alone are refused")
	}
	table.RecordSuccess(parts("shared"), at(510))
	if !blocked(table, 520, "bad") || blocked(table, 520, "shared", "x") {
		t.Error("after a success of the shared part, the other one must be quarantined alone")
	}
}

// Guards against refusals of a shared part that was also under an unrelated crash.
func TestUnrelatedCrashDoesNotConvictSharedPart(t *testing.T) {
	table := newTable()
	crashInTurn(table, 4, "shared", "bad")
	table.RecordCrash(parts("bad"), 50, at(420), at(500))
	table.RecordCrash(parts("shared"), 60, at(520), at(600))
	if blocked(table, 650, "shared") {
		t.Error("the shared part is blocked by one crash of its own")
	}
}

// Guards against a quarantine that never ends, and against trials by each host of a large fleet.
func TestTrialsAreRareAcrossTheFleet(t *testing.T) {
	hosts := strings.Split("a b c d e f g h i j k l m n o p q r s t", " ")
	tables := map[string]*quarantine.Table{}
	for _, h := range hosts {
		tables[h] = newTable()
		crashInTurn(tables[h], 3, "bad")
	}
	trials := 0
	for s := 1; s <= 1200; s++ { // each host gets a request each second for 20 minutes
		for i, h := range hosts {
			tables[h].RecordServed("s", at(1000*s+i))
			fleet := func() (string, []string) { return h, hosts }
			if _, verdict := tables[h].Check(parts("bad"), fleet, at(1000*s+i)); verdict == quarantine.Blocked {
				continue
			}
			trials++
			for _, other := range tables {
				other.RecordCrash(parts("bad"), uint32(1000+trials), at(1000*s+i), at(1000*s+i+1))
			}
		}
	}
	if trials < 1 || trials > 3 {
		t.Errorf("%d trials in 20 minutes, want 1 to 3", trials)
	}
}

// Guards against a part that stays refused after a trial succeeded at another host.
func TestSuccessOfTrialReleasesEverywhere(t *testing.T) {
	a, b := newTable(), newTable()
	crashInTurn(a, 3, "bad")
	b.Merge(a.Reports(at(400)), at(401))
	if !blocked(b, 402, "bad") {
		t.Fatal("the peer has not learned of the quarantine")
	}
	if blocked(a, 90_000, "bad") {
		t.Fatal("no trial after 90 s")
	}
	if !a.RecordSuccess(parts("bad"), at(90_050)) {
		t.Error("the success is not announced")
	}
	b.Merge(a.Reports(at(90_051)), at(90_052))
	if blocked(a, 90_060, "bad") || blocked(b, 90_060, "bad") {
		t.Error("still quarantined after a success")
	}
}

// Guards against evidence of a peer that outweighs this host's newer success, and against peers
// that don't learn of it.
func TestOwnSuccessContradictsPeer(t *testing.T) {
	a, b := newTable(), newTable()
	crashInTurn(a, 3, "hot")
	b.RecordSuccess(parts("hot"), at(350))
	if !b.Merge(a.Reports(at(400)), at(401)) {
		t.Error("the peer is not told of the success")
	}
	a.Merge(b.Reports(at(402)), at(403))
	if blocked(a, 410, "hot") || blocked(b, 410, "hot") {
		t.Error("quarantined in spite of a success after the crashes")
	}
}

// Guards against memory that grows with the number of parts that callers send, and against
// heartbeats that peers reject because of a caller's odd id.
func TestReportsStayBoundedAndValid(t *testing.T) {
	table := newTable()
	for i := range 5000 {
		id := strings.Repeat("\xff", i%200) + string(rune('a'+i%26)) + time.Duration(i).String()
		table.RecordCrash(parts(id, ""), uint32(i), at(i), at(i+1))
		table.RecordSuccess(parts(id), at(i))
	}
	reports := table.Reports(at(6000))
	if err := quarantine.Validate(reports); err != nil || len(reports) == 0 {
		t.Errorf("%d reports: %v", len(reports), err)
	}
}

// Guards against the headers of thousands of requests kept in memory by the ids cut from them.
func TestIDsDoNotKeepHeadersAlive(t *testing.T) {
	const headers, headerBytes, allowedBytes = 1000, 64 << 10, 8 << 20
	table := newTable()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range headers {
		header := strings.Repeat("x", headerBytes) + fmt.Sprint(i)
		id := header[headerBytes-8:]
		table.RecordCrash(parts(id), uint32(i), at(i), at(i+1))
		table.RecordSuccess(parts(id), at(i))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > allowedBytes {
		t.Errorf("%d bytes kept for %d ids", grown, headers)
	}
	runtime.KeepAlive(table)
}

// incident is a random history: crashes of distinct targets, seen by some hosts.
func incident(rnd *rand.Rand, hosts []*quarantine.Table) {
	for i := range 6 {
		sent := 100 * i
		for range 1 + rnd.IntN(2) { // several hosts may see one crash
			hosts[rnd.IntN(len(hosts))].RecordCrash(parts("bad", "shared"), uint32(i), at(sent), at(sent+90))
		}
	}
}

// Guards against a decision that depends on the order, the loss or the repetition of peers'
// reports, and against crashes that are counted twice.
func TestMergeIsIdempotentAndCommutative(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("all hosts decide alike whatever the order of reports", prop.ForAll(
		func(seed uint64, crashes int) bool {
			rnd := rand.New(rand.NewPCG(seed, 1))
			hosts := make([]*quarantine.Table, 4)
			for i := range hosts {
				hosts[i] = newTable()
			}
			for i := range crashes {
				for range 1 + rnd.IntN(3) {
					hosts[rnd.IntN(len(hosts))].RecordCrash(parts("bad"), uint32(i), at(100*i), at(100*i+90))
				}
			}
			for range 40 { // random exchange, with repetitions
				reports := hosts[rnd.IntN(4)].Reports(at(1000))
				hosts[rnd.IntN(4)].Merge(reports, at(1000+rnd.IntN(5)))
			}
			for range 3 { // then each hears each other
				for _, to := range hosts {
					for _, from := range hosts {
						to.Merge(from.Reports(at(1010)), at(1010))
					}
				}
			}
			for _, h := range hosts {
				if blocked(h, 1011, "bad") != (crashes >= 3) {
					return false
				}
			}
			return true
		}, gen.UInt64(), gen.IntRange(0, 6)))
	properties.Property("sound requests with the shared part are served", prop.ForAll(
		func(seed uint64) bool {
			rnd := rand.New(rand.NewPCG(seed, 2))
			hosts := []*quarantine.Table{newTable(), newTable(), newTable()}
			incident(rnd, hosts)
			for range 30 {
				hosts[rnd.IntN(3)].Merge(hosts[rnd.IntN(3)].Reports(at(1000)), at(1001))
				if blocked(hosts[rnd.IntN(3)], 1001, "shared", "other") {
					return false
				}
			}
			return true
		}, gen.UInt64()))
	properties.TestingRun(t)
}

// Guards against a quarantine in ordinary crashes: parts whose responses begin in between are
// never refused.
func TestOrdinaryCrashesDoNotQuarantineServedParts(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("a part that is served after every second crash is not refused", prop.ForAll(
		func(seed uint64) bool {
			rnd := rand.New(rand.NewPCG(seed, 3))
			table := newTable()
			for i := range 50 {
				table.RecordCrash(parts("a"), rnd.Uint32(), at(100*i+rnd.IntN(50)), at(100*i+60))
				if i%2 == 1 {
					table.RecordSuccess(parts("a"), at(100*i+70))
				}
				if blocked(table, 100*i+80, "a") {
					return false
				}
			}
			return true
		}, gen.UInt64()))
	properties.TestingRun(t)
}

// Guards against a heartbeat that peers reject because evidence was recorded after its time was
// taken.
func TestReportsOfLaterEvidenceAreValid(t *testing.T) {
	table := newTable()
	table.RecordCrash(parts("a"), 1, at(90), at(100))
	reports := table.Reports(at(95))
	if err := quarantine.Validate(reports); err != nil || len(reports) == 0 {
		t.Errorf("%d reports: %v", len(reports), err)
	}
}

// Guards against parts with long histories that keep the evidence on another part out of the
// reports.
func TestOldQuarantinesDoNotHideNewEvidence(t *testing.T) {
	a, b := newTable(), newTable()
	crashInTurn(a, 12, "q1", "q2", "q3")
	a.RecordServed("s", at(1900))
	for i := range 3 {
		a.RecordCrash(parts("bad"), uint32(1000+i), at(2000+100*i), at(2090+100*i))
	}
	b.Merge(a.Reports(at(3000)), at(3001))
	if !blocked(b, 3002, "q1", "q2", "q3") || !blocked(b, 3002, "bad") {
		t.Error("the peer has not learned of all quarantines")
	}
}

// Guards against a part that is never suspected because the parts of one request that was at a
// crashed target, chosen by its caller, have filled the table.
func TestFullTableStillQuarantines(t *testing.T) {
	table := newTable()
	for i := range 1500 {
		table.RecordCrash(parts(fmt.Sprint("junk", i)), uint32(10_000+i), at(0), at(10))
	}
	crashInTurn(table, 3, "bad")
	if !blocked(table, 400, "bad") {
		t.Error("not quarantined after three crashes, with a full table")
	}
}
