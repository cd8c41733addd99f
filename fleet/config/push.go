package config

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"sardinefront.dev/core/wait"
	"sardinefront.dev/platform"
)

// HistoryRetention is how long accepted rules files stay in the history.
const HistoryRetention = 7 * 24 * time.Hour

// maxConfirmAttempts limits how often the store is read to find out whether a write
// without a response took effect. minConfirmBackoff is the wait after the first
// attempt; it doubles with each attempt.
const (
	maxConfirmAttempts = 6
	minConfirmBackoff  = 50 * time.Millisecond
)

// ErrOutcomeUnknown means that the store did not respond to the push and could not be
// read back, so that it is unknown whether the push was accepted. The returned error also wraps
// platform.ErrOutcomeUnknown.
var ErrOutcomeUnknown = errors.New("unknown whether the store accepted the rules file")

// ConflictError means that the push was based on a rules file that is no longer
// the one in the store. Nothing was written.
type ConflictError struct {
	// Base is the number that the push was based on, Current the file that the
	// store holds now.
	Base    int64
	Current RulesFile
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Current.Number == 0 {
		return fmt.Sprintf("push based on rules file %d: the store holds no rules file", e.Base)
	}
	return fmt.Sprintf("push based on rules file %d: the store holds %d by %s: %s",
		e.Base, e.Current.Number, e.Current.Author, e.Current.Comment)
}

// Publisher writes rules files to the store on behalf of an operator. Tests replace
// Now, NewPushToken and Sleep.
type Publisher struct {
	KV platform.KV
	// Now returns the time on the operator's clock.
	Now func() time.Time
	// NewPushToken returns a random number for each push.
	NewPushToken func() uint64
	// Sleep waits for d. It reports false if the context ended first.
	Sleep func(ctx context.Context, d time.Duration) bool
}

// NewPublisher returns a Publisher that uses the system's clock and randomness.
func NewPublisher(kv platform.KV) *Publisher {
	return &Publisher{KV: kv, Now: time.Now, NewPushToken: newPushToken, Sleep: wait.Sleep}
}

// Push is NewPublisher(kv).Push.
func Push(
	ctx context.Context, kv platform.KV, text []byte, author, comment string, base int64,
) (RulesFile, error) {
	return NewPublisher(kv).Push(ctx, text, author, comment, base)
}

// Restore is NewPublisher(kv).Restore.
func Restore(
	ctx context.Context, kv platform.KV, latest RulesFile, author, comment string,
) (RulesFile, error) {
	return NewPublisher(kv).Restore(ctx, latest, author, comment)
}

// Push writes text as the successor of the rules file with number base and returns
// the accepted file. A base of 0 means that the store holds no rules file. Push does
// not check the text.
//
// The error is a *ConflictError if the store holds another file than base. It wraps
// ErrOutcomeUnknown if the outcome is unknown, and platform.ErrTooLarge if the file
// exceeds the store's limit. After any error but ErrOutcomeUnknown, the file was not
// accepted.
func (p *Publisher) Push(
	ctx context.Context, text []byte, author, comment string, base int64,
) (RulesFile, error) {
	cur, rev, err := read(ctx, p.KV)
	if err != nil {
		return RulesFile{}, fmt.Errorf("push: nothing written: %w", err)
	}
	if cur.Number != base {
		return RulesFile{}, &ConflictError{Base: base, Current: cur}
	}
	return p.write(ctx, p.successor(cur, text, author, comment), cur, rev)
}

// Restore writes the latest rules file of the hosts back to a store that was rolled back
// to an older state. The restored file gets the next number. The errors are those of
// Push; a *ConflictError means that the store's file is not older.
func (p *Publisher) Restore(
	ctx context.Context, latest RulesFile, author, comment string,
) (RulesFile, error) {
	cur, rev, err := read(ctx, p.KV)
	if err != nil {
		return RulesFile{}, fmt.Errorf("restore: nothing written: %w", err)
	}
	if cur.Number >= latest.Number {
		return RulesFile{}, &ConflictError{Base: latest.Number, Current: cur}
	}
	if err := writeHistory(ctx, p.KV, latest); err != nil {
		return RulesFile{}, fmt.Errorf("restore: nothing written: %w", err)
	}
	next := p.successor(latest, latest.Text, author, comment)
	next.OldestHistory = latest.Number
	if cur.Number > 0 {
		next.OldestHistory = max(cur.OldestHistory, 1)
	}
	return p.write(ctx, next, cur, rev)
}

// successor returns a new rules file that follows prev.
func (p *Publisher) successor(prev RulesFile, text []byte, author, comment string) RulesFile {
	return RulesFile{
		Number: prev.Number + 1, Author: author, Comment: comment, PushedUnixMs: p.Now().UnixMilli(),
		PushToken: p.NewPushToken(), ParentHash: prev.Hash(), OldestHistory: max(prev.OldestHistory, 1), Text: text,
	}
}

func newPushToken() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}

// read returns the rules file in the store and its revision. Both are zero if there
// is none.
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

// write replaces cur, at revision rev, by next. It first records cur in the history,
// so that the history has every number below the current one even if the process
// that pushed cur ended right after its write.
func (p *Publisher) write(ctx context.Context, next, cur RulesFile, rev int64) (RulesFile, error) {
	if err := writeHistory(ctx, p.KV, cur); err != nil {
		return RulesFile{}, fmt.Errorf("push: nothing written: %w", err)
	}
	next.OldestHistory = trimHistory(ctx, p.KV, next)
	b, err := next.Encode()
	if err != nil {
		return RulesFile{}, err
	}
	_, err = p.KV.CompareAndSwap(ctx, RulesKey, b, rev, platform.NoLease)
	switch {
	case err == nil:
	case errors.Is(err, platform.ErrConflict):
		err = newConflictError(ctx, p.KV, next)
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrTooLarge):
		err = fmt.Errorf("push: nothing written: %w", err)
	default:
		err = p.confirmWrite(ctx, b, next, rev)
	}
	if err != nil {
		return RulesFile{}, err
	}
	// Best effort: if this fails, the next push records the file.
	_ = writeHistory(ctx, p.KV, next)
	return next, nil
}

// confirmWrite determines the outcome of a write without a response. It repeats the
// write while the store still holds the old revision: the repeated write either
// succeeds, or conflicts because the first one has arrived meanwhile. A copy that
// arrives later can only fail.
func (p *Publisher) confirmWrite(ctx context.Context, b []byte, next RulesFile, rev int64) error {
	pause := minConfirmBackoff
	for range maxConfirmAttempts {
		err := checkOutcome(ctx, p.KV, next, rev)
		if err == nil || isConflict(err) {
			return err
		}
		if errors.Is(err, errNotYetWritten) {
			if _, err = p.KV.CompareAndSwap(ctx, RulesKey, b, rev, platform.NoLease); err == nil {
				return nil
			}
		}
		if !p.Sleep(ctx, pause) {
			break
		}
		pause *= 2
	}
	return fmt.Errorf("push of rules file %d by %s: %w (%w)",
		next.Number, next.Author, ErrOutcomeUnknown, platform.ErrOutcomeUnknown)
}

// errNotYetWritten means that the store still holds the file to be replaced.
var errNotYetWritten = errors.New("the store still holds the previous rules file")

// checkOutcome returns nil if next was accepted, a *ConflictError if another file was
// accepted instead, and errNotYetWritten if the store still holds the previous file.
// Any other error means that the outcome could not be read.
func checkOutcome(ctx context.Context, kv platform.KV, next RulesFile, rev int64) error {
	cur, curRev, err := read(ctx, kv)
	if err != nil {
		return err
	}
	hash := next.Hash()
	if cur.Hash() == hash || cur.ParentHash == hash {
		return nil
	}
	// A store that was rolled back may reuse the revision for another file, so
	// the hash is compared as well.
	if curRev == rev && cur.Hash() == next.ParentHash {
		return errNotYetWritten
	}
	// Other operators may have pushed several files after next.
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

// newConflictError returns the error for a write that the store rejected with a
// conflict.
func newConflictError(ctx context.Context, kv platform.KV, next RulesFile) error {
	cur, _, err := read(ctx, kv)
	if err != nil {
		return fmt.Errorf("push based on rules file %d: another file was accepted first, and reading it failed: %w",
			next.Number-1, err)
	}
	return &ConflictError{Base: next.Number - 1, Current: cur}
}

func isConflict(err error) bool {
	var c *ConflictError
	return errors.As(err, &c)
}
