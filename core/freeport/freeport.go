// Package freeport selects loopback ports for programs that must know a port before they listen
// on it, such as test fixtures and demos. A port from the ephemeral range that was free a moment
// ago may since be the local port of an outgoing connection; the ports of this package are
// outside of that range.
package freeport

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
)

const (
	// The ports from firstPort up to the ephemeral range are divided into blocks. A process
	// selects from blocks that it has locked, until it ends.
	firstPort = 12000
	lastPort  = 32767
	blockSize = 128
)

// block is a block of ports that this process has locked.
type block struct {
	first uint16
	used  int      // ports at the start of the block that were checked
	lock  *os.File // kept open, since closing it would release the lock
}

var (
	mu sync.Mutex
	// blocks are the blocks of this process; the last one is in use.
	blocks []*block
)

// Loopback returns a port that is free for TCP and UDP on the IPv4 loopback address. It is not
// returned again in this process, or in another one before this process ends.
func Loopback() (uint16, error) {
	mu.Lock()
	defer mu.Unlock()
	for {
		if len(blocks) == 0 || blocks[len(blocks)-1].used == blockSize {
			b, err := lockBlock()
			if err != nil {
				return 0, err
			}
			blocks = append(blocks, b)
		}
		b := blocks[len(blocks)-1]
		port := b.first + uint16(b.used)
		b.used++
		if isFree(port) {
			return port, nil
		}
	}
}

// LoopbackAddress returns a free port as host:port.
func LoopbackAddress() (string, error) {
	port, err := Loopback()
	return fmt.Sprintf("127.0.0.1:%d", port), err
}

// IsEphemeral reports whether the system may assign the port to a connection, or to a listener that
// requests port 0.
func IsEphemeral(port uint16) bool { return int(port) >= firstEphemeralPort() }

func isFree(port uint16) bool {
	address := fmt.Sprintf("127.0.0.1:%d", port)
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	l.Close()
	c, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	c.Close()
	return true
}

// lockBlock locks a block of ports that no other process has locked.
func lockBlock() (*block, error) {
	dir := filepath.Join(os.TempDir(), fmt.Sprintf("sardinefront-ports-%d", os.Getuid()))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("lock a block of ports: %w", err)
	}
	count := (min(lastPort, firstEphemeralPort()-1) - firstPort + 1) / blockSize
	if count <= 0 {
		return nil, errors.New("lock a block of ports: the ephemeral range leaves none")
	}
	for _, i := range rand.Perm(count) {
		first := uint16(firstPort + i*blockSize)
		f, err := os.OpenFile(filepath.Join(dir, fmt.Sprint(first)), os.O_CREATE|os.O_RDWR, 0o600)
		if err != nil {
			return nil, fmt.Errorf("lock a block of ports: %w", err)
		}
		if tryLock(f) {
			return &block{first: first, lock: f}, nil
		}
		f.Close()
	}
	return nil, errors.New("lock a block of ports: all are locked by other processes")
}

// firstEphemeralPort returns the lowest port that the system assigns to outgoing connections.
func firstEphemeralPort() int {
	first := lastPort + 1
	if b, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range"); err == nil {
		_, _ = fmt.Sscan(string(b), &first)
	}
	return first
}
