package slopes

import (
	"context"
	"fmt"
	"time"

	"sardinefront.dev/fleet/config"
	"sardinefront.dev/fleet/simulate"
	"sardinefront.dev/rules"
)

// watchTimeoutSeconds is the default of fleet.Config.WatchTimeout. A watching host
// reads the rules file after each watch, so that it detects a store that is down
// or was restored from an earlier snapshot.
const watchTimeoutSeconds = 4.0

func measureConfig(Options) ([]Cost, error) {
	newCost := func(name, unit string) Cost {
		return Cost{Name: name, Unit: unit, SizeUnit: "lines", TargetScale: rulesLines}
	}
	fileSize := newCost("config-file", "B of the whole file")
	delta := newCost("config-delta", "B of a pull that carries one changed line")
	perHost := newCost("config-bytes", "B/s received per host for changes as deltas")
	perHost.Budget, perHost.BudgetSource = maxPeerBytesPerSecond, "section 1.5"
	watcher := newCost("config-watcher-bytes", "B/s of values that a watching host reads")
	watcher.Budget, watcher.BudgetSource = maxPeerBytesPerSecond, "section 1.5"
	parse := newCost("rules-parse", "s to parse the file")
	parse.MachineDependent = true
	cpu := newCost("rules-parse-part", "part of a core per host at the rate of changes of the target scale")
	cpu.MachineDependent, cpu.Budget, cpu.BudgetSource = true, maxCoreFraction, "section 1.5"
	memory := newCost("rules-memory", "B of the compiled file")
	memory.Budget, memory.BudgetSource = maxHostMemoryBytes, "section 1.5"
	const perSecond = float64(rulesChangesPerDay) / secondsPerDay
	for _, n := range []int{100, 1000, 10000} {
		old, next := simulate.RulesText(n, 1), simulate.RulesText(n, 2)
		set, findings := rules.Parse("rules", next, time.Time{})
		if set == nil {
			return nil, fmt.Errorf("rules file of %d lines: %v", n, findings[0])
		}
		x := float64(n)
		fileSize.addPoint(x, float64(len(next)))
		size, err := pullBytes(old, next)
		if err != nil {
			return nil, err
		}
		delta.addPoint(x, size)
		perHost.addPoint(x, size*perSecond)
		// The watch and the read after it both return a changed file.
		watcher.addPoint(x, float64(len(next))*(1/watchTimeoutSeconds+2*perSecond))
		seconds, _ := timePerRun(max(1, 2000/n), func(int) { rules.Parse("rules", next, time.Time{}) })
		parse.addPoint(x, seconds)
		cpu.addPoint(x, seconds*perSecond)
		memory.addPoint(x, retainedBytes(func() *rules.Set {
			s, _ := rules.Parse("rules", next, time.Time{})
			return s
		})+float64(len(next)))
	}
	pushes, err := measurePushes()
	return append([]Cost{fileSize, delta, perHost, watcher, parse, cpu, memory}, pushes...), err
}

// pullBytes returns the size of the response to a pull by a host that has old.
func pullBytes(old, next []byte) (float64, error) {
	now := time.UnixMilli(1_800_000_000_000)
	first := config.RulesFile{Number: 1, Author: "operator", Comment: "first", PushedUnixMs: now.UnixMilli(), PushToken: 1, OldestHistory: 1, Text: old}
	second := config.RulesFile{Number: 2, Author: "operator", Comment: "change of a weight", PushedUnixMs: now.UnixMilli() + 1,
		PushToken: 2, ParentHash: first.Hash(), OldestHistory: 1, Text: next}
	replica := config.NewReplica(config.ReplicaConfig{}, now)
	replica.HandleStoreValue(first, now)
	have := replica.Version()
	replica.HandleStoreValue(second, now)
	answer, err := config.EncodePullResponse(replica.ServePull(config.PullRequest{Have: have}))
	return float64(len(answer)), err
}

// measurePushes counts the store calls of a push when each push also trims expired
// entries of the history. The pushes are one hour apart, so that 200 warm-up pushes
// last longer than config.HistoryRetention, 7 days. At the rate of the target scale,
// more than 46,000 would be needed.
func measurePushes() ([]Cost, error) {
	writes := Cost{
		Name: "push-writes", Unit: "store writes per change",
		SizeUnit: "lines", TargetScale: rulesLines,
	}
	reads := Cost{
		Name: "push-reads", Unit: "store reads per change",
		SizeUnit: "lines", TargetScale: rulesLines,
	}
	size := Cost{
		Name: "push-bytes", Unit: "B written to the store per change",
		SizeUnit: "lines", TargetScale: rulesLines,
	}
	const warmUpPushes, countedPushes = 200, 40
	for _, n := range []int{100, 300, 1000} {
		now := time.UnixMilli(1_800_000_000_000)
		kv := newCountingStore(func() time.Time { return now }, 0)
		publisher := &config.Publisher{
			KV: kv, Now: func() time.Time { return now }, NewPushToken: func() uint64 { return 1 },
			Sleep: func(context.Context, time.Duration) bool { return true },
		}
		for i := range warmUpPushes + countedPushes {
			if i == warmUpPushes {
				kv.reset()
			}
			now = now.Add(time.Hour)
			if _, err := publisher.Push(context.Background(), simulate.RulesText(n, i+1),
				"operator", "change of a weight", int64(i)); err != nil {
				return nil, err
			}
		}
		t := kv.totals()
		writes.addPoint(float64(n), float64(t.Writes)/countedPushes)
		reads.addPoint(float64(n), float64(t.Reads)/countedPushes)
		size.addPoint(float64(n), float64(t.BytesIn)/countedPushes)
	}
	return []Cost{writes, reads, size}, nil
}
