package scenario

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"sardinefront.dev/fleet/config"
	"sardinefront.dev/platform"
	"sardinefront.dev/platform/httpkv"
	"sardinefront.dev/proof/invariant"
	"sardinefront.dev/rules"
	"sardinefront.dev/standin/platformd"
)

const (
	// observeEvery is how often the stand-ins' counts and the hosts' state are
	// read.
	observeEvery = 10 * time.Millisecond
	// waitLimit bounds each wait on a condition.
	waitLimit = 30 * time.Second
)

// world is everything that one scenario has started.
type world struct {
	dir      string // working directory
	loopback string // address with port 0, for listeners
	examples string
	rec      *invariant.Recorder
	log      logBuffer

	platform *platformd.Server
	faults   platformd.Faults
	// storeDown makes only the store fail; the list still answers.
	storeDown atomic.Bool
	operator  *httpkv.Client

	rulesFile string
	set       *rules.Set

	hosts   hosts
	targets targets
	// listed is the platform's list.
	listed []platform.Endpoint

	calls  conc.WaitGroup
	labels labels

	stop     context.CancelFunc
	observer sync.WaitGroup
}

// worlds counts the worlds of this process.
var worlds atomic.Uint32

// ownLoopback returns a loopback address that no other scenario uses. The port of
// a closed relay may be given to another listener; on a shared address that one
// could belong to another scenario, whose targets would then receive this one's
// requests.
func ownLoopback() string {
	n := worlds.Add(1)
	own := fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%250, 1+n/250%250, 1+n%250)
	ln, err := net.Listen("tcp", own)
	if err != nil { // a system with one loopback address only
		return "127.0.0.1:0"
	}
	ln.Close()
	return own
}

// newWorld starts the platform and the observation.
func newWorld(dir, examples string) (*world, error) {
	w := &world{
		dir: dir, examples: examples, loopback: ownLoopback(),
		rec: invariant.NewRecorder(invariant.Limits{}, nil),
	}
	w.platform = platformd.New(platformd.Config{})
	if err := w.platform.Start(w.loopback); err != nil {
		return nil, err
	}
	w.operator = httpkv.New(httpkv.Config{Address: w.platform.Addr(), CallerName: "operator"})
	w.hosts.all = make(map[string]*hostProcess)
	w.targets.all = make(map[string]*standin)
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	w.observer.Go(func() { w.observe(ctx) })
	return w, nil
}

// close ends everything that the scenario has started.
func (w *world) close() {
	w.labels.hangAll()
	w.hosts.closeAll()
	w.targets.closeAll()
	w.calls.Wait()
	w.stop()
	w.observer.Wait()
	w.platform.Close()
}

// observe records dispatches and adopted configurations until ctx ends.
func (w *world) observe(ctx context.Context) {
	t := time.NewTicker(observeEvery)
	defer t.Stop()
	before := time.Now()
	for ctx.Err() == nil {
		now := time.Now()
		w.targets.observe(w.rec, before)
		w.hosts.observe(w.rec)
		before = now
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
}

// useRules selects a rules file of the examples or of the scenario, by which
// calls are classified from now on.
func (w *world) useRules(name string) error {
	file := filepath.Join(w.dir, name)
	if _, err := os.Stat(file); err != nil {
		file = filepath.Join(w.examples, name+".rules")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	set, findings := rules.Parse(file, text, time.Time{})
	if len(findings) > 0 {
		return fmt.Errorf("%v", findings)
	}
	w.rulesFile, w.set = file, set
	return nil
}

// pushTimeout bounds an operator's push.
const pushTimeout = 10 * time.Second

// push stores a rules file of the scenario as an operator does, based on the
// configuration number that the operator has read.
func (w *world) push(name string, base int64) (int64, error) {
	text, err := os.ReadFile(filepath.Join(w.dir, name))
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
	defer cancel()
	v, err := config.NewPublisher(w.operator).Push(ctx, text, "operator", "push of "+name, base)
	if err != nil {
		return 0, err
	}
	w.rec.Record(invariant.Event{Kind: invariant.ConfigAccepted, Number: v.Number})
	return v.Number, w.useRules(name)
}

// list replaces or adds a row of the platform's list.
func (w *world) list(info platform.Endpoint) {
	rows := make([]platform.Endpoint, 0, len(w.listed)+1)
	for _, row := range w.listed {
		if row.Name != info.Name {
			rows = append(rows, row)
		}
	}
	w.listed = append(rows, info)
	w.platform.SetEndpoints(w.listed)
}

// unlist removes a row of the platform's list.
func (w *world) unlist(name string) {
	rows := make([]platform.Endpoint, 0, len(w.listed))
	for _, row := range w.listed {
		if row.Name != name {
			rows = append(rows, row)
		}
	}
	w.listed = rows
	w.platform.SetEndpoints(rows)
}

// setFaults changes the faults of the store.
func (w *world) setFaults(change func(f *platformd.Faults)) {
	change(&w.faults)
	w.platform.SetFaults(w.faults)
}

// eventually waits for a condition that something already under way makes true.
func eventually(what string, ok func() bool) error {
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(observeEvery) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("not within %s: %s", waitLimit, what)
}

// maxLog bounds the log of the hosts, in bytes.
const maxLog = 256 << 10

// logBuffer keeps the end of the hosts' logs.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.text.Len() > maxLog {
		b.text.Next(b.text.Len() / 2)
	}
	return b.text.Write(p)
}

// String returns the kept text.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
