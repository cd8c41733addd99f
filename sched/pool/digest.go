package pool

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/share"
)

// The digest is a header and one entry per target that there is news about:
//
//	byte     format, 1
//	uvarint  running requests of the sender in this pool
//	uvarint  waiting requests of the sender that count as demand
//	byte     number of floors, then for each: tier, uvarint milliseconds left
//	entries: 3 bytes hash of the target's name
//	         byte: bits 0-3 own requests in progress, 15 means a uvarint follows;
//	               bit 4 a load report follows, bit 5 a limit follows, bit 6 an
//	               alarm follows
//	         report: uvarint total requests, byte age in 100 ms
//	         limit: byte, 16 times the binary logarithm
//	         alarm: byte limit of a target that far misses its goals, byte age
//
// A target without an entry has no requests of the sender in progress.
const (
	digestFormat = 1
	ownMask      = 0x0f
	hasReport    = 0x10
	hasLimit     = 0x20
	hasAlarm     = 0x40
	// maxEntry is the largest encoded entry.
	maxEntry = 3 + 1 + 5 + 5 + 1 + 1 + 2
	// reportUse is the age up to which reports are passed on.
	reportUse = 6 * time.Second
	ageUnit   = 100 * time.Millisecond
	// limitUse is the age of the last own sample up to which a limit is passed
	// on. Limits belong to the target, so hosts average theirs; one without own
	// samples for adoptAfter gives the peer's more weight.
	limitUse     = 2 * time.Second
	adoptAfter   = 3 * time.Second
	adoptKnown   = 0.2
	adoptUnknown = 0.5
	limitScale   = 16
	// alarmUse is the age up to which alarms are passed on, also by hosts that
	// only heard of them.
	alarmUse = 3 * time.Second
)

var errDigest = errors.New("malformed digest")

// shortHash is the hash of a target in digests.
func shortHash(h uint64) uint32 { return uint32(h) & 0xffffff }

// Digest returns this host's digest for one peer, at most Limits.DigestBytes
// long. If there is more news than fits, consecutive digests continue where
// the last one ended.
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
		i := (p.digestAt + k) % n
		if len(d)+maxEntry > p.cfg.Limits.MaxDigestBytes {
			p.digestAt = i
			break
		}
		if t := p.slots[i]; t != nil {
			d = t.appendEntry(d, now)
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
	own := uint64(t.load.OwnRequests.Load())
	total, at := t.work.LastReport()
	flags := byte(min(own, ownMask))
	age := now.Sub(at)
	if age < reportUse {
		flags |= hasReport
	}
	if t.limiter.SampledWindows() >= learnedWindows && now.Sub(t.limiter.LastSample()) < limitUse {
		flags |= hasLimit
	}
	alarmAge := now.Sub(t.alarmAt)
	if alarmAge < alarmUse {
		flags |= hasAlarm
	}
	if flags == 0 {
		return d
	}
	h := shortHash(t.hash)
	d = append(d, byte(h>>16), byte(h>>8), byte(h), flags)
	if own >= ownMask {
		d = binary.AppendUvarint(d, own)
	}
	if flags&hasReport != 0 {
		d = binary.AppendUvarint(d, uint64(total.Requests))
		// Rounding up ages a report with each host that passes it on, so that it
		// cannot go round as news for ever.
		d = append(d, byte(age/ageUnit)+1)
	}
	if flags&hasLimit != 0 {
		d = append(d, limitByte(t.limiter.RequestLimit()))
	}
	if flags&hasAlarm != 0 {
		d = append(d, limitByte(t.alarm), byte(alarmAge/ageUnit)+1)
	}
	return d
}

func limitByte(limit float64) byte {
	return byte(min(255, math.Round(limitScale*math.Log2(max(1, limit)))))
}

func byteLimit(b byte) float64 { return math.Exp2(float64(b) / limitScale) }

// item is one decoded entry.
type item struct {
	hash   uint32
	own    int
	report bool
	total  int
	age    time.Duration
	limit  float64 // 0 if absent
	alarm  float64 // 0 if absent
	// alarmAge is the age of the alarm.
	alarmAge time.Duration
}

// message is a decoded digest.
type message struct {
	running, waiting int
	floors           [request.TierCount]time.Duration
	items            []item
}

// reader takes values off the front of a digest and remembers a failure.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) byte() byte {
	if len(r.b) == 0 {
		r.bad = true
		return 0
	}
	v := r.b[0]
	r.b = r.b[1:]
	return v
}

// count reads a number below 2^31.
func (r *reader) count() int {
	v, n := binary.Uvarint(r.b)
	if n <= 0 || v > math.MaxInt32 {
		r.bad, r.b = true, nil
		return 0
	}
	r.b = r.b[n:]
	return int(v)
}

func decode(d Digest) (message, error) {
	r := reader{b: d}
	var m message
	if r.byte() != digestFormat {
		return m, errDigest
	}
	m.running, m.waiting = r.count(), r.count()
	for range r.byte() {
		t, left := r.byte(), r.count()
		if t >= byte(request.Patient) {
			return m, errDigest
		}
		m.floors[t] = time.Duration(left) * time.Millisecond
	}
	for len(r.b) > 0 && !r.bad {
		m.items = append(m.items, r.item())
	}
	if r.bad {
		return m, errDigest
	}
	return m, nil
}

func (r *reader) item() item {
	it := item{hash: uint32(r.byte())<<16 | uint32(r.byte())<<8 | uint32(r.byte())}
	flags := r.byte()
	it.own = int(flags & ownMask)
	if it.own == ownMask {
		it.own = r.count()
	}
	if flags&hasReport != 0 {
		it.report, it.total, it.age = true, r.count(), time.Duration(r.byte())*ageUnit
	}
	if flags&hasLimit != 0 {
		it.limit = byteLimit(r.byte())
	}
	if flags&hasAlarm != 0 {
		it.alarm, it.alarmAge = byteLimit(r.byte()), time.Duration(r.byte())*ageUnit
	}
	return it
}

// PeerDigest records the digest of the host with the given name, which feeds
// the same targets: pass on only digests of this host's own zone. A digest that
// cannot be decoded is an error and changes nothing.
func (p *Pool) ApplyPeerDigest(from string, d Digest, now time.Time) error {
	m, err := decode(d)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers.record(from, m, now)
	for t, left := range m.floors {
		p.acceptFloor(request.Tier(t), now.Add(left), from, now)
	}
	counts := make(map[*target]int, len(m.items))
	for _, it := range m.items {
		if t := p.byHash[it.hash]; t != nil {
			counts[t] = it.own
			p.hear(t, it, now)
		}
	}
	for _, t := range p.slots {
		if t != nil {
			n := float64(counts[t])
			t.work.RecordPeer(share.Work{Requests: n, Tokens: n * p.tokensMean}, now)
		}
	}
	p.publishAll(now)
	return nil
}

// hear records what a peer knows about a target.
func (p *Pool) hear(t *target, it item, now time.Time) {
	if it.report {
		n := float64(it.total)
		t.work.RecordReport(share.Work{Requests: n, Tokens: n * p.tokensMean}, t.own(), now.Add(-it.age))
	}
	if it.limit > 0 {
		weight := adoptKnown
		if now.Sub(t.limiter.LastSample()) > adoptAfter {
			weight = adoptUnknown
		}
		t.limiter.BlendLimit(it.limit, weight)
	}
	if at := now.Add(-it.alarmAge); it.alarm > 0 && at.After(t.alarmAt) {
		t.alarm, t.alarmAt = it.alarm, at
		t.limiter.CapLimit(it.alarm)
	}
}
