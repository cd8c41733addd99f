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
	wasteCachedElsewhere wasteCause = iota
	// wasteCancelled are tokens computed again after a pause, answer tokens
	// included, or computed for a caller that left.
	wasteCancelled
	// wasteRefused are tokens of a request that was refused after it ran.
	wasteRefused
	// wasteLost are tokens of a request that was lost with its target.
	wasteLost
	wasteCauseCount
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
	Tiers [request.TierCount]tierFigures
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
	Fairness              fairnessFigures
	Waste                 [wasteCauseCount]int // tokens
	PromptTokens          int                  // prompt tokens computed for ended requests
	// PeerBytes is the largest number of bytes per second that a host sent to
	// peers.
	MaxPeerBytesPerSecond float64
	// MaxDispatches is the largest number of dispatches of one request.
	MaxDispatches              int
	Pauses, Resumes            int
	FirstTokenP95, TokenGapP95 time.Duration // 95th percentiles, urgent and interactive
	Events                     uint64
}

// wasted returns the wasted prompt tokens of all causes per answered request.
// The sum itself would favour schedulers that answer less.
func (r *result) wastedPerAnswer() float64 {
	n := 0
	for _, w := range r.Waste {
		n += w
	}
	return float64(n) / float64(max(1, r.Answers))
}

// meter observes one run.
type meter struct {
	w                        *world
	measureStart, measureEnd time.Duration
	runEnd                   time.Duration
	res                      result
	goodAnswers              int
	answers                  int
	goodTokens               int
	firstTokenTimes          *hdrhistogram.Histogram
	tokenGaps                *hdrhistogram.Histogram
	starts                   *startLog
	fairness                 *fairness
	sentBytes                []int // bytes sent by host after the warm-up
	pausedJobs               []*job
	resumes                  int
	maxDispatches            int
	promptTokens             int
}

// Histograms count microseconds up to 10 minutes with two significant digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (10 * time.Minute).Microseconds(), 2)
}

func newMeter(w *world, s *scenario) *meter {
	return &meter{
		w: w, measureStart: warmUp, measureEnd: s.duration, runEnd: s.duration + coolDown,
		firstTokenTimes: newHistogram(), tokenGaps: newHistogram(),
		starts: newStartLog(s.d.zones), fairness: newFairness(s.d),
		sentBytes: make([]int, s.d.hosts),
	}
}

func (m *meter) measured(j *job) bool { return j.arrival >= m.measureStart && j.arrival < m.measureEnd }

func (m *meter) tier(j *job) *tierFigures {
	if j.pool == servicePool {
		return &m.res.Service
	}
	return &m.res.Tiers[j.req.Tier]
}

func (m *meter) arrived(j *job) {
	if m.measured(j) {
		m.tier(j).Offered++
	}
	m.fairness.requestQueued(j)
}

// started is called before a dispatch or resume changes the job.
func (m *meter) started(j *job) {
	m.starts.record(m.w.hostZone(j.host), j, m.w.clk.now)
	m.leftQueue(j, true)
}

// unqueued takes a request out of the comparison of organisations.
func (m *meter) leftQueue(j *job, started bool) {
	if j.state == jobWaiting && !j.late {
		m.fairness.requestLeftQueue(j, started)
	}
}

// setAside notes that a request waits behind all others of its tier.
func (m *meter) movedToLate(j *job) {
	m.leftQueue(j, false)
	j.late = true
}

// stopped counts a pause.
func (m *meter) recordPause(j *job) {
	m.pausedJobs = append(m.pausedJobs, j)
	if m.w.clk.now >= m.measureStart {
		m.res.Pauses++
	}
}

// chargePaused counts what the requests that are still paused at the end of
// the run would compute again if they were resumed then.
func (m *meter) chargePausedJobs() {
	seen := map[*job]bool{}
	for _, j := range m.pausedJobs {
		if j.state == jobPaused && !seen[j] {
			seen[j] = true
			m.addWaste(wasteCancelled, j.recomputedTokens(m.w.engines[j.target].cache.match(j.req.Prefix)))
		}
	}
}

func (m *meter) answered(j *job) {
	now := m.w.clk.now
	m.ended(j)
	ok := j.meetsObjectives(now)
	if now >= m.measureStart && j.pool == enginePool {
		m.answers++
		if ok {
			m.goodAnswers++
			m.goodTokens += j.answerTokens
		}
	}
	if !m.measured(j) {
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
	m.record(m.firstTokenTimes, j.firstTokenAt-j.arrival)
	if j.firstTokenAt-j.arrival > maxTimeToFirstToken {
		t.LateFirst++
		if j.startedAt-j.arrival > j.firstTokenAt-j.startedAt {
			t.LateAtHost++
		}
	} else if !ok {
		t.SlowTokens++
	}
}

func (m *meter) refused(j *job, why refusal.Reason) {
	m.ended(j)
	m.leftQueue(j, false)
	m.addWaste(wasteRefused, j.computed)
	switch why {
	case refusal.Shed, refusal.QueueFull, refusal.DeadlineExceeded, refusal.NoTarget:
		if j.firstTokenAt == 0 && j.arrival >= m.measureStart {
			m.checkInversion(j, why, j.state != jobWaiting)
		}
	}
	if m.measured(j) {
		m.tier(j).Refused++
	}
}

// checkInversion looks for starts of lower tiers between the arrival and the
// refusal. For a request that was refused at once, the time is extended to
// twice what a floor needs to spread.
func (m *meter) checkInversion(j *job, why refusal.Reason, dispatched bool) {
	refused := m.w.clk.now
	m.w.clk.at(max(refused, j.arrival+2*floorPropagation), func() {
		trace := m.starts.findInversion(m.w.hostZone(j.host), j, refused, m.w.clk.now, why)
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
func (m *meter) disconnected(j *job) {
	m.ended(j)
	m.leftQueue(j, false)
	m.addWaste(wasteCancelled, j.computed)
	if m.measured(j) {
		m.tier(j).Offered--
	}
}

func (m *meter) lost(j *job) {
	m.ended(j)
	m.addWaste(wasteLost, j.computed)
	if m.measured(j) {
		m.tier(j).Lost++
	}
}

func (m *meter) ended(j *job) {
	m.maxDispatches = max(m.maxDispatches, j.dispatches)
	if m.w.clk.now >= m.measureStart {
		m.promptTokens += j.computed
	}
}

func (m *meter) addWaste(c wasteCause, tokens int) {
	if m.w.clk.now >= m.measureStart {
		m.res.Waste[c] += tokens
	}
}

// peerBytes counts bytes that a host sent to its peers.
func (m *meter) addPeerBytes(host, n int) {
	if m.w.clk.now >= m.measureStart {
		m.sentBytes[host] += n
	}
}

func (m *meter) recordGap(j *job, d time.Duration) {
	if j.req.Tier != request.Patient && m.measured(j) {
		m.record(m.tokenGaps, d)
	}
}

// record adds a duration; longer ones than the histogram holds count as its
// maximum.
func (m *meter) record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(d.Microseconds(), h.HighestTrackableValue()))
}

func (m *meter) result() *result {
	r := &m.res
	seconds := (m.runEnd - m.measureStart).Seconds()
	r.GoodRate = float64(m.goodAnswers) / seconds
	r.Answers = m.answers
	r.TokenRate = float64(m.goodTokens) / seconds
	r.Fairness = m.fairness.figures()
	r.MaxDispatches = m.maxDispatches
	r.Resumes = m.resumes
	r.PromptTokens = m.promptTokens
	for _, n := range m.sentBytes {
		r.MaxPeerBytesPerSecond = max(r.MaxPeerBytesPerSecond, float64(n)/seconds)
	}
	r.FirstTokenP95 = time.Duration(m.firstTokenTimes.ValueAtPercentile(95)) * time.Microsecond
	r.TokenGapP95 = time.Duration(m.tokenGaps.ValueAtPercentile(95)) * time.Microsecond
	r.Events = m.w.clk.seq
	return r
}
