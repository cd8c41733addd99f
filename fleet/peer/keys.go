package peer

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

// KeyFiles names PEM files. They are read again when their content changes.
type KeyFiles struct {
	// CA holds the certificates of the authorities that sign host keys. During
	// a rotation it holds the old and the new one.
	CA string
	// Cert and Key are this host's certificate and private key. The first DNS
	// name in the certificate is the host's name.
	Cert, Key string
}

// alpn is the protocol name agreed in the handshake.
const alpn = "sardinefront/1"

// keyring is one consistent state of the key files.
type keyring struct {
	roots *x509.CertPool
	own   tls.Certificate
	raw   [3][]byte
}

// keys holds the current keyring.
type keys struct {
	files   KeyFiles
	current atomic.Pointer[keyring]
	now     func() time.Time
}

func loadKeys(f KeyFiles) (*keys, error) {
	k := &keys{files: f, now: time.Now}
	_, err := k.reload()
	return k, err
}

// reload reads the files and reports whether they changed. On an error the
// earlier keys stay in use.
func (k *keys) reload() (bool, error) {
	var r keyring
	for i, name := range []string{k.files.CA, k.files.Cert, k.files.Key} {
		b, err := os.ReadFile(name)
		if err != nil {
			return false, fmt.Errorf("peer keys: %w", err)
		}
		r.raw[i] = b
	}
	old := k.current.Load()
	if old != nil && equalFiles(old.raw, r.raw) {
		return false, nil
	}
	r.roots = x509.NewCertPool()
	if !r.roots.AppendCertsFromPEM(r.raw[0]) {
		return false, fmt.Errorf("peer keys: %s holds no certificate", k.files.CA)
	}
	own, err := tls.X509KeyPair(r.raw[1], r.raw[2])
	if err != nil {
		return false, fmt.Errorf("peer keys: %s and %s: %w", k.files.Cert, k.files.Key, err)
	}
	r.own = own
	k.current.Store(&r)
	return true, nil
}

func equalFiles(a, b [3][]byte) bool {
	for i := range a {
		if !bytes.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}

// resetKey derives the key of stateless resets from the private key, so that a
// restarted process tells its peers at once that their connections to its
// predecessor are gone.
func (k *keys) resetKey() *quic.StatelessResetKey {
	h := hmac.New(sha256.New, k.current.Load().raw[2])
	h.Write([]byte("sardinefront stateless reset"))
	var key quic.StatelessResetKey
	copy(key[:], h.Sum(nil))
	return &key
}

// errNoCertificate means that the peer presented none.
var errNoCertificate = errors.New("no certificate")

// verify checks a peer's chain against the current authorities. Hosts are
// dialled by IP address, so the name is not compared here; the layer above
// compares it with the sender named in the messages.
func (k *keys) verify(chain []*x509.Certificate) error {
	if len(chain) == 0 {
		return errNoCertificate
	}
	rest := x509.NewCertPool()
	for _, c := range chain[1:] {
		rest.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         k.current.Load().roots,
		Intermediates: rest,
		CurrentTime:   k.now(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	if err != nil {
		return err
	}
	if hostName(chain) == "" {
		return errors.New("the certificate has no DNS name")
	}
	return nil
}

// nameOf returns the host name that a verified chain speaks for.
func hostName(chain []*x509.Certificate) string {
	if len(chain) == 0 || len(chain[0].DNSNames) == 0 {
		return ""
	}
	return chain[0].DNSNames[0]
}

// server and client return TLS settings that always use the current keys.
// Sessions are not resumed, because a resumed session would skip the check
// against the current authorities.
func (k *keys) serverConfig(rejected func(tls.ConnectionState, error)) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{alpn},
		SessionTicketsDisabled: true,
		// A missing certificate is rejected in VerifyConnection, which counts.
		ClientAuth: tls.RequestClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &k.current.Load().own, nil
		},
		VerifyConnection: k.verifyConnection(rejected),
	}
}

func (k *keys) clientConfig(rejected func(tls.ConnectionState, error)) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{alpn},
		SessionTicketsDisabled: true,
		// VerifyConnection checks the chain; the default check would compare a
		// host name that is not known here.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &k.current.Load().own, nil
		},
		VerifyConnection: k.verifyConnection(rejected),
	}
}

func (k *keys) verifyConnection(rejected func(tls.ConnectionState, error)) func(tls.ConnectionState) error {
	return func(cs tls.ConnectionState) error {
		err := k.verify(cs.PeerCertificates)
		if err != nil {
			rejected(cs, err)
			return fmt.Errorf("peer certificate: %w", err)
		}
		return nil
	}
}
