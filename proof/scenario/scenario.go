package scenario

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"runtime"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"sardinefront.dev/proof/knownred"
)

// fileExtension is the extension of scenario files.
const fileExtension = ".txtar"

// Scenario describes one scenario file.
type Scenario struct {
	// Name is the path relative to the directory of scenarios, without the extension.
	Name string
	// Description is the first comment of the file.
	Description string
	// Invariants holds the invariants named in the first comment, separated by spaces.
	Invariants  string
	file        string
	examplesDir string
}

// The values of Result.Status.
const (
	Passed   = "pass"
	Failed   = "FAIL"
	KnownRed = "known red"
)

// Result is the result of one run of a scenario.
type Result struct {
	Scenario
	Status   string
	Duration time.Duration
	// Log holds the commands up to the failed one, its error and the end of the hosts'
	// logs; for a known failure the entry of KNOWN-RED.txt; empty if the run passed.
	Log string
}

var invariantName = regexp.MustCompile(`\bI(10|[1-9])\b`)

// Load returns the scenarios below a directory, sorted by path. The directory examples
// beside it must hold the example rules. It is an error if there are no scenarios.
func Load(dir string) ([]Scenario, error) {
	var all []Scenario
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != fileExtension {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		name, err := filepath.Rel(dir, path)
		if err != nil {
			return err
		}
		description := firstComment(string(text))
		all = append(all, Scenario{
			Name: strings.TrimSuffix(filepath.ToSlash(name), fileExtension), Description: description,
			Invariants: strings.Join(invariantName.FindAllString(description, -1), " "),
			file:       path, examplesDir: filepath.Join(dir, "..", "examples"),
		})
		return nil
	})
	if err == nil && len(all) == 0 {
		err = fmt.Errorf("no %s files below %s", fileExtension, dir)
	}
	return all, err
}

// firstComment joins the leading comment lines of a file.
func firstComment(text string) string {
	var lines []string
	for line := range strings.Lines(text) {
		comment, ok := strings.CutPrefix(strings.TrimSpace(line), "#")
		if !ok {
			break
		}
		lines = append(lines, strings.TrimSpace(comment))
	}
	return strings.Join(lines, " ")
}

// Run runs the scenario once.
func (s Scenario) Run() Result {
	t := &runT{}
	started := time.Now()
	done := make(chan struct{})
	var w *world
	go func() {
		defer close(done)
		testscript.RunT(t, testscript.Params{
			Files: []string{s.file},
			Cmds:  scriptCommands(),
			Setup: func(env *testscript.Env) error {
				var err error
				if w, err = newWorld(env.WorkDir, s.examplesDir); err != nil {
					return err
				}
				env.Values[worldKey{}] = w
				env.Defer(w.close)
				return nil
			},
		})
	}()
	<-done
	r := Result{Scenario: s, Status: Passed, Duration: time.Since(started)}
	if t.failed {
		r.Status, r.Log = Failed, t.log.String()
		if w != nil {
			r.Log += "\nend of the log of the hosts:\n" + lastBytes(w.log.String(), maxFailureLogBytes)
		}
	}
	return r
}

// maxFailureLogBytes bounds the hosts' log in a failed result.
const maxFailureLogBytes = 12 << 10

// lastBytes returns the last n bytes of a text.
func lastBytes(text string, n int) string {
	if len(text) <= n {
		return text
	}
	return text[len(text)-n:]
}

// runT is the testscript.T of one scenario.
type runT struct {
	log    strings.Builder
	failed bool
}

var _ testscript.T = (*runT)(nil)

// errFailed ends the goroutine of a failed script.
var errFailed = errors.New("scenario failed")

// Skip implements testscript.T. It fails the scenario, because a skipped one checks
// nothing.
func (t *runT) Skip(args ...any) { t.Fatal(args...) }

// Fatal implements testscript.T.
func (t *runT) Fatal(args ...any) {
	t.Log(args...)
	t.FailNow()
}

// Verbose implements testscript.T.
func (t *runT) Verbose() bool { return false }

// Parallel implements testscript.T.
func (t *runT) Parallel() {}

// Log implements testscript.T.
func (t *runT) Log(args ...any) { fmt.Fprintln(&t.log, args...) }

// FailNow implements testscript.T.
func (t *runT) FailNow() {
	t.failed = true
	panic(errFailed)
}

// Run implements testscript.T.
func (t *runT) Run(_ string, f func(testscript.T)) {
	defer func() {
		if r := recover(); r != nil && r != error(errFailed) {
			t.failed = true
			fmt.Fprintf(&t.log, "panic: %v\n%s", r, stackTrace())
		}
	}()
	f(t)
}

func stackTrace() []byte {
	b := make([]byte, 16<<10)
	return b[:runtime.Stack(b, false)]
}

// maxParallel is the number of scenarios that run at once. It may exceed the number of
// cores, because scenarios spend most of their time waiting.
const maxParallel = 12

// RunAll runs the scenarios in parallel and returns the results in the order of the
// scenarios. Those named in knownRed are not run and have the status KnownRed.
func RunAll(all []Scenario, knownRed map[string]string) []Result {
	results := make([]Result, len(all))
	limit := make(chan struct{}, maxParallel)
	var wg sync.WaitGroup
	for i, s := range all {
		if _, known := knownRed[s.Name]; known {
			results[i] = Result{Scenario: s, Status: KnownRed, Log: knownRed[s.Name]}
			continue
		}
		wg.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			results[i] = s.Run()
		})
	}
	wg.Wait()
	return results
}

// ReadKnownRed returns the entries of knownred.Read, none if the file does not exist.
func ReadKnownRed(file string) (map[string]string, error) {
	known, err := knownred.Read(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	return known, err
}

// Run runs every scenario below dir and writes a table with one line for each, followed
// by the logs of those that failed. Scenarios listed in KNOWN-RED.txt beside dir are not
// run; their entries are written instead. The error states the number of failures.
func Run(dir string, out io.Writer) error {
	all, err := Load(dir)
	if err != nil {
		return err
	}
	known, err := ReadKnownRed(filepath.Join(dir, "..", "KNOWN-RED.txt"))
	if err != nil {
		return err
	}
	results := RunAll(all, known)
	if err := writeTable(out, results); err != nil {
		return err
	}
	failed := slices.DeleteFunc(slices.Clone(results), func(r Result) bool { return r.Status != Failed })
	for _, r := range results {
		if r.Status != Passed {
			fmt.Fprintf(out, "\n%s: %s\n%s\n", r.Status, r.Name, r.Log)
		}
	}
	if len(failed) > 0 {
		return fmt.Errorf("%d of %d scenarios failed", len(failed), len(results))
	}
	return nil
}

func writeTable(out io.Writer, results []Result) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "scenario\tinvariant\tresult\tseconds\n")
	for _, r := range results {
		fmt.Fprintf(table, "%s\t%s\t%s\t%.1f\n", r.Name, r.Invariants, r.Status, r.Duration.Seconds())
	}
	return table.Flush()
}
