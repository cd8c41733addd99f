// Package golden compares a generated page with its file under docs.
package golden

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"testing"
)

// UpdateVariable is the environment variable that makes Compare write the file instead of
// comparing it.
const UpdateVariable = "SARDINEFRONT_UPDATE_DOCS"

// Compare fails the test if docs/name differs from the output of write. root is the path from
// the directory of the test's package to the root of the repository.
func Compare(t *testing.T, root, name string, write func(io.Writer) error) {
	t.Helper()
	var want bytes.Buffer
	if err := write(&want); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(root, "docs", name)
	if os.Getenv(UpdateVariable) != "" {
		if err := os.WriteFile(file, want.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	got, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want.Bytes()) {
		t.Errorf("%s differs from the code; run make docs", file)
	}
}
