package rules

import (
	"math"
	"strings"
)

// noRank is the result of a lookup without a match.
const noRank = math.MaxInt32

// index finds the rule with the smallest rank that matches a request. It is a tree of
// path segments. Rules with the same pattern share an entry that maps organisations
// to ranks, so the cost of a lookup depends on the path and not on the number of
// organisations.
type index struct {
	root node
}

// node represents a path prefix.
type node struct {
	literals map[string]*node
	wildcard *node   // child for the segment *
	exact    []entry // patterns that end here
	prefix   []entry // patterns that end here in **
	minRank  int32   // smallest rank in this subtree
}

// entry holds the ranks of the rules with one pattern.
type entry struct {
	method          string
	anyOrganisation int32            // rank of the rule for all organisations
	byOrganisation  map[string]int32 // rank by organisation
}

func newIndex() *index { return &index{node{minRank: noRank}} }

// nextSegment splits a path into its first segment and the rest. Empty segments are
// skipped, so /a//b and /a/b/ match the same rule as /a/b and a caller can't bypass a
// rule by doubling a slash.
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
// the one with the smallest rank is kept. An empty organisation means all.
func (x *index) insert(p pattern, organisation string, rank int32) {
	n := &x.root
	path := p.path
	for {
		n.minRank = min(n.minRank, rank)
		segment, tail, ok := nextSegment(path)
		if !ok {
			n.exact = setRank(n.exact, p.method, organisation, rank)
			return
		}
		if segment == "**" {
			n.prefix = setRank(n.prefix, p.method, organisation, rank)
			return
		}
		n = n.child(segment)
		path = tail
	}
}

// child returns the child node for a segment and creates it if needed.
func (n *node) child(segment string) *node {
	if segment == "*" {
		if n.wildcard == nil {
			n.wildcard = &node{minRank: noRank}
		}
		return n.wildcard
	}
	if n.literals == nil {
		n.literals = make(map[string]*node)
	}
	c := n.literals[segment]
	if c == nil {
		c = &node{minRank: noRank}
		n.literals[segment] = c
	}
	return c
}

// setRank records a rank in the entry for the method, unless it has a smaller one.
func setRank(entries []entry, method, organisation string, rank int32) []entry {
	position := -1
	for i := range entries {
		if entries[i].method == method {
			position = i
		}
	}
	if position < 0 {
		entries = append(entries, entry{method: method, anyOrganisation: noRank})
		position = len(entries) - 1
	}
	e := &entries[position]
	if organisation == "" {
		e.anyOrganisation = min(e.anyOrganisation, rank)
		return entries
	}
	if e.byOrganisation == nil {
		e.byOrganisation = make(map[string]int32)
	}
	if old, ok := e.byOrganisation[organisation]; !ok || rank < old {
		e.byOrganisation[organisation] = rank
	}
	return entries
}

// find returns the smallest rank of a rule that matches the request, or noRank. It
// does not allocate.
func (x *index) find(method, path, organisation string) int32 {
	return x.root.find(method, path, organisation, false, noRank)
}

// covering returns the smallest rank of a rule that matches all requests matched by
// p and organisation, or noRank.
func (x *index) covering(p pattern, organisation string) int32 {
	return x.root.find(p.method, p.path, organisation, true, noRank)
}

// find returns the smallest matching rank of the subtree if it is below best, else best.
// If asPattern is set, path is a pattern whose wildcards match only wildcards.
func (n *node) find(method, path, organisation string, asPattern bool, best int32) int32 {
	if n.minRank >= best {
		return best
	}
	best = lowestRank(n.prefix, method, organisation, best)
	segment, tail, ok := nextSegment(path)
	if !ok {
		return lowestRank(n.exact, method, organisation, best)
	}
	if asPattern && segment == "**" {
		return best
	}
	if c := n.literals[segment]; c != nil {
		best = c.find(method, tail, organisation, asPattern, best)
	}
	if n.wildcard != nil {
		best = n.wildcard.find(method, tail, organisation, asPattern, best)
	}
	return best
}

// lowestRank returns the smallest rank of the entries that match if it is below best,
// else best.
func lowestRank(entries []entry, method, organisation string, best int32) int32 {
	for i := range entries {
		e := &entries[i]
		if e.method != method && e.method != methodAny {
			continue
		}
		best = min(best, e.anyOrganisation)
		if organisation == "" || e.byOrganisation == nil {
			continue
		}
		if rank, ok := e.byOrganisation[organisation]; ok {
			best = min(best, rank)
		}
	}
	return best
}

// overlapping reports whether a request exists that matches both p and a rule of the
// index, of any organisation.
func (x *index) overlapping(p pattern) bool {
	return x.root.overlapping(p.method, p.path)
}

func (n *node) overlapping(method, path string) bool {
	if sharesMethod(n.prefix, method) {
		return true
	}
	segment, tail, ok := nextSegment(path)
	switch {
	case !ok:
		return sharesMethod(n.exact, method)
	case segment == "**":
		return n.anyBelow(method)
	case segment == "*":
		for _, c := range n.literals {
			if c.overlapping(method, tail) {
				return true
			}
		}
	case n.literals[segment] != nil && n.literals[segment].overlapping(method, tail):
		return true
	}
	return n.wildcard != nil && n.wildcard.overlapping(method, tail)
}

// anyBelow reports whether the subtree has an entry that shares the method.
func (n *node) anyBelow(method string) bool {
	if sharesMethod(n.prefix, method) || sharesMethod(n.exact, method) {
		return true
	}
	for _, c := range n.literals {
		if c.anyBelow(method) {
			return true
		}
	}
	return n.wildcard != nil && n.wildcard.anyBelow(method)
}

// sharesMethod reports whether one of the entries applies to the method, or to any
// method if method is methodAny.
func sharesMethod(entries []entry, method string) bool {
	for i := range entries {
		m := entries[i].method
		if m == method || m == methodAny || method == methodAny {
			return true
		}
	}
	return false
}
