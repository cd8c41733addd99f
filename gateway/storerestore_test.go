package gateway_test

import (
	"strings"
	"testing"
	"time"

	"sardinefront.dev/platform/wire"
)

// Guards against the outcome of a rollout that is lost, or reached a second time, because the store has
// come back from a copy from before the outcome, or from before the order.
func TestOutcomeOutlivesARestoreOfTheStore(t *testing.T) {
	for _, c := range []struct{ name, copyOnceSet string }{{"order in the copy", wire.PrefixRolloutStatus}, {"order lost", ""}} {
		t.Run(c.name, func(t *testing.T) {
			fx := newFixture(t)
			fx.store.SetEra(1)
			copied := make(chan struct{})
			go func() {
				defer close(copied)
				for c.copyOnceSet != "" && fx.store.Value(c.copyOnceSet+plainName) == nil {
					time.Sleep(time.Millisecond)
				}
				fx.store.Backup()
			}()
			if c.copyOnceSet == "" {
				<-copied
			}
			if got := fx.runRollout(""); got != "done" {
				t.Fatalf("state %q", got)
			}
			<-copied
			order, entries := fx.store.Value(wire.PrefixRollout+plainName), map[string][]byte{}
			for _, id := range []string{"i-0", "i-1"} {
				entries[wire.PrefixTargets+id] = fx.store.Value(wire.PrefixTargets + id)
			}
			fx.store.Restore()
			for key, value := range entries {
				fx.store.Put(key, value)
			}
			fx.eventually("the restore is noticed", func() bool { return fx.log.contains(`"event":611`) })
			if c.copyOnceSet == "" {
				fx.store.Put(wire.PrefixRollout+plainName, order)
			}
			done := func() bool {
				return strings.Contains(string(fx.store.Value(wire.PrefixRolloutStatus+plainName)), `"done"`)
			}
			fx.eventually("the outcome is in the store again", done)
			time.Sleep(4 * time.Second) // the second listing, and the duration of a second rollout
			if started, completed := fx.log.count(`"event":701`), fx.log.count(`"event":703`); started != 1 || completed != 1 || !done() {
				t.Errorf("%d rollouts started, %d completed", started, completed)
			}
		})
	}
}
