package simulate

import (
	"testing"
	"time"
)

func TestTraffic(t *testing.T) {
	const seed = 7
	for _, l := range Layouts() {
		start := time.Now()
		r := Measure(seed, l, time.Minute, 2*time.Minute)
		t.Logf("seed %d, %v", seed, r)
		t.Log(time.Since(start))
	}
}
