package judge

import (
	"cmp"
	"slices"
)

// RouteDigest is one route of a window in its wire form: for each cell a byte
// with the version and group, followed by the counts as variable-length
// integers.
type RouteDigest struct {
	_      struct{} `cbor:",toarray"`
	Route  string
	Urgent bool
	Cells  []byte
}

// Pack encodes a window, routes in order of their name.
func EncodeWindow(w Window) []RouteDigest {
	out := make([]RouteDigest, 0, len(w))
	for _, k := range sortedRoutes(w) {
		d := RouteDigest{Route: k.Route, Urgent: k.Urgent}
		for i, cell := range w[k] {
			if cell.Requests > 0 {
				d.Cells = cell.append(append(d.Cells, byte(i)))
			}
		}
		out = append(out, d)
	}
	return out
}

// sortedRoutes returns the routes in order of name, urgent requests last.
func sortedRoutes(w Window) []RouteKey {
	keys := make([]RouteKey, 0, len(w))
	for k := range w {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b RouteKey) int { return cmp.Compare(a.String(), b.String()) })
	return keys
}

// Unpack decodes a window. It returns an error for malformed bytes and then no
// window.
func DecodeWindow(routes []RouteDigest) (Window, error) {
	w := Window{}
	for _, r := range routes {
		cells := w.at(RouteKey{r.Route, r.Urgent})
		b := r.Cells
		for len(b) > 0 {
			i := int(b[0])
			if i >= len(cells) {
				return nil, errShort
			}
			cell, rest, err := decodeCell(b[1:])
			if err != nil {
				return nil, err
			}
			cells[i].Merge(cell)
			b = rest
		}
	}
	return w, nil
}
