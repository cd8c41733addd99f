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

// lockedBuffer collects log lines.
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

// echo starts a transport whose calls return the body and the caller's name.
func echo(t *testing.T, listen string, k KeyFiles, change func(*Config)) (*Transport, chan string) {
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

func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within 10 s", what)
		}
	}
}

// Guards the message kinds, the classes of errors and messages longer than a
// datagram.
func TestCallsAndMessages(t *testing.T) {
	k := devKeys(t, t.TempDir(), "a", "b")
	a, _ := echo(t, "127.0.0.1:0", k["a"], nil)
	b, got := echo(t, "127.0.0.1:0", k["b"], nil)
	if r, err := call(t, a, b.Address(), "hello"); err != nil || r != "a hello" {
		t.Errorf("call: %q, %v", r, err)
	}
	if _, err := a.Call(t.Context(), b.Address(), "fail", nil); !errors.Is(err, ErrRefused) {
		t.Errorf("failing handler: %v", err)
	}
	if _, err := call(t, a, "127.0.0.1:1", ""); !errors.Is(err, ErrNotSent) {
		t.Errorf("nobody there: %v", err)
	}
	if _, err := a.CallHost(t.Context(), "c", b.Address(), "echo", nil); !errors.Is(err, ErrNotSent) {
		t.Errorf("another host at the address: %v", err)
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

// Guards the rule that a peer without a valid certificate gets nothing: not one
// from another authority, not one without a certificate, in either direction.
func TestPeerWithoutValidCertificateGetsNothing(t *testing.T) {
	k, other := devKeys(t, t.TempDir(), "a", "b"), devKeys(t, t.TempDir(), "a")
	var log lockedBuffer
	b, got := echo(t, "127.0.0.1:0", k["b"], func(c *Config) { c.Logger = slog.New(slog.NewTextHandler(&log, nil)) })

	stranger, heard := echo(t, "127.0.0.1:0", other["a"], nil)
	if r, err := call(t, stranger, b.Address(), "hello"); err == nil {
		t.Errorf("a stranger got %q", r)
	}
	if r, err := call(t, b, stranger.Address(), "hello"); err == nil {
		t.Errorf("a stranger answered %q", r)
	}
	foreign, err := tls.LoadX509KeyPair(other["a"].Cert, other["a"].Key)
	if err != nil {
		t.Fatal(err)
	}
	for _, certs := range [][]tls.Certificate{nil, {foreign}} {
		bare := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{alpn}, Certificates: certs}
		c, err := quic.DialAddr(t.Context(), b.Address(), bare, &quic.Config{EnableDatagrams: true})
		if err == nil { // the client's side of the handshake ends first
			_ = c.SendDatagram([]byte{0x82, 0x61, 'x', 0x40})
			<-c.Context().Done()
		}
	}
	eventually(t, "three rejections", func() bool { return b.Stats().RejectedPeers == 3 })
	if n := strings.Count(log.String(), "event=504"); n != 3 {
		t.Errorf("%d events logged:\n%s", n, log.String())
	}
	if len(got)+len(heard) != 0 {
		t.Errorf("%d messages were handled", len(got)+len(heard))
	}
}

// Guards the rotation of authority and keys without a restart: calls work at
// every step, and at the end the old certificate is worth nothing, on open
// connections too.
func TestKeyRotation(t *testing.T) {
	dir, next := t.TempDir(), t.TempDir()
	old, fresh := devKeys(t, dir, "a", "b", "c"), devKeys(t, next, "a", "b")
	own := func(name string) KeyFiles { // each host has files of its own
		k := KeyFiles{CA: dir + "/" + name + "-ca.pem", Cert: old[name].Cert, Key: old[name].Key}
		install(t, k.CA, old[name].CA)
		return k
	}
	ka, kb := own("a"), own("b")
	a, _ := echo(t, "127.0.0.1:0", ka, nil)
	b, _ := echo(t, "127.0.0.1:0", kb, nil)
	c, _ := echo(t, "127.0.0.1:0", own("c"), nil)
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
		t.Errorf("between the authorities: %v", err)
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

// mustReload waits until the transport has read the files as they are.
func (t *Transport) mustReload(tb testing.TB) {
	tb.Helper()
	if _, err := t.keys.reload(); err != nil {
		tb.Fatal(err)
	}
}

// install writes the content of the files to one file, as a whole.
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

// relay forwards UDP packets to one address and can silence the flows that are
// open while new ones work.
type relay struct {
	front  *net.UDPConn
	to     *net.UDPAddr
	mu     sync.Mutex
	flows  map[string]*net.UDPConn
	silent map[string]bool
}

func newRelay(t *testing.T, to string) *relay {
	t.Helper()
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	addr, _ := net.ResolveUDPAddr("udp", to)
	r := &relay{front: front, to: addr, flows: make(map[string]*net.UDPConn), silent: make(map[string]bool)}
	t.Cleanup(func() {
		_ = front.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, f := range r.flows {
			_ = f.Close()
		}
	})
	go r.forward()
	return r
}

func (r *relay) forward() {
	buf := make([]byte, 4096)
	for {
		n, from, err := r.front.ReadFromUDP(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		f := r.flows[from.String()]
		if f == nil {
			f, _ = net.DialUDP("udp", nil, r.to)
			r.flows[from.String()] = f
			go r.back(f, from)
		}
		if !r.silent[from.String()] {
			_, _ = f.Write(buf[:n])
		}
		r.mu.Unlock()
	}
}

func (r *relay) back(f *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, 4096)
	for {
		n, err := f.Read(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		if !r.silent[to.String()] {
			_, _ = r.front.WriteToUDP(buf[:n], to)
		}
		r.mu.Unlock()
	}
}

func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := range r.flows {
		r.silent[k] = true
	}
}

// Guards against connections that go silent for good while new ones work, for
// calls and for one-way messages.
func TestSilentConnectionIsReplaced(t *testing.T) {
	k := devKeys(t, t.TempDir(), "a", "b")
	a, _ := echo(t, "127.0.0.1:0", k["a"], nil)
	b, got := echo(t, "127.0.0.1:0", k["b"], nil)
	r := newRelay(t, b.Address())
	to := r.front.LocalAddr().String()
	if _, err := call(t, a, to, ""); err != nil {
		t.Fatal(err)
	}
	r.silence()
	if _, err := call(t, a, to, ""); !errors.Is(err, ErrNoReply) {
		t.Errorf("on the silent connection: %v", err)
	}
	if _, err := call(t, a, to, ""); err != nil {
		t.Errorf("on the new connection: %v", err)
	}
	r.silence()
	eventually(t, "a one-way message arrives", func() bool {
		a.Send(to, "probe", nil)
		return len(got) > 0
	})
	if n := a.Stats().ReplacedConns; n != 2 {
		t.Errorf("%d connections replaced", n)
	}
}

// Guards against a wait for timeouts after a peer has restarted with its keys:
// it resets the connections of its predecessor.
func TestRestartedPeerResetsOldConnections(t *testing.T) {
	k := devKeys(t, t.TempDir(), "a", "b")
	a, _ := echo(t, "127.0.0.1:0", k["a"], func(c *Config) { c.UnresponsiveAfter = time.Minute })
	b, _ := echo(t, "127.0.0.1:0", k["b"], nil)
	if _, err := call(t, a, b.Address(), ""); err != nil {
		t.Fatal(err)
	}
	address := b.Address()
	_ = b.quic.Conn.Close() // the process ends without a word
	_ = b.Close()
	echo(t, address, k["b"], nil)
	// Packets under 43 bytes are not answered with a reset.
	if _, err := call(t, a, address, strings.Repeat("x", 100)); errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("the first call waited: %v", err)
	}
	if _, err := call(t, a, address, ""); err != nil {
		t.Errorf("the second call: %v", err)
	}
}
