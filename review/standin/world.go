package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// statusKey is the key of the status of the rollout.
const statusKey = "status/rollout/desk"

const (
	oldSlots = 6
	workTime = 15 * time.Millisecond
)

// world is a small deployment: three entry hosts, the platform's store, the service desk with three
// servers of version v1, and the service shop with two.
type world struct {
	store      *store
	hosts      []*host
	servers    []*server // all
	oldServers []*server
	newServers []*server
	clients    *clients
	begun      time.Time
	stopLoad   context.CancelFunc
	log        *recorder

	mu       sync.Mutex
	outcomes []outcome
}

// outcome is a final state of a rollout that a host has written.
type outcome struct {
	state, target string
	at            time.Time
}

// newWorld starts the deployment and the load, the given requests a second for each host.
func newWorld(work string, log *recorder, desk, shop float64) *world {
	return newWorldWith(work, log, desk, shop, []*server{
		startServer("i-1", "desk", "v1", "a", oldSlots, workTime), startServer("i-2", "desk", "v1", "b", oldSlots, workTime),
		startServer("i-3", "desk", "v1", "a", oldSlots, workTime),
	})
}

// newWorldWith is newWorld with other servers of desk.
func newWorldWith(work string, log *recorder, desk, shop float64, old []*server) *world {
	w := &world{oldServers: old, store: newStore(log), clients: &clients{}, log: log}
	net := os.Getpid() % 200
	ips := []string{fmt.Sprintf("127.0.%d.21", net), fmt.Sprintf("127.0.%d.22", net), fmt.Sprintf("127.0.%d.23", net)}
	p := freePorts(ips)
	for i, name := range []string{"front-a-1", "front-b-1", "front-c-1"} {
		w.hosts = append(w.hosts, newHost(work, name, name[6:7], ips[i], p, ips, w.store.serve(name)))
	}
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{"name": name, "host": "felt.example", "prefix": prefix, "kind": "safe", "timeoutMs": 1000, "goalMs": 150,
			"priority": 2, "service": service, "maxAttempts": 1, "public": false}
	}
	w.store.put("op/config", map[string]any{"version": 3,
		"routes":   []any{route("status", "/status/", "desk"), route("stock", "/stock/", "shop")},
		"services": []any{map[string]any{"name": "desk", "healthPath": "/health", "maxConns": 100}, map[string]any{"name": "shop", "healthPath": "/health", "maxConns": 100}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "jernbane", "apiKeys": []string{"key-1"}}},
	})
	for _, s := range old {
		w.servers = append(w.servers, s)
		w.store.put("servers/"+s.id, s.entry("ready"))
	}
	w.add("i-7", "shop", "v1", "a", oldSlots)
	w.add("i-8", "shop", "v1", "b", oldSlots)
	w.store.onWrite = w.handleStatus
	for _, h := range w.hosts {
		h.start()
		cleanup = append(cleanup, h.kill)
	}
	for _, h := range w.hosts {
		h.waitReady()
	}
	log.logf("hosts are ready")
	var ctx context.Context
	ctx, w.stopLoad = context.WithCancel(context.Background())
	w.begun = time.Now()
	for _, h := range w.hosts {
		go w.clients.run(ctx, h, load{kind: "status", method: "GET", hostHeader: "felt.example", path: "/status/", key: "key-1", perS: desk, deadline: time.Second})
		go w.clients.run(ctx, h, load{kind: "stock", method: "GET", hostHeader: "felt.example", path: "/stock/", key: "key-1", perS: shop, deadline: time.Second})
	}
	return w
}

// add starts a server and lists it.
func (w *world) add(id, service, version, zone string, slots int) *server {
	s := startServer(id, service, version, zone, slots, workTime)
	w.servers = append(w.servers, s)
	w.store.put("servers/"+id, s.entry("ready"))
	return s
}

// startNew starts servers of version v2 of desk beside the old ones.
func (w *world) startNew() {
	w.newServers = []*server{w.add("i-4", "desk", "v2", "a", oldSlots), w.add("i-5", "desk", "v2", "b", oldSlots), w.add("i-6", "desk", "v2", "a", oldSlots)}
}

// order orders that desk be moved to v2.
func (w *world) order(overS int) time.Time {
	w.store.put("op/rollout/desk", map[string]any{"service": "desk", "target": "v2", "overS": overS})
	w.log.logf("operator: orders v2 of desk over %d s", overS)
	return time.Now()
}

// handleStatus does what the platform does when a host writes the status of a rollout.
func (w *world) handleStatus(key string, value []byte) {
	var status struct{ State, Target string }
	if key != statusKey || json.Unmarshal(value, &status) != nil || status.Target != "v2" || status.State == "running" {
		return
	}
	w.mu.Lock()
	w.outcomes = append(w.outcomes, outcome{status.State, status.Target, time.Now()})
	w.mu.Unlock()
	if status.State == "done" {
		w.log.logf("platform: the old servers stop")
		for _, s := range w.oldServers {
			s.stop()
			w.store.remove("servers/" + s.id)
		}
	}
}

// waitOutcome waits for a final state that was written after the given time.
func (w *world) waitOutcome(after time.Time, timeout time.Duration) string {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		w.mu.Lock()
		for _, o := range w.outcomes {
			if o.at.After(after) {
				w.mu.Unlock()
				return o.state
			}
		}
		w.mu.Unlock()
	}
	return "none"
}

// setFailShare sets how many of 100 requests the new servers fail.
func (w *world) setFailShare(n int64) {
	w.log.logf("the new servers fail %d in 100 requests", n)
	for _, s := range w.newServers {
		s.failShare.Store(n)
	}
}

// finish ends the load, waits for all answers and records each request with its answer and its runs.
func (w *world) finish() time.Time {
	w.stopLoad()
	w.clients.wg.Wait()
	end := time.Now()
	ran := map[string]string{}
	for _, s := range w.servers {
		s.mu.Lock()
		for _, r := range s.runs {
			ran[r.id] += fmt.Sprintf(", run by %s (%s) at %.3f s with %d", s.id, s.version, w.log.seconds(r.at), r.status)
		}
		s.mu.Unlock()
	}
	for _, a := range w.clients.answers {
		w.log.logf("request %s %s to %s: sent at %.3f s, answered %d at %.3f s%s",
			a.id, a.kind, a.host, w.log.seconds(a.sent), a.status, w.log.seconds(a.answered), ran[a.id])
	}
	return end
}
