package ctl

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"sardinefront.dev/gateway/configcheck"
	"sardinefront.dev/gateway/routing"
	"sardinefront.dev/platform"
	"sardinefront.dev/platform/store"
	"sardinefront.dev/platform/wire"
)

// configReport is the output of check-config.
type configReport struct {
	File          string                `json:"file"`
	Version       int64                 `json:"version"`
	ActiveVersion int64                 `json:"activeVersion,omitempty"`
	Findings      []configcheck.Finding `json:"findings"`
	Changes       []configcheck.Change  `json:"changes"`
}

// configOptions holds the arguments and flags of check-config.
type configOptions struct {
	file, activeFile string
}

func checkConfigCommand() command {
	o := &configOptions{}
	sub := flaggy.NewSubcommand("check-config")
	sub.Description = "Checks a configuration of the platform before it is sent: errors, entries that never match, limits that contradict each other. With --active or --platform, also lists what differs from the active one. Exits with 3 if there is an error among the findings."
	sub.AddPositionalValue(&o.file, "file", 1, true, "configuration, JSON")
	sub.String(&o.activeFile, "", "active", "file with the active configuration")
	return command{sub: sub, run: func(e *env) error {
		report, err := o.check(e)
		if err != nil {
			return err
		}
		if err := e.writeConfigReport(report); err != nil {
			return err
		}
		if configcheck.HasErrors(report.Findings) {
			return failf(ExitFindings, "%s: the configuration has errors", o.file)
		}
		return nil
	}}
}

// check checks the file, and compares it with the active configuration if there is one.
func (o *configOptions) check(e *env) (*configReport, error) {
	text, err := os.ReadFile(o.file)
	if err != nil {
		return nil, err
	}
	candidate, findings, err := wire.CheckConfig(text)
	if err != nil {
		return nil, failf(ExitFindings, "%s: %w", o.file, err)
	}
	report := &configReport{File: o.file, Version: candidate.Version, Findings: findings, Changes: []configcheck.Change{}}
	active, err := o.readActive(e)
	if err != nil || active == nil {
		return report, err
	}
	report.ActiveVersion = active.Version
	report.Findings = append(report.Findings, configcheck.CheckVersion(*active, candidate)...)
	report.Changes = append(report.Changes, configcheck.Diff(*active, candidate)...)
	return report, nil
}

// readActive returns the configuration to compare with, or nil if none was asked for or the store
// holds none.
func (o *configOptions) readActive(e *env) (*routing.Config, error) {
	var text []byte
	switch {
	case o.activeFile != "":
		var err error
		if text, err = os.ReadFile(o.activeFile); err != nil {
			return nil, err
		}
	case e.platform != "":
		ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
		defer cancel()
		client := store.New(store.Config{Address: e.platform})
		defer client.Close()
		entry, err := client.Get(ctx, wire.KeyConfig)
		if errors.Is(err, platform.ErrNotFound) {
			return nil, nil
		}
		if err != nil {
			return nil, fmt.Errorf("read the active configuration: %w", err)
		}
		text = entry.Value
	default:
		return nil, nil
	}
	active, err := wire.DecodeConfig(text)
	if err != nil {
		return nil, fmt.Errorf("active configuration: %w", err)
	}
	return &active, nil
}

// writeConfigReport prints a report in the output format.
func (e *env) writeConfigReport(r *configReport) error {
	if e.output == "json" {
		return e.writeJSON(r)
	}
	for _, f := range r.Findings {
		fmt.Fprintf(e.out, "%s: %s\n", r.File, f)
	}
	for _, c := range r.Changes {
		fmt.Fprintf(e.out, "%s: %s\n", r.File, c)
	}
	fmt.Fprintf(e.out, "%s: version %d, %d findings, %d changes\n", r.File, r.Version, len(r.Findings), len(r.Changes))
	return nil
}
