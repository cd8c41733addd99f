package ctl

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"sardinefront.dev/cmd/internal/demo"
)

func demoCommand() command {
	seed, logFile := 1, ""
	sub := flaggy.NewSubcommand("demo")
	sub.Description = "Runs both example deployments with faults on loopback and prints a table, in about 40 s."
	sub.Int(&seed, "", "seed", "seed of the load")
	sub.String(&logFile, "", "log", "file for the hosts' logs")
	return command{sub: sub, run: func(e *env) error {
		var logs io.Writer = io.Discard
		if logFile != "" {
			f, err := os.Create(logFile)
			if err != nil {
				return fmt.Errorf("--log: %w", err)
			}
			defer f.Close()
			logs = f
		}
		return demo.Run(context.Background(), e.out, logs, uint64(seed))
	}}
}
