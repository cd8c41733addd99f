package slopes

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"sardinefront.dev/journal"
	"sardinefront.dev/journal/claim"
)

const (
	journalSeed = 11
	// storeDelay is the duration of a store call. It is subtracted from the duration
	// of a claim to get the latency that the journal adds.
	storeDelay = 3 * time.Millisecond
	// claimDuration is the time from a claim to its outcome.
	claimDuration = time.Second
	// maxReplayBytes is the size of the values that fit in the largest response that
	// platform/httpkv accepts, 256 MiB with values in base64. The successor of a
	// partition's writer reads all segments in one call.
	maxReplayBytes = 256 << 20 * 3 / 4
	// responseBytes is the size of a recorded response.
	responseBytes = 300
)

// journalSpans holds the warm-up time and the measured time of one journal
// measurement.
type journalSpans struct{ warmUp, measured time.Duration }

// journalSpans returns spans that include the removal of compacted batches, which
// begins after 13 s. In real time, it returns shorter spans.
func (o Options) journalSpans() journalSpans {
	if o.RunInVirtualTime == nil {
		return journalSpans{time.Second, 3 * time.Second}
	}
	return journalSpans{30 * time.Second, time.Minute}
}

func (o Options) runInVirtualTime(f func()) {
	if o.RunInVirtualTime == nil {
		f()
		return
	}
	o.RunInVirtualTime(f)
}

func measureJournal(o Options) ([]Cost, error) {
	newCost := func(name, unit string, budget float64, source string) Cost {
		return Cost{
			Name: name, Unit: unit,
			SizeUnit: "claims/s per partition", TargetScale: claimsPerSecond,
			Budget: budget, BudgetSource: source,
		}
	}
	log := newCost("journal-log-writes", "log writes/s per partition", maxJournalWritesPerSecond, "section 2.6")
	all := newCost("journal-writes", "writes/s of 9 partitions, removals and leases included",
		maxStoreWritesPerSecond, "section 1.3")
	if o.RunInVirtualTime == nil {
		// The removals, half of the writes, are missing, so the budget doesn't apply.
		all.Unit, all.Budget = "writes/s of 9 partitions before compacted batches are removed, which doubles them", 0
	}
	reads := newCost("journal-reads", "reads/s of 9 writers", maxStoreReadsPerSecond, "section 1.3")
	size := newCost("journal-bytes", "B/s written per partition", 0, "")
	delay := newCost("journal-delay", "s added to the median claim", maxJournalDelaySeconds, "section 2.6")
	spans := o.journalSpans()
	for _, rate := range []float64{50, 100, 200, 400} {
		var t storeCalls
		var median time.Duration
		var err error
		o.runInVirtualTime(func() { t, median, err = journalLoad(rate, spans) })
		if err != nil {
			return nil, err
		}
		s := spans.measured.Seconds()
		log.addPoint(rate, float64(t.LogWrites)/s)
		all.addPoint(rate, fleetZones*float64(t.Writes)/s)
		reads.addPoint(rate, fleetZones*float64(t.Reads)/s)
		size.addPoint(rate, float64(t.BytesIn)/s)
		delay.addPoint(rate, (median - storeDelay).Seconds())
	}
	replays, err := measureReplay(o)
	return append([]Cost{log, all, reads, size, delay}, replays...), err
}

// partition runs the journal node of a journal with one partition.
type partition struct {
	node *journal.Node
	rnd  *rand.Rand
	stop func()
}

func startPartition(kv *countingStore, incarnation uint64) (*partition, error) {
	node, err := journal.New(journal.Config{
		Self: claim.Owner{Host: "host-0", Incarnation: incarnation}, KV: kv, Partitions: 1, LeaseTTL: 4 * time.Second,
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { node.Run(ctx) })
	rnd := rand.New(rand.NewPCG(journalSeed, incarnation))
	p := &partition{node: node, rnd: rnd, stop: func() { cancel(); wg.Wait() }}
	for end := time.Now().Add(20 * time.Second); !node.IsWriter(0); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			p.stop()
			return nil, errors.New("host-0 is not the writer of partition 0 after 20 s")
		}
	}
	return p, nil
}

// journalLoad runs claims at the given rate per second. It returns the store calls
// during the measured time and the median duration of a claim.
func journalLoad(rate float64, spans journalSpans) (storeCalls, time.Duration, error) {
	kv := newCountingStore(time.Now, storeDelay)
	p, err := startPartition(kv, 1)
	if err != nil {
		return storeCalls{}, 0, err
	}
	defer p.stop()
	// The load continues after the measured time, so that its end isn't counted.
	var wg sync.WaitGroup
	var times []time.Duration
	wg.Go(func() { times, err = p.generateLoad(rate, spans.warmUp+spans.measured+2*claimDuration) })
	time.Sleep(spans.warmUp)
	kv.reset()
	time.Sleep(spans.measured)
	total := kv.totals()
	wg.Wait()
	slices.Sort(times)
	if len(times) == 0 {
		return total, 0, errors.Join(err, errors.New("no claim was submitted"))
	}
	return total, times[len(times)/2], err
}

// generateLoad submits claims at random times for span and an outcome for each
// after claimDuration. It returns the durations of the claims.
func (p *partition) generateLoad(rate float64, span time.Duration) ([]time.Duration, error) {
	var mu sync.Mutex
	var times []time.Duration
	var firstErr error
	var wg sync.WaitGroup
	start := time.Now()
	for at := time.Duration(0); at < span; {
		at += time.Duration(p.rnd.ExpFloat64() / rate * float64(time.Second))
		time.Sleep(time.Until(start.Add(at)))
		k := randomKey(p.rnd)
		wg.Go(func() {
			took, err := p.claimAndComplete(k)
			mu.Lock()
			defer mu.Unlock()
			times = append(times, took)
			if firstErr == nil {
				firstErr = err
			}
		})
	}
	wg.Wait()
	return times, firstErr
}

// randomKey returns a random request key of typical length.
func randomKey(rnd *rand.Rand) claim.Key {
	return claim.Key{Organisation: fmt.Sprintf("customer-%05d", rnd.IntN(fleetOrganisations)),
		ID: fmt.Sprintf("%016x-%016x", rnd.Uint64(), rnd.Uint64())}
}

// claimAndComplete submits a claim and, after claimDuration, its outcome. It
// returns the duration of the claim.
func (p *partition) claimAndComplete(k claim.Key) (time.Duration, error) {
	start := time.Now()
	st, err := p.node.Submit(context.Background(), claim.Record{Kind: claim.Claim, Key: k, Target: "feltdesk-1"})
	took := time.Since(start)
	if err != nil {
		return took, err
	}
	time.Sleep(claimDuration)
	_, err = p.node.Submit(context.Background(), claim.Record{Kind: claim.Outcome, Key: k, Fence: st.Fence, Phase: claim.Answered,
		Response: claim.Response{Status: 200, ContentType: "application/json", Body: make([]byte, responseBytes)}})
	return took, err
}

// measureReplay counts what the successor of a partition's writer reads.
func measureReplay(o Options) ([]Cost, error) {
	reads := Cost{
		Name: "replay-reads", Unit: "reads of a successor",
		SizeUnit: "recorded requests", TargetScale: recordsPerPartition,
	}
	size := Cost{
		Name: "replay-bytes", Unit: "B read by a successor",
		SizeUnit: "recorded requests", TargetScale: recordsPerPartition,
		Budget: maxReplayBytes, BudgetSource: "platform/httpkv, maxResponseBytes in base64",
	}
	spans := []time.Duration{20 * time.Second, 40 * time.Second, 80 * time.Second}
	if o.RunInVirtualTime == nil {
		spans = []time.Duration{1500 * time.Millisecond, 2 * time.Second, 3 * time.Second}
	}
	for _, span := range spans {
		var err error
		o.runInVirtualTime(func() {
			var n int
			var t storeCalls
			n, t, err = replay(span)
			reads.addPoint(float64(n), float64(t.Reads))
			size.addPoint(float64(n), float64(t.BytesOut))
		})
		if err != nil {
			return nil, err
		}
	}
	return []Cost{reads, size}, nil
}

// replay records requests for span and then starts a successor. It returns the
// number of requests and the store calls of the successor.
func replay(span time.Duration) (int, storeCalls, error) {
	kv := newCountingStore(time.Now, storeDelay)
	p, err := startPartition(kv, 1)
	if err != nil {
		return 0, storeCalls{}, err
	}
	times, err := p.generateLoad(claimsPerSecond, span)
	p.stop()
	if err != nil {
		return 0, storeCalls{}, err
	}
	kv.reset()
	successor, err := startPartition(kv, 2)
	if err != nil {
		return 0, storeCalls{}, err
	}
	t := kv.totals()
	successor.stop()
	return len(times), t, nil
}
