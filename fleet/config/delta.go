package config

import (
	"bytes"
	"errors"

	"github.com/cespare/xxhash/v2"
)

// op copies Count lines of the old text from line From, then inserts Text.
type deltaOp struct {
	_     struct{} `cbor:",toarray"`
	From  int
	Count int
	Text  []byte
}

// errDelta means that a delta does not fit the text it is applied to.
var errDeltaMismatch = errors.New("delta does not fit the text")

// splitLines cuts after each line feed, so that joining restores the text.
func splitLines(text []byte) [][]byte {
	return bytes.SplitAfter(text, []byte{'\n'})
}

// diff returns the operations that turn old into next. It matches each line of
// next with the following line of the running copy or else with the last equal
// line of old, in linear time.
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
		// An inserted line does not end the copy: the line that follows the
		// copied ones is preferred to another equal one.
		if end < len(from) && bytes.Equal(from[end], l) {
			at = end
		}
		ops = append(ops, cur)
		cur = deltaOp{From: at, Count: 1}
	}
	return append(ops, cur)
}

// patch applies the operations to old. The result is at most limit bytes.
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
