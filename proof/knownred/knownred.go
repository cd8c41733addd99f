// Package knownred reads KNOWN-RED.txt, the list of tests that fail because of a
// known fault.
package knownred

import (
	"os"
	"strings"
)

// Read returns the entries of the file, keyed by the names of their tests. Entries
// are separated by empty lines; each names its tests in lines that start with
// "test:". The only errors are those of reading the file.
func Read(file string) (map[string]string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	known := make(map[string]string)
	for _, entry := range strings.Split(string(text), "\n\n") {
		for line := range strings.Lines(entry) {
			if name, ok := strings.CutPrefix(line, "test:"); ok {
				known[strings.TrimSpace(name)] = strings.TrimSpace(entry)
			}
		}
	}
	return known, nil
}
