package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"sardinefront.dev/platform/wire"
	"sardinefront.dev/standin/fleetuser"
	"sardinefront.dev/standin/kvstore"
	"sardinefront.dev/standin/slotengine"
)

const (
	callersPort  = 8080
	readyPort    = 8081
	internalPort = 8082
	// gracePeriod is the longest time between SIGTERM and the exit of a host.
	gracePeriod = 8 * time.Second
	// timeoutMs bounds every request. It is below the grace period, so that a planned stop
	// cuts off no request.
	timeoutMs          = 2500
	engineSlots        = 4
	streamEvents       = 12
	streamEventDelay   = 8 * time.Millisecond
	plainResponseDelay = 4 * time.Millisecond
	// heartbeatInterval is the time between two renewals of a server's entry.
	heartbeatInterval = time.Second
)

// interval is a period of time; to is zero until it ends.
type interval struct{ from, to time.Time }

// intervals records when a component was disturbed. It is safe for concurrent use.
type intervals struct {
	mu   sync.Mutex
	list []interval
}

// begin starts an interval and returns the function that ends it.
func (s *intervals) begin() (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.list)
	s.list = append(s.list, interval{from: time.Now()})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.list[i].to = time.Now()
	}
}

// effectDelay is how long after a disturbance its effects may be observed.
const effectDelay = time.Second

// overlaps reports whether an interval, extended by effectDelay, overlaps the period
// between two times.
func (s *intervals) overlaps(from, to time.Time) bool {
	return s.overlapsExactly(from.Add(-effectDelay), to)
}

// overlapsExactly is overlaps without effectDelay.
func (s *intervals) overlapsExactly(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.list {
		if x.from.Before(to) && (x.to.IsZero() || x.to.After(from)) {
			return true
		}
	}
	return false
}

// entryHost is one host with the processes that have run on it. disturbances records the
// faults that callers may notice, storeDisturbances those of the host's connection to the
// store, outages the times in which the process was down or frozen.
type entryHost struct {
	name, ip, settingsFile                   string
	storeLink, callerLink                    *relay
	disturbances, storeDisturbances, outages intervals

	mu        sync.Mutex
	processes []*process
	// endOnUp ends the intervals that last until the host runs again.
	endOnUp []func()
}

// beginOutage starts an outage, which callers may notice, and returns the function that ends it.
func (h *entryHost) beginOutage() (end func()) {
	endDisturbance, endOutage := h.disturbances.begin(), h.outages.begin()
	return func() { endDisturbance(); endOutage() }
}

// markDown starts a disturbance that lasts until the host runs again.
func (h *entryHost) markDown() {
	end := h.beginOutage()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endOnUp = append(h.endOnUp, end)
}

// markUp ends the disturbances that markDown started.
func (h *entryHost) markUp() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, end := range h.endOnUp {
		end()
	}
	h.endOnUp = nil
}

func (h *entryHost) currentProcess() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.processes[len(h.processes)-1]
}

func (h *entryHost) allProcesses() []*process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]*process(nil), h.processes...)
}

func (h *entryHost) callerAddress() string { return fmt.Sprintf("%s:%d", h.ip, callersPort) }

// server is a simulated target with the relay to it.
type server struct {
	id, service string
	*slotengine.Server
	link *relay
	// linkDisturbances records when the relay had faults.
	linkDisturbances intervals

	mu         sync.Mutex
	drainingAt time.Time
	removed    bool // its entry has been removed from the store
}

// world holds all components of one run.
type world struct {
	seed    uint64
	dir     string
	program string // path of the entry program
	store   *kvstore.Store
	hosts   []*entryHost
	// storeDisturbances records when the store itself had faults.
	storeDisturbances intervals

	mu            sync.Mutex
	servers       []*server
	configVersion int
	sequence      int
	log           []string

	exchanges exchangeLog
	cancel    context.CancelFunc
	wg        conc.WaitGroup
}

func newWorld(cfg Config, seed uint64) (*world, error) {
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return nil, err
	}
	s, err := kvstore.Start()
	if err != nil {
		return nil, err
	}
	w := &world{seed: seed, dir: dir, program: cfg.Program, store: s}
	w.publishNextConfig()
	for range 3 {
		if err := w.addServer(fleetuser.EngineService); err != nil {
			return w, err
		}
	}
	for range 2 {
		if err := w.addServer(fleetuser.PlainService); err != nil {
			return w, err
		}
	}
	network := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250)) // random, so that concurrent runs do not share addresses
	for i := range cfg.HostCount {
		if err := w.addHost(i, network, cfg.HostCount); err != nil {
			return w, err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.wg.Go(func() { w.heartbeat(ctx) })
	for _, h := range w.hosts {
		w.wg.Go(func() { w.supervise(ctx, h) })
	}
	return w, nil
}

// logf adds a line with the current time to the log of the run.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log = append(w.log, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// publishNextConfig writes the next version of the configuration to the store.
func (w *world) publishNextConfig() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.configVersion++
	w.store.Put(wire.KeyConfig, fleetuser.Configuration(w.configVersion, timeoutMs, 0, engineSlots))
}

func (w *world) addServer(service string) error {
	w.mu.Lock()
	id := fmt.Sprintf("i-%d", len(w.servers))
	w.mu.Unlock()
	cfg := slotengine.Config{ID: id, Slots: engineSlots, QueueCapacity: 3 * engineSlots, ResponseDelay: plainResponseDelay}
	if service == fleetuser.EngineService {
		cfg.StreamEvents, cfg.ResponseDelay = streamEvents, streamEventDelay
	}
	e, err := slotengine.Start(cfg)
	if err != nil {
		return err
	}
	link, err := newRelay(e.Address())
	if err != nil {
		return err
	}
	s := &server{id: id, service: service, Server: e, link: link}
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	w.publishEntry(s)
	return nil
}

// publishEntry writes a server's entry to the store unless it has been removed.
func (w *world) publishEntry(s *server) {
	w.mu.Lock()
	w.sequence++
	sequence := w.sequence
	w.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.removed {
		return
	}
	w.store.Put(wire.PrefixTargets+s.id, fleetuser.TargetEntry{
		Service: s.service, Address: s.link.listenAddress(), Zone: "z", Slots: engineSlots, Draining: !s.drainingAt.IsZero(), Sequence: sequence,
	}.Encode())
}

// heartbeat renews the entries of the live servers until ctx ends.
func (w *world) heartbeat(ctx context.Context) {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			for _, s := range w.liveServers("") {
				w.publishEntry(s)
			}
		}
	}
}

// liveServers returns the servers of a service, or of all if service is empty, whose entry
// has not been removed.
func (w *world) liveServers(service string) []*server {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*server
	for _, s := range w.servers {
		s.mu.Lock()
		if !s.removed && (service == "" || s.service == service) {
			out = append(out, s)
		}
		s.mu.Unlock()
	}
	return out
}

// removeServer stops a server and removes its entry after a delay.
func (w *world) removeServer(s *server, expiryDelay time.Duration) {
	s.Server.Close()
	s.link.close()
	time.Sleep(expiryDelay)
	s.mu.Lock()
	s.removed = true
	s.mu.Unlock()
	w.store.Delete(wire.PrefixTargets + s.id)
}

func (w *world) addHost(i int, network string, hosts int) error {
	storeLink, err := newRelay(w.store.Address())
	if err != nil {
		return err
	}
	h := &entryHost{name: fmt.Sprintf("host-%d", i), ip: fmt.Sprintf("%s.%d", network, i+1), storeLink: storeLink}
	if h.callerLink, err = newRelay(h.callerAddress()); err != nil {
		return err
	}
	h.settingsFile = filepath.Join(w.dir, h.name+".yaml")
	var seeds []string
	for j := range hosts {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", network, j+1, internalPort))
	}
	text := fmt.Sprintf(`host: {name: %s, zone: z, address: %s}
listen: {callers: "%s", ready: "%s:%d", internal_ports: [%d, %d]}
seeds: [%s]
store: {address: "%s"}
stop: {grace_s: %g}
`, h.name, h.ip, h.callerAddress(), h.ip, readyPort, internalPort, internalPort+1, quoteList(seeds), storeLink.listenAddress(), gracePeriod.Seconds())
	if err := os.WriteFile(h.settingsFile, []byte(text), 0o600); err != nil {
		return err
	}
	w.hosts = append(w.hosts, h)
	return w.startProcess(h)
}

func quoteList(list []string) string {
	out := ""
	for i, s := range list {
		if i > 0 {
			out += ", "
		}
		out += `"` + s + `"`
	}
	return out
}

func (w *world) startProcess(h *entryHost) error {
	p, err := startProcess(w.program, h.settingsFile)
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.processes = append(h.processes, p)
	h.mu.Unlock()
	return nil
}

// restartDelay is the time between the end of a process and the start of the next one.
const restartDelay = 300 * time.Millisecond

// supervise restarts the process of a host whenever it ends, until ctx ends.
func (w *world) supervise(ctx context.Context, h *entryHost) {
	for {
		p := h.currentProcess()
		select {
		case <-ctx.Done():
			return
		case <-p.exited:
		}
		state := p.exitState()
		h.markDown()
		w.logf("%s ended, exit code %d, stop requested %t, killed %t", h.name, state.exitCode, !state.stopRequestedAt.IsZero(), state.killed)
		time.Sleep(restartDelay)
		if ctx.Err() != nil {
			return
		}
		if err := w.startProcess(h); err != nil {
			w.logf("%s does not start: %v", h.name, err)
			return
		}
		h.markUp()
	}
}

// close stops all components of the run.
func (w *world) close() {
	if w.cancel != nil {
		w.cancel()
	}
	for _, h := range w.hosts {
		if p := h.currentProcess(); p.running() {
			p.signal(syscall.SIGKILL)
			<-p.exited
		}
		h.storeLink.close()
		h.callerLink.close()
	}
	w.wg.Wait()
	for _, s := range w.servers {
		s.Server.Close()
		s.link.close()
	}
	w.store.Close()
	_ = os.RemoveAll(w.dir) // a temporary directory
}
