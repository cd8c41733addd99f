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

// KeyFiles are the paths of PEM files. A Transport reloads them when they change.
type KeyFiles struct {
	// CA holds the certificates of the authorities that sign host certificates.
	// During a rotation it holds the old and the new one.
	CA string
	// Cert and Key are this host's certificate and private key. The first DNS
	// name in the certificate is the host's name.
	Cert, Key string
}

// alpn is the protocol name negotiated in the TLS handshake.
const alpn = "sardinefront/1"

// keyring is the content of the key files at one time.
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

// reload reads the files and reports whether they changed. After an error the previous
// keys stay in use.
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

// resetKey derives the key of QUIC stateless resets from the private key. A restarted
// process then has the same key and resets its peers' connections to the previous
// process.
func (k *keys) resetKey() *quic.StatelessResetKey {
	h := hmac.New(sha256.New, k.current.Load().raw[2])
	h.Write([]byte("sardinefront stateless reset"))
	var key quic.StatelessResetKey
	copy(key[:], h.Sum(nil))
	return &key
}

// errNoCertificate means that the peer presented no certificate.
var errNoCertificate = errors.New("no certificate")

// verify checks a peer's certificate chain against the current authorities. It does not
// check the name, because hosts are dialled by IP address; fleet compares the name with
// the sender in the messages.
func (k *keys) verify(chain []*x509.Certificate) error {
	if len(chain) == 0 {
		return errNoCertificate
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         k.current.Load().roots,
		Intermediates: intermediates,
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

// hostName returns the host name in the first certificate of the chain, or "".
func hostName(chain []*x509.Certificate) string {
	if len(chain) == 0 || len(chain[0].DNSNames) == 0 {
		return ""
	}
	return chain[0].DNSNames[0]
}

// serverConfig returns TLS settings that always use the current keys. It disables
// session resumption, as clientConfig does, because a resumed session would skip the
// check against the current authorities. rejected is called for each rejected peer.
func (k *keys) serverConfig(rejected func(tls.ConnectionState, error)) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{alpn},
		SessionTicketsDisabled: true,
		// VerifyConnection rejects a missing certificate and counts that.
		ClientAuth: tls.RequestClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &k.current.Load().own, nil
		},
		VerifyConnection: k.verifyConnection(rejected),
	}
}

// clientConfig is the counterpart of serverConfig for dialling.
func (k *keys) clientConfig(rejected func(tls.ConnectionState, error)) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{alpn},
		SessionTicketsDisabled: true,
		// VerifyConnection checks the chain. The default check also requires the
		// host name, which is not known here.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &k.current.Load().own, nil
		},
		VerifyConnection: k.verifyConnection(rejected),
	}
}

// verifyConnection returns a callback that verifies the peer and calls rejected if that
// fails.
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
