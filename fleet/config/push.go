package config

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"sardinefront.dev/platform"
)

// KeepHistory is how long accepted rules files stay readable.
const HistoryRetention = 7 * 24 * time.Hour

// settleTries bounds how often a write without an answer is read back, and
// settleWait is the first wait between two tries, doubled each time.
const (
	settleTries = 6
	settleWait  = 50 * time.Millisecond
)

// ErrUnsettled means that the store did not answer for long enough to tell
// whether the push was accepted. The error returned wraps platform.ErrNoAnswer
// too.
var ErrOutcomeUnknown = errors.New("the store does not say whether the rules file was accepted")

// ConflictError means that the push was based on a rules file that is no longer
// the one in the store. Nothing was written.
type ConflictError struct {
	// Base is the number the push was based on, Current what the store holds
	// now: the other operator's file.
	Base    int64
	Current RulesFile
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Current.Number == 0 {
		return fmt.Sprintf("push on rules file %d: the store holds none", e.Base)
	}
	return fmt.Sprintf("push on rules file %d: the store holds %d by %s: %s",
		e.Base, e.Current.Number, e.Current.Author, e.Current.Comment)
}

// Operator writes rules files. Now, Token and Wait are replaced in tests.
type Publisher struct {
	KV platform.KV
	// Now is the operator's clock.
	Now func() time.Time
	// Token returns a random number for each push.
	NewPushToken func() uint64
	// Wait sleeps and reports whether the context is still live.
	Sleep func(ctx context.Context, d time.Duration) bool
}

// NewOperator returns an Operator with the system's clock and randomness.
func NewPublisher(kv platform.KV) *Publisher {
	return &Publisher{KV: kv, Now: time.Now, NewPushToken: token, Sleep: wait}
}

// Push is NewOperator(kv).Push.
func Push(ctx context.Context, kv platform.KV, text []byte, author, comment string, base int64) (RulesFile, error) {
	return NewPublisher(kv).Push(ctx, text, author, comment, base)
}

// Restore is NewOperator(kv).Restore.
func Restore(ctx context.Context, kv platform.KV, held RulesFile, author, comment string) (RulesFile, error) {
	return NewPublisher(kv).Restore(ctx, held, author, comment)
}

// Push writes text as the rules file that follows number base (0: the first
// one) and returns the accepted value. The text is not checked here.
//
// Errors: *ConflictError if another file is in the store; one that wraps
// platform.ErrTooLarge; one that wraps ErrUnsettled if the outcome is unknown;
// any other error means that nothing was accepted.
func (o *Publisher) Push(ctx context.Context, text []byte, author, comment string, base int64) (RulesFile, error) {
	cur, rev, err := read(ctx, o.KV)
	if err != nil {
		return RulesFile{}, fmt.Errorf("push: nothing written: %w", err)
	}
	if cur.Number != base {
		return RulesFile{}, &ConflictError{Base: base, Current: cur}
	}
	return o.write(ctx, o.draft(cur, text, author, comment), cur, rev)
}

// Restore writes the rules file that the hosts hold again, as the successor of
// its own number, after the store was set back to an older state. It fails
// with a *ConflictError if the store is not behind the hosts. Errors are those
// of Push.
func (o *Publisher) Restore(ctx context.Context, held RulesFile, author, comment string) (RulesFile, error) {
	cur, rev, err := read(ctx, o.KV)
	if err != nil {
		return RulesFile{}, fmt.Errorf("restore: nothing written: %w", err)
	}
	if cur.Number >= held.Number {
		return RulesFile{}, &ConflictError{Base: held.Number, Current: cur}
	}
	if err := record(ctx, o.KV, held); err != nil {
		return RulesFile{}, fmt.Errorf("restore: nothing written: %w", err)
	}
	next := o.draft(held, held.Text, author, comment)
	next.OldestHistory = held.Number
	if cur.Number > 0 {
		next.OldestHistory = max(cur.OldestHistory, 1)
	}
	return o.write(ctx, next, cur, rev)
}

// draft returns the successor of prev.
func (o *Publisher) draft(prev RulesFile, text []byte, author, comment string) RulesFile {
	return RulesFile{
		Number: prev.Number + 1, Author: author, Comment: comment, PushedUnixMs: o.Now().UnixMilli(),
		PushToken: o.NewPushToken(), ParentHash: prev.Hash(), OldestHistory: max(prev.OldestHistory, 1), Text: text,
	}
}

func token() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}

// read returns the value in the store, zero if there is none, with its
// revision.
func read(ctx context.Context, kv platform.KV) (RulesFile, int64, error) {
	e, err := kv.Get(ctx, RulesKey)
	if errors.Is(err, platform.ErrNotFound) {
		return RulesFile{}, 0, nil
	}
	if err != nil {
		return RulesFile{}, 0, err
	}
	v, err := DecodeRulesFile(e.Value)
	return v, e.Revision, err
}

// write replaces cur, at revision rev, by next. The value replaced is recorded
// in the history first, so that every number below the one in force is there
// even if its operator's process ended right after the write.
func (o *Publisher) write(ctx context.Context, next, cur RulesFile, rev int64) (RulesFile, error) {
	if err := record(ctx, o.KV, cur); err != nil {
		return RulesFile{}, fmt.Errorf("push: nothing written: %w", err)
	}
	next.OldestHistory = trim(ctx, o.KV, next)
	b, err := next.Encode()
	if err != nil {
		return RulesFile{}, err
	}
	_, err = o.KV.CompareAndSwap(ctx, RulesKey, b, rev, platform.NoLease)
	switch {
	case err == nil:
	case errors.Is(err, platform.ErrConflict):
		err = lost(ctx, o.KV, next)
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrTooLarge):
		err = fmt.Errorf("push: nothing written: %w", err)
	default:
		err = o.settle(ctx, b, next, rev)
	}
	if err != nil {
		return RulesFile{}, err
	}
	// Best effort: the next push records the value otherwise.
	_ = record(ctx, o.KV, next)
	return next, nil
}

// settle finds out what became of a write without an answer. While the store
// still holds the old revision the same write is repeated: either it lands, or
// it conflicts because the first one did after all. A copy that is still under
// way can then only fail.
func (o *Publisher) settle(ctx context.Context, b []byte, next RulesFile, rev int64) error {
	pause := settleWait
	for range settleTries {
		err := verdict(ctx, o.KV, next, rev)
		if err == nil || isConflict(err) {
			return err
		}
		if errors.Is(err, errOldRevision) {
			if _, err = o.KV.CompareAndSwap(ctx, RulesKey, b, rev, platform.NoLease); err == nil {
				return nil
			}
		}
		if !o.Sleep(ctx, pause) {
			break
		}
		pause *= 2
	}
	return fmt.Errorf("push of rules file %d by %s: %w (%w)", next.Number, next.Author, ErrOutcomeUnknown, platform.ErrOutcomeUnknown)
}

// errOldRevision means that the store still holds the value to be replaced.
var errOldRevision = errors.New("the old revision is still in the store")

// verdict returns nil if next was accepted, a *ConflictError if another value
// was, errOldRevision if none was yet, and any other error if the store does
// not say.
func verdict(ctx context.Context, kv platform.KV, next RulesFile, rev int64) error {
	cur, curRev, err := read(ctx, kv)
	if err != nil {
		return err
	}
	hash := next.Hash()
	if cur.Hash() == hash || cur.ParentHash == hash {
		return nil
	}
	// A store that was set back may use the revision for another value.
	if curRev == rev && cur.Hash() == next.ParentHash {
		return errOldRevision
	}
	// Others may have pushed several files on top of this one.
	if cur.Number > next.Number {
		old, err := GetHistory(ctx, kv, next.Number)
		if err == nil && old.Hash() == hash {
			return nil
		}
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return err
		}
	}
	return &ConflictError{Base: next.Number - 1, Current: cur}
}

// lost turns a conflict answered by the store into the error for the operator.
func lost(ctx context.Context, kv platform.KV, next RulesFile) error {
	cur, _, err := read(ctx, kv)
	if err != nil {
		return fmt.Errorf("push on rules file %d: another file was accepted first, and reading it failed: %w", next.Number-1, err)
	}
	return &ConflictError{Base: next.Number - 1, Current: cur}
}

func isConflict(err error) bool {
	var c *ConflictError
	return errors.As(err, &c)
}

func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
