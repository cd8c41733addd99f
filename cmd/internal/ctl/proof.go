package ctl

import (
	"strings"

	"github.com/integrii/flaggy"

	"sardinefront.dev/journal/explore"
	"sardinefront.dev/proof/bench"
	"sardinefront.dev/proof/scenario"
	"sardinefront.dev/proof/slopes"
)

func benchCommand() command {
	seed, names := 1, ""
	sub := flaggy.NewSubcommand("bench")
	sub.Description = "Measures the scheduling decisions in virtual time beside baselines and bounds."
	sub.Int(&seed, "", "seed", "seed of the workload")
	sub.String(&names, "d", "deployments", "comma-separated: fjellvarsel, lampu-kaca, target-zone")
	return command{sub: sub, run: func(e *env) error {
		o := bench.Options{Seed: uint64(seed)}
		if names != "" {
			o.Deployments = strings.Split(names, ",")
		}
		return bench.Run(e.out, o)
	}}
}

func exploreCommand() command {
	states := explore.DefaultMaxStates
	sub := flaggy.NewSubcommand("explore")
	sub.Description = "Explores every order of faults of the claim protocol and prints states and violations."
	sub.Int(&states, "", "states", "the most states to visit")
	return command{sub: sub, run: func(e *env) error {
		_, err := explore.Run(e.out, explore.Options{MaxStates: states})
		return err
	}}
}

func scenariosCommand() command {
	dir := "scenarios"
	sub := flaggy.NewSubcommand("scenarios")
	sub.Description = "Runs the scripted scenarios and prints a line for each."
	sub.AddPositionalValue(&dir, "directory", 1, false, "where the scenarios are")
	return command{sub: sub, run: func(e *env) error { return scenario.Run(dir, e.out) }}
}

func slopesCommand() command {
	sub := flaggy.NewSubcommand("slopes")
	sub.Description = "Measures how each cost grows and works out its value at the target size."
	return command{sub: sub, run: func(e *env) error { return slopes.Run(e.out) }}
}
