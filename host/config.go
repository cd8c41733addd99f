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
	"sardinefront.dev/core/wait"
	"sardinefront.dev/fleet/config"
	"sardinefront.dev/platform"
	"sardinefront.dev/rules"
)

// activeRules is the rules file that this host currently applies.
type activeRules struct {
	rules       *rules.Set
	text        []byte
	number      int64
	author      string
	activeSince time.Time
}

// settingsAuthor is the author of rules that were loaded from the file in the settings.
const settingsAuthor = "settings"

// startRulesSeeding checks the rules file of the settings and writes it to the store in the
// background, unless the store has rules. A file that is invalid or cannot be read is an error.
func (h *Host) startRulesSeeding() error {
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
	// seedTimeout bounds one attempt to write the rules of the settings to the store.
	seedTimeout = 5 * time.Second
	// storeRetryInterval is the wait before a failed watch or write of the rules is repeated.
	storeRetryInterval = 2 * time.Second
	// watchTimeout bounds a watch, so that an unresponsive connection is replaced.
	watchTimeout = 10 * time.Second
)

// seedRules writes the rules of the settings to the store unless the store has some. It retries
// until it succeeds or the host stops.
func (h *Host) seedRules(text []byte) {
	publisher := config.NewPublisher(h.store)
	for h.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(h.ctx, seedTimeout)
		_, err := publisher.Push(ctx, text, settingsAuthor, "first rules, from "+h.settings.Rules.File, 0)
		cancel()
		var conflict *config.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return
		}
		wait.Sleep(h.ctx, storeRetryInterval)
	}
}

// watchRules applies new rules from the store on a host without peers.
func (h *Host) watchRules() {
	after := int64(0)
	for h.ctx.Err() == nil {
		revision, err := h.watchOnce(after)
		if err != nil {
			event.StoreUnreachable.Log(h.log, slog.String("error", err.Error()))
			wait.Sleep(h.ctx, storeRetryInterval)
			continue
		}
		after = revision
	}
}

// watchOnce applies the rules written after the revision and returns the revision to continue
// from.
func (h *Host) watchOnce(after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(h.ctx, watchTimeout)
	defer cancel()
	entries, revision, err := h.store.Watch(ctx, config.RulesKey, after)
	if err != nil {
		return after, err
	}
	for _, e := range entries {
		h.applyStoredRules(e)
	}
	return max(after, revision), nil
}

func (h *Host) applyStoredRules(entry platform.Entry) {
	if entry.Key != config.RulesKey || entry.Deleted {
		return
	}
	v, err := config.DecodeRulesFile(entry.Value)
	if err != nil {
		event.ConfigRejected.Log(h.log, slog.String("error", err.Error()))
		return
	}
	_ = h.applyRules(v.Text, v.Number, v.Author)
}

// applyRules activates a rules file if its number is greater than that of the active one. It
// logs and returns an error if the file is invalid.
func (h *Host) applyRules(text []byte, number int64, author string) error {
	if cur := h.rules.Load(); cur != nil && number <= cur.number {
		return nil
	}
	// The zero time skips the check for deadlines of moves in the past. The file passed it when
	// it was written, and its moves may have ended since.
	set, findings := rules.Parse("rules", text, time.Time{})
	if len(findings) > 0 {
		event.ConfigRejected.Log(h.log, slog.Int64("number", number), slog.Int("findings", len(findings)),
			slog.String("first", findings[0].String()))
		return fmt.Errorf("rules number %d: %s", number, joinFindings(findings))
	}
	h.updatePools(set)
	h.rules.Store(&activeRules{rules: set, text: text, number: number, author: author, activeSince: time.Now()})
	if h.fleet == nil {
		event.ConfigApplied.Log(h.log, slog.Int64("number", number), slog.String("author", author))
	}
	h.requestTargetUpdate()
	return nil
}

// requestTargetUpdate makes runTargets update the targets of the pools at once.
func (h *Host) requestTargetUpdate() {
	select {
	case h.targetUpdateRequested <- struct{}{}:
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
