// Command flamingobeamd is the daemon that runs on every entry host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/agent"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/logs"
)

// exitFailure is the status of a daemon that could not start or stop well.
const exitFailure = 1

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "flamingobeamd:", err)
		os.Exit(exitFailure)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:                  "flamingobeamd",
		Usage:                 "run the daemon of an entry host",
		UsageText:             "flamingobeamd --settings /etc/flamingobeam/daemon.yaml",
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "the daemon's settings `FILE`", Required: true},
		},
		Action: run,
	}
}

func run(ctx context.Context, command *cli.Command) error {
	daemon, err := config.Read(command.String("settings"))
	if err != nil {
		return err
	}
	log, err := logs.New(os.Stderr, daemon.Log.Level, daemon.Log.Format)
	if err != nil {
		return result.Wrap(result.SettingsInvalid, err)
	}
	return agent.Run(ctx, daemon, log)
}
