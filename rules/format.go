package rules

import (
	"strconv"
	"strings"
	"time"
)

// canonical returns a rule in its canonical form, without the comment.
func canonical(r *rule) string {
	switch r.verb {
	case verbPool:
		return "pool " + r.name + " is " + strings.Join(poolClauses(r), ", ")
	case verbSend:
		return "send " + r.pattern.route() + " to " + r.pool
	case verbCall:
		return "call " + r.pattern.route() + fromText(r) + " is " + callText(r)
	case verbOrganisation:
		return "organisation " + r.name + " has " + strings.Join(organisationClauses(r), ", ")
	case verbEvery:
		return "every other organisation has " + strings.Join(organisationClauses(r), ", ")
	case verbServe:
		return "serve " + r.name + " version " + strconv.Itoa(r.version)
	}
	return moveText(r)
}

func poolClauses(r *rule) []string {
	kind := "service"
	if r.engine {
		kind = "engine"
	}
	parts := []string{kind}
	if r.has(clauseFenced) {
		parts = append(parts, "orders "+negatable(r.fenced, "fenced"))
	}
	if r.has(clauseAuthenticated) {
		parts = append(parts, "orders "+negatable(r.authenticated, "checked"))
	}
	return append(parts, promptText(r)...)
}

// negatable returns the word, with the prefix "un" if yes is false.
func negatable(yes bool, word string) string {
	if yes {
		return word
	}
	return "un" + word
}

func promptText(r *rule) []string {
	if !r.has(clausePrompt) {
		return nil
	}
	return []string{"prompts up to " + strconv.Itoa(r.promptLimit) + " tokens"}
}

func fromText(r *rule) string {
	if r.organisation == "" {
		return ""
	}
	return " from " + r.organisation
}

func callText(r *rule) string {
	var kind, parts []string
	if r.has(clauseTier) {
		kind = append(kind, r.tier.String())
	}
	if r.has(clauseEffect) {
		kind = append(kind, r.effect.String())
	}
	if len(kind) > 0 {
		parts = append(parts, strings.Join(kind, " and "))
	}
	if r.has(clauseResponseTimeout) {
		parts = append(parts, "answer within "+formatDuration(r.responseTimeout))
	}
	if r.has(clauseFirstToken) {
		parts = append(parts, "first token within "+formatDuration(r.firstToken))
	}
	return strings.Join(append(parts, promptText(r)...), ", ")
}

func organisationClauses(r *rule) []string {
	var parts []string
	if r.has(clauseWeight) {
		parts = append(parts, "weight "+strconv.Itoa(r.weight))
	}
	if r.has(clauseTier) {
		parts = append(parts, "default tier "+r.tier.String())
	}
	return parts
}

func moveText(r *rule) string {
	text := "move " + r.name + " from version " + strconv.Itoa(r.version) +
		" to version " + strconv.Itoa(r.toVersion) + " by " + r.deadline.Format(time.RFC3339Nano)
	if r.has(clauseAtMost) {
		text += ", at most " + strconv.FormatFloat(r.atMostPercent, 'f', -1, 64) + "%"
	}
	if r.has(clauseEnded) {
		text += ", ended"
	}
	return text
}

// Format returns the text with every rule in its canonical form, with one space between
// words and two before the comment, and without repeated blank lines. Comments are
// kept. A line that cannot be parsed is left unchanged, so Format never changes the
// meaning of a file.
func Format(text []byte) []byte {
	var out []string
	for _, line := range splitLines(text) {
		line = formatLine(line)
		blank := line == ""
		if blank && (len(out) == 0 || out[len(out)-1] == "") {
			continue
		}
		out = append(out, line)
	}
	joined := strings.TrimRight(strings.Join(out, "\n"), "\n")
	if joined == "" {
		return nil
	}
	return []byte(joined + "\n")
}

func formatLine(line string) string {
	l := lexLine(line)
	if l.invalidColumn > 0 {
		return line // trimming could remove the invalid character
	}
	line = strings.TrimSpace(line)
	f := &findings{}
	r := parseLine(f, 1, line)
	blocking := len(f.list)
	if !hasLetter(l.comment) {
		blocking-- // a missing comment does not prevent formatting
	}
	if r == nil || r.incomplete || blocking > 0 {
		return line
	}
	if !l.hasComment {
		return canonical(r)
	}
	return strings.TrimRight(canonical(r)+"  # "+l.comment, " ")
}
