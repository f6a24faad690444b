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

// exitFailure is the exit status of a daemon that failed to start or to stop.
const exitFailure = 1

// defaultMetricsPort is outside the range of ports that the platform assigns.
const defaultMetricsPort = 9464

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
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` of the daemon"},
		},
		Action: run,
		Commands: []*cli.Command{
			roleCommand(agent.RoleEntry, "run an entry host of a managed platform"),
			roleCommand(agent.RoleStorage, "run a storage host of a managed platform"),
		},
	}
}

// roleCommand returns the command that runs a daemon of a managed platform, which
// provides the host's configuration file.
func roleCommand(role agent.Role, usage string) *cli.Command {
	return &cli.Command{
		Name: string(role), Usage: usage,
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "metrics-port", Usage: "serve metrics on `PORT`", Value: defaultMetricsPort},
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` of the project's own settings; none for the defaults"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			return agent.RunManaged(ctx, role, agent.ManagedOptions{
				MetricsPort: command.Int("metrics-port"), Settings: command.String("settings"),
			})
		},
	}
}

func run(ctx context.Context, command *cli.Command) error {
	if !command.IsSet("settings") {
		return result.New(result.SettingsUnread, "--settings is required")
	}
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
