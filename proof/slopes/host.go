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
	// restSpan is the time for which a host at rest is watched.
	restSpan = 3 * time.Second
	// hostRequests is the number of requests of the shortest run.
	hostRequests = 500
	hostRules    = "pool shop-app is service # operations\n" +
		"pool lyn-llm is engine, orders fenced, orders checked # operations\n" +
		"send any /shop/** to shop-app # operations\n" +
		"send any /lyn/** to lyn-llm # operations\n" +
		"call GET /shop/** is interactive and idempotent, answer within 5s # operations\n" +
		"call POST /lyn/** is interactive, answer within 20s # operations\n" +
		"serve lyn-llm version 7 # operations\n"
)

// list is a platform's list in this process.
type list struct {
	rows  []platform.Endpoint
	reads atomic.Int64
}

// Hosts implements platform.Hosts.
func (l *list) ListEndpoints(context.Context) ([]platform.Endpoint, error) {
	l.reads.Add(1)
	return l.rows, nil
}

// realHost is a host without peers over an embedded store.
type realHost struct {
	*host.Host
	list *list
}

// startHost starts a host whose list names the service and n targets that
// refuse connections.
func startHost(n int, serviceAddress string) (*realHost, error) {
	s := settings.Defaults()
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0"}
	kv := memkv.New(time.Now)
	if _, err := config.Push(context.Background(), kv, []byte(hostRules), "operator", "first", 0); err != nil {
		return nil, err
	}
	l := &list{}
	for i := range n {
		// Port 1 of the loopback is not served.
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
		if ready(h.Status()) {
			return r, nil
		}
		if time.Now().After(end) {
			r.stop()
			return nil, errors.New("the host has no targets after 10 s")
		}
	}
}

func ready(s host.Status) bool {
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

// processTime returns the processor seconds of this process so far.
func processTime() (float64, error) {
	var u syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	seconds := func(t syscall.Timeval) float64 { return float64(t.Sec) + float64(t.Usec)/1e6 }
	return seconds(u.Utime) + seconds(u.Stime), err
}

func measureHost(Options) ([]Cost, error) {
	memory := Cost{Name: "host-memory", Unit: "B of heap of a host at rest, without peers", Over: "targets listed", Target: targets + hosts,
		Budget: hostMemory, Source: "section 1.5", Clock: true}
	rest := Cost{Name: "host-rest", Unit: "part of a core of a host at rest, without peers", Over: "targets listed", Target: targets + hosts,
		Budget: corePart, Source: "section 1.5", Clock: true}
	reads := Cost{Name: "host-list-reads", Unit: "list reads/s of a host without peers", Over: "targets listed", Target: targets + hosts, Clock: true}
	backend := service.New(service.Config{Name: "shop-app-0"})
	if err := backend.Start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	defer backend.Close()
	for _, n := range []int{30, 300, targets + hosts} {
		before := heap()
		h, err := startHost(n, backend.Addr())
		if err != nil {
			return nil, err
		}
		listed, start := h.list.reads.Load(), time.Now()
		busy, err := h.busy(func() error { time.Sleep(restSpan); return nil })
		span := time.Since(start).Seconds()
		reads.add(float64(n), float64(h.list.reads.Load()-listed)/span)
		memory.add(float64(n), heap()-before)
		rest.add(float64(n), busy/span)
		h.stop()
		if err != nil {
			return nil, err
		}
	}
	perRequest, err := requestCost(backend.Addr())
	return []Cost{memory, rest, reads, perRequest}, err
}

// busy returns the processor seconds of the process while f runs.
func (r *realHost) busy(f func() error) (float64, error) {
	before, err := processTime()
	if err != nil {
		return 0, err
	}
	if err := f(); err != nil {
		return 0, err
	}
	after, err := processTime()
	return after - before, err
}

// requestCost measures the processor time of requests to a plain service. The
// caller and the service run in the same process, so it is an upper estimate.
func requestCost(serviceAddress string) (Cost, error) {
	c := Cost{Name: "host-request", Unit: "processor s, caller and service included", Over: "requests",
		Target: requestsPerSecond / hosts * 60, Clock: true}
	h, err := startHost(30, serviceAddress)
	if err != nil {
		return c, err
	}
	defer h.stop()
	client := &http.Client{Timeout: 10 * time.Second}
	for k := range 4 {
		n := hostRequests * k
		if k == 0 {
			n = hostRequests / 2 // connections are opened in this run
		}
		busy, err := h.busy(func() error { return send(client, h.CallerAddress(), k, n) })
		if err != nil {
			return c, err
		}
		if k > 0 {
			c.add(float64(n), busy)
		}
	}
	return c, nil
}

func send(client *http.Client, address string, run, n int) error {
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
