// Package settings reads, completes and checks the YAML settings of an entry
// host. Every finding is collected with its line and reported together.
package settings

import (
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/goccy/go-yaml"
)

// Settings configure one sardinefront process. Durations are Go durations in
// YAML, for example 30s.
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

// Orders says to which engines this host may give control commands.
type Commands struct {
	// UncheckedPools names pools whose engines do not check who gives an order
	// and to which this host may nevertheless give orders, because the network
	// between them is trusted.
	UncheckedPools []string `yaml:"unchecked_pools"`
	// SenderToken authenticates this host to engines that check.
	SenderToken string `yaml:"sender_token"`
}

// MayOrder reports whether orders may go to a pool that does not check them.
func (o Commands) AllowsUnchecked(pool string) bool { return slices.Contains(o.UncheckedPools, pool) }

// Host names the process.
type Host struct {
	// Name is unique in the fleet.
	Name string `yaml:"name"`
	Zone string `yaml:"zone"`
}

// Listen holds the addresses, each IP:port.
type Listen struct {
	Callers   string `yaml:"callers"`
	Operators string `yaml:"operators"`
	// Peers is the UDP address for other hosts. Empty: the host runs alone.
	Peers string `yaml:"peers"`
}

// Platform says where the platform's service is and how many calls a second
// this process may make. An empty address selects the embedded store.
type Platform struct {
	Address          string        `yaml:"address"`
	ReadsPerSecond   float64       `yaml:"reads_per_second"`
	WritesPerSecond  float64       `yaml:"writes_per_second"`
	HostListInterval time.Duration `yaml:"host_list_every"`
}

// Rules names a file to load into the store at start if the store has none.
type Rules struct {
	File string `yaml:"file"`
}

// Keys are PEM files for mutual TLS with peers and operators. They are read
// again when they change.
type KeyFiles struct {
	CA   string `yaml:"authority"`
	Cert string `yaml:"certificate"`
	Key  string `yaml:"key"`
}

// Limits bound what callers may do.
type Limits struct {
	BodyBytes    int           `yaml:"body_bytes"`
	ReadTimeout  time.Duration `yaml:"read_timeout"`
	IdleTimeout  time.Duration `yaml:"idle_timeout"`
	DrainTimeout time.Duration `yaml:"drain_timeout"`
	// DialTimeout and FirstByte bound the waits at a target.
	DialTimeout      time.Duration `yaml:"dial_timeout"`
	FirstByteTimeout time.Duration `yaml:"first_byte_timeout"`
}

// Journal configures the partitions. Partitions must be the same on every
// host of the fleet.
type Journal struct {
	Partitions int           `yaml:"partitions"`
	Retention  time.Duration `yaml:"retention"`
	// Lease is how long a paused writer keeps its partition.
	LeaseTTL time.Duration `yaml:"lease"`
}

// Target is a statically configured target, used beside the platform's list.
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

// Load reads a settings file over the defaults and checks it. The error lists
// every finding.
func Load(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(file, text)
}

// Parse is Load for text that is already in memory.
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
