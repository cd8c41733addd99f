package rules

import (
	"math/bits"

	"sardinefront.dev/core/request"
)

// The largest numbers that rules may contain.
const (
	maxVersion      = 1_000_000
	maxWeight       = 1_000
	maxPromptTokens = 10_000_000
)

// parseLines parses every line of text. Lines without a rule are omitted.
func parseLines(f *findings, text []byte) []*rule {
	var rules []*rule
	for i, line := range splitLines(text) {
		if r := parseLine(f, i+1, line); r != nil {
			rules = append(rules, r)
		}
	}
	return rules
}

// parseLine parses one line. It returns nil for a blank line, a line with only a
// comment, and a line whose first word is not a verb.
func parseLine(f *findings, number int, line string) *rule {
	l := lexLine(line)
	if l.invalidColumn > 0 {
		f.add(number, l.invalidColumn, "the line contains a control character or is not valid UTF-8")
		return nil
	}
	if len(l.tokens) == 0 {
		return nil
	}
	in := &reader{findings: f, line: number, tokens: l.tokens, endColumn: l.endColumn}
	word, _ := in.keyword(verbs...)
	if !hasLetter(l.comment) {
		f.add(number, l.endColumn, "missing comment: end the line with `# ` and the name of who asked for it")
	}
	if in.failed {
		return nil
	}
	r := &rule{verb: verb(word), line: number, text: line, comment: l.comment}
	clauseReaders[r.verb](in, r)
	if t, more := in.peek(); more {
		in.report(t.column, "expected the end of the line, found %s", in.nextText())
	}
	r.incomplete = in.failed
	return r
}

// clauseReaders holds, for each verb, the function that parses the words after it.
var clauseReaders = map[verb]func(*reader, *rule){
	verbPool:         readPool,
	verbSend:         readSend,
	verbCall:         readCall,
	verbOrganisation: readOrganisation,
	verbEvery:        readEvery,
	verbServe:        readServe,
	verbMove:         readMove,
}

func readPool(in *reader, r *rule) {
	readPoolName(in, r)
	in.keywords("is")
	kind, _ := in.keyword("engine", "service")
	r.engine = kind == "engine"
	for !in.done() {
		in.separator()
		readPoolClause(in, r)
	}
}

func readPoolClause(in *reader, r *rule) {
	word, column := in.keyword("orders", "prompts")
	switch word {
	case "orders":
		option, _ := in.keyword("fenced", "unfenced", "checked", "unchecked")
		switch option {
		case "fenced", "unfenced":
			r.markStated(in, clauseFenced, column)
			r.fenced = option == "fenced"
		case "checked", "unchecked":
			r.markStated(in, clauseAuthenticated, column)
			r.authenticated = option == "checked"
		}
	case "prompts":
		r.markStated(in, clausePrompt, column)
		readPromptLimit(in, r)
	}
}

func readPromptLimit(in *reader, r *rule) {
	in.keywords("up", "to")
	r.promptLimit, _ = in.number("a number of tokens", 1, maxPromptTokens)
	in.keywords("tokens")
}

func readSend(in *reader, r *rule) {
	readPattern(in, r)
	in.keywords("to")
	t := in.name("the name of a pool")
	if !in.failed {
		r.pool, r.poolColumn = t.text, t.column
	}
}

func readCall(in *reader, r *rule) {
	readPattern(in, r)
	if word, _ := in.keyword("is", "from"); word == "from" {
		r.organisation = in.name("the name of an organisation").text
		in.keywords("is")
	}
	readCallClause(in, r)
	for !in.done() {
		in.separator()
		readCallClause(in, r)
	}
}

func readCallClause(in *reader, r *rule) {
	word, column := in.keyword("urgent", "interactive", "patient", "idempotent", "non-idempotent", "answer", "first", "prompts")
	switch word {
	case "urgent", "interactive", "patient":
		r.markStated(in, clauseTier, column)
		r.tier, _ = request.ParseTier(word)
	case "idempotent", "non-idempotent":
		r.markStated(in, clauseEffect, column)
		r.effect = request.Idempotent
		if word == "non-idempotent" {
			r.effect = request.NonIdempotent
		}
	case "answer":
		in.keywords("within")
		r.markStated(in, clauseResponseTimeout, column)
		r.responseTimeout = in.duration()
	case "first":
		in.keywords("token", "within")
		r.markStated(in, clauseFirstToken, column)
		r.firstToken = in.duration()
	case "prompts":
		r.markStated(in, clausePrompt, column)
		readPromptLimit(in, r)
	}
}

func readOrganisation(in *reader, r *rule) {
	t := in.name("the name of an organisation")
	r.subjectColumn = t.column
	if !in.failed {
		r.name = t.text
	}
	readOrganisationClauses(in, r)
}

func readEvery(in *reader, r *rule) {
	in.keywords("other")
	t, _ := in.peek()
	r.subjectColumn = t.column
	in.keywords("organisation")
	readOrganisationClauses(in, r)
}

func readOrganisationClauses(in *reader, r *rule) {
	in.keywords("has")
	readOrganisationClause(in, r)
	for !in.done() {
		in.separator()
		readOrganisationClause(in, r)
	}
}

func readOrganisationClause(in *reader, r *rule) {
	word, column := in.keyword("weight", "default")
	switch word {
	case "weight":
		r.markStated(in, clauseWeight, column)
		r.weight, _ = in.number("a weight", 1, maxWeight)
	case "default":
		in.keywords("tier")
		r.markStated(in, clauseTier, column)
		tier, _ := in.keyword("urgent", "interactive", "patient")
		r.tier, _ = request.ParseTier(tier)
	}
}

func readServe(in *reader, r *rule) {
	readPoolName(in, r)
	in.keywords("version")
	r.version, r.versionColumn = in.number("a version", 1, maxVersion)
}

func readMove(in *reader, r *rule) {
	readPoolName(in, r)
	in.keywords("from", "version")
	r.version, r.versionColumn = in.number("a version", 1, maxVersion)
	in.keywords("to", "version")
	r.toVersion, r.toColumn = in.number("a version", 1, maxVersion)
	in.keywords("by")
	r.deadline, r.deadlineColumn = in.instant()
	r.atMostPercent = DefaultAtMostPercent
	for !in.done() {
		in.separator()
		readMoveClause(in, r)
	}
}

func readMoveClause(in *reader, r *rule) {
	word, column := in.keyword("at", "ended")
	switch word {
	case "at":
		in.keywords("most")
		r.markStated(in, clauseAtMost, column)
		t := in.word("a share such as `5%`")
		p, ok := percent(t.text)
		if !ok {
			in.report(t.column, "expected a share such as `5%%`, found `%s`", t.text)
			return
		}
		if p <= 0 || p > 100 {
			in.findings.add(in.line, t.column, "`at most` is out of range: %s is not more than 0%% and at most 100%%", t.text)
		}
		r.atMostPercent = p
	case "ended":
		r.markStated(in, clauseEnded, column)
	}
}

func readPoolName(in *reader, r *rule) {
	t := in.name("the name of a pool")
	r.subjectColumn = t.column
	if !in.failed {
		r.name = t.text
	}
}

func readPattern(in *reader, r *rule) {
	r.pattern.method, _ = in.keyword(methods...)
	t := in.word("a path such as `/lyn/**`")
	r.subjectColumn = t.column
	if in.failed {
		return
	}
	if problem := pathError(t.text); problem != "" {
		in.report(t.column, "%s, found `%s`", problem, t.text)
		return
	}
	r.pattern.path = t.text
}

// markStated records the clause and its column, and reports a repeated clause.
func (r *rule) markStated(in *reader, c clause, column int) {
	if in.failed {
		return
	}
	if r.has(c) {
		in.findings.add(in.line, column, "this clause is stated twice")
	}
	r.stated |= c
	r.columns[bits.TrailingZeros16(uint16(c))] = column
}
