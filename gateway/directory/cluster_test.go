package directory_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"sardinefront.dev/gateway/directory"
	"sardinefront.dev/gateway/peers"
	"sardinefront.dev/gateway/routing"
	"sardinefront.dev/platform"
)

// hostStore is the path of one host to a shared store. Reads fail after storeTimeout while it is cut,
// and wait for the store while it is stuck.
type hostStore struct {
	*memoryStore
	cut, stuck *atomic.Bool
}

const storeTimeout = time.Second

// pass waits for the store. It returns an error if the host does not reach it in time.
func (s hostStore) pass() error {
	for began := time.Now(); s.cut.Load() || s.stuck.Load(); time.Sleep(10 * time.Millisecond) {
		if time.Since(began) >= storeTimeout {
			return platform.ErrUnavailable
		}
	}
	return nil
}

func (s hostStore) Snapshot(ctx context.Context, prefix string) ([]platform.Entry, int64, error) {
	if err := s.pass(); err != nil {
		return nil, 0, err
	}
	return s.memoryStore.Snapshot(ctx, prefix)
}

func (s hostStore) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]platform.Entry, int64, error) {
	if err := s.pass(); err != nil {
		return nil, after, err
	}
	return s.memoryStore.Changes(ctx, prefix, after, wait)
}

// clusterHost is one host of a cluster.
type clusterHost struct {
	running  atomic.Pointer[directory.Directory]
	cluster  *cluster
	name     string
	current  routing.ActiveTable
	cut      atomic.Bool // from the store
	isolated atomic.Bool // from the other hosts
	stop     func()
	// suspended is set while the host does nothing. Heartbeats wait in inbox then.
	suspended bool
	inbox     []*peers.Heartbeat
}

// cluster is several hosts on one store, which exchange heartbeats.
type cluster struct {
	t     *testing.T
	store *memoryStore
	stuck atomic.Bool // the store does not respond to any host
	hosts []*clusterHost
}

// withCluster runs check in virtual time, beside hosts that know the targets t1, t2 and t3.
func withCluster(t *testing.T, hosts int, check func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, store: newMemoryStore()}
		c.store.put("o/config", "1")
		for _, id := range []string{"t1", "t2", "t3"} {
			c.store.put("t/"+id, "ready 1")
		}
		for i := range hosts {
			c.hosts = append(c.hosts, &clusterHost{cluster: c, name: string(rune('a' + i))})
		}
		for _, h := range c.hosts {
			h.start(t)
		}
		c.run(4 * time.Second)
		check(c)
		for _, h := range c.hosts {
			h.stop()
		}
	})
}

func (h *clusterHost) start(t *testing.T) {
	layout := testLayout
	layout.DecodeTarget = decode
	d := directory.New(directory.Config{
		Name: h.name, Store: hostStore{memoryStore: h.cluster.store, cut: &h.cut, stuck: &h.cluster.stuck}, ActiveTable: &h.current,
		Log: slog.New(slog.DiscardHandler), OnChange: func() {}, Layout: layout,
	})
	d.SetFleet(h)
	h.running.Store(d)
	h.stop = run(t, d)
}

// suspend stops a host, as if its process got no processor time.
func (h *clusterHost) suspend() {
	h.suspended = true
	h.cut.Store(true)
}

// resume lets a suspended host go on. It handles the heartbeats that have arrived meanwhile.
func (h *clusterHost) resume() {
	h.suspended = false
	h.cut.Store(false)
	for _, heartbeat := range h.inbox {
		h.running.Load().HandleHeartbeat(heartbeat, time.Now())
	}
	h.inbox = nil
}

// restart replaces the process of a host.
func (h *clusterHost) restart() {
	h.stop()
	h.start(h.cluster.t)
}

func (h *clusterHost) reaches(other *clusterHost) bool {
	return h != other && !h.isolated.Load() && !other.isolated.Load()
}

func (h *clusterHost) Alive(time.Time) (out []peers.Peer) {
	for _, other := range h.cluster.hosts {
		if h.reaches(other) {
			out = append(out, peers.Peer{Name: other.name, Address: other.name, HeartbeatInterval: peers.HeartbeatInterval})
		}
	}
	return out
}

func (h *clusterHost) TriggerFullRateHeartbeats() {}

func (h *clusterHost) FetchSnapshot(_ context.Context, address string, version int64) (*peers.Snapshot, error) {
	i := slices.IndexFunc(h.cluster.hosts, func(other *clusterHost) bool { return other.name == address })
	other := h.cluster.hosts[i]
	if !h.reaches(other) {
		return nil, fmt.Errorf("host %s is not reachable", address)
	}
	return other.running.Load().Snapshot(version), nil
}

func (h *clusterHost) FetchConfig(context.Context, string, int64) ([]byte, error) { return nil, nil }

// run lets the hosts run and exchange heartbeats for the given time. The hosts send at different
// times.
func (c *cluster) run(d time.Duration) {
	slot := peers.HeartbeatInterval / time.Duration(len(c.hosts))
	for end := time.Now().Add(d); time.Now().Before(end); {
		for _, h := range c.hosts {
			c.sendHeartbeat(h)
			time.Sleep(min(slot, max(0, time.Until(end))))
		}
	}
}

// sendHeartbeat sends a heartbeat of a host to all hosts that it reaches.
func (c *cluster) sendHeartbeat(from *clusterHost) {
	if from.suspended {
		return
	}
	sent := &peers.Heartbeat{Name: from.name, Address: from.name, IntervalMs: peers.HeartbeatInterval.Milliseconds()}
	from.running.Load().FillHeartbeat(sent, time.Now())
	encoded, err := peers.Encode(sent)
	if err != nil {
		c.t.Fatal(err)
	}
	for _, to := range c.hosts {
		if !from.reaches(to) {
			continue
		}
		received, err := peers.Decode(encoded)
		if err != nil {
			c.t.Fatal(err)
		}
		if to.suspended {
			to.inbox = append(to.inbox, received)
		} else {
			to.running.Load().HandleHeartbeat(received, time.Now())
		}
	}
}

// lists reports whether a host lists a target.
func (h *clusterHost) lists(id string) bool {
	return slices.ContainsFunc(h.running.Load().Targets(), func(t directory.Target) bool { return t.ID == id })
}

// expectRemoved checks that each of the hosts stops listing a target within the given time.
func (c *cluster) expectRemoved(id string, within time.Duration, hosts ...*clusterHost) {
	c.t.Helper()
	c.run(within)
	for _, h := range hosts {
		if h.lists(id) {
			c.t.Errorf("host %s lists %s after %s", h.name, id, within)
		}
	}
}

// expectListed checks over the given time that all hosts list targets.
func (c *cluster) expectListed(d time.Duration, ids ...string) {
	c.t.Helper()
	c.expectListedBy(c.hosts, d, ids...)
}

// expectListedBy checks over the given time that some of the hosts list targets.
func (c *cluster) expectListedBy(hosts []*clusterHost, d time.Duration, ids ...string) {
	c.t.Helper()
	lost := map[string]bool{}
	for end := time.Now().Add(d); !time.Now().After(end); c.run(10 * time.Millisecond) {
		for _, h := range hosts {
			for _, id := range ids {
				if key := h.name + " " + id; !h.lists(id) && !lost[key] {
					lost[key] = true
					c.t.Errorf("host %s does not list %s, %s before the end", h.name, id, time.Until(end))
				}
			}
		}
	}
}
