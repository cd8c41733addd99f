package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// BenchmarkSharingWays compares the strategies of Sharing in virtual time.
// docs/decisions/target-sharing.md quotes its results. Run it with -benchtime 1x. The
// results are means over the seeds and exclude the first 20 s of each run.
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
			for sharing, name := range []string{"PeerDigests", "TwoChoices", "HostShares", "Probing"} {
				b.Run(fmt.Sprintf("%dx%d/%v/%s", size.hosts, size.engines, l, name), func(b *testing.B) {
					sums := map[string]float64{}
					for seed := range size.seeds {
						z := newZone(7+seed, size.hosts, size.engines, Config{Name: "p", Sharing: Sharing(sharing)})
						z.runLoad(2000, l.urgent, l.interactive, l.patient)
						z.firstTokenTimes, z.prefillTokens, z.paused, z.digests, z.probes = nil, 0, 0, 0, 0
						good := z.inTime
						z.runLoad(size.steps-2000, l.urgent, l.interactive, l.patient)
						seconds := float64(size.steps-2000) * simStep.Seconds()
						slices.Sort(z.firstTokenTimes)
						sums["urgent/s"] += float64(z.inTime[0]-good[0]) / seconds
						sums["interactive/s"] += float64(z.inTime[1]-good[1]) / seconds
						sums["patient/s"] += float64(z.inTime[2]-good[2]) / seconds
						sums["p95-first-ms"] += float64(z.firstTokenTimes[len(z.firstTokenTimes)*95/100] / time.Millisecond)
						sums["prefill/s"] += float64(z.prefillTokens) / seconds
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
