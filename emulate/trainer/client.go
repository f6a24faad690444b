package trainer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/emulate/store"
)

const (
	// responseAllowance is added to the wait for a step in the request timeout.
	responseAllowance = 30 * time.Second
	// maxResponseBytes bounds the part of a response that is read.
	maxResponseBytes = 1 << 30
)

// errUnexpectedResponse means that a response was an error or held another step.
var errUnexpectedResponse = errors.New("trainer: unexpected response")

// client sends requests to the daemons and moves to the next daemon after a
// failure. It is not safe for concurrent use.
type client struct {
	options    Options
	httpClient *http.Client
	// daemonIndex counts the failures; modulo the number of daemons it is the
	// index of the current daemon.
	daemonIndex int
}

func newClient(options Options) *client {
	return &client{options: options, httpClient: &http.Client{Timeout: options.Wait + responseAllowance}}
}

// requestStep requests a step from a daemon. After a failure the next request
// goes to the next daemon. The code is the result code of an error response, or
// zero when no complete response arrived.
func (c *client) requestStep(ctx context.Context, step uint64, heldVersion structs.WeightVersion) (StepReply, int, error) {
	stepURL := fmt.Sprintf("http://%s/v1/workspaces/%s/steps/%d?wait=%s",
		c.options.Daemons[c.daemonIndex%len(c.options.Daemons)], url.PathEscape(string(c.options.Workspace)), step, c.options.Wait)
	var reply StepReply
	code, err := c.post(ctx, stepURL, StepBody{Holds: heldVersion}, &reply)
	if err == nil && reply.Step != step {
		err = errors.Wrapf(errUnexpectedResponse, "received step %d instead of step %d", reply.Step, step)
	}
	if err != nil {
		c.daemonIndex++
	}
	return reply, code, err
}

// publishVersion publishes a weight version in the weight store.
func (c *client) publishVersion(ctx context.Context, version structs.WeightVersion) error {
	message := store.Published{Model: c.options.Model, Version: version}
	_, err := c.post(ctx, "http://"+c.options.Store+store.PathPublish, message, &struct{}{})
	return err
}

func (c *client) post(ctx context.Context, target string, message, reply any) (int, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return 0, err
	}
	if response.StatusCode != http.StatusOK {
		var failure errorBody
		_ = json.Unmarshal(responseBody, &failure)
		return failure.Code, errors.Wrapf(errUnexpectedResponse, "status %d: %s", response.StatusCode, failure.Message)
	}
	return 0, json.Unmarshal(responseBody, reply)
}
