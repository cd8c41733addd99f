package config

import (
	"context"
	"errors"
	"fmt"
	"strconv"

	"sardinefront.dev/platform"
)

// maxTrimPerPush limits how many expired history entries a push removes. It must
// exceed 1, because each push adds an entry and the history would never shrink.
const maxTrimPerPush = 4

func historyKey(number int64) string {
	return HistoryKeyPrefix + strconv.FormatInt(number, 10)
}

// Get returns the rules file in the store. The error wraps platform.ErrNotFound if
// there is none.
func Get(ctx context.Context, kv platform.KV) (RulesFile, error) {
	v, _, err := read(ctx, kv)
	if err != nil {
		return RulesFile{}, fmt.Errorf("read rules file: %w", err)
	}
	if v.Number == 0 {
		return RulesFile{}, fmt.Errorf("read rules file: %s: %w", RulesKey, platform.ErrNotFound)
	}
	return v, nil
}

// GetHistory returns the accepted rules file with the given number. The error wraps
// platform.ErrNotFound if the history does not hold it.
func GetHistory(ctx context.Context, kv platform.KV, number int64) (RulesFile, error) {
	e, err := kv.Get(ctx, historyKey(number))
	if err != nil {
		return RulesFile{}, fmt.Errorf("read history %d: %w", number, err)
	}
	v, err := DecodeRulesFile(e.Value)
	if err != nil {
		return RulesFile{}, fmt.Errorf("read history %d: %w", number, err)
	}
	return v, nil
}

// ListHistory returns up to limit accepted rules files, the newest first. It makes
// one read per file. If a read fails, it returns the files read before the error.
func ListHistory(ctx context.Context, kv platform.KV, limit int) ([]RulesFile, error) {
	cur, _, err := read(ctx, kv)
	if err != nil {
		return nil, fmt.Errorf("list history: %w", err)
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

// writeHistory writes the history entry of a rules file unless it exists.
func writeHistory(ctx context.Context, kv platform.KV, v RulesFile) error {
	if v.Number == 0 {
		return nil
	}
	b, err := v.Encode()
	if err != nil {
		return err
	}
	_, err = kv.CompareAndSwap(ctx, historyKey(v.Number), b, 0, platform.NoLease)
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		// The first write may have succeeded; then this one gets a conflict.
		_, err = kv.CompareAndSwap(ctx, historyKey(v.Number), b, 0, platform.NoLease)
	}
	if errors.Is(err, platform.ErrConflict) {
		return replaceForked(ctx, kv, v, b)
	}
	if err != nil {
		return fmt.Errorf("write history %d: %w", v.Number, err)
	}
	return nil
}

// replaceForked overwrites a history entry that has the same number but another
// content. Such an entry was written before the store was rolled back.
func replaceForked(ctx context.Context, kv platform.KV, v RulesFile, b []byte) error {
	e, err := kv.Get(ctx, historyKey(v.Number))
	if err != nil {
		return fmt.Errorf("write history %d: %w", v.Number, err)
	}
	old, err := DecodeRulesFile(e.Value)
	if err == nil && old.Hash() == v.Hash() {
		return nil
	}
	_, err = kv.CompareAndSwap(ctx, historyKey(v.Number), b, e.Revision, platform.NoLease)
	if err != nil {
		return fmt.Errorf("write history %d: %w", v.Number, err)
	}
	return nil
}

// trimHistory removes expired entries, starting at next.OldestHistory, and returns
// the lowest number kept. Numbers without an entry are skipped. It stops at the
// first failure; the next push continues from there.
func trimHistory(ctx context.Context, kv platform.KV, next RulesFile) int64 {
	oldest := next.OldestHistory
	for range maxTrimPerPush {
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
