package soak

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is one run of the entry program. Signals are sent only to its own process id.
type process struct {
	cmd     *exec.Cmd
	output  outputTail
	started time.Time
	exited  chan struct{} // closed when the process has ended

	mu              sync.Mutex
	stopRequestedAt time.Time // time of the first SIGTERM
	killed          bool
	paused          bool
	endedAt         time.Time
	exitCode        int
}

func startProcess(program, settings string) (*process, error) {
	p := &process{cmd: exec.Command(program, "entry", "--settings", settings), exited: make(chan struct{}), started: time.Now()}
	p.cmd.Stdout, p.cmd.Stderr = &p.output, &p.output
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", program, err)
	}
	go func() {
		_ = p.cmd.Wait() // the exit code is in ProcessState
		p.mu.Lock()
		p.endedAt, p.exitCode = time.Now(), p.cmd.ProcessState.ExitCode()
		p.mu.Unlock()
		close(p.exited)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch s {
	case syscall.SIGTERM:
		if p.stopRequestedAt.IsZero() {
			p.stopRequestedAt = time.Now()
		}
	case syscall.SIGKILL:
		p.killed = true
	case syscall.SIGSTOP:
		p.paused = true
	case syscall.SIGCONT:
		p.paused = false
	}
	_ = p.cmd.Process.Signal(s) // the process may have ended already
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// exitState describes how a process was stopped. Times are zero if not applicable.
type exitState struct {
	stopRequestedAt, endedAt time.Time
	killed                   bool
	exitCode                 int
}

func (p *process) exitState() exitState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return exitState{p.stopRequestedAt, p.endedAt, p.killed, p.exitCode}
}

// peakMemory returns the peak resident memory of the process in bytes, 0 if the process
// has ended.
func (p *process) peakMemory() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kb, err := strconv.ParseInt(fields[1], 10, 64)
			if err != nil {
				return 0
			}
			return kb << 10
		}
	}
	return 0
}

// maxOutputBytes bounds the kept output of a process.
const maxOutputBytes = 1 << 20

// outputTail keeps the last maxOutputBytes of the output. It is safe for concurrent use.
type outputTail struct {
	mu  sync.Mutex
	buf []byte
}

var _ io.Writer = (*outputTail)(nil)

func (t *outputTail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.buf = append(t.buf, p...)
	if over := len(t.buf) - maxOutputBytes; over > 0 {
		t.buf = append(t.buf[:0], t.buf[over:]...)
	}
	return len(p), nil
}

// lines returns the kept lines that contain text.
func (t *outputTail) lines(text string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for line := range bytes.SplitSeq(t.buf, []byte("\n")) {
		if bytes.Contains(line, []byte(text)) {
			out = append(out, string(line))
		}
	}
	return out
}
