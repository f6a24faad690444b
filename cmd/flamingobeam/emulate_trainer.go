package main

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/urfave/cli/v3"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/emulate/trainer"
)

func emulateTrainerCommand() *cli.Command {
	return &cli.Command{
		Name:  "trainer",
		Usage: "a trainer that pulls steps, checks them and publishes weight versions",
		UsageText: "flamingobeam emulate trainer --listen 127.0.0.1:8501 --workspace subsidy-assessor --model assessor \\\n" +
			"  --daemons 127.0.0.1:8101 --daemons 127.0.0.1:8102 --store 127.0.0.1:8001",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "workspace", Usage: "`NAME` of the workspace", Required: true},
			&cli.StringFlag{Name: "model", Usage: "`NAME` of the model", Required: true},
			&cli.StringSliceFlag{Name: "daemons", Usage: "`ADDRESSES` of daemons", Required: true},
			&cli.StringFlag{Name: "store", Usage: "`ADDRESS` of the weight store", Required: true},
			&cli.DurationFlag{Name: "train", Usage: "training time of a step", Value: time.Second},
			&cli.DurationFlag{Name: "wait", Usage: "maximum time that a daemon holds a request", Value: 10 * time.Second},
			&cli.Uint64Flag{Name: "staleness-versions", Usage: "staleness bound in weight versions", Value: 2},
			&cli.DurationFlag{Name: "staleness-age", Usage: "staleness bound in time, 0s for none", Value: 0},
			&cli.Uint64Flag{Name: "holds", Usage: "initial weight `VERSION`", Value: 1},
			&cli.Uint64Flag{Name: "steps", Usage: "`COUNT` of steps, 0 for no limit"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			emulated := trainer.New(trainerOptions(command))
			ctx, cancel := context.WithCancel(ctx)
			var group conc.WaitGroup
			defer group.Wait()
			defer cancel()
			group.Go(func() { _ = emulated.Run(ctx) })
			return serve(ctx, command, emulated.Handler())
		},
	}
}

func trainerOptions(command *cli.Command) trainer.Options {
	return trainer.Options{
		Workspace: structs.WorkspaceName(command.String("workspace")),
		Model:     structs.ServiceName(command.String("model")),
		Daemons:   command.StringSlice("daemons"),
		Store:     command.String("store"),
		Train:     command.Duration("train"),
		Wait:      command.Duration("wait"),
		Bounds: trainer.Bounds{
			Versions: command.Uint64("staleness-versions"),
			Age:      command.Duration("staleness-age"),
		},
		Holds: structs.WeightVersion(command.Uint64("holds")),
		Steps: command.Uint64("steps"),
	}
}
