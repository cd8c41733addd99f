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

	"sardinefront.dev/core/freeport"
	"sardinefront.dev/core/request"
	"sardinefront.dev/core/telemetry"
	"sardinefront.dev/fleet/peer"
	"sardinefront.dev/host"
	"sardinefront.dev/host/settings"
	"sardinefront.dev/platform"
	"sardinefront.dev/platform/httpkv"
	"sardinefront.dev/proof/invariant"
)

// keyLifetime is the validity of certificates; it exceeds the duration of any scenario.
const keyLifetime = 24 * time.Hour

// hostProcess is a host of a scenario. It runs in this process; the scenario can start,
// crash and stop it.
type hostProcess struct {
	name          string
	settings      settings.Settings
	listenAddress string
	client        *http.Client

	mu     sync.Mutex
	host   *host.Host // nil while down
	proxy  *platformProxy
	relays map[string]*relay // by target
	// unreachable holds the names of the targets that the host cannot reach.
	unreachable  map[string]bool
	conns        map[net.Conn]struct{}    // callers' connections
	configNumber int64                    // last observed configuration number
	floors       map[string]observedFloor // by pool
	exited       chan struct{}            // closed when the latest process has ended
}

// hosts holds the hosts of a scenario by name.
type hosts struct{ registry[*hostProcess] }

// observe records the configuration numbers and the tier floors of the live hosts.
func (h *hosts) observe(rec *invariant.Recorder) {
	h.forEach(func(p *hostProcess) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.host == nil {
			return
		}
		s := p.host.Status()
		if n := s.Revision; n != p.configNumber && n != 0 {
			p.configNumber = n
			rec.Record(invariant.Event{Kind: invariant.ConfigAdopted, Host: p.name, ConfigNumber: n})
		}
		p.observeFloors(rec, s, time.Now())
	})
}

// observedFloor is a tier floor with the times of its first and last observation.
type observedFloor struct {
	tier                string
	startedAt           time.Time // as reported by the host
	firstSeen, lastSeen time.Time
}

// observeFloors records each tier floor once it has ended, with the times between
// which it was observed. Consecutive floors of the same tier are distinguished by
// their start, because the gap between them may fall between two observations. p.mu
// must be held.
func (p *hostProcess) observeFloors(rec *invariant.Recorder, s host.Status, now time.Time) {
	for _, pool := range s.Pools {
		f := p.floors[pool.Name]
		if f.tier == pool.Floor && f.startedAt.Equal(pool.FloorSince) && f.tier != "" {
			f.lastSeen = now
			p.floors[pool.Name] = f
			continue
		}
		if tier, err := request.ParseTier(f.tier); err == nil {
			rec.Record(invariant.Event{
				At: f.firstSeen, Until: f.lastSeen, Kind: invariant.FloorRaised, Host: p.name, Pool: pool.Name, Tier: tier,
			})
		}
		p.floors[pool.Name] = observedFloor{tier: pool.Floor, startedAt: pool.FloorSince, firstSeen: now, lastSeen: now}
	}
}

func (h *hosts) closeAll() {
	var wg sync.WaitGroup
	h.forEach(func(p *hostProcess) { wg.Go(func() { p.crash(); <-p.exited }) })
	wg.Wait()
}

// hostOptions holds the options of the host command.
type hostOptions struct {
	zone             string
	firstByteTimeout time.Duration
	drainTimeout     time.Duration
	leaseTTL         time.Duration
	partitions       int
	// withoutPeers disables the host's peer listener; untrustedCertificate gives it a
	// certificate that the other hosts do not accept.
	withoutPeers, untrustedCertificate bool
}

// addHost writes the settings of a host and starts it.
func (w *world) addHost(name string, o hostOptions) error {
	p := &hostProcess{
		name: name, listenAddress: w.listenAddress, relays: make(map[string]*relay), unreachable: make(map[string]bool),
		conns: make(map[net.Conn]struct{}), exited: make(chan struct{}),
		floors: make(map[string]observedFloor),
	}
	close(p.exited)
	p.client = &http.Client{Transport: &http.Transport{
		// On a reused connection, the HTTP client may retry a request by itself.
		DisableKeepAlives: true, DialContext: p.dial,
	}}
	s, err := w.buildSettings(name, o)
	if err != nil {
		return err
	}
	p.settings = s
	w.hosts.add(name, p)
	if s.Listen.Peers != "" {
		w.addEndpoint(platform.Endpoint{Name: name, Role: platform.RoleHost, Address: s.Listen.Peers, Zone: s.Host.Zone})
	}
	return w.startHost(p)
}

// buildSettings returns the settings of a host. They are encoded as YAML and parsed, so
// that they are validated as an operator's settings file is.
func (w *world) buildSettings(name string, o hostOptions) (settings.Settings, error) {
	s := settings.Defaults()
	s.Host = settings.Host{Name: name, Zone: o.zone}
	s.Listen = settings.Listen{Callers: w.listenAddress, Operators: w.listenAddress}
	s.Platform.Address = w.platform.Addr()
	s.Platform.HostListInterval = 200 * time.Millisecond
	s.Rules.File = w.rulesFile
	s.Limits.FirstByteTimeout, s.Limits.DrainTimeout = o.firstByteTimeout, o.drainTimeout
	s.Journal.LeaseTTL, s.Journal.Partitions = o.leaseTTL, o.partitions
	if !o.withoutPeers {
		if err := w.addPeerSettings(&s, o.untrustedCertificate); err != nil {
			return s, err
		}
	}
	text, err := yaml.Marshal(s)
	if err != nil {
		return s, err
	}
	return settings.Parse(name+".yaml", text)
}

func (w *world) addPeerSettings(s *settings.Settings, untrustedCertificate bool) error {
	dir := filepath.Join(w.dir, "keys")
	if untrustedCertificate {
		dir = filepath.Join(w.dir, "keys-of-"+s.Host.Name)
	}
	files, err := peer.WriteDevKeys(dir, keyLifetime, s.Host.Name)
	if err != nil {
		return err
	}
	k := files[s.Host.Name]
	s.KeyFiles = settings.KeyFiles{CA: k.CA, Cert: k.Cert, Key: k.Key}
	// Other hosts must know the address before the host starts.
	s.Listen.Peers, err = reservedAddress(w.listenAddress)
	return err
}

// reservedAddress returns an address with a free port on the IP of a listen address. No other
// listener is assigned that port, even while nothing listens on it.
func reservedAddress(listen string) (string, error) {
	ip, _, err := net.SplitHostPort(listen)
	if err != nil {
		return "", err
	}
	port, err := freeport.Loopback()
	return fmt.Sprintf("%s:%d", ip, port), err
}

// startHost waits until the previous process of the host has ended and starts a new one.
func (w *world) startHost(p *hostProcess) error {
	<-p.exited
	kv := httpkv.New(httpkv.Config{
		Address: p.settings.Platform.Address, CallerName: p.name,
		ReadsPerSecond: p.settings.Platform.ReadsPerSecond, WritesPerSecond: p.settings.Platform.WritesPerSecond,
	})
	metrics, err := telemetry.New()
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(&w.log, nil)).With("at", p.name)
	proxy := &platformProxy{kv: kv, endpoints: kv, relayAddress: p.relayAddress, storeDown: &w.storeDown}
	h := host.New(p.settings, host.Dependencies{Log: log, Metrics: metrics, Store: proxy, HostList: proxy})
	if err := h.Start(); err != nil {
		return fmt.Errorf("host %s: %w", p.name, err)
	}
	p.mu.Lock()
	p.host, p.proxy, p.exited = h, proxy, make(chan struct{})
	for target, r := range p.relays {
		if !p.unreachable[target] {
			err = r.open()
		}
	}
	p.mu.Unlock()
	w.rec.Record(invariant.Event{Kind: invariant.HostUp, Host: p.name})
	return err
}

// crash ends the process without a planned stop: its store calls and its connections to
// callers and targets end at once, and its leases are not released. The goroutines of
// the crashed process end in the background.
func (p *hostProcess) crash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.host == nil {
		return
	}
	h, exited := p.host, p.exited
	p.host = nil
	p.proxy.close()
	p.proxy.resume()
	// Callers are disconnected first, so that the crashing process cannot send them
	// responses about its lost connections.
	for c := range p.conns {
		c.Close()
	}
	for _, r := range p.relays {
		r.close()
	}
	go func() {
		defer close(exited)
		h.Abort()
	}()
}

// shutdown stops the process gracefully and returns how many requests were cut off at
// the drain timeout.
func (p *hostProcess) shutdown() int64 {
	p.mu.Lock()
	h, exited := p.host, p.exited
	p.mu.Unlock()
	if h == nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.Limits.DrainTimeout)
	defer cancel()
	interrupted := h.Stop(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.host == h {
		p.host = nil
		close(exited)
	}
	return interrupted
}

func (p *hostProcess) isRunning() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.host != nil
}

// unreachableAddress is an address that refuses connections: nothing listens on port 1
// of the loopback interface.
const unreachableAddress = "127.0.0.1:1"

func (p *hostProcess) callerAddress() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.host == nil {
		return unreachableAddress
	}
	return p.host.CallerAddress()
}

// dial opens a caller's connection and tracks it, so that a crash of the host closes it.
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
	tracked := &callerConn{Conn: conn, host: p}
	p.conns[tracked] = struct{}{}
	return tracked, nil
}

// callerConn is a caller's connection to a host.
type callerConn struct {
	net.Conn
	host *hostProcess
}

// Close implements net.Conn. A crash closes connections while it holds the host's
// lock, so the connection is removed from the host's list in the background.
func (c *callerConn) Close() error {
	go func() {
		c.host.mu.Lock()
		defer c.host.mu.Unlock()
		delete(c.host.conns, c)
	}()
	return c.Conn.Close()
}

// relayAddress returns the address of the host's relay to a target and creates the relay
// if needed.
func (p *hostProcess) relayAddress(endpoint platform.Endpoint) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.relays[endpoint.Name]
	if r == nil {
		address, err := reservedAddress(p.listenAddress)
		if err != nil {
			return unreachableAddress
		}
		if r, err = newRelay(address, endpoint.Address); err != nil {
			return unreachableAddress
		}
		p.relays[endpoint.Name] = r
		if p.unreachable[endpoint.Name] {
			r.close()
		}
	}
	r.setUpstream(endpoint.Address)
	return r.address
}

// setReachable closes or opens the host's relay to a target.
func (p *hostProcess) setReachable(target string, reachable bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unreachable[target] = !reachable
	r := p.relays[target]
	switch {
	case r == nil || p.host == nil:
		return nil
	case reachable:
		return r.open()
	}
	r.close()
	return nil
}

// blackholeConnections stops the forwarding on the host's open connections to the
// target, without closing them.
func (p *hostProcess) blackholeConnections(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.relays[target]; r != nil {
		r.blackhole()
	}
}
