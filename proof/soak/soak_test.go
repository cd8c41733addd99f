package soak_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sardinefront.dev/proof/soak"
)

// seedRuns are the seeds that CI runs: one for a short run, and those that have found a
// fault, with a description of the fault.
var seedRuns = []struct {
	seed        uint64
	hosts       int
	faults      time.Duration
	closures    bool
	restore     bool
	description string
}{
	{1, 3, 4 * time.Second, true, false, "a short run"},
	{611, 3, 6 * time.Second, false, true, "a run with a restore of the store"},
	{215, 4, 12 * time.Second, false, false, "the long duration of a request at an unresponsive server made its host refuse others because their deadlines seemed unreachable, and a request that had failed at the only free server blocked those queued behind it"},
}

func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "sardinefront")
	cmd := exec.Command("go", "build", "-o", program, "../../cmd/sardinefront")
	cmd.Stderr = os.Stderr
	if err := cmd.Run(); err != nil {
		t.Fatal(err)
	}
	return program
}

// Guards against violations of the guarantees while processes, links, the store and servers
// fail in overlapping ways.
func TestSeeds(t *testing.T) {
	program := buildProgram(t)
	t.Run("seeds", func(t *testing.T) {
		for _, r := range seedRuns {
			t.Run(fmt.Sprint(r.seed), func(t *testing.T) {
				t.Parallel()
				result := soak.Run(soak.Config{Program: program, HostCount: r.hosts, CallerCount: 10, FaultDuration: r.faults, TargetClosures: r.closures, StoreRestore: r.restore}, r.seed)
				if result.Err != nil || len(result.Violations) > 0 {
					t.Errorf("%s: %v, %+v\n%s", r.description, result.Err, result.Violations, strings.Join(result.Log, "\n"))
				}
				if result.Answered == 0 {
					t.Error("no request was answered")
				}
			})
		}
	})
}
