// Package keyfiles provides a TLS configuration from files that are reloaded, so that keys rotate
// without a restart.
package keyfiles

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// recheckInterval is the minimum time between two reads of the files.
const recheckInterval = 10 * time.Second

// Files name the PEM files of a listener.
type Files struct {
	// CA holds the certificates of the authorities that sign client certificates.
	CA string
	// Cert and Key are the certificate of the listener and its private key.
	Cert, Key string
}

// Reloader provides the current TLS configuration of a listener. Its methods are safe for
// concurrent use.
type Reloader struct {
	files Files

	mu          sync.Mutex
	current     *tls.Config
	lastChecked time.Time
}

// New reads the files. The error names the setting whose file is invalid.
func New(f Files) (*Reloader, error) {
	r := &Reloader{files: f}
	c, err := r.load()
	if err != nil {
		return nil, err
	}
	r.current, r.lastChecked = c, time.Now()
	return r, nil
}

// Config returns a configuration for a listener. Client certificates are optional and verified
// if given; request handlers must check for one where it is required.
func (r *Reloader) Config() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return r.currentConfig(), nil },
	}
}

// currentConfig reads the files if the last read is at least recheckInterval ago. If they cannot
// be read, the previous configuration stays in use.
func (r *Reloader) currentConfig() *tls.Config {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.lastChecked) < recheckInterval {
		return r.current
	}
	r.lastChecked = now
	if c, err := r.load(); err == nil {
		r.current = c
	}
	return r.current
}

func (r *Reloader) load() (*tls.Config, error) {
	caPEM, err := os.ReadFile(r.files.CA)
	if err != nil {
		return nil, fmt.Errorf("keys.authority: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(caPEM) {
		return nil, fmt.Errorf("keys.authority: %s holds no certificate", r.files.CA)
	}
	pair, err := tls.LoadX509KeyPair(r.files.Cert, r.files.Key)
	if err != nil {
		return nil, fmt.Errorf("keys.certificate, keys.key: %w", err)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		ClientCAs:    roots,
		ClientAuth:   tls.VerifyClientCertIfGiven,
	}, nil
}
