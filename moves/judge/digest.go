package judge

import "sort"

// RouteDigest is one route of a window in its wire form: for each cell a byte
// with the version and group, followed by the counts as variable-length
// integers.
type RouteDigest struct {
	_      struct{} `cbor:",toarray"`
	Route  string
	Urgent bool
	Cells  []byte
}

// newBit marks a cell of the new version in its header byte.
const newBit = GroupCount

// Pack encodes a window, routes in order of their name.
func Pack(w Window) []RouteDigest {
	keys := make([]Key, 0, len(w))
	for k := range w {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].before(keys[j]) })
	var out []RouteDigest
	for _, k := range keys {
		n := len(out)
		if n == 0 || out[n-1].Route != k.Route || out[n-1].Urgent != k.Urgent {
			out = append(out, RouteDigest{Route: k.Route, Urgent: k.Urgent})
			n++
		}
		header := k.Group % GroupCount
		if k.New {
			header |= newBit
		}
		out[n-1].Cells = w[k].append(append(out[n-1].Cells, header))
	}
	return out
}

func (k Key) before(o Key) bool {
	switch {
	case k.Route != o.Route:
		return k.Route < o.Route
	case k.Urgent != o.Urgent:
		return !k.Urgent
	case k.New != o.New:
		return !k.New
	}
	return k.Group < o.Group
}

// Unpack decodes a window. It returns an error for malformed bytes and then no
// window.
func Unpack(routes []RouteDigest) (Window, error) {
	w := Window{}
	for _, r := range routes {
		b := r.Cells
		for len(b) > 0 {
			header := b[0]
			if header >= 2*GroupCount {
				return nil, errShort
			}
			cell, rest, err := decodeCell(b[1:])
			if err != nil {
				return nil, err
			}
			k := Key{Route: r.Route, Urgent: r.Urgent, New: header&newBit != 0, Group: header % GroupCount}
			sum := w[k]
			sum.Merge(cell)
			w[k] = sum
			b = rest
		}
	}
	return w, nil
}
