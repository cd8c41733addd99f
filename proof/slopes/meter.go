package slopes

import (
	"runtime"
	"time"
)

// heap returns the live bytes of the heap.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// held returns the bytes that the value made by build keeps alive.
func retainedBytes[T any](build func() T) float64 {
	before := liveHeapBytes()
	v := build()
	size := liveHeapBytes() - before
	runtime.KeepAlive(v)
	return size
}

// timed runs f n times and returns the seconds and allocations of one run. The
// least of three rounds is taken, because other work on the machine only adds.
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
