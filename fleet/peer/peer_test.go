package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
)

// lockedBuffer collects log lines from concurrent writers.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func devKeys(t *testing.T, dir string, names ...string) map[string]KeyFiles {
	t.Helper()
	files, err := WriteDevKeys(dir, time.Hour, names...)
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// newEchoTransport starts a transport that responds to calls with the caller's name and
// the body, and puts one-way messages into the returned channel.
func newEchoTransport(t *testing.T, listen string, k KeyFiles, change func(*Config)) (*Transport, chan string) {
	t.Helper()
	got := make(chan string, 1000)
	c := Config{Listen: listen, Keys: k, UnresponsiveAfter: 300 * time.Millisecond, KeyReloadInterval: 20 * time.Millisecond, RedialDelay: 10 * time.Millisecond, HandshakeTimeout: time.Second}
	if change != nil {
		change(&c)
	}
	tr, err := New(c, Handlers{
		Message: func(from Peer, kind string, body []byte) { got <- from.Name + " " + kind + " " + string(body) },
		Call: func(_ context.Context, from Peer, kind string, body []byte) ([]byte, error) {
			if kind == "fail" {
				return nil, errors.New("no")
			}
			return append([]byte(from.Name+" "), body...), nil
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = tr.Close() })
	return tr, got
}

func call(t *testing.T, tr *Transport, address, body string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	b, err := tr.Call(ctx, address, "echo", []byte(body))
	return string(b), err
}

// eventually waits up to 10 s until done returns true.
func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within 10 s", what)
		}
	}
}

// Guards calls and both kinds of one-way messages, also longer than a datagram, and the
// classes of errors.
func TestCallsAndMessages(t *testing.T) {
	k := devKeys(t, t.TempDir(), "a", "b")
	a, _ := newEchoTransport(t, "127.0.0.1:0", k["a"], nil)
	b, got := newEchoTransport(t, "127.0.0.1:0", k["b"], nil)
	if r, err := call(t, a, b.Address(), "hello"); err != nil || r != "a hello" {
		t.Errorf("call: %q, %v", r, err)
	}
	if _, err := a.Call(t.Context(), b.Address(), "fail", nil); !errors.Is(err, ErrHandlerFailed) {
		t.Errorf("failing handler: %v", err)
	}
	if _, err := call(t, a, "127.0.0.1:1", ""); !errors.Is(err, ErrNotSent) {
		t.Errorf("call to an address without a listener: %v", err)
	}
	if _, err := a.CallHost(t.Context(), "c", b.Address(), "echo", nil); !errors.Is(err, ErrNotSent) {
		t.Errorf("call to an address with another host: %v", err)
	}
	large := strings.Repeat("x", 1<<20)
	if r, err := call(t, a, b.Address(), large); err != nil || r != "a "+large {
		t.Errorf("large call: %d bytes, %v", len(r), err)
	}
	a.Send(b.Address(), "small", []byte("1"))
	a.Send(b.Address(), "long", []byte(large))
	a.SendReliable(b.Address(), "sure", []byte("2"))
	for range 3 {
		select {
		case m := <-got:
			if m != "a small 1" && m != "a sure 2" && m != "a long "+large {
				t.Errorf("message %.40q", m)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("a message was lost")
		}
	}
	if s := b.Stats(); s.OpenConns != 1 || s.BytesIn < 2<<20 || s.RejectedPeers != 0 {
		t.Errorf("stats %+v", s)
	}
}

// Guards against exchanging messages, in either direction, with a peer that has no
// certificate or one of another authority.
func TestPeerWithoutValidCertificateGetsNothing(t *testing.T) {
	k, other := devKeys(t, t.TempDir(), "a", "b"), devKeys(t, t.TempDir(), "a")
	var log lockedBuffer
	b, got := newEchoTransport(t, "127.0.0.1:0", k["b"], func(c *Config) { c.Logger = slog.New(slog.NewTextHandler(&log, nil)) })

	untrusted, untrustedGot := newEchoTransport(t, "127.0.0.1:0", other["a"], nil)
	if r, err := call(t, untrusted, b.Address(), "hello"); err == nil {
		t.Errorf("an untrusted peer got the response %q", r)
	}
	if r, err := call(t, b, untrusted.Address(), "hello"); err == nil {
		t.Errorf("an untrusted peer responded with %q", r)
	}
	foreign, err := tls.LoadX509KeyPair(other["a"].Cert, other["a"].Key)
	if err != nil {
		t.Fatal(err)
	}
	for _, certs := range [][]tls.Certificate{nil, {foreign}} {
		bare := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{alpn}, Certificates: certs}
		c, err := quic.DialAddr(t.Context(), b.Address(), bare, &quic.Config{EnableDatagrams: true})
		if err == nil { // the client completes the handshake before the server
			_ = c.SendDatagram([]byte{0x82, 0x61, 'x', 0x40})
			<-c.Context().Done()
		}
	}
	eventually(t, "three rejections", func() bool { return b.Stats().RejectedPeers == 3 })
	if n := strings.Count(log.String(), "event=504"); n != 3 {
		t.Errorf("%d events logged:\n%s", n, log.String())
	}
	if len(got)+len(untrustedGot) != 0 {
		t.Errorf("%d messages were handled", len(got)+len(untrustedGot))
	}
}

// Guards the rotation of the authority and the keys without a restart: calls must work
// at every step, and at the end the old certificates must be rejected, also on open
// connections.
func TestKeyRotation(t *testing.T) {
	dir, next := t.TempDir(), t.TempDir()
	old, fresh := devKeys(t, dir, "a", "b", "c"), devKeys(t, next, "a", "b")
	own := func(name string) KeyFiles { // each host has its own files
		k := KeyFiles{CA: dir + "/" + name + "-ca.pem", Cert: old[name].Cert, Key: old[name].Key}
		install(t, k.CA, old[name].CA)
		return k
	}
	ka, kb := own("a"), own("b")
	a, _ := newEchoTransport(t, "127.0.0.1:0", ka, nil)
	b, _ := newEchoTransport(t, "127.0.0.1:0", kb, nil)
	c, _ := newEchoTransport(t, "127.0.0.1:0", own("c"), nil)
	for _, from := range []*Transport{a, c} {
		if _, err := call(t, from, b.Address(), ""); err != nil {
			t.Fatal(err)
		}
	}
	for _, k := range []KeyFiles{ka, kb} {
		install(t, k.CA, old["a"].CA, fresh["a"].CA)
	}
	a.mustReload(t)
	b.mustReload(t)
	for name, k := range map[string]KeyFiles{"a": ka, "b": kb} {
		install(t, k.Key, fresh[name].Key)
		install(t, k.Cert, fresh[name].Cert)
	}
	a.mustReload(t)
	b.mustReload(t)
	if _, err := call(t, a, b.Address(), ""); err != nil {
		t.Errorf("call while both authorities are valid: %v", err)
	}
	for _, k := range []KeyFiles{ka, kb} {
		install(t, k.CA, fresh["a"].CA)
	}
	eventually(t, "open connections with old certificates are closed", func() bool {
		return b.Stats().RejectedPeers > 0
	})
	eventually(t, "the new keys work", func() bool {
		_, err := call(t, a, b.Address(), "")
		return err == nil
	})
	if _, err := call(t, c, b.Address(), ""); err == nil {
		t.Error("the old certificate is still accepted")
	}
}

// mustReload makes the transport read its key files.
func (t *Transport) mustReload(tb testing.TB) {
	tb.Helper()
	if _, err := t.keys.reload(); err != nil {
		tb.Fatal(err)
	}
}

// install atomically writes the concatenated content of the files to one file.
func install(t *testing.T, to string, from ...string) {
	t.Helper()
	var all []byte
	for _, f := range from {
		b, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, b...)
	}
	if err := replaceFile(to, all, 0o600); err != nil {
		t.Fatal(err)
	}
}

// udpProxy forwards UDP packets to one address. It can block the flows that exist while
// new ones work.
type udpProxy struct {
	listener *net.UDPConn
	to       *net.UDPAddr
	mu       sync.Mutex
	flows    map[string]*net.UDPConn
	blocked  map[string]bool
	// toTargetBlocked drops the packets to the target of all flows.
	toTargetBlocked bool
}

func newUDPProxy(t *testing.T, to string) *udpProxy {
	t.Helper()
	listener, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	addr, _ := net.ResolveUDPAddr("udp", to)
	r := &udpProxy{listener: listener, to: addr, flows: make(map[string]*net.UDPConn), blocked: make(map[string]bool)}
	t.Cleanup(func() {
		_ = listener.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, f := range r.flows {
			_ = f.Close()
		}
	})
	go r.forward()
	return r
}

// forward passes packets from clients to the target, over one socket per client.
func (r *udpProxy) forward() {
	buf := make([]byte, 4096)
	for {
		n, from, err := r.listener.ReadFromUDP(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		f := r.flows[from.String()]
		if f == nil {
			f, _ = net.DialUDP("udp", nil, r.to)
			r.flows[from.String()] = f
			go r.forwardBack(f, from)
		}
		if !r.blocked[from.String()] && !r.toTargetBlocked {
			_, _ = f.Write(buf[:n])
		}
		r.mu.Unlock()
	}
}

// forwardBack passes packets from the target to one client.
func (r *udpProxy) forwardBack(f *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, 4096)
	for {
		n, err := f.Read(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		if !r.blocked[to.String()] {
			_, _ = r.listener.WriteToUDP(buf[:n], to)
		}
		r.mu.Unlock()
	}
}

// blockToTarget drops all further packets to the target while blocked is set.
func (r *udpProxy) blockToTarget(blocked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.toTargetBlocked = blocked
}

// blockFlows drops all further packets of the existing flows.
func (r *udpProxy) blockFlows() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := range r.flows {
		r.blocked[k] = true
	}
}

// Guards against using a connection forever whose packets the network drops while new
// connections work, for calls and for one-way messages.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	k := devKeys(t, t.TempDir(), "a", "b")
	a, _ := newEchoTransport(t, "127.0.0.1:0", k["a"], nil)
	b, got := newEchoTransport(t, "127.0.0.1:0", k["b"], nil)
	r := newUDPProxy(t, b.Address())
	to := r.listener.LocalAddr().String()
	if _, err := call(t, a, to, ""); err != nil {
		t.Fatal(err)
	}
	r.blockFlows()
	if _, err := call(t, a, to, ""); !errors.Is(err, ErrNoResponse) {
		t.Errorf("call on the unresponsive connection: %v", err)
	}
	if _, err := call(t, a, to, ""); err != nil {
		t.Errorf("call on the new connection: %v", err)
	}
	r.blockFlows()
	eventually(t, "a one-way message arrives", func() bool {
		a.Send(to, "probe", nil)
		return len(got) > 0
	})
	if n := a.Stats().ReplacedConns; n != 2 {
		t.Errorf("%d connections replaced", n)
	}
}

// Guards against a packet that the peer sent before it became unresponsive and that counts as its
// sign of life: the call waited until its deadline, and the next call failed on the same connection.
func TestLatePacketDoesNotHideUnresponsiveConnection(t *testing.T) {
	k := devKeys(t, t.TempDir(), "a", "b")
	a, got := newEchoTransport(t, "127.0.0.1:0", k["a"], nil)
	b, _ := newEchoTransport(t, "127.0.0.1:0", k["b"], nil)
	r := newUDPProxy(t, b.Address())
	to := r.listener.LocalAddr().String()
	if _, err := call(t, a, to, ""); err != nil {
		t.Fatal(err)
	}
	r.blockToTarget(true)
	result := make(chan error, 1)
	go func() {
		_, err := call(t, a, to, "")
		result <- err
	}()
	time.Sleep(50 * time.Millisecond) // the call has begun
	for _, c := range b.openConns() {
		b.Send(c.RemoteAddr().String(), "late", nil)
	}
	<-got
	r.blockFlows()
	r.blockToTarget(false)
	if err := <-result; !errors.Is(err, ErrNoResponse) || errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("call on the unresponsive connection: %v", err)
	}
	if _, err := call(t, a, to, ""); err != nil {
		t.Errorf("call on the new connection: %v", err)
	}
}

// Guards against a connection that is closed because the peer sends nothing while its handler works.
func TestSlowHandlerIsNoUnresponsivePeer(t *testing.T) {
	k := devKeys(t, t.TempDir(), "a", "b")
	a, _ := newEchoTransport(t, "127.0.0.1:0", k["a"], nil)
	b, err := New(Config{Listen: "127.0.0.1:0", Keys: k["b"]}, Handlers{
		Call: func(context.Context, Peer, string, []byte) ([]byte, error) {
			time.Sleep(time.Second) // more than Config.UnresponsiveAfter of the caller
			return nil, nil
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	if _, err := call(t, a, b.Address(), ""); err != nil {
		t.Error(err)
	}
}

// Guards against waiting for a timeout after a peer has restarted: a process with the
// same keys must reset the connections to the previous process.
func TestRestartedPeerResetsOldConnections(t *testing.T) {
	k := devKeys(t, t.TempDir(), "a", "b")
	a, _ := newEchoTransport(t, "127.0.0.1:0", k["a"], func(c *Config) { c.UnresponsiveAfter = time.Minute })
	b, _ := newEchoTransport(t, "127.0.0.1:0", k["b"], nil)
	if _, err := call(t, a, b.Address(), ""); err != nil {
		t.Fatal(err)
	}
	address := b.Address()
	_ = b.quic.Conn.Close() // as if the process crashed
	_ = b.Close()
	newEchoTransport(t, address, k["b"], nil)
	// Packets under 43 bytes do not cause a reset.
	if _, err := call(t, a, address, strings.Repeat("x", 100)); errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("the first call waited: %v", err)
	}
	if _, err := call(t, a, address, ""); err != nil {
		t.Errorf("the second call: %v", err)
	}
}
