// Package ctl implements the commands of sardinectl.
package ctl

import (
	"errors"
	"fmt"
	"io"

	"github.com/integrii/flaggy"
)

// Exit codes of sardinectl.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitFindings = 3
	ExitConflict = 4
)

// exitError carries the exit code of a command.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func failf(code int, format string, args ...any) error {
	return &exitError{code: code, err: fmt.Errorf(format, args...)}
}

// env holds the output streams and the global flags that every command receives.
type env struct {
	out, errOut io.Writer
	// output is the output format, table or json.
	output string
	// host is the operator address of a host of the fleet.
	host string
	// platform is the address of the platform's service.
	platform string
	keys     keyFiles
}

// keyFiles are the paths of the PEM files of the certificate authority, the operator's
// certificate and its key.
type keyFiles struct {
	authority, certificate, key string
}

// command is a subcommand with its flags and the function that runs it.
type command struct {
	sub *flaggy.Subcommand
	run func(*env) error
}

// Run parses the arguments, runs the command and returns the exit code.
func Run(args []string, out, errs io.Writer) int {
	e := &env{out: out, errOut: errs, output: "table", host: "127.0.0.1:8081"}
	p := flaggy.NewParser("sardinectl")
	p.Description = "Checks and pushes rules, shows the state of a fleet and runs simulated targets and platforms."
	p.String(&e.output, "o", "output", "output format, table or json")
	p.String(&e.host, "", "host", "operator address of any host of the fleet")
	p.String(&e.platform, "", "platform", "address of the platform's service")
	p.String(&e.keys.authority, "", "authority", "PEM file of the certificate authority that signed the hosts' certificates")
	p.String(&e.keys.certificate, "", "certificate", "PEM file of the operator's certificate")
	p.String(&e.keys.key, "", "key", "PEM file of the operator's key")
	commands := allCommands()
	for _, c := range commands {
		p.AttachSubcommand(c.sub, 1)
	}
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(errs, "sardinectl:", err)
		return ExitUsage
	}
	return dispatch(e, p, commands)
}

func dispatch(e *env, p *flaggy.Parser, commands []command) int {
	if e.output != "table" && e.output != "json" {
		fmt.Fprintf(e.errOut, "sardinectl: --output: %q is neither table nor json\n", e.output)
		return ExitUsage
	}
	for _, c := range commands {
		if !c.sub.Used {
			continue
		}
		return exitCode(e, c.run(e))
	}
	p.ShowHelp()
	return ExitUsage
}

func exitCode(e *env, err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(e.errOut, "sardinectl:", err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitFailed
}

func allCommands() []command {
	return []command{
		checkCommand(),
		checkConfigCommand(),
		rulesCommand(),
		statusCommand(),
		explainCommand(),
		causesCommand(),
		movesCommand(),
		drainCommand(),
		keysCommand(),
		demoCommand(),
		benchCommand(),
		exploreCommand(),
		slopesCommand(),
		scenariosCommand(),
		soakCommand(),
		standinCommand(),
	}
}
