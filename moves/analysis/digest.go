package analysis

import (
	"cmp"
	"slices"
)

// RouteDigest is the wire form of one route in a window. For each cell, Cells
// holds a byte with the version and target group, followed by the counts as
// variable-length integers.
type RouteDigest struct {
	_      struct{} `cbor:",toarray"`
	Route  string
	Urgent bool
	Cells  []byte
}

// EncodeWindow returns the wire form of a window, with the routes sorted as by
// sortedRoutes.
func EncodeWindow(w Window) []RouteDigest {
	out := make([]RouteDigest, 0, len(w))
	for _, k := range sortedRoutes(w) {
		d := RouteDigest{Route: k.Route, Urgent: k.Urgent}
		for i, cell := range w[k] {
			if cell.Requests > 0 {
				d.Cells = cell.appendTo(append(d.Cells, byte(i)))
			}
		}
		out = append(out, d)
	}
	return out
}

// sortedRoutes returns the routes of a window sorted by name. A route's urgent
// requests follow its other requests.
func sortedRoutes(w Window) []RouteKey {
	keys := make([]RouteKey, 0, len(w))
	for k := range w {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b RouteKey) int { return cmp.Compare(a.String(), b.String()) })
	return keys
}

// DecodeWindow decodes the result of EncodeWindow. If any cell is malformed, it
// returns an error and no window.
func DecodeWindow(routes []RouteDigest) (Window, error) {
	w := Window{}
	for _, r := range routes {
		cells := w.cellsOf(RouteKey{r.Route, r.Urgent})
		b := r.Cells
		for len(b) > 0 {
			i := int(b[0])
			if i >= len(cells) {
				return nil, errMalformedCell
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
