package config

import (
	"bytes"
	"errors"

	"github.com/cespare/xxhash/v2"
)

// deltaOp copies Count lines of the old text, starting at line From, and then
// inserts Text.
type deltaOp struct {
	_     struct{} `cbor:",toarray"`
	From  int
	Count int
	Text  []byte
}

// errDeltaMismatch means that a delta was made for another text than the one it is
// applied to, or that its result is too long.
var errDeltaMismatch = errors.New("delta does not match the base text")

// splitLines splits after each line feed. Concatenating the lines restores the text.
func splitLines(text []byte) [][]byte {
	return bytes.SplitAfter(text, []byte{'\n'})
}

// diff returns the operations that turn old into next, in linear time. A line of
// next extends the current copy if it equals the line of old that follows the copy.
// Otherwise it is matched with the last equal line of old.
func diff(old, next []byte) []deltaOp {
	from := splitLines(old)
	index := make(map[uint64]int, len(from))
	for i, l := range from {
		index[xxhash.Sum64(l)] = i
	}
	var ops []deltaOp
	cur := deltaOp{}
	for _, l := range splitLines(next) {
		end := cur.From + cur.Count
		if len(cur.Text) == 0 && end < len(from) && bytes.Equal(from[end], l) {
			cur.Count++
			continue
		}
		at, ok := index[xxhash.Sum64(l)]
		if len(l) == 0 || !ok || !bytes.Equal(from[at], l) {
			cur.Text = append(cur.Text, l...)
			continue
		}
		// After an insertion, continue with the line that follows the copied
		// ones if it is equal, in preference to a later equal line.
		if end < len(from) && bytes.Equal(from[end], l) {
			at = end
		}
		ops = append(ops, cur)
		cur = deltaOp{From: at, Count: 1}
	}
	return append(ops, cur)
}

// patch applies the operations to old. A result of more than limit bytes is an error.
func patch(old []byte, ops []deltaOp, limit int) ([]byte, error) {
	from := splitLines(old)
	var next []byte
	for _, o := range ops {
		if o.From < 0 || o.Count < 0 || o.From > len(from) || o.Count > len(from)-o.From {
			return nil, errDeltaMismatch
		}
		for _, l := range from[o.From : o.From+o.Count] {
			next = append(next, l...)
		}
		next = append(next, o.Text...)
		if len(next) > limit {
			return nil, errDeltaMismatch
		}
	}
	return next, nil
}
