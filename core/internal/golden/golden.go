// Package golden compares a generated page of docs with the file in the
// repository.
package golden

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"testing"
)

// UpdateVariable is the environment variable that makes Compare write the file.
const UpdateVariable = "SARDINEFRONT_UPDATE_DOCS"

// Compare fails the test if docs/name differs from what write produces. root is
// the path from the package to the repository.
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
