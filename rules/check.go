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
	findings      *findings
	acceptedMoves map[string]bool // ids of moves that were accepted earlier
	now           time.Time

	pools              map[string]*rule
	unreadServes       map[string]bool // pools with a serve line that could not be read
	organisations      map[string]*rule
	otherOrganisations *rule
	servedVersions     map[string][]int
	serveRules         map[string]*rule // by pool and version
	activeMoves        map[string]*rule // the one active move of each pool

	sendIndex, callIndex *index // ranks are positions in sendRules and callRules
	sendRules            []*rule
	callRules            []*rule
	callsByKey           map[string]*rule // calls by route and organisation
	// byEffect holds the calls that state an effect, regardless of the
	// organisation, by line number.
	effectIndexes [2]*index
	// anySend, engineSend and anyCall include lines that could not be read to
	// their end, so that such a line causes no further findings.
	anySend, engineSend, anyCall *index
}

func newChecker(f *findings, known map[string]bool, now time.Time) *checker {
	return &checker{
		findings: f, acceptedMoves: known, now: now,
		pools:          map[string]*rule{},
		unreadServes:   map[string]bool{},
		organisations:  map[string]*rule{},
		servedVersions: map[string][]int{},
		serveRules:     map[string]*rule{},
		activeMoves:    map[string]*rule{},
		sendIndex:      newIndex(),
		callIndex:      newIndex(),
		callsByKey:     map[string]*rule{},
		effectIndexes:  [2]*index{newIndex(), newIndex()},
		anySend:        newIndex(),
		engineSend:     newIndex(),
		anyCall:        newIndex(),
	}
}

// check runs every check. Definitions come first, because the order of lines
// matters only among lines of the same verb.
func (c *checker) check(lines []*rule) {
	c.forEach(lines, verbPool, c.checkPool)
	c.forEach(lines, verbOrganisation, c.checkOrganisation)
	c.forEach(lines, verbEvery, c.checkEvery)
	c.forEach(lines, verbServe, c.checkServe)
	c.forEach(lines, verbMove, c.checkMove)
	c.forEach(lines, verbSend, c.checkSend)
	c.forEach(lines, verbCall, c.checkCall)
	c.checkReachability(lines)
}

func (c *checker) forEach(lines []*rule, v verb, check func(*rule)) {
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
		c.reportRepeated(r, first, r.subjectColumn, "pool "+r.name)
		return
	}
	c.pools[r.name] = r
	if r.engine || r.incomplete {
		return
	}
	for _, option := range []clause{clauseFenced, clauseAuthenticated, clausePrompt} {
		if r.has(option) {
			c.findings.add(r.line, r.column(option), "%s is a service; orders and prompts are options of an engine", r.name)
		}
	}
}

// again reports a line about a subject that an earlier line covered already.
func (c *checker) reportRepeated(r, earlier *rule, column int, subject string) {
	if r.incomplete || earlier.incomplete || canonical(r) == canonical(earlier) {
		c.findings.add(r.line, column, "line %d already describes %s", earlier.line, subject)
		return
	}
	c.findings.add(r.line, column, "contradiction: line %d says something else about %s", earlier.line, subject)
}

func (c *checker) checkOrganisation(r *rule) {
	if r.name == "" {
		return
	}
	if first := c.organisations[r.name]; first != nil {
		c.reportRepeated(r, first, r.subjectColumn, "organisation "+r.name)
		return
	}
	c.organisations[r.name] = r
}

func (c *checker) checkEvery(r *rule) {
	if c.otherOrganisations != nil {
		c.reportRepeated(r, c.otherOrganisations, r.subjectColumn, "every other organisation")
		return
	}
	c.otherOrganisations = r
}

// pool returns the pool that the line names, or nil after reporting that there
// is none.
func (c *checker) resolvePool(r *rule) *rule {
	name, at := r.poolName()
	if name == "" {
		return nil
	}
	if p := c.pools[name]; p != nil {
		return p
	}
	hint := ""
	if suggestion, ok := closestKeyword(name, slices.Sorted(maps.Keys(c.pools))); ok {
		hint = fmt.Sprintf("; did you mean `%s`?", suggestion)
	}
	c.findings.add(r.line, at, "unknown pool `%s`%s", name, hint)
	return nil
}

// engine reports a line about versions of a pool that has none.
func (c *checker) requireEngine(r *rule) bool {
	p := c.resolvePool(r)
	if p == nil {
		return false
	}
	if !p.engine && !p.incomplete {
		c.findings.add(r.line, r.subjectColumn, "%s is a service; only an engine has versions", r.name)
		return false
	}
	return true
}

func (c *checker) checkServe(r *rule) {
	if !c.requireEngine(r) {
		return
	}
	if r.incomplete {
		c.unreadServes[r.name] = true
		return
	}
	key := fmt.Sprint(r.name, " ", r.version)
	if first := c.serveRules[key]; first != nil {
		c.findings.add(r.line, r.versionColumn, "repeated version: line %d already serves version %d of %s", first.line, r.version, r.name)
		return
	}
	c.serveRules[key] = r
	c.servedVersions[r.name] = append(c.servedVersions[r.name], r.version)
}

// ended reports whether the move needs no further action: it is marked as
// ended, or the pool serves its new version instead of the old one.
func (c *checker) moveEnded(r *rule) bool {
	versions := c.servedVersions[r.name]
	newOnly := slices.Contains(versions, r.toVersion) && !slices.Contains(versions, r.version)
	return r.has(clauseEnded) || newOnly
}

func (c *checker) checkMove(r *rule) {
	if !c.requireEngine(r) || r.incomplete {
		return
	}
	if r.version == r.toVersion {
		c.findings.add(r.line, r.toColumn, "version %d cannot move to itself", r.toVersion)
		return
	}
	if c.moveEnded(r) {
		return
	}
	c.checkMoveVersions(r)
	if !c.now.IsZero() && !r.deadline.After(c.now) && !c.acceptedMoves[moveID(r)] {
		c.findings.add(r.line, r.deadlineColumn, "the deadline %s has passed; it is now %s", r.deadline.Format(time.RFC3339), c.now.UTC().Format(time.RFC3339))
	}
	if first := c.activeMoves[r.name]; first != nil {
		c.findings.add(r.line, r.subjectColumn, "two moves of %s: line %d moves it from version %d to version %d; mark that one as `ended` first", r.name, first.line, first.version, first.toVersion)
		return
	}
	c.activeMoves[r.name] = r
}

func (c *checker) checkMoveVersions(r *rule) {
	serves := c.servedVersions[r.name]
	if !slices.Contains(serves, r.version) && !c.unreadServes[r.name] {
		c.findings.add(r.line, r.versionColumn, "unknown version: %s does not serve version %d; it serves %s", r.name, r.version, listVersions(serves))
	}
	if slices.Contains(serves, r.toVersion) {
		c.findings.add(r.line, r.toColumn, "contradiction: %s already serves version %d", r.name, r.toVersion)
	}
}

func listVersions(versions []int) string {
	if len(versions) == 0 {
		return "none"
	}
	return strings.Trim(fmt.Sprint(versions), "[]")
}

func (c *checker) checkSend(r *rule) {
	p := c.resolvePool(r)
	if r.pattern.path == "" {
		return
	}
	c.anySend.insert(r.pattern, "", 0)
	if p == nil || p.engine || p.incomplete {
		c.engineSend.insert(r.pattern, "", 0)
	}
	if r.incomplete {
		return
	}
	if i := c.sendIndex.covering(r.pattern, ""); i != noRank {
		c.reportShadowedSend(r, c.sendRules[i])
		return
	}
	c.sendIndex.insert(r.pattern, "", int32(len(c.sendRules)))
	c.sendRules = append(c.sendRules, r)
}

func (c *checker) reportShadowedSend(r, first *rule) {
	if first.pattern == r.pattern {
		c.reportRepeated(r, first, r.subjectColumn, r.pattern.route())
		return
	}
	c.findings.add(r.line, r.subjectColumn, "shadowed: line %d sends all these calls to %s", first.line, first.pool)
}

func (c *checker) checkCall(r *rule) {
	if r.pattern.path == "" {
		return
	}
	c.anyCall.insert(r.pattern, "", 0)
	c.checkTimeouts(r)
	if r.incomplete {
		return
	}
	key := r.pattern.route() + " " + r.organisation
	if first := c.callsByKey[key]; first != nil {
		c.reportRepeated(r, first, r.subjectColumn, "these calls")
		return
	}
	c.callsByKey[key] = r
	if i := c.callIndex.covering(r.pattern, r.organisation); i != noRank {
		c.findings.add(r.line, r.subjectColumn, "shadowed: line %d covers all these calls", c.callRules[i].line)
		return
	}
	c.checkEffect(r)
	c.callIndex.insert(r.pattern, r.organisation, int32(len(c.callRules)))
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
	if line := c.effectIndexes[other].covering(r.pattern, ""); line != noRank {
		c.findings.add(r.line, r.column(clauseEffect), "contradiction: line %d says that these calls are %s", line, other)
	}
	c.effectIndexes[r.effect].insert(r.pattern, "", int32(r.line))
}

func (c *checker) checkTimeouts(r *rule) {
	if !r.has(clauseFirstToken) {
		return
	}
	answer := r.responseTimeout
	if !r.has(clauseResponseTimeout) && r.has(clauseTier) {
		answer = DefaultResponseTimeout[r.tier]
	}
	if answer > 0 && r.firstToken > answer {
		c.findings.add(r.line, r.column(clauseFirstToken), "the first token (within %s) comes later than the answer (within %s)", formatDuration(r.firstToken), formatDuration(answer))
	}
}

// checkReach reports lines that no call can use.
func (c *checker) checkReachability(lines []*rule) {
	used := map[string]bool{}
	for _, r := range lines {
		switch {
		case r.verb == verbSend:
			used[r.pool] = true
			if r.pattern.path != "" && !c.anyCall.overlapping(r.pattern) {
				c.findings.add(r.line, r.subjectColumn, "no `call` line describes the calls of this `send` line")
			}
		case r.verb == verbCall && r.pattern.path != "":
			c.checkCallReachability(r)
		}
	}
	for name, p := range c.pools {
		if !used[name] {
			c.findings.add(p.line, p.subjectColumn, "no `send` line sends calls to pool %s", name)
		}
	}
}

func (c *checker) checkCallReachability(r *rule) {
	if !c.anySend.overlapping(r.pattern) {
		c.findings.add(r.line, r.subjectColumn, "no `send` line says which pool these calls go to")
		return
	}
	if c.engineSend.overlapping(r.pattern) {
		return
	}
	for _, option := range []clause{clauseFirstToken, clausePrompt} {
		if r.has(option) {
			c.findings.add(r.line, r.column(option), "these calls go to a service; first token and prompts are options of an engine")
		}
	}
}
