package freeport

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// Guards against a fixture that cannot listen on its port because an outgoing connection of
// another test has taken it, and against two fixtures with the same port.
func TestPortsAreNeverTakenByConnections(t *testing.T) {
	first := firstEphemeralPort()
	seen := map[uint16]bool{}
	for range 2 * blockSize {
		port, err := Loopback()
		if err != nil {
			t.Fatal(err)
		}
		if int(port) >= first || seen[port] {
			t.Errorf("port %d, already returned: %t, ephemeral from %d", port, seen[port], first)
		}
		seen[port] = true
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			t.Error(err)
			continue
		}
		defer l.Close()
	}
}

// childEnv makes the test binary print its block and wait for the end of its input.
const childEnv = "SARDINEFRONT_FREEPORT_CHILD"

// Guards against test binaries that run at the same time and select the same ports.
func TestProcessesUseDifferentBlocks(t *testing.T) {
	if os.Getenv(childEnv) != "" {
		port, err := Loopback()
		fmt.Printf("port %d %v\n", port, err)
		_, _ = os.Stdin.Read(make([]byte, 1))
		return
	}
	if _, err := Loopback(); err != nil {
		t.Fatal(err)
	}
	used := map[uint16]bool{}
	for _, b := range blocks {
		used[b.first] = true
	}
	for range 3 {
		c := exec.Command(os.Args[0], "-test.run=^TestProcessesUseDifferentBlocks$")
		c.Env = append(os.Environ(), childEnv+"=1")
		in, err := c.StdinPipe()
		if err != nil {
			t.Fatal(err)
		}
		out, err := c.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		defer func() { in.Close(); _ = c.Wait() }()
		var port uint16
		var failure string
		if _, err := fmt.Fscanf(out, "port %d %s\n", &port, &failure); err != nil || !strings.Contains(failure, "nil") {
			t.Fatalf("child: port %d, %q, %v", port, failure, err)
		}
		block := firstPort + (port-firstPort)/blockSize*blockSize
		if used[block] {
			t.Errorf("two processes use the block from port %d", block)
		}
		used[block] = true
	}
}
