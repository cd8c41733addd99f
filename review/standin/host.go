package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// program is the entry host as the deploy file builds and runs it.
const program = "target/bin/sardinefront"

// host is one process of the system.
type host struct {
	name, zone, ip string
	ports          ports
	file           string
	logFile        *os.File
	cmd            *exec.Cmd
}

// ports are the same on all hosts.
type ports struct{ front, ready, metrics, internal, control int }

// freePorts returns ports that are free on all addresses.
func freePorts(ips []string) ports {
	for base := 20000 + os.Getpid()%20000; ; base += 16 {
		free := true
		for _, ip := range ips {
			for i := range 5 {
				l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, base+i))
				if err != nil {
					free = false
					break
				}
				l.Close()
			}
		}
		if free {
			return ports{base, base + 1, base + 2, base + 3, base + 4}
		}
	}
}

var placeholder = regexp.MustCompile(`\{\{([a-zA-Z.]+)(\|json)?\}\}`)

// render fills in deploy/host.yaml.tmpl.
func render(values map[string]any) string {
	text, err := os.ReadFile("deploy/host.yaml.tmpl")
	check(err)
	return placeholder.ReplaceAllStringFunc(string(text), func(m string) string {
		parts := placeholder.FindStringSubmatch(m)
		v, ok := values[parts[1]]
		if !ok {
			fail("no value for %s", parts[1])
		}
		if parts[2] == "" {
			return fmt.Sprint(v)
		}
		b, err := json.Marshal(v)
		check(err)
		return string(b)
	})
}

// newHost writes the settings of a host. seeds are the addresses of all hosts.
func newHost(dir, name, zone, ip string, p ports, seeds []string, storeAddress string) *host {
	var seedAddresses []string
	for _, s := range seeds {
		seedAddresses = append(seedAddresses, fmt.Sprintf("%s:%d", s, p.control))
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	text := render(map[string]any{
		"node": name, "zone": zone, "region": "", "zones": map[string]string{}, "ip": ip, "listen.front": at(p.front), "listen.ready": at(p.ready),
		"internalPorts": []int{p.internal, p.internal}, "seeds": seedAddresses, "platform.address": storeAddress,
		"platform.readsPerS": 2000, "platform.writesPerS": 400, "limits.memoryMb": 284, "bounds.graceS": 8,
		"bounds.budgetRatio": 0.2, "bounds.budgetSlack": 54, "bounds.budgetWindowS": 10,
		"bounds.quotaWindowS": 8, "bounds.quotaOver": 0.1, "bounds.quotaSlack": 190000, "bounds.exposeShare": 0.1,
	})
	text = strings.ReplaceAll(text, ip+":9464", at(p.metrics))
	h := &host{name: name, zone: zone, ip: ip, ports: p, file: filepath.Join(dir, name+".yaml")}
	check(os.WriteFile(h.file, []byte(text), 0o644))
	var err error
	h.logFile, err = os.Create(filepath.Join(dir, name+".log"))
	check(err)
	return h
}

func (h *host) start() {
	h.cmd = exec.Command(program, "entry")
	h.cmd.Env = append(os.Environ(), "SARDINEFRONT_CONFIG="+h.file)
	h.cmd.Stdout, h.cmd.Stderr = h.logFile, h.logFile
	check(h.cmd.Start())
}

func (h *host) signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) }

func (h *host) kill() {
	_ = h.cmd.Process.Kill()
	_ = h.cmd.Wait()
}

func (h *host) url() string { return fmt.Sprintf("http://%s:%d", h.ip, h.ports.front) }

// waitReady waits until the host says that it is ready.
func (h *host) waitReady() {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := client.Get(fmt.Sprintf("http://%s:%d/-/ready", h.ip, h.ports.ready))
		if err == nil {
			r.Body.Close()
			if r.StatusCode == 200 {
				return
			}
		}
	}
	fail("host %s isn't ready after 10 s", h.name)
}
