package rules

import (
	"strings"
)

// maxEditDistance is the largest edit distance at which a word counts as a misspelling.
// Two edits cover a transposition and a doubled letter.
const maxEditDistance = 2

// closestWord returns the candidate with the smallest edit distance to word. It
// returns false if word differs too much from all of them to be a misspelling.
func closestWord(word string, candidates []string) (string, bool) {
	best, bestDistance := "", maxEditDistance+1
	for _, c := range candidates {
		d := editDistance(strings.ToLower(word), strings.ToLower(c))
		if d < bestDistance && d*2 <= len(c) {
			best, bestDistance = c, d
		}
	}
	return best, best != ""
}

// editDistance returns the Levenshtein distance in bytes. For words longer than any
// keyword it returns a distance above maxEditDistance, which bounds the work on adversarial
// input.
func editDistance(a, b string) int {
	const maxWordBytes = 24
	if len(a) > maxWordBytes || len(b) > maxWordBytes {
		return maxWordBytes
	}
	var rows [2][maxWordBytes + 1]int
	prev, cur := &rows[0], &rows[1]
	for j := range len(b) + 1 {
		prev[j] = j
	}
	for i := range len(a) {
		cur[0] = i + 1
		for j := range len(b) {
			substitute := prev[j]
			if a[i] != b[j] {
				substitute++
			}
			cur[j+1] = min(substitute, prev[j+1]+1, cur[j]+1)
		}
		prev, cur = cur, prev
	}
	return prev[len(b)]
}

// oneOf joins words for a message, as in "`a`, `b` or `c`".
func oneOf(words []string) string {
	quoted := make([]string, len(words))
	for i, w := range words {
		quoted[i] = "`" + w + "`"
	}
	if len(quoted) == 1 {
		return quoted[0]
	}
	last := len(quoted) - 1
	return strings.Join(quoted[:last], ", ") + " or " + quoted[last]
}
