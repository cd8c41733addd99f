package rules

import (
	"cmp"
	"slices"
	"time"

	"sardinefront.dev/core/request"
)

// Class describes how a request is handled.
type Class struct {
	Pool  string
	Route string // method and path pattern of the call line
	Tier  request.Tier
	// Effect is the effect stated for the request. If no line states one, requests to
	// an engine and GET, HEAD and OPTIONS are idempotent, and all others are not.
	Effect request.Effect
	// ResponseTimeout is the maximum time from arrival to the complete response; it is
	// always positive.
	ResponseTimeout time.Duration
	// FirstToken is the maximum time from arrival to the first token; 0 if none is
	// stated and for services.
	FirstToken time.Duration
	// MaxPromptTokens is the largest accepted prompt; 0 means no limit.
	MaxPromptTokens int
	Line            int    // line number of the call line
	Comment         string // comment of the call line
}

// Pool is a group of targets.
type Pool struct {
	Name                  string
	Engine                bool // false for a plain service
	Fenced                bool // the engines reject a command with a stale fencing token
	AuthenticatesCommands bool // the engines authenticate the sender of a command
	// MaxPromptTokens is the largest accepted prompt; 0 means no limit.
	MaxPromptTokens int
	// Versions lists the versions that receive traffic, in ascending order. It is
	// empty if no line states one.
	Versions []int
	Line     int
	Comment  string
}

// Kind returns "engine" or "service".
func (p Pool) Kind() string {
	if p.Engine {
		return "engine"
	}
	return "service"
}

// Move is the rollout of a new version to a pool.
type Move struct {
	// ID is derived from pool, versions and deadline. It does not depend on the share,
	// the comment or the position in the file.
	ID       string
	Pool     string
	From, To int
	By       time.Time
	// AtMost is the maximum share of traffic, 0 to 1, of version To before the first
	// step that requires sufficient evidence.
	AtMost float64
	// Ended is true if the move needs no further action: it is marked as ended, or the
	// pool serves To and no longer From.
	Ended   bool
	Line    int
	Comment string
}

// Line is one rule as written in the file.
type Line struct {
	Number  int
	Verb    string
	Text    string
	Comment string
}

// Set is a compiled rules file. It is immutable and safe for concurrent use.
type Set struct {
	callIndex, sendIndex, effectIndex *index
	callRules                         []callRule
	sendPools                         []int32 // positions in pools, by rank in sendIndex
	effectByRank                      []request.Effect
	organisations                     map[string]organisation
	otherOrganisations                organisation
	pools                             []Pool
	moves                             []Move
	lines                             []Line
}

// callRule is the class of a call line, in which the tier and the effect may be unset.
type callRule struct {
	class              Class
	hasTier, hasEffect bool // whether the line states them
}

type organisation struct {
	weight int
	tier   request.Tier
}

// Classify returns the class of a request, and false if no call line or no send line
// matches it. The path is that of the request line: escapes are decoded and a query is
// ignored. A path that targets may interpret in different ways (with a dot segment, an
// escaped slash, backslash or percent sign, or an invalid escape) matches no line.
// Classify allocates only if the path has escapes.
func (s *Set) Classify(method, path, organisation string) (Class, bool) {
	path, ok := normalizePath(path)
	if !ok {
		return Class{}, false
	}
	call := s.callIndex.find(method, path, organisation)
	send := s.sendIndex.find(method, path, "")
	if call == noRank || send == noRank {
		return Class{}, false
	}
	line := &s.callRules[call]
	pool := &s.pools[s.sendPools[send]]
	class := line.class
	class.Pool = pool.Name
	if !line.hasTier {
		class.Tier = s.organisationSettings(organisation).tier
	}
	if class.ResponseTimeout == 0 {
		class.ResponseTimeout = DefaultResponseTimeout[class.Tier]
	}
	if !line.hasEffect {
		class.Effect = s.unstatedEffect(method, path, pool)
	}
	if !pool.Engine {
		class.FirstToken, class.MaxPromptTokens = 0, 0
		return class, true
	}
	class.MaxPromptTokens = lowerLimit(class.MaxPromptTokens, pool.MaxPromptTokens)
	return class, true
}

// unstatedEffect returns the effect of a request whose call line states none: that of any
// other call line for the request, whatever its organisation, or the default.
func (s *Set) unstatedEffect(method, path string, pool *Pool) request.Effect {
	if i := s.effectIndex.find(method, path, ""); i != noRank {
		return s.effectByRank[i]
	}
	if pool.Engine || method == "GET" || method == "HEAD" || method == "OPTIONS" {
		return request.Idempotent
	}
	return request.NonIdempotent
}

// lowerLimit returns the smaller of two limits, where 0 means none.
func lowerLimit(a, b int) int {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

func (s *Set) organisationSettings(name string) organisation {
	if o, ok := s.organisations[name]; ok {
		return o
	}
	return s.otherOrganisations
}

// Weight returns the weight of an organisation in fair queueing, 1 to 1000.
func (s *Set) Weight(organisation string) int { return s.organisationSettings(organisation).weight }

// Weights returns the weights of all organisations that have a line.
func (s *Set) Weights() map[string]float64 {
	weights := make(map[string]float64, len(s.organisations))
	for name, o := range s.organisations {
		weights[name] = float64(o.weight)
	}
	return weights
}

// DefaultTier returns the tier of an organisation's requests whose call line states
// none.
func (s *Set) DefaultTier(organisation string) request.Tier {
	return s.organisationSettings(organisation).tier
}

// Pools returns the pools in file order. The caller must not modify the slice.
func (s *Set) Pools() []Pool { return s.pools }

// Pool returns the pool with the given name.
func (s *Set) Pool(name string) (Pool, bool) {
	i := slices.IndexFunc(s.pools, func(p Pool) bool { return p.Name == name })
	if i < 0 {
		return Pool{}, false
	}
	return s.pools[i], true
}

// Moves returns the moves in file order, including ended ones. The caller must not
// modify the slice.
func (s *Set) Moves() []Move { return s.moves }

// Lines returns the rules in file order. The caller must not modify the slice.
func (s *Set) Lines() []Line { return s.lines }

// compile returns the set of a file that has no findings.
func compile(lines []*rule, c *checker) *Set {
	s := &Set{
		callIndex: c.callIndex, sendIndex: c.sendIndex, effectIndex: newIndex(),
		organisations: make(map[string]organisation, len(c.organisations)),
		callRules:     make([]callRule, 0, len(c.callRules)),
		lines:         make([]Line, 0, len(lines)),
	}
	s.otherOrganisations = compileOrganisation(c.otherOrganisations, organisation{DefaultWeight, request.Interactive})
	for name, r := range c.organisations {
		s.organisations[name] = compileOrganisation(r, s.otherOrganisations)
	}
	for _, r := range lines {
		s.lines = append(s.lines, Line{r.line, string(r.verb), r.text, r.comment})
		switch r.verb {
		case verbPool:
			s.pools = append(s.pools, compilePool(r, c))
		case verbMove:
			s.moves = append(s.moves, compileMove(r, c))
		}
	}
	for _, r := range c.sendRules {
		position := slices.IndexFunc(s.pools, func(p Pool) bool { return p.Name == r.pool })
		s.sendPools = append(s.sendPools, int32(position))
	}
	routes := map[pattern]string{}
	for _, r := range c.callRules {
		s.addCall(r, routes)
	}
	return s
}

// addCall adds a call line. The map routes lets lines with the same pattern share one
// string.
func (s *Set) addCall(r *rule, routes map[pattern]string) {
	route, ok := routes[r.pattern]
	if !ok {
		route = r.pattern.route()
		routes[r.pattern] = route
	}
	if r.has(clauseEffect) {
		s.effectIndex.insert(r.pattern, "", int32(len(s.effectByRank)))
		s.effectByRank = append(s.effectByRank, r.effect)
	}
	s.callRules = append(s.callRules, callRule{
		class: Class{
			Route: route, Tier: r.tier, Effect: r.effect,
			ResponseTimeout: r.responseTimeout, FirstToken: r.firstToken, MaxPromptTokens: r.promptLimit,
			Line: r.line, Comment: r.comment,
		},
		hasTier:   r.has(clauseTier),
		hasEffect: r.has(clauseEffect),
	})
}

// compileOrganisation returns the settings of a line, with those that it does not state
// taken from the fallback.
func compileOrganisation(r *rule, fallback organisation) organisation {
	o := fallback
	if r == nil {
		return o
	}
	if r.has(clauseWeight) {
		o.weight = r.weight
	}
	if r.has(clauseTier) {
		o.tier = r.tier
	}
	return o
}

func compilePool(r *rule, c *checker) Pool {
	versions := slices.Clone(c.servedVersions[r.name])
	slices.SortFunc(versions, cmp.Compare[int])
	return Pool{
		Name: r.name, Engine: r.engine, Fenced: r.fenced, AuthenticatesCommands: r.authenticated,
		MaxPromptTokens: r.promptLimit, Versions: versions, Line: r.line, Comment: r.comment,
	}
}

func compileMove(r *rule, c *checker) Move {
	return Move{
		ID: moveID(r), Pool: r.name, From: r.version, To: r.toVersion, By: r.deadline,
		AtMost: r.atMostPercent / 100, Ended: c.moveEnded(r), Line: r.line, Comment: r.comment,
	}
}
