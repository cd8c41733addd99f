package simulate

import (
	"testing"
	"time"

	"sardinefront.dev/fleet/internal/core"
)

// Guards the limits on the traffic between hosts, up to 40 hosts per zone and 360 in all,
// with the event rates of the target scale and digests of maximum length. A host may send
// 5 KB/s and receive 5 KB/s; here the sum of both must stay below 5 KB/s.
func TestTrafficBounds(t *testing.T) {
	const seed = 7
	for _, l := range Layouts() {
		// Smaller fleets run longer, because a single restart would dominate
		// their figures.
		span := time.Duration(targetHosts/(l.Zones*l.HostsPerZone)) * 50 * time.Second
		r := Measure(seed, l, 50*time.Second, span)
		t.Logf("seed %d, %v", seed, r)
		if both := r.BytesOutPerSecond + r.BytesInPerSecond; both > 5000 {
			t.Errorf("%d hosts: %.0f B/s sent and received by a host", r.Hosts, both)
		}
		if r.LongestMessageBytes > 1200 {
			t.Errorf("%d hosts: a message of %d bytes does not fit a datagram", r.Hosts, r.LongestMessageBytes)
		}
		if r.HeapBytesPerHost > 1<<20 {
			t.Errorf("%d hosts: %d bytes of heap for each host", r.Hosts, r.HeapBytesPerHost)
		}
		if r.AllocationsPerSecond > 400 {
			t.Errorf("%d hosts: %.0f allocations per second and host", r.Hosts, r.AllocationsPerSecond)
		}
		if r.FalsePositives > 0 || r.SlowestChange > 19*time.Second {
			t.Errorf("%d hosts: %d false positives, slowest change %v", r.Hosts, r.FalsePositives, r.SlowestChange)
		}
	}
	if l := Layouts()[3]; l.DigestBytes != core.MaxDigest || l.Zones*l.HostsPerZone != targetHosts {
		t.Errorf("the last layout is not the target: %+v", l)
	}
}
