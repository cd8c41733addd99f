package analysis

import (
	"encoding/binary"
	"errors"
	"math"
	"time"
)

// logScale is the number of integer steps per unit of the natural logarithm.
const logScale = 16

// The reference latencies that log latencies are relative to. They are typical
// values, which keeps the encoded sums short.
const (
	firstTokenReferenceSeconds    = 0.25
	betweenTokensReferenceSeconds = 0.015
)

// maxAbsLog limits each log latency, so that a single outlier cannot decide.
const maxAbsLog = 5.0

// Moments holds mergeable sums of log latencies.
type Moments struct {
	N uint64
	// Sum and Squares, the sum of the squares, are in units of 1/logScale.
	Sum     int64
	Squares uint64
}

func (m *Moments) add(d time.Duration, reference float64) {
	if d <= 0 {
		return
	}
	x := math.Log(d.Seconds() / reference)
	x = max(-maxAbsLog, min(maxAbsLog, x))
	m.N++
	m.Sum += int64(math.Round(x * logScale))
	m.Squares += uint64(math.Round(x * x * logScale))
}

func (m *Moments) merge(o Moments) {
	m.N += o.N
	m.Sum += o.Sum
	m.Squares += o.Squares
}

// Mean returns the mean log latency, or 0 without observations.
func (m Moments) Mean() float64 {
	if m.N == 0 {
		return 0
	}
	return float64(m.Sum) / logScale / float64(m.N)
}

// squaredDeviations returns the sum of squared deviations from the mean.
func (m Moments) squaredDeviations() float64 {
	if m.N == 0 {
		return 0
	}
	mean := m.Mean()
	return max(0, float64(m.Squares)/logScale-float64(m.N)*mean*mean)
}

// Cell counts the requests of one version on one route at one group of targets,
// with their outcomes and latencies. Cells merge by addition.
type Cell struct {
	Requests, Failed, Truncated uint64
	FirstToken, BetweenTokens   Moments
}

// Add counts one request. A latency of 0 means not measured.
func (c *Cell) Add(r Result, firstToken, betweenTokens time.Duration) {
	c.Requests++
	switch r {
	case Failed:
		c.Failed++
		return
	case Truncated:
		c.Truncated++
	}
	c.FirstToken.add(firstToken, firstTokenReferenceSeconds)
	c.BetweenTokens.add(betweenTokens, betweenTokensReferenceSeconds)
}

// Merge adds the counts of o.
func (c *Cell) Merge(o Cell) {
	c.Requests += o.Requests
	c.Failed += o.Failed
	c.Truncated += o.Truncated
	c.FirstToken.merge(o.FirstToken)
	c.BetweenTokens.merge(o.BetweenTokens)
}

func (c *Cell) halve() {
	c.Requests /= 2
	c.Failed /= 2
	c.Truncated /= 2
	for _, m := range []*Moments{&c.FirstToken, &c.BetweenTokens} {
		m.N /= 2
		m.Sum /= 2
		m.Squares /= 2
	}
}

func (c *Cell) moments(m Metric) Moments {
	if m == FirstToken {
		return c.FirstToken
	}
	return c.BetweenTokens
}

func (c *Cell) faultCount(m Metric) uint64 {
	if m == Failures {
		return c.Failed
	}
	return c.Truncated
}

var errMalformedCell = errors.New("malformed or truncated cell")

// maxCount limits each decoded integer, so that sums cannot overflow.
const maxCount = 1 << 32

// Flags in the low bits of an encoded cell's header; the bits above hold the
// number of requests. They save four bytes in the usual case that all requests
// were answered and measured.
const (
	hasFaults        = 1 << iota // the counts of failed and truncated requests follow
	hasLatencyCounts             // the counts of measured latencies follow
	flagBits         = iota
)

// appendTo appends the encoded cell to b: about 10 bytes for typical counts.
func (c Cell) appendTo(b []byte) []byte {
	header := c.Requests << flagBits
	if c.Failed+c.Truncated > 0 {
		header |= hasFaults
	}
	if answered := c.Requests - c.Failed; c.FirstToken.N != answered || c.BetweenTokens.N != answered {
		header |= hasLatencyCounts
	}
	b = binary.AppendUvarint(b, header)
	if header&hasFaults != 0 {
		b = binary.AppendUvarint(b, c.Failed)
		b = binary.AppendUvarint(b, c.Truncated)
	}
	for _, m := range []Moments{c.FirstToken, c.BetweenTokens} {
		if header&hasLatencyCounts != 0 {
			b = binary.AppendUvarint(b, m.N)
		}
		if m.N > 0 {
			b = binary.AppendVarint(b, m.Sum)
			b = binary.AppendUvarint(b, m.Squares)
		}
	}
	return b
}

// varintReader decodes variable-length integers. After malformed input, it sets
// malformed and returns 0.
type varintReader struct {
	rest      []byte
	malformed bool
}

func (r *varintReader) uint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 || v > maxCount {
		r.malformed = true
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *varintReader) int() int64 {
	v, n := binary.Varint(r.rest)
	if n <= 0 || v > maxCount || v < -maxCount {
		r.malformed = true
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

// decodeCell decodes the first cell in b and returns the remaining bytes.
func decodeCell(b []byte) (Cell, []byte, error) {
	r := varintReader{rest: b}
	header := r.uint()
	c := Cell{Requests: header >> flagBits}
	if header&hasFaults != 0 {
		c.Failed, c.Truncated = r.uint(), r.uint()
	}
	if c.Failed+c.Truncated > c.Requests {
		return Cell{}, nil, errMalformedCell
	}
	for _, m := range []*Moments{&c.FirstToken, &c.BetweenTokens} {
		m.N = c.Requests - c.Failed
		if header&hasLatencyCounts != 0 {
			m.N = r.uint()
		}
		if m.N > 0 {
			m.Sum, m.Squares = r.int(), r.uint()
		}
	}
	if r.malformed {
		return Cell{}, nil, errMalformedCell
	}
	return c, r.rest, nil
}
