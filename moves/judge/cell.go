package judge

import (
	"encoding/binary"
	"errors"
	"math"
	"time"
)

// logScale is the number of integer steps per unit of the natural logarithm.
const logScale = 32

// logReference is the latency, in seconds, whose logarithm counts as zero. It
// is a usual first-token time, which keeps the encoded sums short.
const logReference = 0.1

// logLimit bounds one logarithm, so that a single outlier cannot decide.
const logLimit = 5.0

// Moments are the mergeable sums of the logarithms of latencies.
type Moments struct {
	N uint64
	// Sum is in 1/logScale, Squares in 1/logScale.
	Sum     int64
	Squares uint64
}

func (m *Moments) add(d time.Duration) {
	if d <= 0 {
		return
	}
	x := math.Log(d.Seconds() / logReference)
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
	Requests, Failed, Cut  uint64
	FirstToken, BetweenTok Moments
}

// Add counts one request. A latency of 0 means that it was not measured.
func (c *Cell) Add(r Result, firstToken, betweenTokens time.Duration) {
	c.Requests++
	switch r {
	case Failed:
		c.Failed++
		return
	case Cut:
		c.Cut++
	}
	c.FirstToken.add(firstToken)
	c.BetweenTok.add(betweenTokens)
}

// Merge adds the counts of o.
func (c *Cell) Merge(o Cell) {
	c.Requests += o.Requests
	c.Failed += o.Failed
	c.Cut += o.Cut
	c.FirstToken.merge(o.FirstToken)
	c.BetweenTok.merge(o.BetweenTok)
}

func (c *Cell) halve() {
	c.Requests /= 2
	c.Failed /= 2
	c.Cut /= 2
	for _, m := range []*Moments{&c.FirstToken, &c.BetweenTok} {
		m.N /= 2
		m.Sum /= 2
		m.Squares /= 2
	}
}

func (c *Cell) moments(m Measure) Moments {
	if m == FirstToken {
		return c.FirstToken
	}
	return c.BetweenTok
}

func (c *Cell) count(m Measure) uint64 {
	if m == Failures {
		return c.Failed
	}
	return c.Cut
}

var errShort = errors.New("evidence: short or malformed cell")

// maxCount bounds a decoded count, so that sums cannot overflow.
const maxCount = 1 << 32

// append encodes the cell, 4 to 20 bytes for usual counts.
func (c Cell) append(b []byte) []byte {
	b = binary.AppendUvarint(b, c.Requests)
	b = binary.AppendUvarint(b, c.Failed)
	b = binary.AppendUvarint(b, c.Cut)
	for _, m := range []Moments{c.FirstToken, c.BetweenTok} {
		b = binary.AppendUvarint(b, m.N)
		if m.N > 0 {
			b = binary.AppendVarint(b, m.Sum)
			b = binary.AppendUvarint(b, m.Squares)
		}
	}
	return b
}

// decodeCell decodes one cell and returns the remaining bytes.
func decodeCell(b []byte) (Cell, []byte, error) {
	var c Cell
	ok := true
	next := func() uint64 {
		v, n := binary.Uvarint(b)
		if n <= 0 || v > maxCount {
			ok = false
			return 0
		}
		b = b[n:]
		return v
	}
	c.Requests, c.Failed, c.Cut = next(), next(), next()
	for _, m := range []*Moments{&c.FirstToken, &c.BetweenTok} {
		m.N = next()
		if !ok || m.N == 0 {
			continue
		}
		sum, n := binary.Varint(b)
		if n <= 0 || sum > maxCount || sum < -maxCount {
			return Cell{}, nil, errShort
		}
		b = b[n:]
		m.Sum, m.Squares = sum, next()
	}
	if !ok {
		return Cell{}, nil, errShort
	}
	return c, b, nil
}
