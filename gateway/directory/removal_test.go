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

// Guards against hosts that take a cut from the store and from all peers for an outage of the store,
// and send requests to removed targets after their return.
func TestHostsCutOffFromAllDelayNoRemoval(t *testing.T) {
	for _, cutOff := range []int{1, 2} {
		for _, offset := range offsets() {
			withCluster(t, 3, func(c *cluster) {
				for _, h := range c.hosts[:cutOff] {
					h.cut.Store(true)
					h.isolated.Store(true)
				}
				c.run(5500 * time.Millisecond)
				for _, h := range c.hosts[:cutOff] {
					h.cut.Store(false)
					h.isolated.Store(false)
				}
				c.run(offset)
				c.store.remove("t/t1")
				c.expectRemoved("t1", removalBound, c.hosts...)
			})
		}
	}
}

// outage takes the store down for the given time, in which the entries of all targets expire.
func (c *cluster) outage(d time.Duration) {
	c.stuck.Store(true)
	c.run(d - 10*time.Millisecond)
	for _, id := range []string{"t1", "t2", "t3"} {
		c.store.remove("t/" + id)
	}
	c.run(10 * time.Millisecond)
	c.stuck.Store(false)
}

// listAgain writes the entries of the targets that have survived an outage. They are as before.
func (c *cluster) listAgain() {
	for _, id := range []string{"t1", "t2"} {
		c.store.put("t/"+id, "ready 1")
	}
}

// expectRelisted checks that the hosts go on listing the targets that have survived an outage, whose
// entries are written again after the given time, and that all hosts remove the target that has not.
func (c *cluster) expectRelisted(after time.Duration, hosts ...*clusterHost) {
	c.t.Helper()
	c.expectListedBy(hosts, after, "t1", "t2")
	c.listAgain()
	c.expectListedBy(hosts, 4*time.Second, "t1", "t2")
	c.expectRemoved("t3", 0, c.hosts...)
}

// Guards against live targets that a host stops using after an outage of the store, before they are
// listed again, and against a target that left in the outage and stays in use.
func TestLiveTargetsOutliveAnOutage(t *testing.T) {
	for _, offset := range offsets() {
		withCluster(t, 3, func(c *cluster) {
			c.outage(2600*time.Millisecond + offset)
			c.expectRelisted(1900*time.Millisecond, c.hosts...)
		})
	}
}

// Guards against live targets that a host drops because another host has read that they are listed
// again: an entry that is the same as before is not sent.
func TestLiveTargetsOutliveAnOutageWhenTheReaderChanges(t *testing.T) {
	for _, offset := range offsets() {
		withCluster(t, 3, func(c *cluster) {
			c.outage(4 * time.Second)
			c.run(offset)
			first := c.hosts[0]
			first.cut.Store(true)
			c.expectListed(1900*time.Millisecond-offset, "t1", "t2")
			c.listAgain()
			c.run(100 * time.Millisecond)
			first.cut.Store(false)
			c.expectListed(4*time.Second, "t1", "t2")
			c.expectRemoved("t3", 0, c.hosts...)
		})
	}
}

// Guards against live targets that a host drops because its peers, which it could not hear in the
// outage, have read the store before and after it.
func TestLiveTargetsOutliveAnOutageAtAnIsolatedHost(t *testing.T) {
	for _, offset := range offsets() {
		withCluster(t, 3, func(c *cluster) {
			c.hosts[0].isolated.Store(true)
			c.run(offset)
			c.outage(4 * time.Second)
			c.hosts[0].isolated.Store(false)
			c.expectRelisted(1900*time.Millisecond, c.hosts...)
		})
	}
}

// Guards against live targets that hosts drop on the word of a host which was suspended in the outage
// and takes old heartbeats for news.
func TestLiveTargetsOutliveAnOutageBesideASuspendedHost(t *testing.T) {
	for _, offset := range offsets() {
		withCluster(t, 3, func(c *cluster) {
			suspended, others := c.hosts[2], c.hosts[:2] // the first host reads the store
			suspended.suspend()
			c.run(offset)
			c.outage(4 * time.Second)
			c.run(100 * time.Millisecond)
			suspended.resume()
			c.expectRelisted(1800*time.Millisecond, others...)
		})
	}
}

// Guards against live targets that are dropped in a second outage, since they had no time to be
// listed again after the first one.
func TestLiveTargetsOutliveASecondOutage(t *testing.T) {
	for _, offset := range offsets() {
		withCluster(t, 3, func(c *cluster) {
			c.outage(4 * time.Second)
			c.expectListed(time.Second+offset, "t1", "t2")
			c.stuck.Store(true)
			c.expectListed(4*time.Second, "t1", "t2")
			c.stuck.Store(false)
			c.expectRelisted(1900*time.Millisecond, c.hosts...)
		})
	}
}

// Guards against live targets that are dropped on the word of a host that has just started, which
// does not know of the outage.
func TestLiveTargetsOutliveAnOutageAndARestart(t *testing.T) {
	for _, offset := range offsets() {
		withCluster(t, 3, func(c *cluster) {
			restarted, others := c.hosts[0], c.hosts[1:]
			c.outage(4 * time.Second)
			c.run(offset)
			restarted.restart()
			c.expectListedBy(others, 1700*time.Millisecond-offset, "t1", "t2")
			c.listAgain()
			c.expectListedBy(others, 4*time.Second, "t1", "t2")
			c.expectListed(0, "t1", "t2")
			c.expectRemoved("t3", 0, c.hosts...)
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

// Guards against a delayed removal that is never carried out at a host that can't reach the store.
func TestDelayedRemovalIsLearntFromAPeer(t *testing.T) {
	withCluster(t, 3, func(c *cluster) {
		c.outage(4 * time.Second)
		c.run(700 * time.Millisecond) // all hosts have read the removals
		c.hosts[2].cut.Store(true)
		c.listAgain()
		c.run(6 * time.Second)
		for _, h := range c.hosts {
			if !h.lists("t1") || !h.lists("t2") || h.lists("t3") {
				t.Errorf("host %s lists %v", h.name, h.running.Load().Targets())
			}
		}
	})
}
