package scenario

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"github.com/goccy/go-yaml"

	"sardinefront.dev/core/request"
	"sardinefront.dev/core/telemetry"
	"sardinefront.dev/fleet/peer"
	"sardinefront.dev/host"
	"sardinefront.dev/host/settings"
	"sardinefront.dev/platform"
	"sardinefront.dev/platform/httpkv"
	"sardinefront.dev/proof/invariant"
)

// keyLifetime exceeds the duration of any scenario.
const keyLifetime = 24 * time.Hour

// hostProcess is an entry host that a scenario starts, crashes and stops.
type hostProcess struct {
	name     string
	settings settings.Settings
	loopback string
	client   *http.Client

	mu     sync.Mutex
	host   *host.Host // nil while down
	gate   *gate
	relays map[string]*relay // by target
	// broken names the targets that the host cannot reach.
	broken map[string]bool
	conns  map[net.Conn]struct{} // callers' connections
	number int64                 // configuration last seen
	floors map[string]floorSeen  // by pool
	ended  chan struct{}         // closed when the last process has ended
}

// hosts are the entry hosts of a scenario.
type hosts struct {
	mu  sync.Mutex
	all map[string]*hostProcess
}

func (h *hosts) get(name string) *hostProcess {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.all[name]
}

func (h *hosts) each(f func(p *hostProcess)) {
	h.mu.Lock()
	all := make([]*hostProcess, 0, len(h.all))
	for _, p := range h.all {
		all = append(all, p)
	}
	h.mu.Unlock()
	for _, p := range all {
		f(p)
	}
}

// observe records the configuration numbers of the live hosts.
func (h *hosts) observe(rec *invariant.Recorder) {
	h.each(func(p *hostProcess) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.host == nil {
			return
		}
		s := p.host.Status()
		if n := s.Revision; n != p.number && n != 0 {
			p.number = n
			rec.Record(invariant.Event{Kind: invariant.ConfigAdopted, Host: p.name, Number: n})
		}
		p.observeFloors(rec, s, time.Now())
	})
}

// floorSeen is a tier floor that was seen between two times.
type floorSeen struct {
	tier        string
	began       time.Time // as the host tells it
	since, last time.Time
}

// observeFloors records each tier floor once it has ended, with the times
// between which it was seen. Two floors of a tier are told apart by their start:
// the gap between them may fall between two looks. p.mu must be held.
func (p *hostProcess) observeFloors(rec *invariant.Recorder, s host.Status, now time.Time) {
	for _, pool := range s.Pools {
		f := p.floors[pool.Name]
		if f.tier == pool.Floor && f.began.Equal(pool.FloorSince) && f.tier != "" {
			f.last = now
			p.floors[pool.Name] = f
			continue
		}
		if tier, err := request.ParseTier(f.tier); err == nil {
			rec.Record(invariant.Event{
				At: f.since, Until: f.last, Kind: invariant.Floor, Host: p.name, Pool: pool.Name, Tier: tier,
			})
		}
		p.floors[pool.Name] = floorSeen{tier: pool.Floor, began: pool.FloorSince, since: now, last: now}
	}
}

func (h *hosts) closeAll() {
	var wg sync.WaitGroup
	h.each(func(p *hostProcess) { wg.Go(func() { p.crash(); <-p.ended }) })
	wg.Wait()
}

// hostOptions are what a scenario may set about a host.
type hostOptions struct {
	zone       string
	firstByte  time.Duration
	drain      time.Duration
	lease      time.Duration
	partitions int
	// alone leaves the host without peers; stranger gives it a certificate that
	// the other hosts do not accept.
	alone, stranger bool
}

// addHost writes the settings of a host and starts it.
func (w *world) addHost(name string, o hostOptions) error {
	p := &hostProcess{
		name: name, loopback: w.loopback, relays: make(map[string]*relay), broken: make(map[string]bool),
		conns: make(map[net.Conn]struct{}), ended: make(chan struct{}),
		floors: make(map[string]floorSeen),
	}
	close(p.ended)
	p.client = &http.Client{Transport: &http.Transport{
		// A kept connection would allow the HTTP client to repeat a request.
		DisableKeepAlives: true, DialContext: p.dial,
	}}
	s, err := w.settingsFor(name, o)
	if err != nil {
		return err
	}
	p.settings = s
	w.hosts.mu.Lock()
	w.hosts.all[name] = p
	w.hosts.mu.Unlock()
	if s.Listen.Peers != "" {
		w.list(platform.Endpoint{Name: name, Role: platform.RoleHost, Address: s.Listen.Peers, Zone: s.Host.Zone})
	}
	return w.startHost(p)
}

// settingsFor returns checked settings, through YAML as an operator writes them.
func (w *world) settingsFor(name string, o hostOptions) (settings.Settings, error) {
	s := settings.Defaults()
	s.Host = settings.Host{Name: name, Zone: o.zone}
	s.Listen = settings.Listen{Callers: w.loopback, Operators: w.loopback}
	s.Platform.Address = w.platform.Addr()
	s.Platform.HostListInterval = 200 * time.Millisecond
	s.Rules.File = w.rulesFile
	s.Limits.FirstByteTimeout, s.Limits.DrainTimeout = o.firstByte, o.drain
	s.Journal.LeaseTTL, s.Journal.Partitions = o.lease, o.partitions
	if !o.alone {
		if err := w.addPeerSettings(&s, o.stranger); err != nil {
			return s, err
		}
	}
	text, err := yaml.Marshal(s)
	if err != nil {
		return s, err
	}
	return settings.Parse(name+".yaml", text)
}

func (w *world) addPeerSettings(s *settings.Settings, stranger bool) error {
	dir := filepath.Join(w.dir, "keys")
	if stranger {
		dir = filepath.Join(w.dir, "keys-of-"+s.Host.Name)
	}
	files, err := peer.WriteDevKeys(dir, keyLifetime, s.Host.Name)
	if err != nil {
		return err
	}
	k := files[s.Host.Name]
	s.KeyFiles = settings.KeyFiles{CA: k.CA, Cert: k.Cert, Key: k.Key}
	s.Listen.Peers, err = freeUDP(w.loopback)
	return err
}

// freeUDP returns a UDP address that was free a moment ago.
func freeUDP(listen string) (string, error) {
	c, err := net.ListenPacket("udp", listen)
	if err != nil {
		return "", err
	}
	defer c.Close()
	return c.LocalAddr().String(), nil
}

// startHost starts a process of the host, after the previous one has ended.
func (w *world) startHost(p *hostProcess) error {
	<-p.ended
	kv := httpkv.New(httpkv.Config{
		Address: p.settings.Platform.Address, CallerName: p.name,
		ReadsPerSecond: p.settings.Platform.ReadsPerSecond, WritesPerSecond: p.settings.Platform.WritesPerSecond,
	})
	metrics, err := telemetry.New()
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(&w.log, nil)).With("at", p.name)
	g := &gate{kv: kv, hosts: kv, address: p.relayTo, storeDown: &w.storeDown}
	h := host.New(p.settings, host.Dependencies{Log: log, Metrics: metrics, Store: g, HostList: g})
	if err := h.Start(); err != nil {
		return fmt.Errorf("host %s: %w", p.name, err)
	}
	p.mu.Lock()
	p.host, p.gate, p.ended = h, g, make(chan struct{})
	for target, r := range p.relays {
		if !p.broken[target] {
			err = r.open()
		}
	}
	p.mu.Unlock()
	w.rec.Record(invariant.Event{Kind: invariant.HostUp, Host: p.name})
	return err
}

// crash ends the process abruptly: its store calls, its listeners' connections
// and those to its targets end at once and it leaves its leases behind. The
// goroutines of the dead process end in the background.
func (p *hostProcess) crash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.host == nil {
		return
	}
	h, ended := p.host, p.ended
	p.host = nil
	p.gate.close()
	p.gate.resume()
	// Callers go first, so that the dying process cannot tell them what it sees.
	for c := range p.conns {
		c.Close()
	}
	for _, r := range p.relays {
		r.shut()
	}
	go func() {
		defer close(ended)
		h.Abort()
	}()
}

// shutdown stops the process gracefully and returns how many requests it cut.
func (p *hostProcess) shutdown() int64 {
	p.mu.Lock()
	h, ended := p.host, p.ended
	p.mu.Unlock()
	if h == nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.Limits.DrainTimeout)
	defer cancel()
	left := h.Stop(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.host == h {
		p.host = nil
		close(ended)
	}
	return left
}

func (p *hostProcess) up() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.host != nil
}

// noAddress refuses connections. Port 1 of the loopback is not served.
const noAddress = "127.0.0.1:1"

func (p *hostProcess) callerAddress() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.host == nil {
		return noAddress
	}
	return p.host.CallerAddress()
}

// dial opens a caller's connection that a crash of the host closes.
func (p *hostProcess) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.host == nil {
		conn.Close()
	}
	t := &callerConn{Conn: conn, host: p}
	p.conns[t] = struct{}{}
	return t, nil
}

// callerConn is a caller's connection to a host.
type callerConn struct {
	net.Conn
	host *hostProcess
}

// Close implements net.Conn. A crash holds the host's lock, so the connection
// is forgotten in the background.
func (c *callerConn) Close() error {
	go func() {
		c.host.mu.Lock()
		defer c.host.mu.Unlock()
		delete(c.host.conns, c)
	}()
	return c.Conn.Close()
}

// relayTo returns the address of the host's relay to a target.
func (p *hostProcess) relayTo(info platform.Endpoint) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.relays[info.Name]
	if r == nil {
		var err error
		if r, err = newRelay(p.loopback, info.Address); err != nil {
			return noAddress
		}
		p.relays[info.Name] = r
		if p.broken[info.Name] {
			r.shut()
		}
	}
	r.setUpstream(info.Address)
	return r.address
}

// reach cuts the host off from a target or connects it again.
func (p *hostProcess) reach(target string, can bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken[target] = !can
	r := p.relays[target]
	switch {
	case r == nil || p.host == nil:
		return nil
	case can:
		return r.open()
	}
	r.shut()
	return nil
}

// silence makes the host's open connections to the target silent.
func (p *hostProcess) silence(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.relays[target]; r != nil {
		r.silence()
	}
}
