package fleet

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"sardinefront.dev/core/freeport"
	"sardinefront.dev/fleet/config"
	"sardinefront.dev/fleet/member"
	"sardinefront.dev/fleet/peer"
	"sardinefront.dev/platform"
	"sardinefront.dev/platform/memkv"
)

// hostList is a platform.EndpointList with fixed rows.
type hostList struct {
	mu   sync.Mutex
	rows []platform.Endpoint
}

func (l *hostList) ListEndpoints(context.Context) ([]platform.Endpoint, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]platform.Endpoint(nil), l.rows...), nil
}

// freeAddress returns a free loopback address.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := freeport.LoopbackAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// callbackLog records the callbacks of one node.
type callbackLog struct {
	mu      sync.Mutex
	number  int64
	digests map[string]string
	floors  []string
	halts   []string
	dead    []string
}

// check runs f under the lock.
func (log *callbackLog) check(f func() bool) bool {
	log.mu.Lock()
	defer log.mu.Unlock()
	return f()
}

type cluster struct {
	nodes []*Node
	logs  []*callbackLog
	kv    *memkv.Store
}

// newCluster starts hosts in two zones on loopback.
func newCluster(t *testing.T, size int) *cluster {
	t.Helper()
	c := &cluster{kv: memkv.New(time.Now)}
	list := &hostList{}
	dir := t.TempDir()
	for i := range size {
		list.rows = append(list.rows, platform.Endpoint{
			Name: fmt.Sprintf("h%d", i), Role: platform.RoleHost, Address: freeAddress(t), Zone: fmt.Sprintf("z%d", i%2)})
	}
	for i, r := range list.rows {
		files, err := peer.WriteDevKeys(dir, time.Hour, r.Name)
		if err != nil {
			t.Fatal(err)
		}
		log := &callbackLog{digests: make(map[string]string)}
		n, err := New(Config{
			Name: r.Name, Zone: r.Zone, Address: r.Address, Incarnation: uint64(time.Now().UnixMilli()),
			KV: c.kv, HostList: list, TLS: files[r.Name],
			OnConfig: func(v config.RulesFile) error {
				log.mu.Lock()
				defer log.mu.Unlock()
				if bytes.Contains(v.Text, []byte("bad")) {
					return errors.New("line 1: unknown verb")
				}
				log.number = v.Number
				return nil
			},
			OnMemberEvent: func(e member.Event) {
				if e.Kind == member.BecameLeft || e.Kind == member.BecameDead {
					log.mu.Lock()
					defer log.mu.Unlock()
					log.dead = append(log.dead, e.Member.Name)
				}
			},
			Digest:   func() []byte { return []byte("digest of " + r.Name) },
			OnDigest: func(from string, b []byte) { log.mu.Lock(); defer log.mu.Unlock(); log.digests[from] = string(b) },
			OnFloor: func(from string, b []byte) {
				log.mu.Lock()
				defer log.mu.Unlock()
				log.floors = append(log.floors, from+string(b))
			},
			OnHalt: func(from string, b []byte) {
				log.mu.Lock()
				defer log.mu.Unlock()
				log.halts = append(log.halts, from+string(b))
			},
			HandleCall: func(kind string, body []byte) []byte { return []byte(r.Name + kind + string(body)) },
		})
		if err != nil {
			t.Fatal(err)
		}
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
		c.nodes, c.logs = append(c.nodes, n), append(c.logs, log)
		if i > 0 {
			t.Cleanup(func() { _ = n.Stop() })
		}
	}
	return c
}

// eventually waits up to 15 s until each returns true for every node.
func (c *cluster) eventually(t *testing.T, what string, each func(i int) bool) {
	t.Helper()
	end := time.Now().Add(15 * time.Second)
	for i := 0; i < len(c.nodes); {
		if each(i) {
			i++
			continue
		}
		if time.Now().After(end) {
			t.Fatalf("host %d: %s: not within 15 s", i, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards the interaction of all parts over real sockets: joining from the host
// list, distribution of a valid rules file and of one that OnConfig rejects,
// digests, floors within the zone, halts to all hosts, direct and relayed calls,
// and a planned stop.
func TestNodesOverLoopback(t *testing.T) {
	c := newCluster(t, 6)
	v, err := config.Push(t.Context(), c.kv, []byte("serve lyn-llm version 7 # Kari\n"), "Kari", "first", 0)
	if err != nil {
		t.Fatal(err)
	}
	c.eventually(t, "rules file active", func(i int) bool {
		return c.nodes[i].ConfigStatus().ActiveNumber == v.Number && c.logs[i].check(func() bool { return c.logs[i].number == v.Number })
	})
	c.eventually(t, "digests of the zone", func(i int) bool {
		return c.logs[i].check(func() bool { return len(c.logs[i].digests) >= 2 })
	})
	c.nodes[0].BroadcastFloor([]byte("/urgent"))
	c.nodes[0].BroadcastHalt([]byte("/move-1"))
	c.eventually(t, "floor in the own zone, halt everywhere, each once", func(i int) bool {
		log := c.logs[i]
		floors, halts := (i+1)%2, 1
		if i == 0 {
			floors, halts = 0, 0
		}
		return log.check(func() bool { return len(log.floors) == floors && len(log.halts) == halts })
	})
	b, err := c.nodes[0].Call(t.Context(), "h3", "journal", []byte("!"))
	if err != nil || string(b) != "h3journal!" {
		t.Errorf("call: %q, %v", b, err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	b, err = c.nodes[0].callViaRelay(ctx, c.nodes[1].cfg.Address, "h3", "journal", []byte("?"))
	if err != nil || string(b) != "h3journal?" {
		t.Errorf("relayed call: %q, %v", b, err)
	}
	if _, err = c.nodes[0].callViaRelay(ctx, c.nodes[1].cfg.Address, "h9", "journal", nil); !errors.Is(err, peer.ErrNotSent) {
		t.Errorf("relayed call to an unknown host: %v", err)
	}
	if _, err := config.Push(t.Context(), c.kv, []byte("bad\n"), "Kari", "with a finding", 1); err != nil {
		t.Fatal(err)
	}
	c.eventually(t, "the rejected file is received and not active", func(i int) bool {
		s := c.nodes[i].ConfigStatus()
		return s.Number == 2 && s.ActiveNumber == 1 && s.ApplyErr != nil
	})
	if err := c.nodes[0].Stop(); err != nil {
		t.Error(err)
	}
	c.nodes, c.logs = c.nodes[1:], c.logs[1:]
	c.eventually(t, "h0 left", func(i int) bool {
		return c.logs[i].check(func() bool { return len(c.logs[i].dead) == 1 && c.logs[i].dead[0] == "h0" })
	})
}
