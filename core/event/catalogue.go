package event

import (
	"fmt"
	"io"
)

// WriteCatalogue writes docs/events.md.
func WriteCatalogue(w io.Writer) error {
	_, err := fmt.Fprint(w, "# Log events\n\n"+
		"Each log record carries its number in the field `event`. Numbers keep their\n"+
		"meaning. The table is written from `core/event` by `make docs`.\n\n"+
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
