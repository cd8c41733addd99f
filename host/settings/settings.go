// Package settings reads the YAML settings of an entry host, applies defaults and validates them.
// All invalid values are reported in one error, each with its line.
package settings

import (
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/goccy/go-yaml"
)

// Settings configure one sardinefront process. Durations are written as in Go, for example 30s.
type Settings struct {
	Host     Host     `yaml:"host"`
	Listen   Listen   `yaml:"listen"`
	Platform Platform `yaml:"platform"`
	Rules    Rules    `yaml:"rules"`
	KeyFiles KeyFiles `yaml:"keys"`
	Limits   Limits   `yaml:"limits"`
	Journal  Journal  `yaml:"journal"`
	Commands Commands `yaml:"orders"`
	Targets  []Target `yaml:"targets"`
}

// Commands configures the control commands that this host sends to engines.
type Commands struct {
	// UncheckedPools names pools whose engines do not authenticate the sender of commands, but
	// to which this host may send commands because the network between them is trusted.
	UncheckedPools []string `yaml:"unchecked_pools"`
	// SenderToken authenticates this host to engines that check the sender.
	SenderToken string `yaml:"sender_token"`
}

// AllowsUnchecked reports whether commands may be sent to a pool whose engines do not
// authenticate the sender.
func (c Commands) AllowsUnchecked(pool string) bool {
	return slices.Contains(c.UncheckedPools, pool)
}

// Host identifies the entry host.
type Host struct {
	// Name is unique in the fleet.
	Name string `yaml:"name"`
	Zone string `yaml:"zone"`
}

// Listen holds the addresses to listen on, each IP:port.
type Listen struct {
	Callers   string `yaml:"callers"`
	Operators string `yaml:"operators"`
	// Peers is the UDP address for other hosts. If it is empty, the host runs alone.
	Peers string `yaml:"peers"`
}

// Platform configures the client of the platform's service. An empty address selects the
// embedded store.
type Platform struct {
	Address string `yaml:"address"`
	// ReadsPerSecond and WritesPerSecond limit the calls of this process.
	ReadsPerSecond  float64 `yaml:"reads_per_second"`
	WritesPerSecond float64 `yaml:"writes_per_second"`
	// HostListInterval is how often the host list is read.
	HostListInterval time.Duration `yaml:"host_list_every"`
}

// Rules names a rules file that is written to the store at start if the store has no rules.
type Rules struct {
	File string `yaml:"file"`
}

// KeyFiles are PEM files for mutual TLS with peers and operators. They are reloaded when they
// change.
type KeyFiles struct {
	CA   string `yaml:"authority"`
	Cert string `yaml:"certificate"`
	Key  string `yaml:"key"`
}

// Limits bound requests of callers, the shutdown and the waits for targets.
type Limits struct {
	// BodyBytes is the maximum size of a request body.
	BodyBytes    int           `yaml:"body_bytes"`
	ReadTimeout  time.Duration `yaml:"read_timeout"`
	IdleTimeout  time.Duration `yaml:"idle_timeout"`
	DrainTimeout time.Duration `yaml:"drain_timeout"`
	// DialTimeout bounds a connect to a target, FirstByteTimeout the wait for the first byte of
	// its response.
	DialTimeout      time.Duration `yaml:"dial_timeout"`
	FirstByteTimeout time.Duration `yaml:"first_byte_timeout"`
}

// Journal configures the journal. Partitions is the number of partitions and must be the same on
// every host of the fleet. Retention is how long an outcome can be looked up.
type Journal struct {
	Partitions int           `yaml:"partitions"`
	Retention  time.Duration `yaml:"retention"`
	// LeaseTTL is the TTL of a partition writer's lease. An unresponsive writer keeps its
	// partition for at most this long.
	LeaseTTL time.Duration `yaml:"lease"`
}

// Target is a statically configured target, used in addition to those in the platform's list.
type Target struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"`
	Pool    string `yaml:"pool"`
	Zone    string `yaml:"zone"`
	Version string `yaml:"version"`
}

// Defaults returns the settings of a process that runs alone on loopback.
func Defaults() Settings {
	return Settings{
		Host:   Host{Name: "host-1", Zone: "zone-1"},
		Listen: Listen{Callers: "127.0.0.1:8080", Operators: "127.0.0.1:8081"},
		Platform: Platform{
			ReadsPerSecond:   50,
			WritesPerSecond:  40,
			HostListInterval: time.Second,
		},
		Limits: Limits{
			BodyBytes:        4 << 20,
			ReadTimeout:      10 * time.Second,
			IdleTimeout:      60 * time.Second,
			DrainTimeout:     60 * time.Second,
			DialTimeout:      time.Second,
			FirstByteTimeout: 20 * time.Second,
		},
		Journal: Journal{Partitions: 1, Retention: time.Hour, LeaseTTL: 4 * time.Second},
	}
}

// Load reads a settings file, applies defaults and validates it. The error lists every finding.
func Load(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(file, text)
}

// Parse is like Load for the text of a file. The file name is only used in error messages.
func Parse(file string, text []byte) (Settings, error) {
	s := Defaults()
	if err := yaml.UnmarshalWithOptions(text, &s, yaml.Strict()); err != nil {
		return Settings{}, fmt.Errorf("settings: %s: %w", file, err)
	}
	if err := s.check(text).Err(file); err != nil {
		return Settings{}, err
	}
	return s, nil
}
