package rules

import (
	"math"
	"strings"
)

// none is the rank of no rule.
const none = math.MaxInt32

// index finds the first rule that matches a call. It is a tree over path
// segments; rules with an equal pattern share an entry that maps organisations
// to ranks, so the cost of a look-up depends on the path and not on the number
// of organisations.
type index struct {
	root node
}

// node stands for a path prefix.
type node struct {
	literal map[string]*node
	star    *node
	exact   []entry // patterns that end here
	rest    []entry // patterns that end here in **
	first   int32   // smallest rank below this node
}

// entry holds the ranks of the rules with one pattern.
type entry struct {
	method string
	all    int32            // rank of the rule for all organisations
	from   map[string]int32 // rank by organisation
}

// newIndex returns an empty index.
func newIndex() *index { return &index{node{first: none}} }

// nextSegment cuts the first segment off a path. Empty segments are skipped, so
// /a//b and /a/b/ select the same rule as /a/b and no caller evades a rule by
// doubling a slash.
func nextSegment(path string) (segment, tail string, ok bool) {
	for len(path) > 0 && path[0] == '/' {
		path = path[1:]
	}
	if path == "" {
		return "", "", false
	}
	if i := strings.IndexByte(path, '/'); i >= 0 {
		return path[:i], path[i:], true
	}
	return path, "", true
}

// insert adds a rule. Of several rules with the same pattern and organisation
// the one with the smallest rank stays. An empty organisation means all.
func (x *index) insert(p pattern, organisation string, rank int32) {
	n := &x.root
	path := p.path
	for {
		n.first = min(n.first, rank)
		segment, tail, ok := nextSegment(path)
		if !ok {
			n.exact = put(n.exact, p.method, organisation, rank)
			return
		}
		if segment == "**" {
			n.rest = put(n.rest, p.method, organisation, rank)
			return
		}
		n = n.child(segment)
		path = tail
	}
}

// child returns the node for a segment and creates it if needed.
func (n *node) child(segment string) *node {
	if segment == "*" {
		if n.star == nil {
			n.star = &node{first: none}
		}
		return n.star
	}
	if n.literal == nil {
		n.literal = make(map[string]*node)
	}
	c := n.literal[segment]
	if c == nil {
		c = &node{first: none}
		n.literal[segment] = c
	}
	return c
}

func put(entries []entry, method, organisation string, rank int32) []entry {
	at := -1
	for i := range entries {
		if entries[i].method == method {
			at = i
		}
	}
	if at < 0 {
		entries = append(entries, entry{method: method, all: none})
		at = len(entries) - 1
	}
	e := &entries[at]
	if organisation == "" {
		e.all = min(e.all, rank)
		return entries
	}
	if e.from == nil {
		e.from = make(map[string]int32)
	}
	if old, ok := e.from[organisation]; !ok || rank < old {
		e.from[organisation] = rank
	}
	return entries
}

// find returns the smallest rank of a rule that matches the call, or none. It
// does not allocate.
func (x *index) find(method, path, organisation string) int32 {
	return x.root.find(method, path, organisation, false, none)
}

// covering returns the smallest rank of a rule that matches every call that p
// and organisation match, or none.
func (x *index) covering(p pattern, organisation string) int32 {
	return x.root.find(p.method, p.path, organisation, true, none)
}

// find walks the tree. With wild set, the path is a pattern whose wildcards are
// matched only by wildcards.
func (n *node) find(method, path, organisation string, wild bool, best int32) int32 {
	if n.first >= best {
		return best
	}
	best = lowest(n.rest, method, organisation, best)
	segment, tail, ok := nextSegment(path)
	if !ok {
		return lowest(n.exact, method, organisation, best)
	}
	if wild && segment == "**" {
		return best
	}
	if c := n.literal[segment]; c != nil {
		best = c.find(method, tail, organisation, wild, best)
	}
	if n.star != nil {
		best = n.star.find(method, tail, organisation, wild, best)
	}
	return best
}

// lowest returns the smallest rank among the entries that apply, at most best.
func lowest(entries []entry, method, organisation string, best int32) int32 {
	for i := range entries {
		e := &entries[i]
		if e.method != method && e.method != methodAny {
			continue
		}
		best = min(best, e.all)
		if organisation == "" || e.from == nil {
			continue
		}
		if rank, ok := e.from[organisation]; ok {
			best = min(best, rank)
		}
	}
	return best
}

// overlapping reports whether some call matches both p and a rule of the index
// that belongs to any organisation.
func (x *index) overlapping(p pattern) bool {
	return x.root.overlapping(p.method, p.path)
}

func (n *node) overlapping(method, path string) bool {
	if sharesMethod(n.rest, method) {
		return true
	}
	segment, tail, ok := nextSegment(path)
	switch {
	case !ok:
		return sharesMethod(n.exact, method)
	case segment == "**":
		return n.anyBelow(method)
	case segment == "*":
		for _, c := range n.literal {
			if c.overlapping(method, tail) {
				return true
			}
		}
	case n.literal[segment] != nil && n.literal[segment].overlapping(method, tail):
		return true
	}
	return n.star != nil && n.star.overlapping(method, tail)
}

// anyBelow reports whether the subtree has an entry for the method.
func (n *node) anyBelow(method string) bool {
	if sharesMethod(n.rest, method) || sharesMethod(n.exact, method) {
		return true
	}
	for _, c := range n.literal {
		if c.anyBelow(method) {
			return true
		}
	}
	return n.star != nil && n.star.anyBelow(method)
}

func sharesMethod(entries []entry, method string) bool {
	for i := range entries {
		m := entries[i].method
		if m == method || m == methodAny || method == methodAny {
			return true
		}
	}
	return false
}
