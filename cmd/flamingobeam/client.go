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

// daemonClient is a client of a daemon's HTTP interface.
type daemonClient struct {
	base  string
	token string
	http  *http.Client
}

// daemonFlags returns the flags for the daemon's address and the caller's
// credentials, followed by extra.
func daemonFlags(extra ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{
			Name:     flagDaemon,
			Usage:    "`ADDRESS` of a daemon, an IP address and port",
			Sources:  cli.EnvVars("FLAMINGOBEAM_DAEMON"),
			Required: true,
		},
		&cli.StringFlag{Name: flagToken, Usage: "operator's `TOKEN`", Sources: cli.EnvVars("FLAMINGOBEAM_TOKEN")},
		&cli.StringFlag{Name: flagAuthority, Usage: "PEM `FILE` of the certificate authority; enables TLS", Sources: cli.EnvVars("FLAMINGOBEAM_AUTHORITY")},
		&cli.StringFlag{Name: flagCertificate, Usage: "PEM `FILE` of the operator's certificate", Sources: cli.EnvVars("FLAMINGOBEAM_CERTIFICATE")},
		&cli.StringFlag{Name: flagKey, Usage: "PEM `FILE` of the operator's key", Sources: cli.EnvVars("FLAMINGOBEAM_KEY")},
	}, extra...)
}

const (
	flagDaemon      = "daemon"
	flagToken       = "token"
	flagAuthority   = "authority"
	flagCertificate = "certificate"
	flagKey         = "key"
)

func newClient(command *cli.Command) (*daemonClient, error) {
	c := &daemonClient{
		base:  "http://" + command.String(flagDaemon),
		token: command.String(flagToken),
		http:  &http.Client{Timeout: callTimeout},
	}
	if command.String(flagAuthority) == "" {
		return c, nil
	}
	tlsConfig, err := loadTLSConfig(command)
	if err != nil {
		return nil, result.Wrap(result.TLSInvalid, err)
	}
	c.base = "https://" + command.String(flagDaemon)
	c.http.Transport = &http.Transport{TLSClientConfig: tlsConfig}
	return c, nil
}

func loadTLSConfig(command *cli.Command) (*tls.Config, error) {
	authority, err := os.ReadFile(command.String(flagAuthority))
	if err != nil {
		return nil, err
	}
	tlsConfig := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: x509.NewCertPool()}
	if !tlsConfig.RootCAs.AppendCertsFromPEM(authority) {
		return nil, errors.Errorf("%s contains no PEM certificate", command.String(flagAuthority))
	}
	if command.String(flagCertificate) == "" {
		return tlsConfig, nil
	}
	certificate, err := tls.LoadX509KeyPair(command.String(flagCertificate), command.String(flagKey))
	tlsConfig.Certificates = []tls.Certificate{certificate}
	return tlsConfig, err
}

// callDaemon calls the daemon that the command's flags select; see call.
func callDaemon(ctx context.Context, command *cli.Command, method, path string, message, reply any) error {
	c, err := newClient(command)
	if err != nil {
		return err
	}
	return c.call(ctx, method, path, message, reply)
}

// call sends a message and decodes the response body into reply. For a status
// other than 200 it returns an error with the daemon's result code. Without a
// complete response it fails with PeerUnreachable for a GET request, and with
// ChangeUnknown for any other, because the change may have been made.
func (c *daemonClient) call(ctx context.Context, method, path string, message, reply any) error {
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
		return noResponseError(method, err)
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return noResponseError(method, err)
	}
	if response.StatusCode != http.StatusOK {
		return responseError(response.StatusCode, responseBody)
	}
	return json.Unmarshal(responseBody, reply)
}

func noResponseError(method string, err error) error {
	if method == http.MethodGet {
		return result.Wrap(result.PeerUnreachable, err)
	}
	return result.Wrap(result.ChangeUnknown, err)
}

func responseError(status int, body []byte) error {
	var errorBody contract.ErrorBody
	if err := json.Unmarshal(body, &errorBody); err != nil {
		return result.New(result.CommandFailed, "status %d: %s", status, body)
	}
	return result.New(result.Code(errorBody.Code), "%s", errorBody.Detail)
}

// printOutput prints a value in the format of the --output flag: text, or value
// as JSON.
func printOutput(command *cli.Command, value any, text string) error {
	writer := command.Root().Writer
	if command.String("output") != outputJSON {
		_, err := fmt.Fprintln(writer, text)
		return err
	}
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

const (
	outputText = "text"
	outputJSON = "json"
)

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Usage: "output `FORMAT`, text or json", Value: outputText}
}
