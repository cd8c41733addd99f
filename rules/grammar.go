package rules

import (
	"math/bits"

	"sardinefront.dev/core/request"
)

// Limits of the numbers in rules.
const (
	maxVersion = 1_000_000
	maxWeight  = 1_000
	maxPrompt  = 10_000_000 // tokens
)

// parseLines reads every line of text. Lines without a rule are left out.
func parseLines(f *findings, text []byte) []*rule {
	var rules []*rule
	for i, line := range splitLines(text) {
		if r := parseLine(f, i+1, line); r != nil {
			rules = append(rules, r)
		}
	}
	return rules
}

// parseLine reads one line, or returns nil for a blank line, a line with only a
// comment, and a line whose first word is no verb.
func parseLine(f *findings, number int, line string) *rule {
	l := lexLine(line)
	if l.bad > 0 {
		f.add(number, l.bad, "the line contains a control character or is not valid UTF-8")
		return nil
	}
	if len(l.tokens) == 0 {
		return nil
	}
	in := &reader{f: f, line: number, tokens: l.tokens, end: l.end}
	word, _ := in.keyword(verbs...)
	if !hasLetter(l.comment) {
		f.add(number, l.end, "missing comment: end the line with `# ` and the name of who asked for it")
	}
	if in.failed {
		return nil
	}
	r := &rule{verb: verb(word), line: number, text: line, comment: l.comment}
	readers[r.verb](in, r)
	if t, more := in.peek(); more {
		in.fail(t.column, "expected the end of the line, found %s", in.found())
	}
	r.broken = in.failed
	return r
}

// readers holds the reader of the words after each verb.
var readers = map[verb]func(*reader, *rule){
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
	in.phrase("is")
	kind, _ := in.keyword("engine", "service")
	r.engine = kind == "engine"
	for !in.done() {
		in.separator()
		readPoolClause(in, r)
	}
}

func readPoolClause(in *reader, r *rule) {
	word, at := in.keyword("orders", "prompts")
	switch word {
	case "orders":
		how, _ := in.keyword("fenced", "unfenced", "checked", "unchecked")
		switch how {
		case "fenced", "unfenced":
			r.state(in, clauseFenced, at)
			r.fenced = how == "fenced"
		case "checked", "unchecked":
			r.state(in, clauseChecked, at)
			r.checked = how == "checked"
		}
	case "prompts":
		r.state(in, clausePrompt, at)
		readPrompt(in, r)
	}
}

func readPrompt(in *reader, r *rule) {
	in.phrase("up", "to")
	r.prompt, _ = in.number("a number of tokens", 1, maxPrompt)
	in.phrase("tokens")
}

func readSend(in *reader, r *rule) {
	readPattern(in, r)
	in.phrase("to")
	t := in.name("the name of a pool")
	if !in.failed {
		r.pool, r.poolAt = t.text, t.column
	}
}

func readCall(in *reader, r *rule) {
	readPattern(in, r)
	if word, _ := in.keyword("is", "from"); word == "from" {
		r.from = in.name("the name of an organisation").text
		in.phrase("is")
	}
	readCallClause(in, r)
	for !in.done() {
		in.separator()
		readCallClause(in, r)
	}
}

func readCallClause(in *reader, r *rule) {
	word, at := in.keyword("urgent", "interactive", "patient", "idempotent", "non-idempotent", "answer", "first", "prompts")
	switch word {
	case "urgent", "interactive", "patient":
		r.state(in, clauseTier, at)
		r.tier, _ = request.ParseTier(word)
	case "idempotent", "non-idempotent":
		r.state(in, clauseEffect, at)
		r.effect = request.Idempotent
		if word == "non-idempotent" {
			r.effect = request.NonIdempotent
		}
	case "answer":
		in.phrase("within")
		r.state(in, clauseAnswer, at)
		r.answer = in.duration()
	case "first":
		in.phrase("token", "within")
		r.state(in, clauseFirstToken, at)
		r.first = in.duration()
	case "prompts":
		r.state(in, clausePrompt, at)
		readPrompt(in, r)
	}
}

func readOrganisation(in *reader, r *rule) {
	t := in.name("the name of an organisation")
	r.subject = t.column
	if !in.failed {
		r.name = t.text
	}
	readHas(in, r)
}

func readEvery(in *reader, r *rule) {
	in.phrase("other")
	t, _ := in.peek()
	r.subject = t.column
	in.phrase("organisation")
	readHas(in, r)
}

func readHas(in *reader, r *rule) {
	in.phrase("has")
	readHasClause(in, r)
	for !in.done() {
		in.separator()
		readHasClause(in, r)
	}
}

func readHasClause(in *reader, r *rule) {
	word, at := in.keyword("weight", "default")
	switch word {
	case "weight":
		r.state(in, clauseWeight, at)
		r.weight, _ = in.number("a weight", 1, maxWeight)
	case "default":
		in.phrase("tier")
		r.state(in, clauseTier, at)
		tier, _ := in.keyword("urgent", "interactive", "patient")
		r.tier, _ = request.ParseTier(tier)
	}
}

func readServe(in *reader, r *rule) {
	readPoolName(in, r)
	in.phrase("version")
	r.version, r.versionAt = in.number("a version", 1, maxVersion)
}

func readMove(in *reader, r *rule) {
	readPoolName(in, r)
	in.phrase("from", "version")
	r.version, r.versionAt = in.number("a version", 1, maxVersion)
	in.phrase("to", "version")
	r.to, r.toAt = in.number("a version", 1, maxVersion)
	in.phrase("by")
	r.by, r.byAt = in.instant()
	r.atMost = DefaultAtMostPercent
	for !in.done() {
		in.separator()
		readMoveClause(in, r)
	}
}

func readMoveClause(in *reader, r *rule) {
	word, at := in.keyword("at", "ended")
	switch word {
	case "at":
		in.phrase("most")
		r.state(in, clauseAtMost, at)
		t := in.word("a share such as `5%`")
		p, ok := percent(t.text)
		if !ok {
			in.fail(t.column, "expected a share such as `5%%`, found `%s`", t.text)
			return
		}
		if p <= 0 || p > 100 {
			in.f.add(in.line, t.column, "`at most` is out of range: %s is not more than 0%% and at most 100%%", t.text)
		}
		r.atMost = p
	case "ended":
		r.state(in, clauseEnded, at)
	}
}

func readPoolName(in *reader, r *rule) {
	t := in.name("the name of a pool")
	r.subject = t.column
	if !in.failed {
		r.name = t.text
	}
}

func readPattern(in *reader, r *rule) {
	r.pattern.method, _ = in.keyword(methods...)
	t := in.word("a path such as `/lyn/**`")
	r.subject = t.column
	if in.failed {
		return
	}
	if fault := pathFault(t.text); fault != "" {
		in.fail(t.column, "%s, found `%s`", fault, t.text)
		return
	}
	r.pattern.path = t.text
}

// state marks a clause as stated and reports one that is stated twice.
func (r *rule) state(in *reader, c clause, at int) {
	if in.failed {
		return
	}
	if r.has(c) {
		in.f.add(in.line, at, "this line states the same thing twice")
	}
	r.stated |= c
	r.columns[bits.TrailingZeros16(uint16(c))] = at
}
