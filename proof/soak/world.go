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
	// graceTime is the longest time between SIGTERM and the end of a host.
	graceTime = 8 * time.Second
	// timeoutMs bounds every request; it is below the grace time, so that a planned
	// stop cuts nothing.
	timeoutMs    = 2500
	engineSlots  = 4
	streamEvents = 12
	streamPause  = 8 * time.Millisecond
	plainPause   = 4 * time.Millisecond
	// beatEvery is how often servers renew their entries.
	beatEvery = time.Second
)

// span is a stretch of time; to is zero while it lasts.
type span struct{ from, to time.Time }

// spans records when something was disturbed.
type spans struct {
	mu   sync.Mutex
	list []span
}

// begin opens a span; the function that it returns closes it.
func (s *spans) begin() (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.list)
	s.list = append(s.list, span{from: time.Now()})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.list[i].to = time.Now()
	}
}

// aftermath is how long after a disturbance its effects may show.
const aftermath = time.Second

// touch reports whether a span or its aftermath falls between two times.
func (s *spans) touch(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.list {
		if x.from.Before(to) && (x.to.IsZero() || x.to.Add(aftermath).After(from)) {
			return true
		}
	}
	return false
}

// entryHost is one host with the processes that have run on it.
type entryHost struct {
	name, ip, settings      string
	storeLink, callerLink   *relay
	disturbed, storeTrouble spans

	mu        sync.Mutex
	processes []*process
	// untilUp close the spans that last until the host runs again.
	untilUp []func()
}

// down records that callers cannot reach the host until it runs again.
func (h *entryHost) down() {
	end := h.disturbed.begin()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.untilUp = append(h.untilUp, end)
}

func (h *entryHost) up() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, end := range h.untilUp {
		end()
	}
	h.untilUp = nil
}

func (h *entryHost) current() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.processes[len(h.processes)-1]
}

func (h *entryHost) all() []*process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]*process(nil), h.processes...)
}

func (h *entryHost) callers() string { return fmt.Sprintf("%s:%d", h.ip, callersPort) }

// server is a target with its link.
type server struct {
	id, service string
	*slotengine.Server
	link *relay

	mu         sync.Mutex
	drainingAt time.Time
	gone       bool // its entry is removed
}

// world is everything that one seed has started.
type world struct {
	seed  uint64
	dir   string
	entry string // path of the program
	store *kvstore.Store
	hosts []*entryHost
	// storeTrouble is when the store itself misbehaved.
	storeTrouble spans

	mu       sync.Mutex
	servers  []*server
	version  int
	sequence int
	log      []string

	ledger ledger
	cancel context.CancelFunc
	wg     conc.WaitGroup
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
	w := &world{seed: seed, dir: dir, entry: cfg.Program, store: s}
	w.reconfigure()
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
	network := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250)) // free of other worlds
	for i := range cfg.HostCount {
		if err := w.addHost(i, network, cfg.HostCount); err != nil {
			return w, err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.wg.Go(func() { w.beat(ctx) })
	for _, h := range w.hosts {
		w.wg.Go(func() { w.supervise(ctx, h) })
	}
	return w, nil
}

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log = append(w.log, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// reconfigure writes the next version of the configuration.
func (w *world) reconfigure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.store.Put(wire.KeyConfig, fleetuser.Configuration(w.version, timeoutMs, 0, engineSlots))
}

func (w *world) addServer(service string) error {
	w.mu.Lock()
	id := fmt.Sprintf("i-%d", len(w.servers))
	w.mu.Unlock()
	cfg := slotengine.Config{ID: id, Slots: engineSlots, QueueCapacity: 3 * engineSlots, ResponseDelay: plainPause}
	if service == fleetuser.EngineService {
		cfg.StreamEvents, cfg.ResponseDelay = streamEvents, streamPause
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
	w.list(s)
	return nil
}

// list writes a server's entry.
func (w *world) list(s *server) {
	w.mu.Lock()
	w.sequence++
	sequence := w.sequence
	w.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gone {
		return
	}
	w.store.Put(wire.PrefixTargets+s.id, fleetuser.TargetEntry{
		Service: s.service, Address: s.link.address(), Zone: "z", Slots: engineSlots, Draining: !s.drainingAt.IsZero(), Sequence: sequence,
	}.Encode())
}

// beat renews the entries of the servers that live.
func (w *world) beat(ctx context.Context) {
	t := time.NewTicker(beatEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			for _, s := range w.live("") {
				w.list(s)
			}
		}
	}
}

// live returns the servers of a service, or of all, that have not left.
func (w *world) live(service string) []*server {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*server
	for _, s := range w.servers {
		s.mu.Lock()
		if !s.gone && (service == "" || s.service == service) {
			out = append(out, s)
		}
		s.mu.Unlock()
	}
	return out
}

// remove ends a server, and its entry a while later.
func (w *world) remove(s *server, unlistAfter time.Duration) {
	s.Server.Close()
	s.link.close()
	time.Sleep(unlistAfter)
	s.mu.Lock()
	s.gone = true
	s.mu.Unlock()
	w.store.Delete(wire.PrefixTargets + s.id)
}

func (w *world) addHost(i int, network string, hosts int) error {
	storeLink, err := newRelay(w.store.Address())
	if err != nil {
		return err
	}
	h := &entryHost{name: fmt.Sprintf("host-%d", i), ip: fmt.Sprintf("%s.%d", network, i+1), storeLink: storeLink}
	if h.callerLink, err = newRelay(h.callers()); err != nil {
		return err
	}
	h.settings = filepath.Join(w.dir, h.name+".yaml")
	var seeds []string
	for j := range hosts {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", network, j+1, internalPort))
	}
	text := fmt.Sprintf(`host: {name: %s, zone: z, address: %s}
listen: {callers: "%s", ready: "%s:%d", internal_ports: [%d, %d]}
seeds: [%s]
store: {address: "%s"}
stop: {grace_s: %g}
`, h.name, h.ip, h.callers(), h.ip, readyPort, internalPort, internalPort+1, quoted(seeds), storeLink.address(), graceTime.Seconds())
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return err
	}
	w.hosts = append(w.hosts, h)
	return w.startProcess(h)
}

func quoted(list []string) string {
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
	p, err := startProcess(w.entry, h.settings)
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.processes = append(h.processes, p)
	h.mu.Unlock()
	return nil
}

// restartAfter is how long a host whose process has ended stays down.
const restartAfter = 300 * time.Millisecond

// supervise starts a process again after its end.
func (w *world) supervise(ctx context.Context, h *entryHost) {
	for {
		p := h.current()
		select {
		case <-ctx.Done():
			return
		case <-p.ended:
		}
		f := p.fate()
		h.down()
		w.note("%s ended, exit code %d, asked %t, killed %t", h.name, f.exitCode, !f.asked.IsZero(), f.killed)
		time.Sleep(restartAfter)
		if ctx.Err() != nil {
			return
		}
		if err := w.startProcess(h); err != nil {
			w.note("%s does not start: %v", h.name, err)
			return
		}
		h.up()
	}
}

// close ends everything that the world has started.
func (w *world) close() {
	if w.cancel != nil {
		w.cancel()
	}
	for _, h := range w.hosts {
		if p := h.current(); p.running() {
			p.signal(syscall.SIGKILL)
			<-p.ended
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
