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

// runs are the seeds that CI plays: a short one, and those that have failed once, with
// what they showed.
var seedRuns = []struct {
	seed   uint64
	hosts  int
	faults time.Duration
	cause  string
}{
	{1, 3, 4 * time.Second, "a short run"},
	{215, 4, 12 * time.Second, "a request that a silent server had kept for long made its host refuse others as hopeless, and one that had failed at the only free server held up those behind it"},
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

// Guards against promises that break while processes, links, store and servers fail.
func TestSeeds(t *testing.T) {
	program := buildProgram(t)
	t.Run("seeds", func(t *testing.T) {
		for _, r := range seedRuns {
			t.Run(fmt.Sprint(r.seed), func(t *testing.T) {
				t.Parallel()
				result := soak.Run(soak.Config{Program: program, HostCount: r.hosts, CallerCount: 10, FaultDuration: r.faults}, r.seed)
				if result.Err != nil || len(result.Violations) > 0 {
					t.Errorf("%s: %v, %+v\n%s", r.cause, result.Err, result.Violations, strings.Join(result.Log, "\n"))
				}
				if result.Answered == 0 {
					t.Error("nothing was answered")
				}
			})
		}
	})
}
