package configcheck

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"

	"sardinefront.dev/gateway/routing"
)

// Change is one difference between two configurations.
type Change struct {
	// Kind is "added", "removed" or "changed".
	Kind string `json:"kind"`
	// Path names the entry by its name and the field, such as routes/checkout/Timeout.
	Path string `json:"path"`
	// Old and New are the values of a changed field as JSON, else empty. Those of API keys are
	// counts, since keys are secret.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String returns the change on one line.
func (c Change) String() string {
	if c.Kind == changed {
		return fmt.Sprintf("%s: %s: %s -> %s", c.Kind, c.Path, c.Old, c.New)
	}
	return c.Kind + ": " + c.Path
}

// The kinds of changes.
const (
	added   = "added"
	removed = "removed"
	changed = "changed"
)

// CheckVersion returns a finding if the hosts, which apply only newer versions, would ignore the
// candidate.
func CheckVersion(active, candidate routing.Config) []Finding {
	if candidate.Version > active.Version {
		return nil
	}
	return []Finding{{Error, "version", fmt.Sprintf("version %d is ignored: version %d is active", candidate.Version, active.Version)}}
}

// Diff returns the changes from the active to the candidate configuration, by section and name. It
// ignores the version and the order of entries.
func Diff(active, candidate routing.Config) []Change {
	var out []Change
	out = append(out, diffEntries("routes", active.Routes, candidate.Routes, func(r routing.Route) string { return r.Name })...)
	out = append(out, diffEntries("services", active.Services, candidate.Services, func(s routing.Service) string { return s.Name })...)
	out = append(out, diffEntries("tenants", active.Organisations, candidate.Organisations, func(o routing.Organisation) string { return o.Name })...)
	return append(out, diffFields("limits", reflect.ValueOf(active.Limits), reflect.ValueOf(candidate.Limits))...)
}

// diffEntries compares two lists of structs whose entries are matched by name.
func diffEntries[T any](section string, active, candidate []T, name func(T) string) []Change {
	old := map[string]T{}
	for _, e := range active {
		old[name(e)] = e
	}
	var out []Change
	kept := map[string]bool{}
	for _, e := range candidate {
		path := section + "/" + name(e)
		before, ok := old[name(e)]
		kept[name(e)] = true
		if !ok {
			out = append(out, Change{Kind: added, Path: path})
			continue
		}
		out = append(out, diffFields(path, reflect.ValueOf(before), reflect.ValueOf(e))...)
	}
	for _, e := range active {
		if !kept[name(e)] {
			out = append(out, Change{Kind: removed, Path: section + "/" + name(e)})
		}
	}
	return out
}

// diffFields compares two structs of the same type field by field.
func diffFields(path string, old, new reflect.Value) []Change {
	var out []Change
	for i := range old.NumField() {
		field := path + "/" + old.Type().Field(i).Name
		a, b := old.Field(i).Interface(), new.Field(i).Interface()
		if reflect.DeepEqual(a, b) {
			continue
		}
		if keys, ok := a.([]string); ok && old.Type() == reflect.TypeFor[routing.Organisation]() {
			out = append(out, diffKeys(field, keys, b.([]string))...)
			continue
		}
		out = append(out, Change{Kind: changed, Path: field, Old: encode(a), New: encode(b)})
	}
	return out
}

// diffKeys counts the API keys that were added and removed.
func diffKeys(path string, old, new []string) []Change {
	countMissing := func(list, other []string) (n int) { // of list in other
		for _, key := range list {
			if !slices.Contains(other, key) {
				n++
			}
		}
		return n
	}
	nRemoved, nAdded := countMissing(old, new), countMissing(new, old)
	if nRemoved == 0 && nAdded == 0 {
		return nil
	}
	return []Change{{Kind: changed, Path: path, Old: fmt.Sprintf("%d keys", len(old)), New: fmt.Sprintf("%d keys, %d added, %d removed", len(new), nAdded, nRemoved)}}
}

// encode returns a field's value as JSON; times are in their usual notation.
func encode(v any) string {
	if s, ok := v.(fmt.Stringer); ok {
		return s.String()
	}
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(b)
}
