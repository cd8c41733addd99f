package drain

import (
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var (
	start = time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)
	first = Incarnation{ID: "e1", StartedUnixMs: 1000}
	later = Incarnation{ID: "e1", StartedUnixMs: 2000}
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func listEntry(i Incarnation, leaving bool, revision int64, ms int) Report {
	return Report{Incarnation: i, Source: FromList, Leaving: leaving, Revision: revision, At: at(ms)}
}

func response(i Incarnation, leaving bool, ms int) Report {
	return Report{Incarnation: i, Source: FromResponse, Leaving: leaving, At: at(ms)}
}

// observe merges reports and returns the resulting state.
func observe(reports ...Report) *State {
	s := &State{}
	for _, r := range reports {
		s.Observe(r)
	}
	return s
}

func expectClosure(t *testing.T, s *State, now time.Time, want Closure) {
	t.Helper()
	if got := s.Closure(now); got != want {
		t.Errorf("closure %s, want %s", got, want)
	}
}

// Guards against a list entry written before the target began to leave that brings it back.
func TestStaleListEntryDoesNotReopenLeavingTarget(t *testing.T) {
	s := observe(listEntry(first, false, 1, 0), response(first, true, 10), listEntry(first, false, 2, 20), listEntry(first, false, 3, 30))
	expectClosure(t, s, at(40), Leaving)
}

// Guards against a target that stays closed after the list has withdrawn its leaving.
func TestListWithdrawsLeaving(t *testing.T) {
	s := observe(response(first, true, 10), listEntry(first, true, 2, 20), listEntry(first, false, 3, 30))
	expectClosure(t, s, at(40), Open)
}

// Guards against an outdated list entry, which a slower peer may still send, that withdraws or
// repeats a leaving.
func TestListEntriesWithOlderRevisionsAreIgnored(t *testing.T) {
	expectClosure(t, observe(listEntry(first, true, 3, 10), listEntry(first, false, 2, 20)), at(30), Leaving)
	expectClosure(t, observe(listEntry(first, true, 3, 10), listEntry(first, false, 4, 20), listEntry(first, true, 3, 30)), at(40), Open)
}

// Guards against a response under way when the leaving was learned that withdraws it.
func TestEarlierResponseDoesNotReopenLeavingTarget(t *testing.T) {
	expectClosure(t, observe(response(first, true, 10), response(first, false, 9), response(first, false, 10)), at(20), Leaving)
	expectClosure(t, observe(response(first, true, 10), response(first, false, 11)), at(20), Open)
}

// Guards against a new incarnation at the same address, or with the same id, that gets nothing
// because its predecessor was leaving or had asked for a back-off.
func TestNewIncarnationStartsAfresh(t *testing.T) {
	for _, successor := range []Incarnation{later, {ID: "e2", StartedUnixMs: 3000}} {
		s := observe(response(first, true, 10))
		s.BackOff(first, time.Minute, 0, at(10))
		s.Observe(listEntry(successor, false, 7, 20))
		expectClosure(t, s, at(20), Open)
		// Late words about the predecessor don't apply to the successor.
		s.Observe(response(first, true, 30))
		s.BackOff(first, time.Minute, 0, at(30))
		expectClosure(t, s, at(30), Open)
	}
}

// Guards against responses and peers that replace an incarnation whose start time they don't
// know: only the list tells which of the two is current.
func TestOnlyTheListReplacesIncarnationsWithoutStartTimes(t *testing.T) {
	s := observe(listEntry(Incarnation{ID: "a"}, false, 1, 0), response(Incarnation{ID: "b"}, true, 10))
	expectClosure(t, s, at(20), Open)
	s.Observe(response(Incarnation{ID: "a"}, true, 20))
	s.Observe(listEntry(Incarnation{ID: "b"}, false, 2, 30))
	expectClosure(t, s, at(40), Open)
}

// Guards against a list that doesn't know start times and, each time it is read, discards what
// a response has said, and against a successor that only responses tell apart.
func TestUnknownStartTimeIsTheSameIncarnation(t *testing.T) {
	unknown := Incarnation{ID: first.ID}
	s := observe(listEntry(unknown, false, 0, 0), response(first, true, 10), listEntry(unknown, false, 0, 20))
	expectClosure(t, s, at(30), Leaving)
	s.Observe(response(later, false, 40))
	expectClosure(t, s, at(40), Open)
	s.Observe(response(first, true, 50))
	expectClosure(t, s, at(50), Open)
}

// Guards against a back-off that ends early because a response that was under way asked for a
// shorter one, and against one that never ends.
func TestBackOffLastsUntilTheLatestEnd(t *testing.T) {
	s := &State{}
	s.BackOff(first, 5*time.Second, 0, at(0))
	s.BackOff(first, time.Second, 0, at(10))
	expectClosure(t, s, at(4999), BackedOff)
	expectClosure(t, s, at(5000), Open)
}

// Guards against hosts that return at the same time, or before the end.
func TestHostsReturnAfterTheEndAtDifferentTimes(t *testing.T) {
	ends := map[time.Time]bool{}
	for _, spread := range []float64{0, 0.25, 0.5, 0.75, 1} {
		s := &State{}
		until, extended := s.BackOff(first, 2*time.Second, spread, at(0))
		if !extended || until.Before(at(2000)) || until.After(at(2000).Add(maxReturnSpread)) {
			t.Errorf("spread %.2f: end after %s", spread, until.Sub(start))
		}
		ends[until] = true
	}
	if len(ends) != 5 {
		t.Errorf("%d different ends, want 5", len(ends))
	}
}

// Guards against a result that depends on the order in which the list, responses and peers are
// heard: of a series of reports about one incarnation, whose list entries arrive in the order
// of their revisions, the target is leaving exactly if the latest word says so.
func TestReportsMergeInAnyOrder(t *testing.T) {
	ps := properties(t)
	ps.Property("no stale word reopens the target", prop.ForAll(func(seed int64) bool {
		rnd := rand.New(rand.NewSource(seed))
		s := &State{}
		lastLeaving := time.Time{}
		for range 30 {
			r := randomReport(rnd)
			if r.Source == FromList {
				r.Leaving = false // no list entry states or withdraws the leaving
			}
			s.Observe(r)
			if r.Leaving && !r.At.Before(lastLeaving) {
				lastLeaving = r.At
			}
			if s.leaving && s.leavingAt.Before(lastLeaving) {
				return false
			}
		}
		return true
	}, gen.Int64()))
	ps.Property("responses and peers commute", prop.ForAll(func(seed int64) bool {
		rnd := rand.New(rand.NewSource(seed))
		reports := make([]Report, 12)
		for i := range reports {
			reports[i] = randomReport(rnd)
			reports[i].Source = FromResponse + Source(rnd.Intn(2))
		}
		want := latestWord(reports)
		rnd.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
		return observe(reports...).leaving == want
	}, gen.Int64()))
	ps.Property("repeated reports change nothing", prop.ForAll(func(seed int64) bool {
		rnd := rand.New(rand.NewSource(seed))
		s := &State{}
		for range 20 {
			r := randomReport(rnd)
			s.Observe(r)
			before := *s
			if s.Observe(r) || *s != before {
				return false
			}
		}
		return true
	}, gen.Int64()))
	ps.Property("entries without a leaving never reopen", prop.ForAll(func(seed int64) bool {
		rnd := rand.New(rand.NewSource(seed))
		reports := []Report{response(first, true, 50)}
		for i := range 20 {
			reports = append(reports, listEntry(first, false, int64(i), rnd.Intn(100)))
		}
		rnd.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
		return observe(reports...).leaving
	}, gen.Int64()))
	ps.TestingRun(t)
}

// Guards against a successor that inherits anything: after an entry of a later incarnation, no
// report about the earlier one has an effect.
func TestReportsAboutEarlierIncarnationsHaveNoEffect(t *testing.T) {
	ps := properties(t)
	ps.Property("equal to reports about the later one alone", prop.ForAll(func(seed int64) bool {
		rnd := rand.New(rand.NewSource(seed))
		mixed, alone := observe(response(first, true, 5)), &State{}
		for i := range 20 {
			r := randomReport(rnd)
			if i == 0 || rnd.Intn(2) == 0 {
				r.Incarnation = later
				alone.Observe(r)
			}
			mixed.Observe(r)
		}
		return *mixed == *alone
	}, gen.Int64()))
	ps.TestingRun(t)
}

func properties(t *testing.T) *gopter.Properties {
	t.Helper()
	const seed = 11
	t.Logf("seed %d", seed)
	p := gopter.DefaultTestParametersWithSeed(seed)
	p.MinSuccessfulTests = 500
	return gopter.NewProperties(p)
}

// randomReport returns a report about the first incarnation.
func randomReport(rnd *rand.Rand) Report {
	r := Report{Incarnation: first, Source: Source(rnd.Intn(3)), Leaving: rnd.Intn(2) == 0, At: at(rnd.Intn(20))}
	if r.Source == FromList {
		r.Revision = int64(rnd.Intn(8))
	}
	return r
}

// latestWord returns whether the latest of the reports states the leaving.
func latestWord(reports []Report) bool {
	var latest time.Time
	leaving := false
	for _, r := range reports {
		if r.At.After(latest) {
			latest, leaving = r.At, r.Leaving
		} else if r.At.Equal(latest) {
			leaving = leaving || r.Leaving
		}
	}
	return leaving
}
