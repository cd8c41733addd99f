// Package crowd_test starts entry hosts as processes on loopback and loads them with many callers that
// do not respect the limits. The tests check what does not depend on the speed of the
// machine: the process lives, its memory and descriptors stay bounded, and an ordinary request is
// answered while the crowd is still connected.
package crowd_test

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"sardinefront.dev/platform/wire"
	"sardinefront.dev/standin/fleetuser"
	"sardinefront.dev/standin/kvstore"
	"sardinefront.dev/standin/slotengine"
)

const (
	callersPort, readyPort, internalPort, metricsPort = 8080, 8081, 8082, 9464

	// memoryMB is limits.memory_mb of the host and the bound of its resident memory.
	memoryMB = 48
	// maxDescriptors is the descriptor limit of the process; freeDescriptors of them must stay free
	// for files and targets.
	maxDescriptors, freeDescriptors = 256, 32
	maxBodyBytes                    = 1 << 20 // of fleetuser.Configuration
	engineSlots                     = 4
	dayMs                           = 86_400_000
)

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowd-")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "sardinefront")
	cmd := exec.Command("go", "build", "-o", program, "../../cmd/sardinefront")
	cmd.Stderr = os.Stderr
	code := 1
	if cmd.Run() == nil {
		code = m.Run()
	}
	_ = os.RemoveAll(dir) // a temporary directory
	os.Exit(code)
}

// entryHost is one host as a process, with a store and a target of its own.
type entryHost struct {
	t      *testing.T
	ip     string
	cmd    *exec.Cmd
	exited chan struct{}
	output bytes.Buffer
}

func startHost(t *testing.T) *entryHost {
	t.Helper()
	store, err := kvstore.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	engine, err := slotengine.Start(slotengine.Config{ID: "i-0", Slots: engineSlots, QueueCapacity: engineSlots})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(engine.Close)
	store.Put(wire.KeyConfig, fleetuser.Configuration(1, dayMs, 0, engineSlots))
	store.Put(wire.PrefixTargets+"i-0", fleetuser.TargetEntry{
		Service: fleetuser.PlainService, Address: engine.Address(), Zone: "z", Slots: engineSlots, Sequence: 1,
	}.Encode())
	h := &entryHost{t: t, ip: fmt.Sprintf("127.%d.%d.1", 16+rand.IntN(200), rand.IntN(250)), exited: make(chan struct{})}
	file := filepath.Join(t.TempDir(), "settings.yaml")
	text := fmt.Sprintf(`host: {name: host-0, zone: z, address: %[1]s}
listen: {callers: "%[1]s:%[2]d", ready: "%[1]s:%[3]d", metrics: "%[1]s:%[4]d", internal_ports: [%[5]d, %[5]d]}
store: {address: "%[6]s"}
limits: {memory_mb: %[7]d}
`, h.ip, callersPort, readyPort, metricsPort, internalPort, store.Address(), memoryMB)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	h.cmd = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" entry --settings "$1"`, maxDescriptors), program, file)
	h.cmd.Stdout, h.cmd.Stderr = &h.output, &h.output
	if err := h.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = h.cmd.Wait() // only the end counts
		close(h.exited)
	}()
	t.Cleanup(func() { _ = h.cmd.Process.Kill(); <-h.exited })
	h.requireService("before the crowd")
	return h
}

// requireService fails the test unless an ordinary request is answered within a few tries, with the
// pauses that refusals ask for.
func (h *entryHost) requireService(when string) {
	h.t.Helper()
	const tries, patience, pause = 4, 10 * time.Second, 500 * time.Millisecond
	var last string
	for i := range tries {
		select {
		case <-h.exited:
			h.t.Fatalf("%s: the process has ended: %.2000s", when, h.output.String())
		default:
		}
		c, err := fleetuser.Dial(h.address(callersPort), patience)
		if err == nil {
			var r fleetuser.Response
			r, err = c.Do(fleetuser.Request{ID: fmt.Sprintf("ordinary-%s-%d", when, i), Method: http.MethodPost, Path: fleetuser.PathUnsafe, Body: "prompt", Timeout: patience}, 0)
			c.Close()
			if err == nil && r.Status == http.StatusOK && r.Complete {
				return
			}
			last = fmt.Sprintf("status %d, %v", r.Status, err)
		} else {
			last = err.Error()
		}
		time.Sleep(pause)
	}
	h.t.Errorf("%s: no ordinary request was answered in %d tries: %s", when, tries, last)
}

func (h *entryHost) address(port int) string { return net.JoinHostPort(h.ip, strconv.Itoa(port)) }

// peakMemoryMB returns the peak resident memory of the process.
func (h *entryHost) peakMemoryMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if err != nil {
		h.t.Fatal(err)
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb >> 10
		}
	}
	h.t.Fatal("no VmHWM")
	return 0
}

func (h *entryHost) descriptors() int {
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.cmd.Process.Pid))
	if err != nil {
		h.t.Fatal(err)
	}
	return len(files)
}

// crowd is a number of connections that each write something and stay open.
type crowd struct {
	port, size int
	write      func(io.Writer) error
}

// send opens the connections, writes to all of them at once and waits until each write has ended or
// its time is over. The connections stay open until the test ends.
func (c crowd) send(h *entryHost) {
	const writeTime = 8 * time.Second
	var wg sync.WaitGroup
	for range c.size {
		conn, err := net.DialTimeout("tcp4", h.address(c.port), writeTime)
		if err != nil {
			continue // a host may refuse a connection
		}
		h.t.Cleanup(func() { _ = conn.Close() })
		wg.Go(func() {
			_ = conn.SetWriteDeadline(time.Now().Add(writeTime)) // the next write reports a closed connection
			_ = c.write(conn)                                    // a host may close the connection
		})
	}
	wg.Wait()
}

// run sends the crowd and checks the process while the connections are open.
func (c crowd) run(t *testing.T) {
	t.Helper()
	h := startHost(t)
	idleMB := h.peakMemoryMB()
	c.send(h)
	time.Sleep(time.Second) // what was sent last is read meanwhile
	descriptors := h.descriptors()
	h.requireService("beside the crowd")
	peakMB := h.peakMemoryMB()
	t.Logf("memory %d MB before, peak %d MB, %d descriptors", idleMB, peakMB, descriptors)
	if peakMB > memoryMB {
		t.Errorf("resident memory reached %d MB, limit %d MB", peakMB, memoryMB)
	}
	if descriptors > maxDescriptors-freeDescriptors {
		t.Errorf("%d descriptors open, at most %d", descriptors, maxDescriptors-freeDescriptors)
	}
}

func head(path, key string, fields ...string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: crowd-%d\r\nAuthorization: Bearer %s\r\nRequest-Deadline: %d\r\nToken-Count: 10,10\r\n%s\r\n\r\n",
		path, fleetuser.VirtualHost, rand.Int64(), key, dayMs, strings.Join(fields, "\r\n"))
}

var megabyte = bytes.Repeat([]byte("x"), maxBodyBytes)

// bodyOf writes a head that announces announced bytes, and then the given number of bytes in pieces.
func bodyOf(path, key string, announced, sent, piece int) func(io.Writer) error {
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, head(path, key, fmt.Sprintf("Content-Length: %d", announced))); err != nil {
			return err
		}
		for sent := sent; sent > 0; sent -= piece {
			if _, err := w.Write(megabyte[:min(piece, sent)]); err != nil {
				return err
			}
		}
		return nil
	}
}

// chunks writes chunks without the last one.
func chunks(path string, total, size int) func(io.Writer) error {
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, head(path, fleetuser.APIKey, "Transfer-Encoding: chunked")); err != nil {
			return err
		}
		for left := total; left > 0; left -= size {
			if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", size, megabyte[:size]); err != nil {
				return err
			}
		}
		return nil
	}
}

// unfinishedHead writes a head of short fields without its end.
func unfinishedHead(path string, fields int) func(io.Writer) error {
	return func(w io.Writer) error {
		var b bytes.Buffer
		fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: h\r\n", path)
		for i := range fields {
			fmt.Fprintf(&b, "%x:\r\n", i)
		}
		_, err := w.Write(b.Bytes())
		return err
	}
}

// sentAhead writes many requests without reading a response.
func sentAhead(path string, requests int) func(io.Writer) error {
	return func(w io.Writer) error {
		for range requests {
			if _, err := io.WriteString(w, head(path, fleetuser.APIKey, "Content-Length: 1")+"x"); err != nil {
				return err
			}
		}
		return nil
	}
}

const (
	noRoute    = "/none"
	unsafePath = fleetuser.PathUnsafe
	key        = fleetuser.APIKey
	bodyCrowd  = 100
	headCrowd  = 200
	// fullCrowd is larger than the number of descriptors.
	fullCrowd = 300
)

// Guards against processes that exceed their memory or descriptors, or serve nobody else, because of
// callers that do not respect the limits.
func TestProcessSurvivesCrowds(t *testing.T) {
	crowds := map[string]crowd{
		"bodies one byte short":              {callersPort, bodyCrowd, bodyOf(unsafePath, key, maxBodyBytes, maxBodyBytes-1, maxBodyBytes)},
		"bodies one byte short, in pieces":   {callersPort, bodyCrowd, bodyOf(unsafePath, key, maxBodyBytes, maxBodyBytes-1, 4<<10)},
		"bodies of one byte":                 {callersPort, headCrowd, bodyOf(unsafePath, key, maxBodyBytes, 1, 1)},
		"bodies over the limit":              {callersPort, bodyCrowd, bodyOf(unsafePath, key, 8*maxBodyBytes, 4*maxBodyBytes, maxBodyBytes)},
		"chunks without the last":            {callersPort, bodyCrowd, chunks(unsafePath, maxBodyBytes-4<<10, 4<<10)},
		"chunks over the limit":              {callersPort, bodyCrowd, chunks(unsafePath, 4*maxBodyBytes, 64<<10)},
		"bodies without a route":             {callersPort, bodyCrowd, bodyOf(noRoute, key, maxBodyBytes, maxBodyBytes-1, maxBodyBytes)},
		"bodies without a key":               {callersPort, bodyCrowd, bodyOf(unsafePath, "none", maxBodyBytes, maxBodyBytes-1, maxBodyBytes)},
		"bodies at the ready path":           {callersPort, bodyCrowd, bodyOf(wire.ReadyPath, key, maxBodyBytes, maxBodyBytes-1, maxBodyBytes)},
		"heads of short fields":              {callersPort, headCrowd, unfinishedHead(unsafePath, 12_000)},
		"heads of short fields, all at once": {callersPort, fullCrowd, unfinishedHead(unsafePath, 12_000)},
		"requests sent ahead":                {callersPort, bodyCrowd, sentAhead(noRoute, 2000)},
		"full of bodies":                     {callersPort, fullCrowd, bodyOf(unsafePath, key, 10, 1, 1)},
		"full of heads":                      {callersPort, fullCrowd, unfinishedHead(unsafePath, 1)},
		"full of silent connections":         {callersPort, fullCrowd, func(io.Writer) error { return nil }},
		"ready listener, full of heads":      {readyPort, fullCrowd, unfinishedHead(wire.ReadyPath, 1)},
		"ready listener, short fields":       {readyPort, headCrowd, unfinishedHead(wire.ReadyPath, 100_000)},
		"ready listener, bodies":             {readyPort, fullCrowd, bodyOf(wire.ReadyPath, key, maxBodyBytes, maxBodyBytes-1, maxBodyBytes)},
		"internal listener, full of heads":   {internalPort, fullCrowd, unfinishedHead("/", 1)},
		"internal listener, short fields":    {internalPort, headCrowd, unfinishedHead("/", 100_000)},
		"metrics listener, full of heads":    {metricsPort, fullCrowd, unfinishedHead("/metrics", 1)},
		"metrics listener, requests ahead":   {metricsPort, bodyCrowd, sentAhead("/metrics", 2000)},
	}
	for name, c := range crowds {
		t.Run(name, c.run)
	}
}
