package event

import (
	"os"
	"regexp"
	"testing"

	"sardinefront.dev/core/internal/golden"
)

// Guards against a docs/events.md that was not regenerated after a change of the code.
func TestCatalogueMatchesPage(t *testing.T) {
	golden.Compare(t, "../..", "events.md", WriteCatalogue)
}

// Guards against a declared event that is missing from the catalogue and
// against a number that is used twice.
func TestEveryDeclaredEventIsListedOnce(t *testing.T) {
	source, err := os.ReadFile("table.go")
	if err != nil {
		t.Fatal(err)
	}
	declared := regexp.MustCompile(`= Event\{`).FindAll(source, -1)
	if len(declared) != len(All()) {
		t.Errorf("%d events declared, %d listed", len(declared), len(All()))
	}
	seen := make(map[int]bool)
	for _, e := range All() {
		if seen[e.Number] {
			t.Errorf("number %d is used twice", e.Number)
		}
		seen[e.Number] = true
	}
}
