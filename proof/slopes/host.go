package slopes

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"sardinefront.dev/core/telemetry"
	"sardinefront.dev/fleet/config"
	"sardinefront.dev/host"
	"sardinefront.dev/host/settings"
	"sardinefront.dev/platform"
	"sardinefront.dev/platform/memkv"
	"sardinefront.dev/standin/service"
)

const (
	// idleTime is the time for which an idle host is measured.
	idleTime = 3 * time.Second
	// minHostRequests is the number of requests of the shortest measured run.
	minHostRequests = 500
	hostRules       = "pool shop-app is service # operations\n" +
		"pool lyn-llm is engine, orders fenced, orders checked # operations\n" +
		"send any /shop/** to shop-app # operations\n" +
		"send any /lyn/** to lyn-llm # operations\n" +
		"call GET /shop/** is interactive and idempotent, answer within 5s # operations\n" +
		"call POST /lyn/** is interactive, answer within 20s # operations\n" +
		"serve lyn-llm version 7 # operations\n"
)

// endpointList is an in-process platform.EndpointList that counts its reads.
type endpointList struct {
	rows  []platform.Endpoint
	reads atomic.Int64
}

// ListEndpoints implements platform.EndpointList.
func (l *endpointList) ListEndpoints(context.Context) ([]platform.Endpoint, error) {
	l.reads.Add(1)
	return l.rows, nil
}

// realHost is a host without peers and with an in-memory store.
type realHost struct {
	*host.Host
	list *endpointList
}

// startHost starts a host and waits until its pools have targets: the service at
// serviceAddress and n engines that refuse connections.
func startHost(n int, serviceAddress string) (*realHost, error) {
	s := settings.Defaults()
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0"}
	kv := memkv.New(time.Now)
	if _, err := config.Push(context.Background(), kv, []byte(hostRules), "operator", "first", 0); err != nil {
		return nil, err
	}
	l := &endpointList{}
	for i := range n {
		// No process listens on port 1.
		l.rows = append(l.rows, platform.Endpoint{Name: fmt.Sprintf("lyn-llm-%d", i), Role: platform.RoleTarget,
			Address: "127.0.0.1:1", Zone: s.Host.Zone, Pool: "lyn-llm", Version: "7"})
	}
	l.rows = append(l.rows, platform.Endpoint{Name: "shop-app-0", Role: platform.RoleTarget, Address: serviceAddress, Zone: s.Host.Zone, Pool: "shop-app"})
	metrics, err := telemetry.New()
	if err != nil {
		return nil, err
	}
	h := host.New(s, host.Dependencies{Log: slog.New(slog.DiscardHandler), Metrics: metrics, Store: kv, HostList: l})
	if err := h.Start(); err != nil {
		return nil, err
	}
	r := &realHost{Host: h, list: l}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if allPoolsHaveTargets(h.Status()) {
			return r, nil
		}
		if time.Now().After(end) {
			r.stop()
			return nil, errors.New("host has a pool without targets 10 s after its start")
		}
	}
}

// allPoolsHaveTargets reports whether both pools have targets.
func allPoolsHaveTargets(s host.Status) bool {
	for _, p := range s.Pools {
		if p.Targets == 0 {
			return false
		}
	}
	return len(s.Pools) == 2
}

func (r *realHost) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r.Stop(ctx)
}

// processCPUSeconds returns the CPU time used by this process.
func processCPUSeconds() (float64, error) {
	var u syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	seconds := func(t syscall.Timeval) float64 { return float64(t.Sec) + float64(t.Usec)/1e6 }
	return seconds(u.Utime) + seconds(u.Stime), err
}

func measureHost(Options) ([]Cost, error) {
	memory := Cost{
		Name: "host-memory", Unit: "B of heap of an idle host without peers",
		SizeUnit: "targets listed", TargetScale: fleetTargets + fleetHosts,
		Budget: maxHostMemoryBytes, BudgetSource: "section 1.5", MachineDependent: true,
	}
	idle := Cost{
		Name: "host-rest", Unit: "part of a core of an idle host without peers",
		SizeUnit: "targets listed", TargetScale: fleetTargets + fleetHosts,
		Budget: maxCoreFraction, BudgetSource: "section 1.5", MachineDependent: true,
	}
	reads := Cost{
		Name: "host-list-reads", Unit: "list reads/s of a host without peers",
		SizeUnit: "targets listed", TargetScale: fleetTargets + fleetHosts,
		MachineDependent: true,
	}
	backend := service.New(service.Config{Name: "shop-app-0"})
	if err := backend.Start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	defer backend.Close()
	for _, n := range []int{30, 300, fleetTargets + fleetHosts} {
		before := liveHeapBytes()
		h, err := startHost(n, backend.Addr())
		if err != nil {
			return nil, err
		}
		readsBefore, start := h.list.reads.Load(), time.Now()
		cpuSeconds, err := h.cpuSecondsDuring(func() error { time.Sleep(idleTime); return nil })
		span := time.Since(start).Seconds()
		reads.addPoint(float64(n), float64(h.list.reads.Load()-readsBefore)/span)
		memory.addPoint(float64(n), liveHeapBytes()-before)
		idle.addPoint(float64(n), cpuSeconds/span)
		h.stop()
		if err != nil {
			return nil, err
		}
	}
	perRequest, err := requestCost(backend.Addr())
	return []Cost{memory, idle, reads, perRequest}, err
}

// cpuSecondsDuring returns the CPU time that this process uses while f runs.
func (r *realHost) cpuSecondsDuring(f func() error) (float64, error) {
	before, err := processCPUSeconds()
	if err != nil {
		return 0, err
	}
	if err := f(); err != nil {
		return 0, err
	}
	after, err := processCPUSeconds()
	return after - before, err
}

// requestCost measures the CPU time of requests to a plain service. The result is
// an upper bound, because the client and the service run in the same process.
func requestCost(serviceAddress string) (Cost, error) {
	c := Cost{
		Name: "host-request", Unit: "CPU s, client and service included",
		SizeUnit: "requests", TargetScale: fleetRequestsPerSecond / fleetHosts * 60,
		MachineDependent: true,
	}
	h, err := startHost(30, serviceAddress)
	if err != nil {
		return c, err
	}
	defer h.stop()
	client := &http.Client{Timeout: 10 * time.Second}
	for k := range 4 {
		n := minHostRequests * k
		if k == 0 {
			n = minHostRequests / 2 // warm-up: opens the connections
		}
		cpuSeconds, err := h.cpuSecondsDuring(func() error {
			return sendRequests(client, h.CallerAddress(), k, n)
		})
		if err != nil {
			return c, err
		}
		if k > 0 {
			c.addPoint(float64(n), cpuSeconds)
		}
	}
	return c, nil
}

func sendRequests(client *http.Client, address string, run, n int) error {
	for i := range n {
		req, err := http.NewRequest(http.MethodGet, "http://"+address+"/shop/counter/7", strings.NewReader(""))
		if err != nil {
			return err
		}
		req.Header.Set("X-Organisation", "customer-1")
		req.Header.Set("X-Request-Id", fmt.Sprintf("request-%d-%d", run, i))
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			return err
		}
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("request %d: status %d: %s", i, resp.StatusCode, body)
		}
	}
	return nil
}
