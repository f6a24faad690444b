package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/flamingobeam/flamingobeam/coord/burn"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:     "report",
		Usage:    "show reports on the service",
		Commands: []*cli.Command{burnCommand()},
	}
}

func burnCommand() *cli.Command {
	return &cli.Command{
		Name:  "slo-burn",
		Usage: "show the burn rate of the error budget of each workspace and class",
		UsageText: "flamingobeam report slo-burn --daemon 127.0.0.1:8101 --daemon 127.0.0.1:8102\n" +
			"flamingobeam report slo-burn --daemon 127.0.0.1:8101 --output json > run.json\n" +
			"flamingobeam report slo-burn --from run.json --plot burn.svg",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "daemon", Usage: "`ADDRESS` of a daemon; repeat for every daemon to include"},
			&cli.StringSliceFlag{Name: "from", Usage: "JSON `FILE` of an earlier report"},
			&cli.StringFlag{Name: "plot", Usage: "write a plot to a `FILE` ending in .svg or .png"},
			outputFlag(),
		},
		Action: runBurnReport,
	}
}

func runBurnReport(ctx context.Context, command *cli.Command) error {
	reports, err := readBurnReports(ctx, command.StringSlice("daemon"), command.StringSlice("from"))
	if err != nil {
		return err
	}
	merged := burn.Merge(reports)
	if path := command.String("plot"); path != "" {
		if err := plotBurn(merged, path); err != nil {
			return result.Wrap(result.CommandFailed, err)
		}
	}
	return printOutput(command, merged, formatBurnReport(merged))
}

// readBurnReports fetches the reports of daemons and reads those in files.
func readBurnReports(ctx context.Context, daemons, files []string) ([]burn.Report, error) {
	if len(daemons)+len(files) == 0 {
		return nil, result.New(result.BadRequest, "expected at least one --daemon or --from")
	}
	var reports []burn.Report
	for _, address := range daemons {
		var report burn.Report
		c := &daemonClient{base: "http://" + address, http: &http.Client{Timeout: callTimeout}}
		if err := c.call(ctx, http.MethodGet, contract.PathBurn, nil, &report); err != nil {
			return nil, err
		}
		reports = append(reports, report)
	}
	for _, path := range files {
		source, err := os.ReadFile(path)
		if err != nil {
			return nil, result.Wrap(result.SettingsUnread, err)
		}
		report, err := parseBurnReport(source)
		if err != nil {
			return nil, err
		}
		reports = append(reports, report)
	}
	return reports, nil
}

// parseBurnReport decodes a saved report. It fails with code SettingsMalformed, or
// with SettingsInvalid for an objective that is not between 0 and 1.
func parseBurnReport(source []byte) (burn.Report, error) {
	var report burn.Report
	if err := json.Unmarshal(source, &report); err != nil {
		return report, result.Wrap(result.SettingsMalformed, err)
	}
	for _, row := range report.Rows {
		if row.Objective <= 0 || row.Objective >= 1 {
			return report, result.New(result.SettingsInvalid, "objective %g of %s is not between 0 and 1", row.Objective, row.Workspace)
		}
	}
	return report, nil
}

// formatBurnReport formats a report as a table.
func formatBurnReport(report burn.Report) string {
	var text strings.Builder
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, "WORKSPACE\tCLASS\tOBJECTIVE\tGOOD\tBAD\tBUDGET LEFT\tEXHAUSTED IN")
	for _, alarm := range burn.Alarms() {
		fmt.Fprintf(table, "\t%s (%s/%s)", strings.ToUpper(alarm.Name), formatDuration(alarm.Short), formatDuration(alarm.Long))
	}
	fmt.Fprintln(table)
	for _, row := range report.Rows {
		period := row.Alarms[len(row.Alarms)-1].Long
		fmt.Fprintf(table, "%s\t%s\t%.4g\t%d\t%d\t%.1f%%\t%s", row.Workspace, row.Class, row.Objective,
			period.Good, period.Bad, row.BudgetLeft*100, formatExhaustion(row.ExhaustedInSeconds))
		for _, alarm := range row.Alarms {
			fmt.Fprintf(table, "\t%.2f/%.2f%s", alarm.Short.Rate, alarm.Long.Rate, formatAlarm(alarm))
		}
		fmt.Fprintln(table)
	}
	_ = table.Flush()
	return strings.TrimRight(text.String(), "\n")
}

func formatAlarm(alarm burn.AlarmStatus) string {
	if alarm.Raised {
		return " ALARM"
	}
	return ""
}

func formatExhaustion(seconds *float64) string {
	switch {
	case seconds == nil:
		return "never"
	case *seconds == 0:
		return "spent"
	}
	return formatDuration(time.Duration(*seconds * float64(time.Second)).Round(time.Minute))
}

// formatDuration formats a duration without trailing zero units, for example
// "6h".
func formatDuration(duration time.Duration) string {
	text := strings.TrimSuffix(duration.String(), "0s")
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
