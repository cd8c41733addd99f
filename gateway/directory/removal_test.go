package directory_test

import (
	"testing"
	"time"
)

// removalBound is less than the time after a removal for which a target may get requests, which is
// 2 s.
const removalBound = 1800 * time.Millisecond

// offsets are times that cover the phases of the read interval.
func offsets() (out []time.Duration) {
	for d := time.Duration(0); d < 700*time.Millisecond; d += 70 * time.Millisecond {
		out = append(out, d)
	}
	return out
}

// Guards against undisturbed hosts that send requests to a removed target, since the host that reads
// the list for them was cut off from the store before and takes the removal for that of an expired
// entry.
func TestReturningReaderDelaysNoRemoval(t *testing.T) {
	for name, isolated := range map[string]bool{"cut off from the store": false, "cut off from all": true} {
		t.Run(name, func(t *testing.T) {
			for _, offset := range offsets() {
				withCluster(t, 3, func(c *cluster) {
					reader, others := c.hosts[0], c.hosts[1:]
					reader.cut.Store(true)
					reader.isolated.Store(isolated)
					c.run(5500 * time.Millisecond)
					reader.cut.Store(false)
					reader.isolated.Store(false)
					c.run(200*time.Millisecond + offset)
					c.store.remove("t/t1")
					c.expectRemoved("t1", removalBound, others...)
				})
			}
		})
	}
}

// Guards against a host that delays removals after it was cut off from the store alone, although
// its peers have read the store all the time.
func TestHostCutOffFromTheStoreDelaysNoRemoval(t *testing.T) {
	for _, offset := range offsets() {
		withCluster(t, 3, func(c *cluster) {
			c.hosts[0].cut.Store(true)
			c.run(5500 * time.Millisecond)
			c.hosts[0].cut.Store(false)
			c.run(offset)
			c.store.remove("t/t1")
			c.expectRemoved("t1", removalBound, c.hosts...)
		})
	}
}

// Guards against removals that are delayed after an outage that has long ended for other hosts.
func TestRemovalsAreConfirmedAgainAfterAnOutage(t *testing.T) {
	for _, offset := range offsets() {
		withCluster(t, 3, func(c *cluster) {
			c.stuck.Store(true)
			c.run(4 * time.Second)
			c.stuck.Store(false)
			c.run(3*time.Second + offset)
			c.store.remove("t/t1")
			c.expectRemoved("t1", removalBound, c.hosts...)
		})
	}
}
