package rules

import (
	"cmp"
	"slices"
	"time"

	"sardinefront.dev/core/request"
)

// Class says how one request is to be handled.
type Class struct {
	Pool  string
	Route string // method and path pattern of the call line
	Tier  request.Tier
	// Effect is the one stated for the call. If no line states one, calls to an
	// engine and GET, HEAD and OPTIONS are idempotent and all others are not.
	Effect request.Effect
	// Answer is the time from arrival to the complete answer; always positive.
	ResponseTimeout time.Duration
	// FirstToken is the time from arrival to the first token; 0 if none is
	// stated and for services.
	FirstToken time.Duration
	// PromptLimit is the largest prompt in tokens; 0 means no limit.
	MaxPromptTokens int
	Line            int    // of the call line
	Comment         string // of the call line
}

// Pool is a group of targets.
type Pool struct {
	Name                  string
	Engine                bool // false for a plain service
	Fenced                bool // the engines reject an order with a stale fencing number
	AuthenticatesCommands bool // the engines authenticate the sender of an order
	// PromptLimit is the largest prompt in tokens; 0 means no limit.
	MaxPromptTokens int
	// Versions are the versions that receive traffic, in ascending order.
	// Empty means that no line states one.
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

// Move is a version rollout.
type Move struct {
	// ID is derived from pool, versions and deadline. It does not change with
	// the share, the comment or the place in the file.
	ID       string
	Pool     string
	From, To int
	By       time.Time
	AtMost   float64 // share of traffic while the version is unproven, 0 to 1
	// Ended says that the line is kept as a record only: it is marked as ended,
	// or the pool serves To and no longer From.
	Ended   bool
	Line    int
	Comment string
}

// Line is one rule as written.
type Line struct {
	Number  int
	Verb    string
	Text    string
	Comment string
}

// Set is a compiled rules file. It is immutable and safe for concurrent use.
type Set struct {
	calls, sends, effects *index
	callClasses           []callClass
	sendPools             []int32 // positions in pools
	effectOf              []request.Effect
	organisations         map[string]organisation
	other                 organisation
	pools                 []Pool
	moves                 []Move
	lines                 []Line
}

// callClass is a call line with what it leaves open.
type callClass struct {
	class        Class
	tier, effect bool // stated
}

type organisation struct {
	weight int
	tier   request.Tier
}

// Classify returns the class of a call, and false if no call or no send line
// matches it. path is the path of the request line: escapes are decoded and a
// query is ignored. A path that targets could read in different ways (a dot
// segment, an escaped slash or percent sign, a damaged escape) matches nothing.
// It does not allocate unless the path has escapes.
func (s *Set) Classify(method, path, organisation string) (Class, bool) {
	path, ok := plainPath(path)
	if !ok {
		return Class{}, false
	}
	call := s.calls.find(method, path, organisation)
	send := s.sends.find(method, path, "")
	if call == none || send == none {
		return Class{}, false
	}
	line := &s.callClasses[call]
	pool := &s.pools[s.sendPools[send]]
	class := line.class
	class.Pool = pool.Name
	if !line.tier {
		class.Tier = s.organisation(organisation).tier
	}
	if class.ResponseTimeout == 0 {
		class.ResponseTimeout = DefaultResponseTimeout[class.Tier]
	}
	if !line.effect {
		class.Effect = s.effect(method, path, pool)
	}
	if !pool.Engine {
		class.FirstToken, class.MaxPromptTokens = 0, 0
		return class, true
	}
	class.MaxPromptTokens = lowerLimit(class.MaxPromptTokens, pool.MaxPromptTokens)
	return class, true
}

// effect returns the effect of a call whose line states none. Any other line
// that states one for the same call decides, whatever its organisation.
func (s *Set) effect(method, path string, pool *Pool) request.Effect {
	if i := s.effects.find(method, path, ""); i != none {
		return s.effectOf[i]
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

func (s *Set) organisation(name string) organisation {
	if o, ok := s.organisations[name]; ok {
		return o
	}
	return s.other
}

// Weight returns the share weight of an organisation in fair queueing, 1 to
// 1000.
func (s *Set) Weight(organisation string) int { return s.organisation(organisation).weight }

// Weights returns the weights of all organisations that a line names.
func (s *Set) Weights() map[string]float64 {
	weights := make(map[string]float64, len(s.organisations))
	for name, o := range s.organisations {
		weights[name] = float64(o.weight)
	}
	return weights
}

// DefaultTier returns the tier of an organisation's calls whose line states
// none.
func (s *Set) DefaultTier(organisation string) request.Tier {
	return s.organisation(organisation).tier
}

// Pools returns the pools in file order. The caller must not change them.
func (s *Set) Pools() []Pool { return s.pools }

// Pool returns the pool with the given name.
func (s *Set) Pool(name string) (Pool, bool) {
	i := slices.IndexFunc(s.pools, func(p Pool) bool { return p.Name == name })
	if i < 0 {
		return Pool{}, false
	}
	return s.pools[i], true
}

// Moves returns the moves in file order, ended ones included. The caller must
// not change them.
func (s *Set) Moves() []Move { return s.moves }

// Lines returns the rules in file order. The caller must not change them.
func (s *Set) Lines() []Line { return s.lines }

// compile builds the set of a file without findings.
func compile(lines []*rule, c *checker) *Set {
	s := &Set{
		calls: c.calls, sends: c.sends, effects: newIndex(),
		organisations: make(map[string]organisation, len(c.organisations)),
		callClasses:   make([]callClass, 0, len(c.callRules)),
		lines:         make([]Line, 0, len(lines)),
	}
	s.other = compileOrganisation(c.every, organisation{DefaultWeight, request.Interactive})
	for name, r := range c.organisations {
		s.organisations[name] = compileOrganisation(r, s.other)
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
		at := slices.IndexFunc(s.pools, func(p Pool) bool { return p.Name == r.pool })
		s.sendPools = append(s.sendPools, int32(at))
	}
	routes := map[pattern]string{}
	for _, r := range c.callRules {
		s.addCall(r, routes)
	}
	return s
}

// addCall adds a call line. routes shares the route text between the lines of
// one pattern.
func (s *Set) addCall(r *rule, routes map[pattern]string) {
	route, ok := routes[r.pattern]
	if !ok {
		route = r.pattern.route()
		routes[r.pattern] = route
	}
	if r.has(clauseEffect) {
		s.effects.insert(r.pattern, "", int32(len(s.effectOf)))
		s.effectOf = append(s.effectOf, r.effect)
	}
	s.callClasses = append(s.callClasses, callClass{
		class: Class{
			Route: route, Tier: r.tier, Effect: r.effect,
			ResponseTimeout: r.answer, FirstToken: r.first, MaxPromptTokens: r.prompt,
			Line: r.line, Comment: r.comment,
		},
		tier:   r.has(clauseTier),
		effect: r.has(clauseEffect),
	})
}

// compileOrganisation fills what the line leaves open from the fallback.
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
	versions := slices.Clone(c.served[r.name])
	slices.SortFunc(versions, cmp.Compare[int])
	return Pool{
		Name: r.name, Engine: r.engine, Fenced: r.fenced, AuthenticatesCommands: r.checked,
		MaxPromptTokens: r.prompt, Versions: versions, Line: r.line, Comment: r.comment,
	}
}

func compileMove(r *rule, c *checker) Move {
	return Move{
		ID: moveID(r), Pool: r.name, From: r.version, To: r.to, By: r.by,
		AtMost: r.atMost / 100, Ended: c.ended(r), Line: r.line, Comment: r.comment,
	}
}
