package directory_test

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"sardinefront.dev/gateway/directory"
	"sardinefront.dev/platform"
)

// decode decodes a value "STATE VERSION" as a target at a fixed address.
func decode(key string, value []byte, _ time.Time) (directory.Target, error) {
	state, version, ok := strings.Cut(string(value), " ")
	if !ok {
		return directory.Target{}, errors.New("unreadable")
	}
	return directory.Target{
		ID: strings.TrimPrefix(key, "t/"), Service: "s", Address: "127.0.0.1:1", Version: version, Slots: 1, Draining: state == "draining",
	}, nil
}

func put(id, value string, revision int64) platform.Entry {
	return platform.Entry{Key: "t/" + id, Value: []byte(value), Revision: revision}
}

func removed(id string, revision int64) platform.Entry {
	return platform.Entry{Key: "t/" + id, Revision: revision, Deleted: true}
}

func ids(l *directory.List) string {
	var out []string
	for _, t := range l.Targets() {
		id := t.ID
		if t.Draining {
			id += "-"
		}
		out = append(out, id)
	}
	return strings.Join(out, " ")
}

var start = time.Unix(1000, 0)

// Guards against renewals of unchanged entries that count as changes, and against a draining target
// that does not.
func TestOnlyChangesThatMatterAreReported(t *testing.T) {
	l := directory.NewList(decode)
	if n := len(l.Apply([]platform.Entry{put("a", "ready 1", 1), put("b", "ready 1", 2)}, false, start)); n != 2 {
		t.Errorf("%d changes, want 2", n)
	}
	digest := l.Digest()
	if n := len(l.Apply([]platform.Entry{put("a", "ready 1", 3)}, false, start)); n != 0 || l.Digest() != digest {
		t.Error("a renewal without a difference counts as a change")
	}
	if n := len(l.Apply([]platform.Entry{put("a", "draining 1", 4)}, false, start)); n != 1 || l.Digest() == digest || ids(l) != "a- b" {
		t.Errorf("%d changes, targets %q", n, ids(l))
	}
}

// Guards against a target that has become cold again, without a restart, or that is still cold for
// longer than its last entry said, and counts as warm.
func TestColdAgainIsAChange(t *testing.T) {
	left := map[string]time.Duration{"warm": 0, "cold": time.Second, "again": 3 * time.Second}
	l := directory.NewList(func(key string, value []byte, now time.Time) (directory.Target, error) {
		d := left[string(value)]
		return directory.Target{ID: key, WarmUpUntil: now.Add(d), Cold: d > 0}, nil
	})
	for i, step := range []struct {
		value   string
		changes int
		after   time.Duration
	}{{"warm", 1, 0}, {"warm", 0, 0}, {"cold", 1, time.Second}, {"cold", 0, time.Second}, {"again", 1, 3 * time.Second}, {"warm", 1, 0}} {
		got := len(l.Apply([]platform.Entry{put("a", step.value, int64(i+1))}, false, start))
		if until := l.Targets()[0].WarmUpUntil; got != step.changes || !until.Equal(start.Add(step.after)) {
			t.Errorf("step %d: %d changes, want %d; cold for %s, want %s", i, got, step.changes, until.Sub(start), step.after)
		}
	}
}

// Load pattern: many targets start at once. Guards against hosts that differ in what they know of
// warm-ups only and fetch each other's lists because of it.
func TestWarmUpIsNoDifferenceOfLists(t *testing.T) {
	newList := func(left time.Duration) *directory.List {
		l := directory.NewList(func(key string, _ []byte, now time.Time) (directory.Target, error) {
			return directory.Target{ID: key, WarmUpUntil: now.Add(left), Cold: left > 0}, nil
		})
		l.Apply([]platform.Entry{put("a", "", 1)}, false, start)
		return l
	}
	if newList(time.Second).Digest() != newList(0).Digest() {
		t.Error("the digests of a cold and a warm target differ")
	}
}

// Guards against a late change or removal that overrides a newer one.
func TestOlderChangesAreIgnored(t *testing.T) {
	l := directory.NewList(decode)
	l.Apply([]platform.Entry{put("a", "draining 1", 5)}, false, start)
	l.Apply([]platform.Entry{put("a", "ready 1", 4)}, false, start)
	if ids(l) != "a-" {
		t.Errorf("targets %q after a late change", ids(l))
	}
	l.Apply([]platform.Entry{removed("a", 7)}, false, start)
	l.Apply([]platform.Entry{put("a", "ready 1", 6)}, false, start)
	if ids(l) != "" {
		t.Errorf("targets %q: a late change restored a removed target", ids(l))
	}
}

// Guards against live targets that are removed because their entries expired during an outage of
// the store, and against dead ones that stay.
func TestUnconfirmedRemovalsAreDelayed(t *testing.T) {
	l := directory.NewList(decode)
	l.Apply([]platform.Entry{put("back", "ready 1", 1), put("gone", "ready 1", 2)}, false, start)
	l.Replace(nil, 10, true, start)
	if ids(l) != "back gone" {
		t.Fatalf("targets %q right after the outage of the store", ids(l))
	}
	l.Apply([]platform.Entry{put("back", "ready 1", 11)}, false, start.Add(time.Second))
	confirmed := l.ConfirmRemovals(start.Add(3 * time.Second))
	if want := []platform.Entry{removed("gone", 10)}; !reflect.DeepEqual(confirmed, want) || ids(l) != "back" {
		t.Errorf("removed %v, want %v; targets %q", confirmed, want, ids(l))
	}
	if l.HasDelayedRemovals() {
		t.Error("removals are still delayed")
	}
}

// Guards against a removal that is lost because a host that has delayed it passes its target on at
// the revision of the removal.
func TestDelayedRemovalReachesAHostThatGotTheTarget(t *testing.T) {
	delaying, other := directory.NewList(decode), directory.NewList(decode)
	delaying.Apply([]platform.Entry{put("a", "ready 1", 1), put("b", "ready 1", 2)}, false, start)
	delaying.Apply([]platform.Entry{removed("a", 3)}, true, start)
	other.Apply(delaying.Entries(), false, start)
	if ids(other) != "a b" || other.Digest() != delaying.Digest() {
		t.Errorf("targets %q while the removal is delayed", ids(other))
	}
	other.Apply(delaying.ConfirmRemovals(start.Add(3*time.Second)), false, start.Add(3*time.Second))
	if ids(other) != "b" {
		t.Errorf("targets %q after the removal was confirmed", ids(other))
	}
}

// Guards against a host that ignores the confirmation of a removal that it has delayed itself, since
// both have the same revision.
func TestPeerConfirmsADelayedRemoval(t *testing.T) {
	for name, confirm := range map[string]func(l *directory.List){
		"change":  func(l *directory.List) { l.Apply([]platform.Entry{removed("a", 2)}, false, start) },
		"listing": func(l *directory.List) { l.Replace(nil, 2, false, start) },
	} {
		l := directory.NewList(decode)
		l.Apply([]platform.Entry{put("a", "ready 1", 1)}, false, start)
		l.Apply([]platform.Entry{removed("a", 2)}, true, start)
		confirm(l)
		if ids(l) != "" || l.HasDelayedRemovals() {
			t.Errorf("%s: targets %q, removals delayed: %t", name, ids(l), l.HasDelayedRemovals())
		}
	}
}

// Guards against an entry that can't be decoded and removes other targets, or leaves the old target
// in use.
func TestUnreadableEntryRemovesOnlyItsTarget(t *testing.T) {
	l := directory.NewList(decode)
	l.Apply([]platform.Entry{put("a", "ready 1", 1), put("b", "ready 1", 2)}, false, start)
	l.Apply([]platform.Entry{put("a", "garbage", 3)}, false, start)
	if ids(l) != "b" {
		t.Errorf("targets %q", ids(l))
	}
}

// Guards against an entry that can't be decoded and that a host passes on to others with its
// value, which may be of any size, or leaves out, so that they keep the old target in use.
func TestUnreadableEntryIsPassedOnAsRemoval(t *testing.T) {
	l, other := directory.NewList(decode), directory.NewList(decode)
	for _, list := range []*directory.List{l, other} {
		list.Apply([]platform.Entry{put("a", "ready 1", 1), put("b", "ready 1", 2)}, false, start)
	}
	garbage := strings.Repeat("x", 1<<20)
	changes := l.Apply([]platform.Entry{put("a", garbage, 3), put("c", garbage, 4)}, false, start)
	if want := []platform.Entry{removed("a", 3)}; !reflect.DeepEqual(changes, want) {
		t.Errorf("changes %.200v, want %v", changes, want)
	}
	other.Apply(l.Entries(), false, start)
	if ids(other) != "b" || other.Digest() != l.Digest() {
		t.Errorf("targets %q at a host that gets all entries", ids(other))
	}
	l.Apply([]platform.Entry{put("a", "ready 1", 5)}, false, start)
	if ids(l) != "a b" {
		t.Errorf("targets %q after the entry was repaired", ids(l))
	}
}

// Guards against a log line for each renewal of an entry that stays unreadable.
func TestUnreadableEntryIsReportedOnce(t *testing.T) {
	l := directory.NewList(decode)
	var reported []string
	l.OnUnreadable(func(key string, _ int64, _ error) { reported = append(reported, key) })
	for i := range int64(100) {
		l.Apply([]platform.Entry{put("a", "garbage", 1+i)}, false, start)
		l.Replace([]platform.Entry{put("a", "garbage", 1+i)}, 1+i, false, start)
	}
	if len(reported) != 1 {
		t.Errorf("reported %v", reported)
	}
	l.Apply([]platform.Entry{put("a", "ready 1", 200), put("a", "garbage", 201)}, false, start)
	if len(reported) != 2 {
		t.Errorf("reported %v after the entry was readable in between", reported)
	}
}

// Guards against equal lists with different digests and different lists with equal digests.
func TestDigestDoesNotDependOnOrder(t *testing.T) {
	a, b := directory.NewList(decode), directory.NewList(decode)
	a.Apply([]platform.Entry{put("x", "ready 1", 1), put("y", "ready 2", 2)}, false, start)
	b.Apply([]platform.Entry{put("y", "ready 2", 2)}, false, start)
	if a.Digest() == b.Digest() {
		t.Error("different lists have equal digests")
	}
	b.Apply([]platform.Entry{put("x", "ready 1", 9)}, false, start)
	if a.Digest() != b.Digest() {
		t.Error("equal lists have different digests")
	}
}
