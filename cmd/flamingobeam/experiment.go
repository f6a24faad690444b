package main

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/flamingobeam/flamingobeam/cmd/flamingobeam/experiment"
	"github.com/flamingobeam/flamingobeam/coord/result"
)

func experimentCommand() *cli.Command {
	experiments := experiment.All()
	names := slices.Sorted(maps.Keys(experiments))
	return &cli.Command{
		Name:      "experiment",
		Usage:     "compare algorithms with baselines in simulated time",
		UsageText: "flamingobeam experiment routing",
		ArgsUsage: strings.Join(names, "|"),
		Flags:     []cli.Flag{outputFlag()},
		Action: func(_ context.Context, command *cli.Command) error {
			run, ok := experiments[command.Args().First()]
			if !ok {
				return result.New(result.BadRequest, "expected one of %s", strings.Join(names, ", "))
			}
			outcome := run()
			return printOutput(command, outcome, outcome.Text())
		},
	}
}
