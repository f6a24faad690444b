package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

const callTimeout = 40 * time.Second

// client calls a daemon's HTTP interface.
type client struct {
	base string
	http *http.Client
}

func daemonFlag() cli.Flag {
	return &cli.StringFlag{
		Name:     "daemon",
		Usage:    "`ADDRESS` of a daemon, an IP number and port",
		Sources:  cli.EnvVars("FLAMINGOBEAM_DAEMON"),
		Required: true,
	}
}

func clientOf(command *cli.Command) *client {
	return &client{base: "http://" + command.String("daemon"), http: &http.Client{Timeout: callTimeout}}
}

// call sends a message and decodes the answer. A refusal becomes an error
// with the daemon's code; no answer is an unknown outcome when anything was
// to be changed.
func (c *client) call(ctx context.Context, method, path string, message, answer any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return result.Wrap(result.BadRequest, err)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return result.Wrap(result.BadRequest, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return unanswered(method, err)
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		return unanswered(method, err)
	}
	if response.StatusCode != http.StatusOK {
		return refusal(response.StatusCode, got)
	}
	return json.Unmarshal(got, answer)
}

func unanswered(method string, err error) error {
	if method == http.MethodGet {
		return result.Wrap(result.PeerUnreachable, err)
	}
	return result.Wrap(result.ChangeUnknown, err)
}

func refusal(status int, body []byte) error {
	var refused contract.Refusal
	if err := json.Unmarshal(body, &refused); err != nil {
		return result.New(result.CommandFailed, "status %d: %s", status, body)
	}
	return result.New(result.Code(refused.Code), "%s", refused.Message)
}

// show prints an answer as the --output flag says.
func show(command *cli.Command, value any, text string) error {
	out := command.Root().Writer
	if command.String("output") != outputJSON {
		_, err := fmt.Fprintln(out, text)
		return err
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

const (
	outputText = "text"
	outputJSON = "json"
)

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Usage: "`FORMAT`, text or json", Value: outputText}
}
