package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "validate a settings file",
		UsageText: "flamingobeam check --kind document examples/akuaba/document.yaml",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "kind", Usage: "kind of the file, daemon or document", Value: "daemon"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			source, err := readFileArgument(command)
			if err != nil {
				return err
			}
			if command.String("kind") == "document" {
				_, err = config.ParseDocument(source)
			} else {
				_, err = config.Parse(source)
			}
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(command.Root().Writer, "The settings are valid.")
			return err
		},
	}
}

func readFileArgument(command *cli.Command) ([]byte, error) {
	if command.Args().Len() != 1 {
		return nil, result.New(result.BadRequest, "expected one argument, FILE")
	}
	source, err := os.ReadFile(command.Args().First())
	if err != nil {
		return nil, result.Wrap(result.SettingsUnread, err)
	}
	return source, nil
}

func createCommand() *cli.Command {
	return &cli.Command{
		Name:      "create",
		Usage:     "create the settings document of zones, templates and workspaces",
		UsageText: "flamingobeam create --daemon 127.0.0.1:8101 examples/akuaba/document.yaml",
		ArgsUsage: "FILE",
		Flags:     daemonFlags(),
		Action: func(ctx context.Context, command *cli.Command) error {
			source, err := readFileArgument(command)
			if err != nil {
				return err
			}
			document, err := config.ParseDocument(source)
			if err != nil {
				return err
			}
			return callDaemon(ctx, command, http.MethodPost, contract.PathDocument, document, &struct{}{})
		},
	}
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:  "apply",
		Usage: "change parameters of a template or a workspace, on all daemons or on none",
		UsageText: "flamingobeam apply --daemon 127.0.0.1:8101 --workspace assessor group_size=8\n" +
			"flamingobeam apply --daemon 127.0.0.1:8101 --id 7f3c --template scoring 'lookup_due=300ms'",
		ArgsUsage: "PARAMETER=VALUE ...",
		Flags: daemonFlags(
			outputFlag(),
			&cli.StringFlag{Name: "workspace", Usage: "the workspace to change"},
			&cli.StringFlag{Name: "template", Usage: "the template to change"},
			&cli.StringFlag{Name: "id", Usage: "change `ID`; reuse it to query the outcome of a change"},
		),
		Action: apply,
	}
}

func apply(ctx context.Context, command *cli.Command) error {
	change, err := parseChange(command)
	if err != nil {
		return err
	}
	var outcome contract.ChangeOutcome
	if err := callDaemon(ctx, command, http.MethodPost, contract.PathChanges, change, &outcome); err != nil {
		return err
	}
	return printOutput(command, outcome, fmt.Sprintf("Change %s is in force everywhere as revision %d, after %.2f s.",
		outcome.ID, outcome.Revision, outcome.Seconds))
}

func parseChange(command *cli.Command) (settings.Change, error) {
	edit := settings.Edit{
		Kind:      settings.SetWorkspace,
		Workspace: structs.WorkspaceName(command.String("workspace")),
		Template:  command.String("template"),
	}
	if edit.Template != "" {
		edit.Kind = settings.SetTemplate
	}
	if (edit.Template == "") == (edit.Workspace == "") {
		return settings.Change{}, result.New(result.BadRequest, "expected either --workspace or --template")
	}
	var source strings.Builder
	for _, assignment := range command.Args().Slice() {
		name, value, ok := strings.Cut(assignment, "=")
		if !ok {
			return settings.Change{}, result.New(result.BadRequest, "expected PARAMETER=VALUE, got %q", assignment)
		}
		fmt.Fprintf(&source, "%s: %s\n", name, value)
	}
	if err := config.DecodeStrict([]byte(source.String()), &edit.Set); err != nil {
		return settings.Change{}, err
	}
	id := command.String("id")
	if id == "" {
		id = uuid.NewString()
	}
	return settings.Change{ID: settings.ChangeID(id), Edits: []settings.Edit{edit}}, nil
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:      "status",
		Usage:     "show a daemon's control state",
		UsageText: "flamingobeam status --daemon 127.0.0.1:8101 --output json",
		Flags:     daemonFlags(outputFlag()),
		Action: func(ctx context.Context, command *cli.Command) error {
			var status contract.Status
			if err := callDaemon(ctx, command, http.MethodGet, contract.PathStatus, nil, &status); err != nil {
				return err
			}
			if status.Managed != nil {
				return printOutput(command, status.Managed, managedStatusText(*status.Managed))
			}
			return printOutput(command, status, statusText(status))
		},
	}
}

func statusText(status contract.Status) string {
	lines := []string{
		fmt.Sprintf("host       %s", status.Host),
		fmt.Sprintf("zone       %s (%s)", status.Place.Zone, status.Place.Region),
		fmt.Sprintf("revision   %d", status.Revision),
		fmt.Sprintf("collector  %s, term %d", status.Collector, status.Term),
		fmt.Sprintf("granted    %t", status.Granted),
	}
	if len(status.InDoubt) > 0 {
		lines = append(lines, "in doubt   "+strings.Join(status.InDoubt, ", "))
	}
	for _, host := range status.Roster {
		lines = append(lines, fmt.Sprintf("member     %s", host))
	}
	return strings.Join(lines, "\n")
}

func suspendCommand() *cli.Command {
	return &cli.Command{
		Name:      "suspend",
		Usage:     "declare that the hosts of an availability zone are stopped",
		UsageText: "flamingobeam suspend --daemon 127.0.0.1:8101 volta-a\nflamingobeam suspend --daemon 127.0.0.1:8101 --end volta-a",
		ArgsUsage: "ZONE",
		Flags:     daemonFlags(&cli.BoolFlag{Name: "end", Usage: "end the suspension of the zone"}),
		Action: func(ctx context.Context, command *cli.Command) error {
			if command.Args().Len() != 1 {
				return result.New(result.BadRequest, "expected one argument, ZONE")
			}
			suspension := contract.ZoneSuspension{
				Zone:    structs.ZoneName(command.Args().First()),
				Stopped: !command.Bool("end"),
			}
			return callDaemon(ctx, command, http.MethodPost, contract.PathZones, suspension, &contract.ZoneSuspension{})
		},
	}
}
