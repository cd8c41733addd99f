// Command sardinectl is the command-line client for operators.
package main

import (
	"os"

	"sardinefront.dev/cmd/internal/ctl"
)

func main() {
	os.Exit(ctl.Run(os.Args[1:], os.Stdout, os.Stderr))
}
