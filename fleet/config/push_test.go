package config

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"sardinefront.dev/platform"
	"sardinefront.dev/platform/memkv"
)

// newTestPublisher returns a publisher for an empty store, with now as its clock.
func newTestPublisher(now *time.Time) *Publisher {
	token := uint64(0)
	return &Publisher{
		KV: memkv.New(func() time.Time { return *now }), Now: func() time.Time { return *now },
		NewPushToken: func() uint64 { token++; return token },
		Sleep:        func(context.Context, time.Duration) bool { return true },
	}
}

// Guards against overwriting another operator's file: a push with an outdated base
// writes nothing and returns the current file.
func TestPushConflictReturnsTheCurrentFile(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	o := newTestPublisher(&now)
	if _, err := o.Push(t.Context(), []byte("one"), "Kari", "first", 0); err != nil {
		t.Fatal(err)
	}
	if _, err := o.Push(t.Context(), []byte("two"), "Kari", "second", 1); err != nil {
		t.Fatal(err)
	}
	_, err := o.Push(t.Context(), []byte("three"), "Ola", "third", 1)
	var c *ConflictError
	if !errors.As(err, &c) || c.Base != 1 || string(c.Current.Text) != "two" || c.Current.Author != "Kari" {
		t.Errorf("conflict: %v", err)
	}
	if v, err := Get(t.Context(), o.KV); err != nil || v.Number != 2 || string(v.Text) != "two" {
		t.Errorf("in the store: %+v, %v", v, err)
	}
}

// Guards the limit on the size of a rules file: a push that exceeds it writes
// nothing, not even a history entry.
func TestPushTooLarge(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	o := newTestPublisher(&now)
	_, err := o.Push(t.Context(), make([]byte, platform.MaxValueBytes), "Kari", "large", 0)
	if !errors.Is(err, platform.ErrTooLarge) {
		t.Errorf("got %v", err)
	}
	if all, _ := o.KV.List(t.Context(), ""); len(all) != 0 {
		t.Errorf("%d entries in the store", len(all))
	}
}

// Guards against a history that grows without limit or loses entries of the last
// seven days.
func TestHistoryKeepsSevenDays(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	o := newTestPublisher(&now)
	const days, perDay = 12, 4
	for i := range days * perDay {
		if _, err := o.Push(t.Context(), []byte(fmt.Sprint(i)), "Kari", "change", int64(i)); err != nil {
			t.Fatal(err)
		}
		now = now.Add(24 * time.Hour / perDay)
	}
	all, err := ListHistory(t.Context(), o.KV, 1000)
	if err != nil {
		t.Fatal(err)
	}
	entries, _ := o.KV.List(t.Context(), HistoryKeyPrefix)
	if len(all) != len(entries) || len(all) < 7*perDay || len(all) > 7*perDay+2 {
		t.Errorf("history of %d, %d entries in the store", len(all), len(entries))
	}
	if all[0].Number != days*perDay || all[1].Number != days*perDay-1 {
		t.Errorf("newest first: %d, %d", all[0].Number, all[1].Number)
	}
	if _, err := GetHistory(t.Context(), o.KV, 1); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("first entry: %v", err)
	}
}

// Guards against watchers that are replaced although another member left, and
// against a zone without a watcher when a host has no record of another member.
func TestWatchers(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g"}
	first := Watchers("zone-1", names)
	if len(first) != 2 || first[0] == first[1] {
		t.Fatalf("watchers %v", first)
	}
	for i := range names {
		rest := append(append([]string{}, names[:i]...), names[i+1:]...)
		for _, w := range first {
			if w != names[i] && !strings.Contains(strings.Join(Watchers("zone-1", rest), " "), w) {
				t.Errorf("without %s, %s no longer watches", names[i], w)
			}
		}
	}
	if w := Watchers("zone-1", names[:1]); len(w) != 1 || w[0] != "a" {
		t.Errorf("alone: %v", w)
	}
}
