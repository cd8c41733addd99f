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
	// observeInterval is the time between two reads of the targets' run counts and the
	// hosts' state.
	observeInterval = 10 * time.Millisecond
	// waitTimeout bounds each wait for a condition.
	waitTimeout = 30 * time.Second
)

// world holds all components that one scenario has started.
type world struct {
	dir           string // working directory
	listenAddress string // address with port 0, for listeners
	examplesDir   string
	rec           *invariant.Recorder
	log           logBuffer

	platform *platformd.Server
	faults   platformd.Faults
	// storeDown makes the store fail while the host list still works.
	storeDown     atomic.Bool
	operatorStore *httpkv.Client

	rulesFile string
	ruleSet   *rules.Set

	hosts   hosts
	targets targets
	// endpoints is the platform's list of hosts and targets.
	endpoints []platform.Endpoint

	calls  conc.WaitGroup
	labels labels

	stopObserver context.CancelFunc
	observer     sync.WaitGroup
}

// addressCount is the number of calls of uniqueLoopbackAddress in this process.
var addressCount atomic.Uint32

// uniqueLoopbackAddress returns a loopback address that no other scenario uses. The system
// may assign the port of a crashed host to another listener. On a shared address, that
// listener could belong to another scenario, which would then receive the requests of this
// one.
func uniqueLoopbackAddress() string {
	n := addressCount.Add(1)
	address := fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%250, 1+n/250%250, 1+n%250)
	ln, err := net.Listen("tcp", address)
	if err != nil { // the system has only one loopback address
		return "127.0.0.1:0"
	}
	ln.Close()
	return address
}

// newWorld starts the platform and the recording of observations.
func newWorld(dir, examples string) (*world, error) {
	w := &world{
		dir: dir, examplesDir: examples, listenAddress: uniqueLoopbackAddress(),
		rec: invariant.NewRecorder(invariant.Limits{}, nil),
	}
	w.platform = platformd.New(platformd.Config{})
	if err := w.platform.Start(w.listenAddress); err != nil {
		return nil, err
	}
	w.operatorStore = httpkv.New(httpkv.Config{Address: w.platform.Addr(), CallerName: "operator"})
	ctx, stop := context.WithCancel(context.Background())
	w.stopObserver = stop
	w.observer.Go(func() { w.observe(ctx) })
	return w, nil
}

// close stops all components of the scenario.
func (w *world) close() {
	w.labels.hangUpAll()
	w.hosts.closeAll()
	w.targets.closeAll()
	w.calls.Wait()
	w.stopObserver()
	w.observer.Wait()
	w.platform.Close()
}

// observe records dispatches, adopted configurations and tier floors until ctx ends.
func (w *world) observe(ctx context.Context) {
	t := time.NewTicker(observeInterval)
	defer t.Stop()
	previous := time.Now()
	for ctx.Err() == nil {
		now := time.Now()
		w.targets.observe(w.rec, previous)
		w.hosts.observe(w.rec)
		previous = now
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
}

// selectRules selects a rules file of the scenario, or else of the examples. Later calls
// are classified by its rules.
func (w *world) selectRules(name string) error {
	file := filepath.Join(w.dir, name)
	if _, err := os.Stat(file); err != nil {
		file = filepath.Join(w.examplesDir, name+".rules")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	ruleSet, findings := rules.Parse(file, text, time.Time{})
	if len(findings) > 0 {
		return fmt.Errorf("%v", findings)
	}
	w.rulesFile, w.ruleSet = file, ruleSet
	return nil
}

// pushTimeout bounds an operator's push of a rules file.
const pushTimeout = 10 * time.Second

// push stores a rules file of the scenario as an operator does. base is the number of
// the configuration that the operator has edited. It returns the new number.
func (w *world) push(name string, base int64) (int64, error) {
	text, err := os.ReadFile(filepath.Join(w.dir, name))
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
	defer cancel()
	v, err := config.NewPublisher(w.operatorStore).Push(ctx, text, "operator", "push of "+name, base)
	if err != nil {
		return 0, err
	}
	w.rec.Record(invariant.Event{Kind: invariant.ConfigAccepted, ConfigNumber: v.Number})
	return v.Number, w.selectRules(name)
}

// addEndpoint adds an endpoint to the platform's list, or replaces the one of that name.
func (w *world) addEndpoint(added platform.Endpoint) {
	endpoints := make([]platform.Endpoint, 0, len(w.endpoints)+1)
	for _, endpoint := range w.endpoints {
		if endpoint.Name != added.Name {
			endpoints = append(endpoints, endpoint)
		}
	}
	w.endpoints = append(endpoints, added)
	w.platform.SetEndpoints(w.endpoints)
}

// removeEndpoint removes an endpoint from the platform's list.
func (w *world) removeEndpoint(name string) {
	endpoints := make([]platform.Endpoint, 0, len(w.endpoints))
	for _, endpoint := range w.endpoints {
		if endpoint.Name != name {
			endpoints = append(endpoints, endpoint)
		}
	}
	w.endpoints = endpoints
	w.platform.SetEndpoints(endpoints)
}

// setFaults changes the faults of the store.
func (w *world) setFaults(change func(f *platformd.Faults)) {
	change(&w.faults)
	w.platform.SetFaults(w.faults)
}

// waitFor polls until the condition holds. After waitTimeout it returns an error with
// the description.
func waitFor(description string, condition func() bool) error {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(observeInterval) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("condition not met within %s: %s", waitTimeout, description)
}

// maxLogBytes bounds the log of the hosts.
const maxLogBytes = 256 << 10

// logBuffer keeps the end of the hosts' logs. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.text.Len() > maxLogBytes {
		b.text.Next(b.text.Len() / 2)
	}
	return b.text.Write(p)
}

// String returns the text that has been kept.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
