package fleet

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/fleet/config"
	"sardinefront.dev/fleet/member"
	"sardinefront.dev/fleet/peer"
	"sardinefront.dev/platform"
	"sardinefront.dev/platform/memkv"
)

// panickingList is a list whose first reading panics.
type panickingList struct{ reads atomic.Int32 }

func (l *panickingList) ListEndpoints(context.Context) ([]platform.Endpoint, error) {
	if l.reads.Add(1) == 1 {
		panic("list of endpoints")
	}
	return []platform.Endpoint{{Name: "h1", Role: platform.RoleHost, Address: "127.0.0.1:9", Zone: "z0"}}, nil
}

// panickingKV is a store whose first reading panics.
type panickingKV struct {
	platform.KV
	reads atomic.Int32
}

func (s *panickingKV) Get(ctx context.Context, key string) (platform.Entry, error) {
	if s.reads.Add(1) == 1 {
		panic("store")
	}
	return s.KV.Get(ctx, key)
}

// Guards against a panic that ends a background loop without a trace, so that the host follows
// the store, the list of hosts or its peers no more, and that ends the process when it stops.
func TestLoopsRunAgainAfterPanic(t *testing.T) {
	files, err := peer.WriteDevKeys(t.TempDir(), time.Hour, "h0")
	if err != nil {
		t.Fatal(err)
	}
	kv := &panickingKV{KV: memkv.New(time.Now)}
	if _, err := config.Push(t.Context(), kv.KV, []byte("serve lyn-llm version 7 # Kari\n"), "Kari", "change", 0); err != nil {
		t.Fatal(err)
	}
	var log lockedBuffer
	var applied atomic.Int32
	n, err := New(Config{
		Name: "h0", Zone: "z0", Address: "127.0.0.1:0", Incarnation: 1, KV: kv, HostList: &panickingList{},
		TLS: files["h0"], WatchTimeout: 20 * time.Millisecond, Logger: slog.New(slog.NewTextHandler(&log, nil)),
		OnMemberEvent: func(member.Event) { panic("callback") },
		OnConfig:      func(config.RulesFile) error { applied.Add(1); return nil },
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	c := &cluster{nodes: []*Node{n}}
	c.eventually(t, "the rules file is applied and the list is read", func(int) bool {
		return applied.Load() == 1 && len(n.Members()) == 2
	})
	c.eventually(t, "three panics are logged", func(int) bool { return log.count(event.LoopPanicked.Number) >= 3 })
	if err := n.Stop(); err != nil {
		t.Error(err)
	}
}
