package judge

import (
	"encoding/binary"
	"errors"
	"math"
	"time"
)

// logScale is the number of integer steps per unit of the natural logarithm.
const logScale = 16

// The latencies, in seconds, whose logarithm counts as zero. They are usual
// values, which keeps the encoded sums short.
const (
	firstReference   = 0.25
	betweenReference = 0.015
)

// logLimit bounds one logarithm, so that a single outlier cannot decide.
const logLimit = 5.0

// Moments are the mergeable sums of the logarithms of latencies.
type Moments struct {
	N uint64
	// Sum is in 1/logScale, Squares in 1/logScale.
	Sum     int64
	Squares uint64
}

func (m *Moments) add(d time.Duration, reference float64) {
	if d <= 0 {
		return
	}
	x := math.Log(d.Seconds() / reference)
	x = max(-logLimit, min(logLimit, x))
	m.N++
	m.Sum += int64(math.Round(x * logScale))
	m.Squares += uint64(math.Round(x * x * logScale))
}

func (m *Moments) merge(o Moments) {
	m.N += o.N
	m.Sum += o.Sum
	m.Squares += o.Squares
}

// Mean returns the mean logarithm; 0 without observations.
func (m Moments) Mean() float64 {
	if m.N == 0 {
		return 0
	}
	return float64(m.Sum) / logScale / float64(m.N)
}

// spread returns the sum of squared deviations from the mean.
func (m Moments) spread() float64 {
	if m.N == 0 {
		return 0
	}
	mean := m.Mean()
	return max(0, float64(m.Squares)/logScale-float64(m.N)*mean*mean)
}

// Cell counts what one version did on one route at one group of targets.
// Cells merge by addition.
type Cell struct {
	Requests, Failed, Truncated uint64
	FirstToken, BetweenTokens   Moments
}

// Add counts one request. A latency of 0 means that it was not measured.
func (c *Cell) Add(r Result, firstToken, betweenTokens time.Duration) {
	c.Requests++
	switch r {
	case Failed:
		c.Failed++
		return
	case Truncated:
		c.Truncated++
	}
	c.FirstToken.add(firstToken, firstReference)
	c.BetweenTokens.add(betweenTokens, betweenReference)
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

func (c *Cell) count(m Metric) uint64 {
	if m == Failures {
		return c.Failed
	}
	return c.Truncated
}

var errShort = errors.New("evidence: short or malformed cell")

// maxCount bounds a decoded count, so that sums cannot overflow.
const maxCount = 1 << 32

// Bits below the number of requests in the encoded form. They save four bytes in
// the usual case that all requests were answered and measured.
const (
	hasBad    = 1 << iota // failed and cut counts follow
	hasCounts             // the numbers of measured latencies follow
	flagBits  = iota
)

// append encodes the cell, about 10 bytes for usual counts.
func (c Cell) append(b []byte) []byte {
	head := c.Requests << flagBits
	if c.Failed+c.Truncated > 0 {
		head |= hasBad
	}
	if answered := c.Requests - c.Failed; c.FirstToken.N != answered || c.BetweenTokens.N != answered {
		head |= hasCounts
	}
	b = binary.AppendUvarint(b, head)
	if head&hasBad != 0 {
		b = binary.AppendUvarint(b, c.Failed)
		b = binary.AppendUvarint(b, c.Truncated)
	}
	for _, m := range []Moments{c.FirstToken, c.BetweenTokens} {
		if head&hasCounts != 0 {
			b = binary.AppendUvarint(b, m.N)
		}
		if m.N > 0 {
			b = binary.AppendVarint(b, m.Sum)
			b = binary.AppendUvarint(b, m.Squares)
		}
	}
	return b
}

// reader decodes integers and keeps the first error.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) uint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 || v > maxCount {
		r.bad = true
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) int() int64 {
	v, n := binary.Varint(r.b)
	if n <= 0 || v > maxCount || v < -maxCount {
		r.bad = true
		return 0
	}
	r.b = r.b[n:]
	return v
}

// decodeCell decodes one cell and returns the remaining bytes.
func decodeCell(b []byte) (Cell, []byte, error) {
	r := reader{b: b}
	head := r.uint()
	c := Cell{Requests: head >> flagBits}
	if head&hasBad != 0 {
		c.Failed, c.Truncated = r.uint(), r.uint()
	}
	if c.Failed+c.Truncated > c.Requests {
		return Cell{}, nil, errShort
	}
	for _, m := range []*Moments{&c.FirstToken, &c.BetweenTokens} {
		m.N = c.Requests - c.Failed
		if head&hasCounts != 0 {
			m.N = r.uint()
		}
		if m.N > 0 {
			m.Sum, m.Squares = r.int(), r.uint()
		}
	}
	if r.bad {
		return Cell{}, nil, errShort
	}
	return c, r.b, nil
}
