package rules

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"sardinefront.dev/core/request"
)

// checker compares the lines of a file with each other.
type checker struct {
	f     *findings
	known map[string]bool // ids of moves that were accepted earlier
	now   time.Time

	pools         map[string]*rule
	unread        map[string]bool // pools with a serve line that could not be read
	organisations map[string]*rule
	every         *rule
	served        map[string][]int
	versions      map[string]*rule // by pool and version
	moves         map[string]*rule // the one active move of each pool

	sends, calls *index // ranks are positions in sendRules and callRules
	sendRules    []*rule
	callRules    []*rule
	same         map[string]*rule // calls by route and organisation
	// byEffect holds the calls that state an effect, regardless of the
	// organisation, by line number.
	byEffect [2]*index
	// anySend, engineSend and anyCall include lines that could not be read to
	// their end, so that such a line causes no further findings.
	anySend, engineSend, anyCall *index
}

func newChecker(f *findings, known map[string]bool, now time.Time) *checker {
	return &checker{
		f: f, known: known, now: now,
		pools:         map[string]*rule{},
		unread:        map[string]bool{},
		organisations: map[string]*rule{},
		served:        map[string][]int{},
		versions:      map[string]*rule{},
		moves:         map[string]*rule{},
		sends:         newIndex(),
		calls:         newIndex(),
		same:          map[string]*rule{},
		byEffect:      [2]*index{newIndex(), newIndex()},
		anySend:       newIndex(),
		engineSend:    newIndex(),
		anyCall:       newIndex(),
	}
}

// check runs every check. Definitions come first, because the order of lines
// matters only among lines of the same verb.
func (c *checker) check(lines []*rule) {
	c.each(lines, verbPool, c.checkPool)
	c.each(lines, verbOrganisation, c.checkOrganisation)
	c.each(lines, verbEvery, c.checkEvery)
	c.each(lines, verbServe, c.checkServe)
	c.each(lines, verbMove, c.checkMove)
	c.each(lines, verbSend, c.checkSend)
	c.each(lines, verbCall, c.checkCall)
	c.checkReach(lines)
}

func (c *checker) each(lines []*rule, v verb, check func(*rule)) {
	for _, r := range lines {
		if r.verb == v {
			check(r)
		}
	}
}

func (c *checker) checkPool(r *rule) {
	if r.name == "" {
		return
	}
	if first := c.pools[r.name]; first != nil {
		c.again(r, first, r.subject, "pool "+r.name)
		return
	}
	c.pools[r.name] = r
	if r.engine || r.broken {
		return
	}
	for _, option := range []clause{clauseFenced, clauseChecked, clausePrompt} {
		if r.has(option) {
			c.f.add(r.line, r.column(option), "%s is a service; orders and prompts are options of an engine", r.name)
		}
	}
}

// again reports a line about a subject that an earlier line covered already.
func (c *checker) again(r, first *rule, column int, subject string) {
	if r.broken || first.broken || canonical(r) == canonical(first) {
		c.f.add(r.line, column, "line %d already describes %s", first.line, subject)
		return
	}
	c.f.add(r.line, column, "contradiction: line %d says something else about %s", first.line, subject)
}

func (c *checker) checkOrganisation(r *rule) {
	if r.name == "" {
		return
	}
	if first := c.organisations[r.name]; first != nil {
		c.again(r, first, r.subject, "organisation "+r.name)
		return
	}
	c.organisations[r.name] = r
}

func (c *checker) checkEvery(r *rule) {
	if c.every != nil {
		c.again(r, c.every, r.subject, "every other organisation")
		return
	}
	c.every = r
}

// pool returns the pool that the line names, or nil after reporting that there
// is none.
func (c *checker) pool(r *rule) *rule {
	name, at := r.poolName()
	if name == "" {
		return nil
	}
	if p := c.pools[name]; p != nil {
		return p
	}
	hint := ""
	if near, ok := nearest(name, slices.Sorted(maps.Keys(c.pools))); ok {
		hint = fmt.Sprintf("; did you mean `%s`?", near)
	}
	c.f.add(r.line, at, "unknown pool `%s`%s", name, hint)
	return nil
}

// engine reports a line about versions of a pool that has none.
func (c *checker) engine(r *rule) bool {
	p := c.pool(r)
	if p == nil {
		return false
	}
	if !p.engine && !p.broken {
		c.f.add(r.line, r.subject, "%s is a service; only an engine has versions", r.name)
		return false
	}
	return true
}

func (c *checker) checkServe(r *rule) {
	if !c.engine(r) {
		return
	}
	if r.broken {
		c.unread[r.name] = true
		return
	}
	key := fmt.Sprint(r.name, " ", r.version)
	if first := c.versions[key]; first != nil {
		c.f.add(r.line, r.versionAt, "repeated version: line %d already serves version %d of %s", first.line, r.version, r.name)
		return
	}
	c.versions[key] = r
	c.served[r.name] = append(c.served[r.name], r.version)
}

// ended reports whether the move needs no further action: it is marked as
// ended, or the pool serves its new version instead of the old one.
func (c *checker) ended(r *rule) bool {
	serves := c.served[r.name]
	settled := slices.Contains(serves, r.to) && !slices.Contains(serves, r.version)
	return r.has(clauseEnded) || settled
}

func (c *checker) checkMove(r *rule) {
	if !c.engine(r) || r.broken {
		return
	}
	if r.version == r.to {
		c.f.add(r.line, r.toAt, "version %d cannot move to itself", r.to)
		return
	}
	if c.ended(r) {
		return
	}
	c.checkMoveVersions(r)
	if !c.now.IsZero() && !r.by.After(c.now) && !c.known[moveID(r)] {
		c.f.add(r.line, r.byAt, "the deadline %s has passed; it is now %s", r.by.Format(time.RFC3339), c.now.UTC().Format(time.RFC3339))
	}
	if first := c.moves[r.name]; first != nil {
		c.f.add(r.line, r.subject, "two moves of %s: line %d moves it from version %d to version %d; mark that one as `ended` first", r.name, first.line, first.version, first.to)
		return
	}
	c.moves[r.name] = r
}

func (c *checker) checkMoveVersions(r *rule) {
	serves := c.served[r.name]
	if !slices.Contains(serves, r.version) && !c.unread[r.name] {
		c.f.add(r.line, r.versionAt, "unknown version: %s does not serve version %d; it serves %s", r.name, r.version, listVersions(serves))
	}
	if slices.Contains(serves, r.to) {
		c.f.add(r.line, r.toAt, "contradiction: %s already serves version %d", r.name, r.to)
	}
}

func listVersions(versions []int) string {
	if len(versions) == 0 {
		return "none"
	}
	return strings.Trim(fmt.Sprint(versions), "[]")
}

func (c *checker) checkSend(r *rule) {
	p := c.pool(r)
	if r.pattern.path == "" {
		return
	}
	c.anySend.insert(r.pattern, "", 0)
	if p == nil || p.engine || p.broken {
		c.engineSend.insert(r.pattern, "", 0)
	}
	if r.broken {
		return
	}
	if i := c.sends.covering(r.pattern, ""); i != none {
		c.shadowedSend(r, c.sendRules[i])
		return
	}
	c.sends.insert(r.pattern, "", int32(len(c.sendRules)))
	c.sendRules = append(c.sendRules, r)
}

func (c *checker) shadowedSend(r, first *rule) {
	if first.pattern == r.pattern {
		c.again(r, first, r.subject, r.pattern.route())
		return
	}
	c.f.add(r.line, r.subject, "shadowed: line %d sends all these calls to %s", first.line, first.pool)
}

func (c *checker) checkCall(r *rule) {
	if r.pattern.path == "" {
		return
	}
	c.anyCall.insert(r.pattern, "", 0)
	c.checkTimes(r)
	if r.broken {
		return
	}
	key := r.pattern.route() + " " + r.from
	if first := c.same[key]; first != nil {
		c.again(r, first, r.subject, "these calls")
		return
	}
	c.same[key] = r
	if i := c.calls.covering(r.pattern, r.from); i != none {
		c.f.add(r.line, r.subject, "shadowed: line %d covers all these calls", c.callRules[i].line)
		return
	}
	c.checkEffect(r)
	c.calls.insert(r.pattern, r.from, int32(len(c.callRules)))
	c.callRules = append(c.callRules, r)
}

// checkEffect reports a call that an earlier line describes with the other
// effect for some organisation. Whether a call may run twice is a property of
// the call and does not depend on the caller.
func (c *checker) checkEffect(r *rule) {
	if !r.has(clauseEffect) {
		return
	}
	other := request.Idempotent
	if r.effect == request.Idempotent {
		other = request.NonIdempotent
	}
	if line := c.byEffect[other].covering(r.pattern, ""); line != none {
		c.f.add(r.line, r.column(clauseEffect), "contradiction: line %d says that these calls are %s", line, other)
	}
	c.byEffect[r.effect].insert(r.pattern, "", int32(r.line))
}

func (c *checker) checkTimes(r *rule) {
	if !r.has(clauseFirstToken) {
		return
	}
	answer := r.answer
	if !r.has(clauseAnswer) && r.has(clauseTier) {
		answer = DefaultResponseTimeout[r.tier]
	}
	if answer > 0 && r.first > answer {
		c.f.add(r.line, r.column(clauseFirstToken), "the first token (within %s) comes later than the answer (within %s)", span(r.first), span(answer))
	}
}

// checkReach reports lines that no call can use.
func (c *checker) checkReach(lines []*rule) {
	used := map[string]bool{}
	for _, r := range lines {
		switch {
		case r.verb == verbSend:
			used[r.pool] = true
			if r.pattern.path != "" && !c.anyCall.overlapping(r.pattern) {
				c.f.add(r.line, r.subject, "no `call` line describes the calls of this `send` line")
			}
		case r.verb == verbCall && r.pattern.path != "":
			c.checkCallReach(r)
		}
	}
	for name, p := range c.pools {
		if !used[name] {
			c.f.add(p.line, p.subject, "no `send` line sends calls to pool %s", name)
		}
	}
}

func (c *checker) checkCallReach(r *rule) {
	if !c.anySend.overlapping(r.pattern) {
		c.f.add(r.line, r.subject, "no `send` line says which pool these calls go to")
		return
	}
	if c.engineSend.overlapping(r.pattern) {
		return
	}
	for _, option := range []clause{clauseFirstToken, clausePrompt} {
		if r.has(option) {
			c.f.add(r.line, r.column(option), "these calls go to a service; first token and prompts are options of an engine")
		}
	}
}
