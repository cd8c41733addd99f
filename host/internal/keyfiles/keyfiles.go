// Package keyfiles serves TLS with keys from files that are read again when
// they change, so that keys rotate without a restart.
package keyfiles

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// recheckEvery bounds how long a changed file stays unnoticed.
const recheckInterval = 10 * time.Second

// Files name the PEM files of a listener.
type Files struct {
	// Authority holds the certificates that sign clients' certificates.
	CA        string
	Cert, Key string
}

// Server hands out the current TLS configuration of a listener. Its methods are
// safe for concurrent use.
type Reloader struct {
	files Files

	mu          sync.Mutex
	current     *tls.Config
	lastChecked time.Time
}

// New reads the files once. The error names the file at fault.
func New(f Files) (*Reloader, error) {
	s := &Reloader{files: f}
	c, err := s.load()
	if err != nil {
		return nil, err
	}
	s.current, s.lastChecked = c, time.Now()
	return s, nil
}

// Config returns a configuration for a listener. A client certificate is
// optional, and verified if given; the caller decides what needs one.
func (s *Reloader) Config() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return s.currentConfig(), nil },
	}
}

// latest reads the files again if the last look is old enough. Files that
// cannot be read leave the earlier keys in use.
func (s *Reloader) currentConfig() *tls.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.lastChecked) < recheckInterval {
		return s.current
	}
	s.lastChecked = now
	if c, err := s.load(); err == nil {
		s.current = c
	}
	return s.current
}

func (s *Reloader) load() (*tls.Config, error) {
	caPEM, err := os.ReadFile(s.files.CA)
	if err != nil {
		return nil, fmt.Errorf("keys.authority: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(caPEM) {
		return nil, fmt.Errorf("keys.authority: %s holds no certificate", s.files.CA)
	}
	pair, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
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
