package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// BenchmarkSharingWays compares the ways of sharing targets in virtual time;
// docs/decisions/target-sharing.md quotes it. Run it with -benchtime 1x. The
// figures are means over the seeds; the first 20 s of each run are left out.
func BenchmarkSharingWays(b *testing.B) {
	type load struct{ urgent, interactive, patient float64 }
	for _, size := range []struct {
		hosts, engines, steps int
		seeds                 uint64
		loads                 []load
	}{
		{8, 12, 12000, 5, []load{{7, 7, 20}, {7, 20, 20}, {35, 20, 20}}},
		{40, 300, 5000, 1, []load{{100, 150, 150}}},
	} {
		for _, l := range size.loads {
			for way, name := range []string{"PeerDigests", "TwoChoices", "HostShares", "Probing"} {
				b.Run(fmt.Sprintf("%dx%d/%v/%s", size.hosts, size.engines, l, name), func(b *testing.B) {
					sums := map[string]float64{}
					for seed := range size.seeds {
						z := newZone(7+seed, size.hosts, size.engines, Config{Name: "p", Sharing: Sharing(way)})
						z.offered(2000, l.urgent, l.interactive, l.patient)
						z.first, z.prefill, z.paused, z.digests, z.probes = nil, 0, 0, 0, 0
						good := z.good
						z.offered(size.steps-2000, l.urgent, l.interactive, l.patient)
						seconds := float64(size.steps-2000) * simStep.Seconds()
						slices.Sort(z.first)
						sums["urgent/s"] += float64(z.good[0]-good[0]) / seconds
						sums["interactive/s"] += float64(z.good[1]-good[1]) / seconds
						sums["patient/s"] += float64(z.good[2]-good[2]) / seconds
						sums["p95-first-ms"] += float64(z.first[len(z.first)*95/100] / time.Millisecond)
						sums["prefill/s"] += float64(z.prefill) / seconds
						sums["pauses"] += float64(z.paused)
						sums["inversions"] += float64(z.inversions)
						sums["digestB/s"] += float64(z.digests) / seconds / float64(size.hosts)
						sums["probes/s"] += float64(z.probes) / seconds / float64(size.hosts)
					}
					for name, sum := range sums {
						b.ReportMetric(sum/float64(size.seeds), name)
					}
				})
			}
		}
	}
}
