package pool

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/drain"
	"sardinefront.dev/sched/prefix"
	"sardinefront.dev/sched/share"
)

// A digest is a header and one entry per target that has something to report:
//
//	byte     format: 2 if an entry reports a leaving target, else 1, which hosts of
//	         earlier versions can read
//	uvarint  running requests of the sender in this pool
//	uvarint  waiting requests of the sender that count as demand; see demand
//	byte     number of floors, then for each: tier, uvarint milliseconds left
//	entries: 3 bytes hash of the target's name
//	         byte: bits 0-3 own requests in progress, 15 means a uvarint follows;
//	               bit 4 a load report follows, bit 5 a limit follows, bit 6 an
//	               alarm limit follows, bit 7 a leaving report follows
//	         report: uvarint total requests, byte age in 100 ms
//	         limit: byte, 16 times the binary logarithm, rounded
//	         alarm limit: byte as limit, of a target that far exceeds its latency goals;
//	                byte age in 100 ms
//	         leaving report: 3 bytes hash of the id of the target's run; uvarint its start
//	                in Unix milliseconds, 0 if unknown; uvarint age in 100 ms
//
// A target without an entry has no requests of the sender in progress.
const (
	digestFormat = 1
	// digestFormatLeaving is the format of digests with leaving reports.
	digestFormatLeaving = 2

	ownMask    = 0x0f
	hasReport  = 0x10
	hasLimit   = 0x20
	hasAlarm   = 0x40
	hasLeaving = 0x80
	// maxEntryBytes is the size of the largest encoded entry.
	maxEntryBytes = 3 + 1 + 5 + 5 + 1 + 1 + 2 + 3 + 9 + 5
	// maxReportAge is the age up to which load reports are forwarded.
	maxReportAge = 6 * time.Second
	ageUnit      = 100 * time.Millisecond
	// maxLimitSampleAge is the age of this host's last sample up to which it sends its
	// limit. A limit is a property of the target, so hosts average their values. A host
	// without samples for noSamplesAfter gives the peer's value more weight.
	maxLimitSampleAge        = 2 * time.Second
	noSamplesAfter           = 3 * time.Second
	peerLimitWeight          = 0.2
	peerLimitWeightNoSamples = 0.5
	limitStepsPerDoubling    = 16
	// maxAlarmAge is the age up to which alarm limits are forwarded, also by hosts that
	// received them from a peer.
	maxAlarmAge = 3 * time.Second
	// maxStartedUnixMs bounds the encoded start of a target's run to 8 bytes.
	maxStartedUnixMs = 1<<56 - 1
)

var errMalformedDigest = errors.New("malformed digest")

// shortHash returns the 24-bit hash that identifies a target in digests.
func shortHash(h uint64) uint32 { return uint32(h) & 0xffffff }

// EncodeDigest returns this host's digest for one peer, at most Limits.MaxDigestBytes
// long. If the entries do not fit, the next digest continues where this one ended.
func (p *Pool) EncodeDigest(now time.Time) Digest {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := make([]byte, 0, 256)
	d = append(d, digestFormat)
	running := 0
	for _, n := range p.running {
		running += n
	}
	d = binary.AppendUvarint(d, uint64(running))
	d = binary.AppendUvarint(d, uint64(max(0, p.demand()-float64(running))))
	d = p.appendFloors(d, now)
	n := len(p.slots)
	for k := range n {
		i := (p.digestCursor + k) % n
		if len(d)+maxEntryBytes > p.cfg.Limits.MaxDigestBytes {
			p.digestCursor = i
			break
		}
		t := p.slots[i]
		if t == nil {
			continue
		}
		d = t.appendEntry(d, now)
		if t.leaving() {
			d[0] = digestFormatLeaving
		}
	}
	return d
}

func (p *Pool) appendFloors(d []byte, now time.Time) []byte {
	at := len(d)
	d = append(d, 0)
	for t := request.Urgent; t < request.Patient; t++ {
		if left := p.queue.FloorUntil(t).Sub(now); left > 0 {
			d[at]++
			d = append(d, byte(t))
			d = binary.AppendUvarint(d, uint64(left/time.Millisecond))
		}
	}
	return d
}

func (t *target) appendEntry(d []byte, now time.Time) []byte {
	ownRequests := uint64(t.load.OwnRequests.Load())
	total, measuredAt := t.estimator.LastReport()
	flags := byte(min(ownRequests, ownMask))
	age := now.Sub(measuredAt)
	if age < maxReportAge {
		flags |= hasReport
	}
	if t.limiter.SampledWindows() >= minLearnedWindows && now.Sub(t.limiter.LastSample()) < maxLimitSampleAge {
		flags |= hasLimit
	}
	alarmAge := now.Sub(t.alarmAt)
	if alarmAge < maxAlarmAge {
		flags |= hasAlarm
	}
	if t.leaving() {
		flags |= hasLeaving
	}
	if flags == 0 {
		return d
	}
	h := shortHash(t.hash)
	d = append(d, byte(h>>16), byte(h>>8), byte(h), flags)
	if ownRequests >= ownMask {
		d = binary.AppendUvarint(d, ownRequests)
	}
	if flags&hasReport != 0 {
		d = binary.AppendUvarint(d, uint64(total.Requests))
		// Rounding up increases the age at each host that forwards the report, so that it
		// cannot circulate forever.
		d = append(d, byte(age/ageUnit)+1)
	}
	if flags&hasLimit != 0 {
		d = append(d, encodeLimit(t.limiter.RequestLimit()))
	}
	if flags&hasAlarm != 0 {
		d = append(d, encodeLimit(t.alarmLimit), byte(alarmAge/ageUnit)+1)
	}
	if flags&hasLeaving != 0 {
		d = t.appendLeaving(d, now)
	}
	return d
}

func (t *target) appendLeaving(d []byte, now time.Time) []byte {
	_, since, _ := t.drain.LeavingReport()
	run := t.drain.Incarnation()
	h := runHash(run.ID)
	d = append(d, byte(h>>16), byte(h>>8), byte(h))
	d = binary.AppendUvarint(d, uint64(min(max(0, run.StartedUnixMs), maxStartedUnixMs)))
	// Rounding up keeps a forwarded report from appearing newer than the original.
	return binary.AppendUvarint(d, uint64(min(now.Sub(since)/ageUnit+1, math.MaxInt32)))
}

// runHash returns the 24-bit hash that identifies a target's run in digests.
func runHash(id string) uint32 { return shortHash(prefix.HashName(id)) }

// encodeLimit encodes a limit as 16 times its binary logarithm.
func encodeLimit(limit float64) byte {
	return byte(min(255, math.Round(limitStepsPerDoubling*math.Log2(max(1, limit)))))
}

func decodeLimit(b byte) float64 { return math.Exp2(float64(b) / limitStepsPerDoubling) }

// digestEntry is one decoded entry.
type digestEntry struct {
	hash          uint32
	ownRequests   int
	hasReport     bool
	totalRequests int
	reportAge     time.Duration
	limit         float64 // 0 if absent
	alarmLimit    float64 // 0 if absent
	alarmAge      time.Duration
	leaving       bool
	runHash       uint32
	startedUnixMs int64
	leavingAge    time.Duration
}

// digestMessage is a decoded digest.
type digestMessage struct {
	running, waiting int
	floors           [request.TierCount]time.Duration
	entries          []digestEntry
}

// digestReader decodes values from the front of a digest. malformed stays set once a
// value could not be decoded.
type digestReader struct {
	b         []byte
	malformed bool
}

func (r *digestReader) readByte() byte {
	if len(r.b) == 0 {
		r.malformed = true
		return 0
	}
	v := r.b[0]
	r.b = r.b[1:]
	return v
}

// readCount decodes a number below 2^31.
func (r *digestReader) readCount() int { return int(r.readNumber(math.MaxInt32)) }

// readNumber decodes a number of at most maxValue.
func (r *digestReader) readNumber(maxValue uint64) uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 || v > maxValue {
		r.malformed, r.b = true, nil
		return 0
	}
	r.b = r.b[n:]
	return v
}

// readHash decodes a 24-bit hash.
func (r *digestReader) readHash() uint32 {
	return uint32(r.readByte())<<16 | uint32(r.readByte())<<8 | uint32(r.readByte())
}

func decodeDigest(d Digest) (digestMessage, error) {
	r := digestReader{b: d}
	var m digestMessage
	if format := r.readByte(); format != digestFormat && format != digestFormatLeaving {
		return m, errMalformedDigest
	}
	m.running, m.waiting = r.readCount(), r.readCount()
	for range r.readByte() {
		t, left := r.readByte(), r.readCount()
		if t >= byte(request.Patient) {
			return m, errMalformedDigest
		}
		m.floors[t] = time.Duration(left) * time.Millisecond
	}
	for len(r.b) > 0 && !r.malformed {
		m.entries = append(m.entries, r.readEntry())
	}
	if r.malformed {
		return m, errMalformedDigest
	}
	return m, nil
}

func (r *digestReader) readEntry() digestEntry {
	e := digestEntry{hash: r.readHash()}
	flags := r.readByte()
	e.ownRequests = int(flags & ownMask)
	if e.ownRequests == ownMask {
		e.ownRequests = r.readCount()
	}
	if flags&hasReport != 0 {
		e.hasReport, e.totalRequests, e.reportAge = true, r.readCount(), time.Duration(r.readByte())*ageUnit
	}
	if flags&hasLimit != 0 {
		e.limit = decodeLimit(r.readByte())
	}
	if flags&hasAlarm != 0 {
		e.alarmLimit, e.alarmAge = decodeLimit(r.readByte()), time.Duration(r.readByte())*ageUnit
	}
	if flags&hasLeaving != 0 {
		e.leaving, e.runHash = true, r.readHash()
		e.startedUnixMs = int64(r.readNumber(maxStartedUnixMs))
		e.leavingAge = time.Duration(r.readCount()) * ageUnit
	}
	return e
}

// ApplyPeerDigest applies the digest of the host named from, which must be in this
// host's zone and use the same targets. It returns an error and changes nothing if the
// digest cannot be decoded.
func (p *Pool) ApplyPeerDigest(from string, d Digest, now time.Time) ([]Action, error) {
	m, err := decodeDigest(d)
	if err != nil {
		return nil, err
	}
	var out []Action
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers.record(from, m, now)
	for t, left := range m.floors {
		p.applyFloor(request.Tier(t), now.Add(left), from, now)
	}
	counts := make(map[*target]int, len(m.entries))
	for _, it := range m.entries {
		if t := p.byHash[it.hash]; t != nil {
			counts[t] = it.ownRequests
			p.applyDigestEntry(t, it, now)
			out = p.updateClosure(out, t, now)
		}
	}
	for _, t := range p.slots {
		if t != nil {
			n := float64(counts[t])
			t.estimator.RecordPeer(share.Work{Requests: n, Tokens: n * p.meanTokens}, now)
		}
	}
	p.publishLoads(now)
	return out, nil
}

// applyDigestEntry applies a peer's entry about a target.
func (p *Pool) applyDigestEntry(t *target, e digestEntry, now time.Time) {
	if e.hasReport {
		n := float64(e.totalRequests)
		t.estimator.RecordReport(share.Work{Requests: n, Tokens: n * p.meanTokens}, t.ownWork(), now.Add(-e.reportAge))
	}
	if e.limit > 0 {
		weight := peerLimitWeight
		if now.Sub(t.limiter.LastSample()) > noSamplesAfter {
			weight = peerLimitWeightNoSamples
		}
		t.limiter.BlendLimit(e.limit, weight)
	}
	if at := now.Add(-e.alarmAge); e.alarmLimit > 0 && at.After(t.alarmAt) {
		t.alarmLimit, t.alarmAt = e.alarmLimit, at
		t.limiter.CapLimit(e.alarmLimit)
	}
	if run := t.drain.Incarnation(); e.leaving && e.runHash == runHash(run.ID) {
		run.StartedUnixMs = e.startedUnixMs
		t.drain.Observe(drain.Report{Incarnation: run, Source: drain.FromPeer, Leaving: true, At: now.Add(-e.leavingAge)})
	}
}
