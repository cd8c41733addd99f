package analysis

import (
	"testing"
	"time"
)

// BenchmarkEvaluate measures one evaluation on a host: 12 targets, 3 routes,
// urgent and other requests, samples of 40 hosts.
func BenchmarkEvaluate(b *testing.B) {
	samples := NewSamples()
	hosts := make([]string, 40)
	for i := range hosts {
		hosts[i] = string(rune('a' + i))
	}
	now := start
	for i := range 60_000 {
		now = start.Add(time.Duration(i) * 10 * time.Millisecond)
		k := CellKey{RouteKey{[]string{"GET /x", "GET /y", "GET /z"}[i%3], i%5 == 0}, i%12 < 4 && i > 10_000, uint8(i % 12)}
		samples.Observe(hosts[i%40], now, k, Answered, 200*time.Millisecond, 15*time.Millisecond)
	}
	b.ReportAllocs()
	for range b.N {
		clear(samples.results) // evaluate all three lookbacks; in use, the longer ones are due every 6 and 40 s
		Evaluate(samples, now, Config{Targets: 12, Duration: 2 * time.Hour})
	}
}
