package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
)

// wasteCause says why prompt tokens were computed in vain.
type wasteCause uint8

const (
	// wasteHeldElsewhere are tokens that another engine's cache held.
	wasteHeldElsewhere wasteCause = iota
	// wasteCancelled are tokens computed again after a pause, answer tokens
	// included, or computed for a caller that left.
	wasteCancelled
	// wasteRefused are tokens of a request that was refused after it ran.
	wasteRefused
	// wasteLost are tokens of a request that was lost with its target.
	wasteLost
	wasteCauses
)

// tierFigures counts the requests of one tier that arrived in the span.
type tierFigures struct {
	Offered, Answered, Good int
	Refused, Lost           int
	LateFirst, SlowTokens   int // answered, but outside the objective
	// LateAtHost counts the late first tokens of requests that waited longer at
	// the host than at the target.
	LateAtHost int
}

// goodput returns the part of the offered requests that met all objectives.
func (t tierFigures) goodput() float64 {
	if t.Offered == 0 {
		return 1
	}
	return float64(t.Good) / float64(t.Offered)
}

// result holds the figures of one run.
type result struct {
	Tier [request.TierCount]tierFigures
	// Service is the plain services' part, all tiers.
	Service tierFigures
	// GoodRate is the number of engine requests per second that were answered
	// within the objectives after the warm-up, whenever they arrived; TokenRate
	// counts their answer tokens.
	GoodRate, TokenRate float64
	Answers             int // engine requests answered after the warm-up
	// Inversions counts requests that were refused for capacity before they were
	// dispatched although a host in reach started work of a lower tier;
	// InversionTrace describes the first. Overtaken counts those that had been
	// dispatched and received no token by their deadline.
	Inversions, Overtaken int
	InversionTrace        string
	Fairness              fairFigures
	Waste                 [wasteCauses]int // tokens
	Prompt                int              // prompt tokens computed for ended requests
	// PeerBytes is the largest number of bytes per second that a host sent to
	// peers.
	PeerBytes float64
	// MaxDispatches is the largest number of dispatches of one request.
	MaxDispatches   int
	Pauses, Resumes int
	FirstToken, Gap time.Duration // 95th percentiles, urgent and interactive
	Events          uint64
}

// wasted returns the wasted prompt tokens of all causes per answered request.
// The sum itself would favour schedulers that answer less.
func (r *result) wasted() float64 {
	n := 0
	for _, w := range r.Waste {
		n += w
	}
	return float64(n) / float64(max(1, r.Answers))
}

// meter observes one run.
type meter struct {
	w         *world
	from, to  time.Duration
	end       time.Duration
	res       result
	good      int
	answers   int
	tokens    int
	first     *hdrhistogram.Histogram
	gaps      *hdrhistogram.Histogram
	floors    *starts
	fair      *fairness
	sent      []int // bytes sent by host after the warm-up
	paused    []*job
	resumes   int
	maxSeen   int
	promptSum int
}

// Histograms count microseconds up to 10 minutes with two significant digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (10 * time.Minute).Microseconds(), 2)
}

func newMeter(w *world, s *scenario) *meter {
	return &meter{
		w: w, from: warmUp, to: s.span, end: s.span + tail,
		first: newHistogram(), gaps: newHistogram(),
		floors: newStarts(s.d.zones), fair: newFairness(s.d),
		sent: make([]int, s.d.hosts),
	}
}

func (m *meter) counted(j *job) bool { return j.at >= m.from && j.at < m.to }

func (m *meter) tier(j *job) *tierFigures {
	if j.pool == servicePool {
		return &m.res.Service
	}
	return &m.res.Tier[j.req.Tier]
}

func (m *meter) arrived(j *job) {
	if m.counted(j) {
		m.tier(j).Offered++
	}
	m.fair.queued(j)
}

// started is called before a dispatch or resume changes the job.
func (m *meter) started(j *job) {
	m.floors.started(m.w.hostZone(j.host), j, m.w.clk.now)
	m.unqueued(j, true)
}

// unqueued takes a request out of the comparison of organisations.
func (m *meter) unqueued(j *job, started bool) {
	if j.state == jobWaiting && !j.aside {
		m.fair.left(j, started)
	}
}

// setAside notes that a request waits behind all others of its tier.
func (m *meter) setAside(j *job) {
	m.unqueued(j, false)
	j.aside = true
}

// stopped counts a pause.
func (m *meter) stopped(j *job) {
	m.paused = append(m.paused, j)
	if m.w.clk.now >= m.from {
		m.res.Pauses++
	}
}

// chargePaused counts what the requests that are still paused at the end of
// the run would compute again if they were resumed then.
func (m *meter) chargePaused() {
	seen := map[*job]bool{}
	for _, j := range m.paused {
		if j.state == jobPaused && !seen[j] {
			seen[j] = true
			m.wasted(wasteCancelled, j.again(m.w.engines[j.target].cache.match(j.req.Prefix)))
		}
	}
}

func (m *meter) answered(j *job) {
	now := m.w.clk.now
	m.ended(j)
	ok := j.good(now)
	if now >= m.from && j.pool == enginePool {
		m.answers++
		if ok {
			m.good++
			m.tokens += j.answerTokens
		}
	}
	if !m.counted(j) {
		return
	}
	t := m.tier(j)
	t.Answered++
	if ok {
		t.Good++
	}
	if j.pool == servicePool || j.req.Tier == request.Patient {
		return
	}
	m.record(m.first, j.firstAt-j.at)
	if j.firstAt-j.at > firstTokenLimit {
		t.LateFirst++
		if j.startedAt-j.at > j.firstAt-j.startedAt {
			t.LateAtHost++
		}
	} else if !ok {
		t.SlowTokens++
	}
}

func (m *meter) refused(j *job, why refusal.Reason) {
	m.ended(j)
	m.unqueued(j, false)
	m.wasted(wasteRefused, j.computed)
	switch why {
	case refusal.Shed, refusal.QueueFull, refusal.DeadlineExceeded, refusal.NoTarget:
		if j.firstAt == 0 && j.at >= m.from {
			m.checkInversion(j, why, j.state != jobWaiting)
		}
	}
	if m.counted(j) {
		m.tier(j).Refused++
	}
}

// checkInversion looks for starts of lower tiers between the arrival and the
// refusal. For a request that was refused at once, the time is extended to
// twice what a floor needs to spread.
func (m *meter) checkInversion(j *job, why refusal.Reason, dispatched bool) {
	refused := m.w.clk.now
	m.w.clk.at(max(refused, j.at+2*floorSpread), func() {
		trace := m.floors.check(m.w.hostZone(j.host), j, refused, m.w.clk.now, why)
		switch {
		case trace == "":
		case dispatched:
			m.res.Overtaken++
		default:
			m.res.Inversions++
			if m.res.InversionTrace == "" {
				m.res.InversionTrace = trace
			}
		}
	})
}

// left takes a request whose caller gave up out of the offered load.
func (m *meter) left(j *job) {
	m.ended(j)
	m.unqueued(j, false)
	m.wasted(wasteCancelled, j.computed)
	if m.counted(j) {
		m.tier(j).Offered--
	}
}

func (m *meter) lost(j *job) {
	m.ended(j)
	m.wasted(wasteLost, j.computed)
	if m.counted(j) {
		m.tier(j).Lost++
	}
}

func (m *meter) ended(j *job) {
	m.maxSeen = max(m.maxSeen, j.dispatches)
	if m.w.clk.now >= m.from {
		m.promptSum += j.computed
	}
}

func (m *meter) wasted(c wasteCause, tokens int) {
	if m.w.clk.now >= m.from {
		m.res.Waste[c] += tokens
	}
}

// peerBytes counts bytes that a host sent to its peers.
func (m *meter) peerBytes(host, n int) {
	if m.w.clk.now >= m.from {
		m.sent[host] += n
	}
}

func (m *meter) gap(j *job, d time.Duration) {
	if j.req.Tier != request.Patient && m.counted(j) {
		m.record(m.gaps, d)
	}
}

// record adds a duration; longer ones than the histogram holds count as its
// maximum.
func (m *meter) record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(d.Microseconds(), h.HighestTrackableValue()))
}

func (m *meter) result() *result {
	r := &m.res
	seconds := (m.end - m.from).Seconds()
	r.GoodRate = float64(m.good) / seconds
	r.Answers = m.answers
	r.TokenRate = float64(m.tokens) / seconds
	r.Fairness = m.fair.figures()
	r.MaxDispatches = m.maxSeen
	r.Resumes = m.resumes
	r.Prompt = m.promptSum
	for _, n := range m.sent {
		r.PeerBytes = max(r.PeerBytes, float64(n)/seconds)
	}
	r.FirstToken = time.Duration(m.first.ValueAtPercentile(95)) * time.Microsecond
	r.Gap = time.Duration(m.gaps.ValueAtPercentile(95)) * time.Microsecond
	r.Events = m.w.clk.seq
	return r
}
