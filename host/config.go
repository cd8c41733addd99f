package host

import (
	"fmt"
	"log/slog"
	"os"
	"strings"
	"time"

	"sardinefront.dev/core/event"
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

// startConfig puts the rules file of the settings in force.
func (h *Host) startConfig() error {
	if h.settings.Rules.File == "" {
		return nil
	}
	text, err := os.ReadFile(h.settings.Rules.File)
	if err != nil {
		return fmt.Errorf("rules.file: %w", err)
	}
	return h.adopt(text, 1, "settings")
}

// adopt puts a rules file in force if it has no findings and a greater number
// than the one in force.
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
	event.ConfigAdopted.Log(h.log, slog.Int64("number", number), slog.String("author", author))
	select {
	case h.rulesChanged <- struct{}{}:
	default:
	}
	return nil
}

func joinFindings(findings []rules.Finding) string {
	lines := make([]string, len(findings))
	for i, f := range findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
