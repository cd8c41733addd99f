package config

import (
	"context"
	"errors"
	"fmt"
	"strconv"

	"sardinefront.dev/platform"
)

// trimPerPush is how many expired history entries a push removes. More than
// one, or the history would never shrink.
const trimPerPush = 4

func historyKey(number int64) string {
	return HistoryKeyPrefix + strconv.FormatInt(number, 10)
}

// Show returns the rules file in the store. The error wraps
// platform.ErrNotFound if there is none.
func Get(ctx context.Context, kv platform.KV) (RulesFile, error) {
	v, _, err := read(ctx, kv)
	if err != nil {
		return RulesFile{}, fmt.Errorf("show: %w", err)
	}
	if v.Number == 0 {
		return RulesFile{}, fmt.Errorf("show: %s: %w", RulesKey, platform.ErrNotFound)
	}
	return v, nil
}

// Past returns the accepted rules file of that number. The error wraps
// platform.ErrNotFound if it is not or no longer in the history.
func GetHistory(ctx context.Context, kv platform.KV, number int64) (RulesFile, error) {
	e, err := kv.Get(ctx, historyKey(number))
	if err != nil {
		return RulesFile{}, fmt.Errorf("history %d: %w", number, err)
	}
	v, err := DecodeRulesFile(e.Value)
	if err != nil {
		return RulesFile{}, fmt.Errorf("history %d: %w", number, err)
	}
	return v, nil
}

// History returns up to limit accepted rules files, the newest first. It makes
// one read for each.
func ListHistory(ctx context.Context, kv platform.KV, limit int) ([]RulesFile, error) {
	cur, _, err := read(ctx, kv)
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	if cur.Number == 0 || limit <= 0 {
		return nil, nil
	}
	found := []RulesFile{cur}
	for n := cur.Number - 1; n >= cur.OldestHistory && len(found) < limit; n-- {
		v, err := GetHistory(ctx, kv, n)
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			return found, err
		}
		found = append(found, v)
	}
	return found, nil
}

// record writes the value's history entry unless it exists.
func record(ctx context.Context, kv platform.KV, v RulesFile) error {
	if v.Number == 0 {
		return nil
	}
	b, err := v.Encode()
	if err != nil {
		return err
	}
	_, err = kv.CompareAndSwap(ctx, historyKey(v.Number), b, 0, platform.NoLease)
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		// The entry is there, or the repeated write makes it so.
		_, err = kv.CompareAndSwap(ctx, historyKey(v.Number), b, 0, platform.NoLease)
	}
	if errors.Is(err, platform.ErrConflict) {
		return replaceForked(ctx, kv, v, b)
	}
	if err != nil {
		return fmt.Errorf("record history %d: %w", v.Number, err)
	}
	return nil
}

// replaceForked overwrites a history entry of the same number whose content
// differs. It stems from before the store was set back.
func replaceForked(ctx context.Context, kv platform.KV, v RulesFile, b []byte) error {
	e, err := kv.Get(ctx, historyKey(v.Number))
	if err != nil {
		return fmt.Errorf("record history %d: %w", v.Number, err)
	}
	old, err := DecodeRulesFile(e.Value)
	if err == nil && old.Hash() == v.Hash() {
		return nil
	}
	_, err = kv.CompareAndSwap(ctx, historyKey(v.Number), b, e.Revision, platform.NoLease)
	if err != nil {
		return fmt.Errorf("record history %d: %w", v.Number, err)
	}
	return nil
}

// trim removes expired entries from next.Oldest on and returns the lowest
// number kept. It passes over numbers without an entry. A failure ends it; the
// next push goes on from there.
func trim(ctx context.Context, kv platform.KV, next RulesFile) int64 {
	oldest := next.OldestHistory
	for range trimPerPush {
		if oldest >= next.Number-1 {
			return oldest
		}
		e, err := kv.Get(ctx, historyKey(oldest))
		if errors.Is(err, platform.ErrNotFound) {
			oldest++
			continue
		}
		if err != nil {
			return oldest
		}
		v, err := DecodeRulesFile(e.Value)
		if err == nil && next.PushedAt().Sub(v.PushedAt()) < HistoryRetention {
			return oldest
		}
		if kv.Delete(ctx, historyKey(oldest), e.Revision) != nil {
			return oldest
		}
		oldest++
	}
	return oldest
}
