package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// host is a process of the system: `target/bin/sardinefront entry`.
type host struct {
	name, ip string
	cmd      *exec.Cmd
	log      string
}

func (h *host) front() string { return h.ip + ":8221" }
func (h *host) ready() string { return h.ip + ":8224" }

// settings are the fields that the platform fills into the template of the deploy file.
func settings(name, zone, ip, storeAddress string, seeds []string) map[string]any {
	return map[string]any{
		"node": name, "zone": zone, "region": "r", "ip": ip, "zones": map[string]string{zone: "r"},
		"listen":        map[string]any{"front": ip + ":8221", "ready": ip + ":8224", "control": ip + ":8229"},
		"internalPorts": []int{7600, 7615}, "seeds": seeds,
		"platform": map[string]any{"address": storeAddress, "readsPerS": 2000, "writesPerS": 400},
		"limits":   map[string]any{"memoryMb": 284},
		"bounds": map[string]any{
			"graceS": 8, "budgetRatio": 0.2, "budgetSlack": 58, "budgetWindowS": 10, "quotaWindowS": 8, "quotaOver": 0.1,
			"quotaSlack": 190000, "exposeShare": 0.1,
		},
	}
}

var placeholder = regexp.MustCompile(`\{\{([a-zA-Z.]+)(\|json)?\}\}`)

// render fills in a template of the deploy folder.
func render(template string, fields map[string]any) string {
	return placeholder.ReplaceAllStringFunc(template, func(p string) string {
		m := placeholder.FindStringSubmatch(p)
		var v any = fields
		for _, k := range strings.Split(m[1], ".") {
			if t, ok := v.(map[string]any); ok {
				v = t[k]
			}
		}
		if m[2] == "" {
			return fmt.Sprint(v)
		}
		b, _ := json.Marshal(v)
		return string(b)
	})
}

// startHost starts a process with the command of the deploy file.
func startHost(root, dir, name, zone, ip, storeAddress string, seeds []string) (*host, error) {
	template, err := os.ReadFile(filepath.Join(root, "deploy/host.yaml.tmpl"))
	if err != nil {
		return nil, err
	}
	file := filepath.Join(dir, name+".yaml")
	if err := os.WriteFile(file, []byte(render(string(template), settings(name, zone, ip, storeAddress, seeds))), 0o600); err != nil {
		return nil, err
	}
	h := &host{name: name, ip: ip, log: filepath.Join(dir, name+".log")}
	out, err := os.Create(h.log)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	h.cmd = exec.Command(filepath.Join(root, "target/bin/sardinefront"), "entry")
	h.cmd.Env = append(os.Environ(), "SARDINEFRONT_CONFIG="+file)
	h.cmd.Stdout, h.cmd.Stderr = out, out
	// The process ends with the script that started it.
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return h, h.cmd.Start()
}

// awaitReady waits until the host answers its readiness check with 200.
func (h *host) awaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: 300 * time.Millisecond}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + h.ready() + "/-/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// stop ends the process that was started.
func (h *host) stop() {
	if h.cmd == nil || h.cmd.Process == nil {
		return
	}
	_ = h.cmd.Process.Kill()
	_ = h.cmd.Wait()
}
