package event

import (
	"fmt"
	"io"
)

// WriteCatalogue writes the content of docs/events.md.
func WriteCatalogue(w io.Writer) error {
	_, err := fmt.Fprint(w, "# Log events\n\n"+
		"Each log record carries the number of its event in the field `event`. The meaning\n"+
		"of a number never changes. `make docs` generates this table from `core/event`.\n\n"+
		"| number | name | level | meaning |\n| --- | --- | --- | --- |\n")
	if err != nil {
		return err
	}
	for _, e := range All() {
		if _, err := fmt.Fprintf(w, "| %d | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Meaning); err != nil {
			return err
		}
	}
	return nil
}
