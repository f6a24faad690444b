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
	// answerGrace is what an answer may take beyond the time that the daemon
	// may hold the request.
	answerGrace = 30 * time.Second
	// maxAnswer bounds an answer, in bytes.
	maxAnswer = 1 << 30
)

// errRefused is returned for an answer other than the one asked for.
var errRefused = errors.New("trainer: the request was refused")

// client asks the daemons one after the other.
type client struct {
	options Options
	http    *http.Client
	// next is the index of the daemon to ask.
	next int
}

func newClient(options Options) *client {
	return &client{options: options, http: &http.Client{Timeout: options.Wait + answerGrace}}
}

// step asks a daemon for a step. After a failure other than a step that is not
// ready the next request goes to the next daemon. The code is that of the
// refusal, or zero when no whole answer came.
func (c *client) step(ctx context.Context, step uint64, holds structs.WeightVersion) (StepReply, int, error) {
	path := fmt.Sprintf("http://%s/v1/workspaces/%s/steps/%d?wait=%s",
		c.options.Daemons[c.next%len(c.options.Daemons)], url.PathEscape(string(c.options.Workspace)), step, c.options.Wait)
	var reply StepReply
	code, err := c.post(ctx, path, StepBody{Holds: holds}, &reply)
	if err == nil && reply.Step != step {
		err = errors.Wrapf(errRefused, "step %d came in place of step %d", reply.Step, step)
	}
	if err != nil {
		c.next++
	}
	return reply, code, err
}

// publish makes a version the newest one in the weight store.
func (c *client) publish(ctx context.Context, version structs.WeightVersion) error {
	message := store.Published{Model: c.options.Model, Version: version}
	_, err := c.post(ctx, "http://"+c.options.Store+store.PathPublish, message, &struct{}{})
	return err
}

func (c *client) post(ctx context.Context, target string, message, answer any) (int, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	got, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return 0, err
	}
	if response.StatusCode != http.StatusOK {
		var refused refusal
		_ = json.Unmarshal(got, &refused)
		return refused.Code, errors.Wrapf(errRefused, "status %d: %s", response.StatusCode, refused.Message)
	}
	return 0, json.Unmarshal(got, answer)
}
