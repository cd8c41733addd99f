package rules

import (
	"math/bits"
	"time"

	"sardinefront.dev/core/request"
)

// verb is the first word of a rule.
type verb string

const (
	verbPool         verb = "pool"
	verbSend         verb = "send"
	verbCall         verb = "call"
	verbOrganisation verb = "organisation"
	verbEvery        verb = "every"
	verbServe        verb = "serve"
	verbMove         verb = "move"
)

var verbs = []string{"pool", "send", "call", "organisation", "every", "serve", "move"}

// methodAny in a rule matches every method.
const methodAny = "any"

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", methodAny}

// pattern selects requests by method and path.
type pattern struct {
	method string
	path   string // as written: /a/*/**
}

// route returns the name of the route in reports and in the comparison of versions.
func (p pattern) route() string { return p.method + " " + p.path }

// clause is a bit set of the optional parts of a line.
type clause uint16

const (
	clauseTier clause = 1 << iota
	clauseEffect
	clauseResponseTimeout
	clauseFirstToken
	clausePrompt
	clauseFenced
	clauseAuthenticated
	clauseWeight
	clauseAtMost
	clauseEnded

	clauseCount = iota
)

// rule is one parsed line. Which fields are set depends on the verb.
type rule struct {
	verb    verb
	line    int
	text    string
	comment string
	// incomplete is set if the line could not be parsed to its end. The line still
	// defines its subject, so that its error causes no findings about other lines.
	incomplete bool
	stated     clause
	columns    [clauseCount]int // columns of the stated clauses, by bit

	subjectColumn int // column of the name or path
	name          string
	pattern       pattern
	organisation  string
	pool          string // pool of a send line
	poolColumn    int

	engine                      bool
	fenced, authenticated       bool
	promptLimit                 int // tokens
	tier                        request.Tier
	effect                      request.Effect
	responseTimeout, firstToken time.Duration
	weight                      int
	version, toVersion          int
	versionColumn, toColumn     int
	deadline                    time.Time
	deadlineColumn              int
	atMostPercent               float64
}

func (r *rule) has(c clause) bool { return r.stated&c != 0 }

// column returns the column of a stated clause.
func (r *rule) column(c clause) int { return r.columns[bits.TrailingZeros16(uint16(c))] }

// poolName returns the pool that the line refers to or defines, with its column.
func (r *rule) poolName() (string, int) {
	switch r.verb {
	case verbSend:
		return r.pool, r.poolColumn
	case verbPool, verbServe, verbMove:
		return r.name, r.subjectColumn
	}
	return "", 0
}
