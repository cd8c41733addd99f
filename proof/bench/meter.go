package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
)

// wasteCause is the reason why computed tokens were wasted.
type wasteCause uint8

const (
	// wasteCachedElsewhere counts prompt tokens that an engine computed although
	// another engine had them cached.
	wasteCachedElsewhere wasteCause = iota
	// wasteCancelled counts tokens, answer tokens included, that are computed again
	// after a pause, and prompt tokens computed for a client that disconnected.
	wasteCancelled
	// wasteRefused counts prompt tokens of requests that were refused after they had
	// started.
	wasteRefused
	// wasteLost counts prompt tokens of requests whose target crashed.
	wasteLost
	wasteCauseCount
)

// tierFigures counts the requests of one tier that arrived while requests were
// measured.
type tierFigures struct {
	Offered, Answered, Good int // Good requests met all objectives
	Refused, Lost           int
	LateFirst, SlowTokens   int // answered, but missed the objective
	// LateAtHost counts the late first tokens of requests that waited longer at
	// the host than at the target.
	LateAtHost int
}

// goodput returns the fraction of the offered requests that met all objectives, 1
// if none was offered.
func (t tierFigures) goodput() float64 {
	if t.Offered == 0 {
		return 1
	}
	return float64(t.Good) / float64(t.Offered)
}

// result holds the figures of one run.
type result struct {
	Tiers [request.TierCount]tierFigures
	// Service counts the requests to plain services, of all tiers.
	Service tierFigures
	// GoodRate is the number of engine requests per second that were answered
	// within the objectives after the warm-up, including requests that arrived
	// earlier. TokenRate is the number of their answer tokens per second.
	GoodRate, TokenRate float64
	Answers             int // engine requests answered after the warm-up
	// Inversions counts requests that were refused for lack of capacity before a
	// dispatch while a host of the same zone started a request of a lower tier.
	// InversionTrace describes the first. Overtaken counts the same for requests
	// that had been dispatched and received no token by their deadline.
	Inversions, Overtaken int
	InversionTrace        string
	Fairness              fairnessFigures
	Waste                 [wasteCauseCount]int // tokens
	PromptTokens          int                  // prompt tokens computed for ended requests
	// MaxPeerBytesPerSecond is that of the host that sent the most bytes to its
	// peers.
	MaxPeerBytesPerSecond float64
	// MaxDispatches is the largest number of dispatches of one request.
	MaxDispatches              int
	Pauses, Resumes            int
	FirstTokenP95, TokenGapP95 time.Duration // urgent and interactive requests
	Events                     uint64        // events of the clock
}

// wastedPerAnswer returns the wasted tokens of all causes per answered engine
// request. The sum itself would favour schedulers that answer fewer requests.
func (r *result) wastedPerAnswer() float64 {
	n := 0
	for _, w := range r.Waste {
		n += w
	}
	return float64(n) / float64(max(1, r.Answers))
}

// meter collects the figures of one run.
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
	sentBytes                []int  // bytes sent to peers after the warm-up, by host
	pausedJobs               []*job // once for each pause
	resumes                  int
	maxDispatches            int
	promptTokens             int
}

// newHistogram returns a histogram of microseconds up to 10 minutes with two
// significant digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (10 * time.Minute).Microseconds(), 2)
}

func newMeter(w *world, s *scenario) *meter {
	return &meter{
		w: w, measureStart: warmUp, measureEnd: s.duration, runEnd: s.duration + coolDown,
		firstTokenTimes: newHistogram(), tokenGaps: newHistogram(),
		starts: newStartLog(s.deployment.zones), fairness: newFairness(s.deployment),
		sentBytes: make([]int, s.deployment.hosts),
	}
}

// measured reports whether the request arrived while requests were measured.
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

// started records a dispatch or resume. It must be called before the state of
// the job changes.
func (m *meter) started(j *job) {
	m.starts.record(m.w.hostZone(j.host), j, m.w.clk.now)
	m.leftQueue(j, true)
}

// leftQueue ends the waiting time of a request in the comparison of
// organisations.
func (m *meter) leftQueue(j *job, started bool) {
	if j.state == jobWaiting && !j.late {
		m.fairness.requestLeftQueue(j, started)
	}
}

// movedToLate records that a request now waits in the late queue of its tier. It
// is no longer part of the comparison of organisations.
func (m *meter) movedToLate(j *job) {
	m.leftQueue(j, false)
	j.late = true
}

func (m *meter) recordPause(j *job) {
	m.pausedJobs = append(m.pausedJobs, j)
	if m.w.clk.now >= m.measureStart {
		m.res.Pauses++
	}
}

// chargePausedJobs adds as waste the tokens that the requests still paused at the
// end of the run would compute again if they were resumed.
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

func (m *meter) refused(j *job, reason refusal.Reason) {
	m.ended(j)
	m.leftQueue(j, false)
	m.addWaste(wasteRefused, j.computed)
	switch reason {
	case refusal.Shed, refusal.QueueFull, refusal.DeadlineExceeded, refusal.NoTarget:
		if j.firstTokenAt == 0 && j.arrival >= m.measureStart {
			m.checkInversion(j, reason, j.state != jobWaiting)
		}
	}
	if m.measured(j) {
		m.tier(j).Refused++
	}
}

// checkInversion looks for starts of lower tiers between the arrival and the
// refusal, and for at least twice floorPropagation after the arrival, so that
// the check also covers requests refused at once.
func (m *meter) checkInversion(j *job, reason refusal.Reason, dispatched bool) {
	refused := m.w.clk.now
	m.w.clk.at(max(refused, j.arrival+2*floorPropagation), func() {
		trace := m.starts.findInversion(m.w.hostZone(j.host), j, refused, m.w.clk.now, reason)
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

// disconnected removes a request whose client has disconnected from the offered
// load.
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

// addPeerBytes counts n bytes that a host sent to its peers.
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

// record adds a duration to a histogram. Longer durations than the histogram's
// maximum are counted as the maximum.
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
