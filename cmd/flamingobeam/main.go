// Command flamingobeam is the command-line tool for operators and experiments.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/flamingobeam/flamingobeam/coord/result"
)

// Exit statuses. Scripts can distinguish a refusal, after which nothing has
// changed, from an unknown outcome.
const (
	exitFailure = 1
	exitRefused = 2
	exitUnknown = 3
	// exitWouldBeRefused is that of a question about a request that would be refused.
	exitWouldBeRefused = 4
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "flamingobeam:", err)
		os.Exit(exitStatus(err))
	}
}

func exitStatus(err error) int {
	var refused wouldBeRefused
	if errors.As(err, &refused) {
		return exitWouldBeRefused
	}
	if result.CodeOf(err) == result.OutcomeUnknown {
		return exitFailure
	}
	if result.OutcomeOf(err) == result.MayHaveRun {
		return exitUnknown
	}
	return exitRefused
}

func command() *cli.Command {
	return &cli.Command{
		Name:                  "flamingobeam",
		Usage:                 "operate the rollout service and run experiments",
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			checkCommand(),
			createCommand(),
			applyCommand(),
			statusCommand(),
			routeCommand(),
			suspendCommand(),
			reportCommand(),
			experimentCommand(),
			emulateCommand(),
			loadCommand(),
		},
	}
}
