package ctl

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"sardinefront.dev/rules"
)

// acceptedRules returns the rules in the store, or nil if no platform is given. The check
// accepts a move whose deadline has passed if the accepted rules contain it.
func (e *env) acceptedRules() ([]byte, error) {
	if e.platform == "" {
		return nil, nil
	}
	kv, err := e.store()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
	defer cancel()
	v, err := currentRules(ctx, kv)
	return v.Text, err
}

func checkCommand() command {
	file := ""
	sub := flaggy.NewSubcommand("check")
	sub.Description = "Checks a rules file and prints every finding with its line and column. With --platform, checks it as an edit of the active rules."
	sub.AddPositionalValue(&file, "file", 1, true, "rules file")
	return command{sub: sub, run: func(e *env) error {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		accepted, err := e.acceptedRules()
		if err != nil {
			return err
		}
		set, findings := rules.ParseEdit(file, accepted, text, time.Now())
		if e.output == "json" {
			if err := e.writeJSON(findings); err != nil {
				return err
			}
		} else {
			printFindings(e.out, findings)
		}
		if len(findings) > 0 {
			return failf(ExitFindings, "%s: %d findings", file, len(findings))
		}
		fmt.Fprintf(e.out, "%s: %d rules, no findings\n", file, len(set.Lines()))
		return nil
	}}
}
