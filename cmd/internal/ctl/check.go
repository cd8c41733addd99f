package ctl

import (
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"sardinefront.dev/rules"
)

func checkCommand() command {
	file := ""
	sub := flaggy.NewSubcommand("check")
	sub.Description = "Checks a rules file and prints every finding with its line and column."
	sub.AddPositionalValue(&file, "file", 1, true, "the rules file")
	return command{sub: sub, run: func(e *env) error {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		set, findings := rules.Parse(file, text, time.Now())
		if e.output == "json" {
			if err := e.json(findings); err != nil {
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
