package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// DevCA is a certificate authority for tests, demonstrations and small installations.
// Its keys are ECDSA P-256, which keeps handshakes small.
type DevCA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	der  []byte
}

// NewDevCA creates an authority that is valid from one hour ago until the given
// duration from now.
func NewDevCA(valid time.Duration) (*DevCA, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("create authority: %w", err)
	}
	t, err := template("sardinefront development authority", valid)
	if err != nil {
		return nil, err
	}
	t.IsCA = true
	t.BasicConstraintsValid = true
	t.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("create authority: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("create authority: %w", err)
	}
	return &DevCA{cert: cert, key: key, der: der}, nil
}

// template returns the fields common to all certificates.
func template(name string, valid time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, fmt.Errorf("create certificate %s: %w", name, err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(valid),
	}, nil
}

// CertPEM returns the authority's certificate in PEM.
func (c *DevCA) CertPEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: c.der})
}

// KeyPEM returns the authority's private key in PEM.
func (c *DevCA) KeyPEM() ([]byte, error) { return keyPEM(c.key) }

// LoadDevCA loads an authority from its certificate and private key in PEM.
func LoadDevCA(certPEM, keyPEMBytes []byte) (*DevCA, error) {
	cb, _ := pem.Decode(certPEM)
	kb, _ := pem.Decode(keyPEMBytes)
	if cb == nil || kb == nil {
		return nil, fmt.Errorf("read authority: certificate or key has no PEM block")
	}
	cert, err := x509.ParseCertificate(cb.Bytes)
	if err != nil {
		return nil, fmt.Errorf("read authority: %w", err)
	}
	key, err := x509.ParsePKCS8PrivateKey(kb.Bytes)
	if err != nil {
		return nil, fmt.Errorf("read authority: %w", err)
	}
	ec, ok := key.(*ecdsa.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("read authority: the key is not ECDSA")
	}
	return &DevCA{cert: cert, key: ec, der: cb.Bytes}, nil
}

// Issue creates a key for the named host, signs its certificate and returns both in
// PEM.
func (c *DevCA) Issue(name string, valid time.Duration, addresses ...net.IP) (certPEM, key []byte, err error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("create key of %s: %w", name, err)
	}
	t, err := template(name, valid)
	if err != nil {
		return nil, nil, err
	}
	t.DNSNames = []string{name}
	t.IPAddresses = addresses
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, t, c.cert, &k.PublicKey, c.key)
	if err != nil {
		return nil, nil, fmt.Errorf("sign key of %s: %w", name, err)
	}
	key, err = keyPEM(k)
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), key, err
}

func keyPEM(k *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		return nil, fmt.Errorf("encode key: %w", err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}), nil
}

// WriteDevKeys writes ca.pem, ca-key.pem and, for each host, <name>.pem and
// <name>-key.pem into dir, and returns the files by host. If dir already holds an
// authority, it signs the new certificates; otherwise a new one is created.
func WriteDevKeys(dir string, valid time.Duration, names ...string) (map[string]KeyFiles, error) {
	ca, err := openDevCA(dir, valid)
	if err != nil {
		return nil, err
	}
	files := make(map[string]KeyFiles, len(names))
	for _, name := range names {
		if name == "" || name == "ca" || name != filepath.Base(name) {
			return nil, fmt.Errorf("write keys: %q cannot be a file name", name)
		}
		cert, key, err := ca.Issue(name, valid)
		if err != nil {
			return nil, err
		}
		f := KeyFiles{
			CA:   filepath.Join(dir, "ca.pem"),
			Cert: filepath.Join(dir, name+".pem"),
			Key:  filepath.Join(dir, name+"-key.pem"),
		}
		if err := writePair(f.Cert, cert, f.Key, key); err != nil {
			return nil, err
		}
		files[name] = f
	}
	return files, nil
}

// openDevCA loads the authority in dir or creates one there.
func openDevCA(dir string, valid time.Duration) (*DevCA, error) {
	certFile, keyFile := filepath.Join(dir, "ca.pem"), filepath.Join(dir, "ca-key.pem")
	cert, certErr := os.ReadFile(certFile)
	key, keyErr := os.ReadFile(keyFile)
	if certErr == nil && keyErr == nil {
		return LoadDevCA(cert, key)
	}
	ca, err := NewDevCA(valid)
	if err != nil {
		return nil, err
	}
	if key, err = ca.KeyPEM(); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("write keys: %w", err)
	}
	return ca, writePair(certFile, ca.CertPEM(), keyFile, key)
}

// writePair writes a certificate and its key, which only the owner may read. Each file
// is replaced atomically, because a running host may be reading it.
func writePair(certFile string, cert []byte, keyFile string, key []byte) error {
	if err := replaceFile(keyFile, key, 0o600); err != nil {
		return err
	}
	return replaceFile(certFile, cert, 0o644)
}

func replaceFile(name string, b []byte, mode os.FileMode) error {
	tmp := name + ".new"
	if err := os.WriteFile(tmp, b, mode); err != nil {
		return fmt.Errorf("write keys: %w", err)
	}
	if err := os.Rename(tmp, name); err != nil {
		return fmt.Errorf("write keys: %w", err)
	}
	return nil
}
