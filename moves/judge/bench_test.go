package judge

import (
	"testing"
	"time"
)

// BenchmarkJudge measures one check of a host: 12 targets, 3 routes, urgent and
// other requests, 40 hosts.
func BenchmarkJudge(b *testing.B) {
	e := NewSamples()
	hosts := make([]string, 40)
	for i := range hosts {
		hosts[i] = string(rune('a' + i))
	}
	now := start
	for i := range 60_000 {
		now = start.Add(time.Duration(i) * 10 * time.Millisecond)
		k := CellKey{RouteKey{[]string{"GET /x", "GET /y", "GET /z"}[i%3], i%5 == 0}, i%12 < 4 && i > 10_000, uint8(i % 12)}
		e.Observe(hosts[i%40], now, k, Answered, 200*time.Millisecond, 15*time.Millisecond)
	}
	b.ReportAllocs()
	for range b.N {
		clear(e.findings) // all three horizons; in use, the longer ones are weighed every 6 and 40 s
		Evaluate(e, now, Config{Targets: 12, Duration: 2 * time.Hour})
	}
}
