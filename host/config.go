package host

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"time"

	"sardinefront.dev/core/event"
	"sardinefront.dev/fleet/config"
	"sardinefront.dev/platform"
	"sardinefront.dev/rules"
)

// ruleSet is the configuration in force on this host.
type ruleSet struct {
	rules  *rules.Set
	text   []byte
	number int64
	author string
	since  time.Time
}

// settingsAuthor is the author of rules that came from the settings.
const settingsAuthor = "settings"

// startConfig loads the rules file of the settings into a store that has none.
// A file with findings, or one that cannot be read, keeps the host from
// starting.
func (h *Host) startConfig() error {
	if h.settings.Rules.File == "" {
		return nil
	}
	text, err := os.ReadFile(h.settings.Rules.File)
	if err != nil {
		return fmt.Errorf("rules.file: %w", err)
	}
	if _, findings := rules.Parse(h.settings.Rules.File, text, time.Time{}); len(findings) > 0 {
		return fmt.Errorf("rules.file:\n%s", joinFindings(findings))
	}
	h.tasks.Go(func() { h.seedRules(text) })
	return nil
}

const (
	// seedTimeout bounds one attempt to store the rules of the settings.
	seedTimeout = 5 * time.Second
	// followEvery is how often a host without peers reads the store again
	// after a failed watch.
	followEvery = 2 * time.Second
	// watchFor bounds a watch, so that a silent connection is replaced.
	watchFor = 10 * time.Second
)

// seedRules pushes the rules of the settings unless the store has some.
func (h *Host) seedRules(text []byte) {
	operator := config.NewPublisher(h.store)
	for h.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(h.ctx, seedTimeout)
		_, err := operator.Push(ctx, text, settingsAuthor, "first rules, from "+h.settings.Rules.File, 0)
		cancel()
		var taken *config.ConflictError
		if err == nil || errors.As(err, &taken) {
			return
		}
		h.sleep(followEvery)
	}
}

// followStore keeps a host without peers on the store's rules.
func (h *Host) followStore() {
	after := int64(0)
	for h.ctx.Err() == nil {
		revision, err := h.watchOnce(after)
		if err != nil {
			event.StoreUnreachable.Log(h.log, slog.String("error", err.Error()))
			h.sleep(followEvery)
			continue
		}
		after = revision
	}
}

func (h *Host) watchOnce(after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(h.ctx, watchFor)
	defer cancel()
	entries, revision, err := h.store.Watch(ctx, config.RulesKey, after)
	if err != nil {
		return after, err
	}
	for _, e := range entries {
		h.takeStored(e)
	}
	return max(after, revision), nil
}

func (h *Host) takeStored(e platform.Entry) {
	if e.Key != config.RulesKey || e.Deleted {
		return
	}
	v, err := config.DecodeRulesFile(e.Value)
	if err != nil {
		event.ConfigRejected.Log(h.log, slog.String("error", err.Error()))
		return
	}
	_ = h.adopt(v.Text, v.Number, v.Author)
}

// adopt puts a rules file in force if it has no findings and a greater number
// than the one in force. It logs why it refuses one.
func (h *Host) adopt(text []byte, number int64, author string) error {
	if cur := h.rules.Load(); cur != nil && number <= cur.number {
		return nil
	}
	// The file was checked when it was accepted. Its moves may have ended since.
	set, findings := rules.Parse("rules", text, time.Time{})
	if len(findings) > 0 {
		event.ConfigRejected.Log(h.log, slog.Int64("number", number), slog.Int("findings", len(findings)),
			slog.String("first", findings[0].String()))
		return fmt.Errorf("rules: %s", joinFindings(findings))
	}
	h.updatePools(set)
	h.rules.Store(&ruleSet{rules: set, text: text, number: number, author: author, since: time.Now()})
	if h.fleet == nil {
		event.ConfigApplied.Log(h.log, slog.Int64("number", number), slog.String("author", author))
	}
	h.wakeTargets()
	return nil
}

// wakeTargets makes the pools' targets be assigned again soon.
func (h *Host) wakeTargets() {
	select {
	case h.targetsChanged <- struct{}{}:
	default:
	}
}

func joinFindings(findings []rules.Finding) string {
	lines := make([]string, len(findings))
	for i, f := range findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
