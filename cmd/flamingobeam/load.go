package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/go-playground/validator/v10"
	"github.com/urfave/cli/v3"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/emulate/load"
)

// Permissions of the report file and its directory.
const (
	fileMode = 0o644
	dirMode  = 0o755
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:      "load",
		Usage:     "run an experiment: generate load at a fixed rate and check every response",
		UsageText: "flamingobeam load --out out/report.json experiments/demo.yaml",
		ArgsUsage: "EXPERIMENT",
		Flags: []cli.Flag{
			outputFlag(),
			&cli.StringFlag{Name: "out", Usage: "also write the report to a `FILE`"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed that overrides the experiment's"},
		},
		Action:   runLoad,
		Commands: []*cli.Command{compareCommand()},
	}
}

func runLoad(ctx context.Context, command *cli.Command) error {
	experiment, err := readExperiment(command)
	if err != nil {
		return err
	}
	report, err := load.Run(ctx, experiment)
	if err != nil {
		return result.Wrap(result.CommandFailed, err)
	}
	if path := command.String("out"); path != "" {
		if err := writeReport(path, report); err != nil {
			return result.Wrap(result.CommandFailed, err)
		}
	}
	if err := printOutput(command, report, reportText(report)); err != nil {
		return err
	}
	if broken := report.Totals.Broken(); broken > 0 {
		return result.New(result.PromiseBroken, "%d breaches", broken)
	}
	if len(report.Silent) > 0 {
		return result.New(result.CommandFailed, "no responses after the failure: %v", report.Silent)
	}
	return nil
}

func readExperiment(command *cli.Command) (load.Experiment, error) {
	source, err := readFileArgument(command)
	if err != nil {
		return load.Experiment{}, err
	}
	experiment, err := parseExperiment(source)
	if err == nil && command.IsSet("seed") {
		experiment.Seed = command.Uint64("seed")
	}
	return experiment, err
}

// parseExperiment decodes an experiment, rejects unknown fields and checks the
// ranges. It fails with code SettingsMalformed or SettingsInvalid.
func parseExperiment(source []byte) (load.Experiment, error) {
	experiment := load.Default()
	if err := config.DecodeStrict(source, &experiment); err != nil {
		return load.Experiment{}, err
	}
	if err := validator.New().Struct(experiment); err != nil {
		return load.Experiment{}, result.Wrap(result.SettingsInvalid, err)
	}
	return experiment, nil
}

func writeReport(path string, report load.Report) error {
	encoded, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), dirMode); err != nil {
		return err
	}
	return os.WriteFile(path, append(encoded, '\n'), fileMode)
}

func reportText(report load.Report) string {
	var text tableText
	text.line("%s", report.Question)
	text.line("seed %d, %.1f s, result codes %v", report.Seed, report.Seconds, report.Codes)
	text.row("stream", "sent", "answered", "p50 ms", "p90 ms", "p99 ms", "max ms")
	for _, name := range sortedKeys(report.Streams) {
		s := report.Streams[name]
		text.row(name, s.Sent, s.Answered, formatFigure(s.P50), formatFigure(s.P90), formatFigure(s.P99), formatFigure(s.Max))
	}
	text.flush()
	totals, err := load.Compare(load.Report{Totals: report.Totals}, load.Report{Totals: report.Totals})
	if err != nil {
		return err.Error()
	}
	for _, figure := range totals {
		text.row(figure.Name, formatFigure(figure.After))
	}
	for _, breach := range report.Breaches {
		text.line("breach: %s", breach)
	}
	return text.String()
}

func compareCommand() *cli.Command {
	return &cli.Command{
		Name:      "compare",
		Usage:     "show the figures of two reports side by side",
		UsageText: "flamingobeam load compare out/before.json out/after.json",
		ArgsUsage: "BEFORE AFTER",
		Flags:     []cli.Flag{outputFlag()},
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Args().Len() != 2 {
				return result.New(result.BadRequest, "expected two arguments, BEFORE and AFTER")
			}
			before, err := readReport(command.Args().Get(0))
			if err != nil {
				return err
			}
			after, err := readReport(command.Args().Get(1))
			if err != nil {
				return err
			}
			differences, err := load.Compare(before, after)
			if err != nil {
				return result.Wrap(result.CommandFailed, err)
			}
			return printOutput(command, differences, differencesText(differences))
		},
	}
}

func readReport(path string) (load.Report, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return load.Report{}, result.Wrap(result.SettingsUnread, err)
	}
	var report load.Report
	if err := json.Unmarshal(source, &report); err != nil {
		return load.Report{}, result.Wrap(result.SettingsMalformed, err)
	}
	return report, nil
}

func differencesText(differences []load.Difference) string {
	var text tableText
	text.row("figure", "before", "after")
	for _, d := range differences {
		text.row(d.Name, formatFigure(d.Before), formatFigure(d.After))
	}
	return text.String()
}

func formatFigure(value float64) string { return fmt.Sprintf("%.4g", value) }
