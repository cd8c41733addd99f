package slopes

import (
	"runtime"
	"time"
)

// liveHeapBytes returns the bytes of live objects on the heap. The second collection
// frees objects with finalizers and in a sync.Pool, which survive the first.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// retainedBytes returns the heap bytes that the value returned by build retains.
func retainedBytes[T any](build func() T) float64 {
	before := liveHeapBytes()
	v := build()
	size := liveHeapBytes() - before
	runtime.KeepAlive(v)
	return size
}

// timePerRun calls f n times in each of three rounds. It returns the seconds per
// call in the fastest round, because other load on the machine only adds time, and
// the mean allocations per call.
func timePerRun(n int, f func(i int)) (seconds, allocations float64) {
	best := time.Duration(1<<63 - 1)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 3 {
		start := time.Now()
		for i := range n {
			f(i)
		}
		best = min(best, time.Since(start))
	}
	runtime.ReadMemStats(&after)
	return best.Seconds() / float64(n), float64(after.Mallocs-before.Mallocs) / float64(3*n)
}
