package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

const callTimeout = 40 * time.Second

// client calls a daemon's HTTP interface.
type client struct {
	base  string
	token string
	http  *http.Client
}

// daemonFlags name the daemon to call and what to show it.
func daemonFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{
			Name:     flagDaemon,
			Usage:    "`ADDRESS` of a daemon, an IP number and port",
			Sources:  cli.EnvVars("FLAMINGOBEAM_DAEMON"),
			Required: true,
		},
		&cli.StringFlag{Name: flagToken, Usage: "operator's `TOKEN`", Sources: cli.EnvVars("FLAMINGOBEAM_TOKEN")},
		&cli.StringFlag{Name: flagAuthority, Usage: "PEM `FILE` of the authority; turns TLS on", Sources: cli.EnvVars("FLAMINGOBEAM_AUTHORITY")},
		&cli.StringFlag{Name: flagCertificate, Usage: "PEM `FILE` of the operator's certificate", Sources: cli.EnvVars("FLAMINGOBEAM_CERTIFICATE")},
		&cli.StringFlag{Name: flagKey, Usage: "PEM `FILE` of the operator's key", Sources: cli.EnvVars("FLAMINGOBEAM_KEY")},
	}, more...)
}

const (
	flagDaemon      = "daemon"
	flagToken       = "token"
	flagAuthority   = "authority"
	flagCertificate = "certificate"
	flagKey         = "key"
)

func clientOf(command *cli.Command) (*client, error) {
	c := &client{
		base:  "http://" + command.String(flagDaemon),
		token: command.String(flagToken),
		http:  &http.Client{Timeout: callTimeout},
	}
	if command.String(flagAuthority) == "" {
		return c, nil
	}
	settings, err := tlsOf(command)
	if err != nil {
		return nil, result.Wrap(result.TLSInvalid, err)
	}
	c.base = "https://" + command.String(flagDaemon)
	c.http.Transport = &http.Transport{TLSClientConfig: settings}
	return c, nil
}

func tlsOf(command *cli.Command) (*tls.Config, error) {
	authority, err := os.ReadFile(command.String(flagAuthority))
	if err != nil {
		return nil, err
	}
	settings := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: x509.NewCertPool()}
	if !settings.RootCAs.AppendCertsFromPEM(authority) {
		return nil, errors.Errorf("%s holds no certificate", command.String(flagAuthority))
	}
	if command.String(flagCertificate) == "" {
		return settings, nil
	}
	certificate, err := tls.LoadX509KeyPair(command.String(flagCertificate), command.String(flagKey))
	settings.Certificates = []tls.Certificate{certificate}
	return settings, err
}

// callDaemon calls the daemon that the flags name.
func callDaemon(ctx context.Context, command *cli.Command, method, path string, message, answer any) error {
	c, err := clientOf(command)
	if err != nil {
		return err
	}
	return c.call(ctx, method, path, message, answer)
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
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
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
	var refused contract.ErrorBody
	if err := json.Unmarshal(body, &refused); err != nil {
		return result.New(result.CommandFailed, "status %d: %s", status, body)
	}
	return result.New(result.Code(refused.Code), "%s", refused.Detail)
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
