package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/emulate/engine"
)

func emulateEngineCommand() *cli.Command {
	defaults := engine.DefaultOptions()
	return &cli.Command{
		Name:      "engine",
		Usage:     "a model engine with continuous batching, a prefix cache and weight swaps",
		UsageText: "flamingobeam emulate engine --listen 127.0.0.1:8201 --name assessor-1 --model assessor --fenced",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "name", Usage: "host `NAME`", Value: string(defaults.Name)},
			&cli.StringFlag{Name: "model", Usage: "model `NAME`", Value: string(defaults.Model)},
			&cli.Uint64Flag{Name: "version", Usage: "initial weight version", Value: uint64(defaults.Version)},
			&cli.FloatFlag{Name: "tokens", Usage: "tokens per second of a stream", Value: defaults.TokensPerSecond},
			&cli.FloatFlag{Name: "prefill", Usage: "prompt tokens processed per second", Value: defaults.PrefillPerSecond},
			&cli.IntFlag{Name: "running", Usage: "maximum number of concurrent streams", Value: defaults.MaxRunning},
			&cli.IntFlag{Name: "cache", Usage: "size of the prefix cache, in blocks", Value: defaults.CacheBlocks},
			&cli.DurationFlag{Name: "lag", Usage: "delay of load reports", Value: defaults.ReportLag},
			&cli.BoolFlag{Name: "fenced", Usage: "refuse orders with an old term"},
			&cli.StringFlag{Name: "crash-marker", Usage: "exit on a prompt that contains this `TEXT`"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			options, err := engineOptions(command)
			if err != nil {
				return err
			}
			emulated := engine.New(options)
			emulated.SetFaults(engine.Faults{CrashMarker: command.String("crash-marker")})
			return serve(ctx, command, emulated.Handler())
		},
	}
}

func engineOptions(command *cli.Command) (engine.Options, error) {
	options := engine.Options{
		Name:             structs.HostName(command.String("name")),
		Model:            structs.ServiceName(command.String("model")),
		Version:          structs.WeightVersion(command.Uint64("version")),
		TokensPerSecond:  command.Float("tokens"),
		PrefillPerSecond: command.Float("prefill"),
		MaxRunning:       command.Int("running"),
		CacheBlocks:      command.Int("cache"),
		ReportLag:        command.Duration("lag"),
		Fenced:           command.Bool("fenced"),
		Crash:            func() { os.Exit(exitCrashed) },
	}
	if options.TokensPerSecond <= 0 || options.PrefillPerSecond <= 0 || options.MaxRunning < 1 {
		return options, result.New(result.BadRequest, "--tokens, --prefill and --running must be positive")
	}
	return options, nil
}
