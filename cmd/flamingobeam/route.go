package main

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

func routeCommand() *cli.Command {
	return &cli.Command{
		Name:  "route",
		Usage: "ask a daemon where a request or a batch job would go now, without sending it",
		UsageText: "flamingobeam route --daemon 127.0.0.1:9464 --host claims.example --workspace north /status/1\n" +
			"flamingobeam route --daemon 127.0.0.1:9464 --host claims.example --method POST --model assessor /train/step",
		ArgsUsage: "PATH",
		Flags: daemonFlags(
			outputFlag(),
			&cli.StringFlag{Name: "method", Usage: "`METHOD` of the request", Value: http.MethodGet},
			&cli.StringFlag{Name: "host", Usage: "`HOST` of the request", Required: true},
			&cli.StringFlag{Name: "workspace", Usage: "`NAME` of the caller's workspace; a key is never asked for"},
			&cli.DurationFlag{Name: "timeout", Usage: "`TIME` for which the caller would wait"},
			&cli.StringFlag{Name: "model", Usage: "`MODEL` of a batch job"},
			&cli.Uint64Flag{Name: "min-version", Usage: "lowest weight `VERSION` of a batch job"},
		),
		Action: askRoute,
	}
}

// wouldBeRefused is the error of a question about a request that would be refused.
type wouldBeRefused struct{ refusal contract.RefusalForecast }

func (e wouldBeRefused) Error() string {
	return "the request would be refused: " + refusalText(e.refusal)
}

func askRoute(ctx context.Context, command *cli.Command) error {
	if command.Args().Len() != 1 {
		return result.New(result.BadRequest, "expected one argument, PATH")
	}
	question := contract.RouteQuestion{
		Method: strings.ToUpper(command.String("method")), Host: command.String("host"), Path: command.Args().First(),
		Workspace: structs.WorkspaceName(command.String("workspace")), Timeout: command.Duration("timeout"),
		Model: structs.ServiceName(command.String("model")), MinVersion: structs.WeightVersion(command.Uint64("min-version")),
	}
	var explanation contract.RouteExplanation
	if err := callDaemon(ctx, command, http.MethodGet, contract.PathRoute+"?"+question.Query().Encode(), nil, &explanation); err != nil {
		return err
	}
	if err := printOutput(command, explanation, routeText(explanation)); err != nil {
		return err
	}
	if explanation.Refusal != nil {
		return wouldBeRefused{*explanation.Refusal}
	}
	return nil
}

func refusalText(refusal contract.RefusalForecast) string {
	text := fmt.Sprintf("%d %s, HTTP %d", refusal.Code, refusal.Name, refusal.Status)
	if refusal.Why != "" {
		text += ", " + refusal.Why
	}
	if refusal.RetryAfterSeconds > 0 {
		text += fmt.Sprintf(", Retry-After %.2f s", refusal.RetryAfterSeconds)
	}
	return text
}

// routeText returns an explanation for people.
func routeText(explanation contract.RouteExplanation) string {
	var t textLines
	t.add("daemon", "%s", explanation.Host)
	t.add("configuration", "version %d", explanation.ConfigurationVersion)
	if explanation.Route != "" {
		t.add("route", "%s", explanation.Route)
	}
	if explanation.Workspace != "" {
		t.add("workspace", "%s", explanation.Workspace)
	}
	for _, target := range explanation.Targets {
		t.add("target", "%s, %.0f%% of the requests", target.Service, 100*target.Share)
	}
	if explanation.Service != "" {
		t.add("service", "%s", explanation.Service)
	}
	if explanation.Refusal != nil {
		t.add("refused", "%s", refusalText(*explanation.Refusal))
	}
	addAdmission(&t, explanation)
	if job := explanation.Job; job != nil {
		t.add("owner", "%s", job.Owner)
		t.add("due", "%.1f s after the submission", job.DueSeconds)
		t.add("jobs", "%d open, %d items waiting there", job.OpenJobs, job.WaitingItems)
	}
	switch {
	case explanation.Chosen != "":
		t.add("first", "%s", explanation.Chosen)
	case explanation.Job != nil:
		t.add("first", "none: its items would wait at the owner")
	}
	for _, candidate := range explanation.Candidates {
		label, why := "candidate", ""
		if candidate.PassedOver != "" {
			label, why = "passed over", ": "+candidate.PassedOver
		}
		t.add(label, "%s in %s%s; %s", candidate.Server, candidate.Zone, why, judgedText(candidate.Judged))
	}
	if explanation.Omitted > 0 {
		t.add("", "%d more servers", explanation.Omitted)
	}
	addHedge(&t, explanation.Hedge)
	for _, note := range explanation.Notes {
		t.add("note", "%s", note)
	}
	return t.String()
}

func addAdmission(t *textLines, explanation contract.RouteExplanation) {
	if admission := explanation.Admission; admission != nil {
		place := "it would run at once"
		switch {
		case explanation.Refusal != nil:
			place = "it would not be admitted"
		case admission.Queue > 0:
			place = fmt.Sprintf("it would wait at place %d, about %.2f s", admission.Queue, admission.WaitSeconds)
		}
		share := ""
		if admission.Due > 0 {
			share = fmt.Sprintf("; its workspace is due %.0f%% of what it asks", 100*admission.Due)
		}
		t.add("admission", "%d of %d places taken, %s%s", admission.Running, admission.Places, place, share)
	}
	quarantine := explanation.Quarantine
	if quarantine == nil {
		return
	}
	verdict := "not suspected"
	switch {
	case explanation.Refusal != nil && explanation.Refusal.Code == int(result.Quarantined):
		verdict = "quarantined"
	case quarantine.Unconfirmed > 0:
		verdict = fmt.Sprintf("%d servers are probed because of it", quarantine.Unconfirmed)
	case quarantine.IsSuspect:
		verdict = "suspected of a crash"
	}
	t.add("quarantine", "%s; %d quarantined and %d suspected in all", verdict, quarantine.Quarantined, quarantine.Suspects)
}

func addHedge(t *textLines, hedge *contract.HedgeForecast) {
	if hedge == nil {
		return
	}
	limit := "within the retry budget"
	if hedge.Limit > 0 {
		limit = fmt.Sprintf("limit %.1f%%, %.1f hedges for %.1f requests at this daemon", 100*hedge.Limit, hedge.Hedges, hedge.Requests)
	}
	switch {
	case hedge.Refusal == "":
		t.add("hedge", "after %.0f ms; %s", 1000*hedge.AfterSeconds, limit)
	case hedge.AsksPool:
		t.add("hedge", "after %.0f ms, if the pool of a region allows it (%s here); %s", 1000*hedge.AfterSeconds, hedge.Refusal, limit)
	default:
		t.add("hedge", "none: %s; %s", hedge.Refusal, limit)
	}
}

// judgedText returns the values by which a server was judged, by name.
func judgedText(judged map[string]float64) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(judged)) {
		parts = append(parts, fmt.Sprintf("%s %.4g", name, judged[name]))
	}
	return strings.Join(parts, ", ")
}
