package rules

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"sardinefront.dev/core/request"
)

// checker finds inconsistencies between the lines of a file.
type checker struct {
	findings      *findings
	acceptedMoves map[string]bool // ids of the moves in the accepted file
	now           time.Time

	pools              map[string]*rule
	incompleteServes   map[string]bool // pools with an incomplete serve line
	organisations      map[string]*rule
	otherOrganisations *rule
	servedVersions     map[string][]int
	serveRules         map[string]*rule // by pool and version
	activeMoves        map[string]*rule // the active move of each pool

	sendIndex, callIndex *index // ranks are positions in sendRules and callRules
	sendRules            []*rule
	callRules            []*rule
	callsByKey           map[string]*rule // call lines by route and organisation
	// effectIndexes holds, for each effect, the call lines that state it, whatever
	// their organisation. Ranks are line numbers.
	effectIndexes [2]*index
	// sendCoverage, engineSendCoverage and callCoverage include incomplete lines, so
	// that an incomplete line causes no findings about other lines.
	sendCoverage, engineSendCoverage, callCoverage *index
}

func newChecker(f *findings, acceptedMoves map[string]bool, now time.Time) *checker {
	return &checker{
		findings: f, acceptedMoves: acceptedMoves, now: now,
		pools:              map[string]*rule{},
		incompleteServes:   map[string]bool{},
		organisations:      map[string]*rule{},
		servedVersions:     map[string][]int{},
		serveRules:         map[string]*rule{},
		activeMoves:        map[string]*rule{},
		sendIndex:          newIndex(),
		callIndex:          newIndex(),
		callsByKey:         map[string]*rule{},
		effectIndexes:      [2]*index{newIndex(), newIndex()},
		sendCoverage:       newIndex(),
		engineSendCoverage: newIndex(),
		callCoverage:       newIndex(),
	}
}

// check runs all checks. Definitions are checked first, wherever they are in the
// file, because the order of lines matters only among lines of the same verb.
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
	if earlier := c.pools[r.name]; earlier != nil {
		c.reportRepeated(r, earlier, r.subjectColumn, "pool "+r.name)
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

// reportRepeated reports a line with the same subject as an earlier line, which is
// either a repetition or a contradiction.
func (c *checker) reportRepeated(r, earlier *rule, column int, subject string) {
	if r.incomplete || earlier.incomplete || canonical(r) == canonical(earlier) {
		c.findings.add(r.line, column, "line %d already describes %s", earlier.line, subject)
		return
	}
	c.findings.add(r.line, column, "contradiction: line %d describes %s differently", earlier.line, subject)
}

func (c *checker) checkOrganisation(r *rule) {
	if r.name == "" {
		return
	}
	if earlier := c.organisations[r.name]; earlier != nil {
		c.reportRepeated(r, earlier, r.subjectColumn, "organisation "+r.name)
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

// resolvePool returns the pool line of the pool that r refers to. It reports an
// unknown pool and returns nil.
func (c *checker) resolvePool(r *rule) *rule {
	name, column := r.poolName()
	if name == "" {
		return nil
	}
	if p := c.pools[name]; p != nil {
		return p
	}
	hint := ""
	if suggestion, ok := closestWord(name, slices.Sorted(maps.Keys(c.pools))); ok {
		hint = fmt.Sprintf("; did you mean `%s`?", suggestion)
	}
	c.findings.add(r.line, column, "unknown pool `%s`%s", name, hint)
	return nil
}

// requireEngine returns whether the pool that r refers to is an engine, and reports it
// if not, because only engines have versions. A pool of an unknown kind passes.
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
		c.incompleteServes[r.name] = true
		return
	}
	key := fmt.Sprint(r.name, " ", r.version)
	if earlier := c.serveRules[key]; earlier != nil {
		c.findings.add(r.line, r.versionColumn, "repeated version: line %d already serves version %d of %s", earlier.line, r.version, r.name)
		return
	}
	c.serveRules[key] = r
	c.servedVersions[r.name] = append(c.servedVersions[r.name], r.version)
}

// moveEnded reports whether the move needs no further action: it is marked as
// ended, or the pool serves the new version and no longer the old one.
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
	if earlier := c.activeMoves[r.name]; earlier != nil {
		c.findings.add(r.line, r.subjectColumn, "two moves of %s: line %d moves it from version %d to version %d; mark that one as `ended` first", r.name, earlier.line, earlier.version, earlier.toVersion)
		return
	}
	c.activeMoves[r.name] = r
}

func (c *checker) checkMoveVersions(r *rule) {
	served := c.servedVersions[r.name]
	if !slices.Contains(served, r.version) && !c.incompleteServes[r.name] {
		c.findings.add(r.line, r.versionColumn, "unknown version: %s does not serve version %d; it serves %s", r.name, r.version, listVersions(served))
	}
	if slices.Contains(served, r.toVersion) {
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
	c.sendCoverage.insert(r.pattern, "", 0)
	if p == nil || p.engine || p.incomplete {
		c.engineSendCoverage.insert(r.pattern, "", 0)
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

func (c *checker) reportShadowedSend(r, earlier *rule) {
	if earlier.pattern == r.pattern {
		c.reportRepeated(r, earlier, r.subjectColumn, r.pattern.route())
		return
	}
	c.findings.add(r.line, r.subjectColumn, "shadowed: line %d sends all these calls to %s", earlier.line, earlier.pool)
}

func (c *checker) checkCall(r *rule) {
	if r.pattern.path == "" {
		return
	}
	c.callCoverage.insert(r.pattern, "", 0)
	c.checkTimeouts(r)
	if r.incomplete {
		return
	}
	key := r.pattern.route() + " " + r.organisation
	if earlier := c.callsByKey[key]; earlier != nil {
		c.reportRepeated(r, earlier, r.subjectColumn, "these calls")
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

// checkEffect reports a call line that states another effect than an earlier line
// for the same requests, even if for another organisation. Whether a request may run
// twice depends on the request and not on the caller.
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
	responseTimeout := r.responseTimeout
	if !r.has(clauseResponseTimeout) && r.has(clauseTier) {
		responseTimeout = DefaultResponseTimeout[r.tier]
	}
	if responseTimeout > 0 && r.firstToken > responseTimeout {
		c.findings.add(r.line, r.column(clauseFirstToken), "the first token (within %s) is due later than the answer (within %s)", formatDuration(r.firstToken), formatDuration(responseTimeout))
	}
}

// checkReachability reports send lines without a call line, call lines without a send
// line, pools without a send line, and options that can't apply.
func (c *checker) checkReachability(lines []*rule) {
	used := map[string]bool{}
	for _, r := range lines {
		switch {
		case r.verb == verbSend:
			used[r.pool] = true
			if r.pattern.path != "" && !c.callCoverage.overlapping(r.pattern) {
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
	if !c.sendCoverage.overlapping(r.pattern) {
		c.findings.add(r.line, r.subjectColumn, "no `send` line says which pool these calls go to")
		return
	}
	if c.engineSendCoverage.overlapping(r.pattern) {
		return
	}
	for _, option := range []clause{clauseFirstToken, clausePrompt} {
		if r.has(option) {
			c.findings.add(r.line, r.column(option), "these calls go to a service; first token and prompts are options of an engine")
		}
	}
}
