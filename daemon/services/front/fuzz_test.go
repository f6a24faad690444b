package front

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/julienschmidt/httprouter"
	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// smallDocument is a valid document of one workspace.
const smallDocument = `{"zones":[{"zone":"a-a","region":"a"}],"templates":[{"name":"plain","parameters":{"service":"portal"}}],` +
	`"workspaces":[{"name":"audit","template":"plain","parameters":{"share":0.5}}]}`

// FuzzDocument holds that an accepted document is JSON, keeps its meaning when
// it is written and read again, and resolves every workspace.
func FuzzDocument(f *testing.F) {
	f.Add([]byte(smallDocument))
	f.Add([]byte(smallDocument + "}"))
	f.Add([]byte(`{"zones":[],"unknown":1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var document, again settings.Document
		if decodeStrict(body, &document) != nil {
			return
		}
		must.True(t, json.Valid(body))
		if document.Validate() != nil {
			return
		}
		encoded, err := json.Marshal(&document)
		must.NoError(t, err)
		must.NoError(t, decodeStrict(encoded, &again))
		must.NoError(t, again.Validate())
		for _, workspace := range document.Workspaces {
			was, ok := document.Resolve(workspace.Name)
			must.True(t, ok)
			must.Positive(t, was.Share)
			is, _ := again.Resolve(workspace.Name)
			must.Eq(t, was, is)
		}
	})
}

// FuzzChange holds that a change that applies leaves a valid document.
func FuzzChange(f *testing.F) {
	f.Add([]byte(`{"id":"1","edits":[{"kind":"set-workspace","workspace":"audit","set":{"share":2}}]}`))
	f.Add([]byte(`{"id":"1","edits":[{"kind":"create-workspace","workspace":"b","template":"plain","set":{}},{"kind":"remove-workspace","workspace":"audit"}]}`))
	f.Add([]byte(`{"id":"1","edits":[{"kind":"set-template","template":"plain","set":{"group_size":0}}]}]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var document settings.Document
		must.NoError(t, decodeStrict([]byte(smallDocument), &document))
		var change settings.Change
		if decodeStrict(body, &change) != nil {
			return
		}
		must.True(t, json.Valid(body))
		after, err := document.Apply(change)
		if err != nil {
			return
		}
		must.NoError(t, after.Validate())
		settings.ChangedWorkspaces(&document, after)
		must.True(t, len(change.Edits) > 0 && settings.Overlap(change, change))
	})
}

// FuzzRollout holds that a request reaches the service only as a whole JSON
// value with a known class and the workspace of its path.
func FuzzRollout(f *testing.F) {
	f.Add([]byte(`{"group":"g","prompt":"p","max_tokens":8}`))
	f.Add([]byte(`{"workspace":"other","class":"draft"} `))
	f.Add([]byte(`{"class":"nobody"}}`))
	asked := &echo{}
	router := httprouter.New()
	(&rollouts{config: config.Default(), rollouts: asked, long: newBreakOff()}).routes(router)
	f.Fuzz(func(t *testing.T, body []byte) {
		asked.asked = contract.RolloutRequest{}
		answer := post(t, router, "/v1/workspaces/audit/rollouts", string(body))
		if answer.Code != http.StatusOK {
			must.Eq(t, http.StatusBadRequest, answer.Code)
			must.Eq(t, "", asked.asked.Workspace)
			return
		}
		must.True(t, json.Valid(body))
		must.Eq(t, "audit", asked.asked.Workspace)
		must.Less(t, structs.ClassCount, int(asked.asked.Class))
	})
}

// stepEcho notes what it was asked and how long it may take.
type stepEcho struct {
	asked contract.StepRequest
	wait  time.Duration
}

func (e *stepEcho) Add(context.Context, []structs.Sample) error { return nil }

func (e *stepEcho) Step(ctx context.Context, request contract.StepRequest) (contract.StepReply, error) {
	e.asked = request
	deadline, _ := ctx.Deadline()
	e.wait = time.Until(deadline)
	return contract.StepReply{Step: request.Step}, nil
}

// everyone lets every caller through.
type everyone struct{ contract.Trust }

func (everyone) Authorize(config.Role, string, time.Time) error { return nil }

// FuzzStep holds that a trainer's wait is bounded.
func FuzzStep(f *testing.F) {
	f.Add("7", "5s", []byte(`{"holds":3}`))
	f.Add("-1", "1h", []byte(`{}`))
	f.Add("18446744073709551616", "-1s", []byte(`{"holds":-3}{}`))
	asked := &stepEcho{}
	router := httprouter.New()
	open := guard{trust: everyone{}, clock: clockwork.NewFakeClock()}
	(&steps{config: config.Default(), steps: asked, long: newBreakOff(), guard: open}).routes(router)
	f.Fuzz(func(t *testing.T, step, wait string, body []byte) {
		*asked = stepEcho{}
		path := "/v1/workspaces/audit/steps/" + url.PathEscape("s" + step)[1:] + "?wait=" + url.QueryEscape(wait)
		answer := post(t, router, path, string(body))
		if answer.Code != http.StatusOK {
			must.Eq(t, "", asked.asked.Workspace)
			return
		}
		must.True(t, json.Valid(body))
		must.LessEq(t, maxStepWait, asked.wait)
	})
}

// FuzzKeyOf holds that an accepted Idempotency-Key is bounded and printable.
func FuzzKeyOf(f *testing.F) {
	f.Add("0190d3a0-0000-7000-8000-000000000000")
	f.Add("")
	f.Add(strings.Repeat("k", maxKeyLength+1))
	f.Add("line\nbreak")
	f.Fuzz(func(t *testing.T, value string) {
		request := httptest.NewRequest(http.MethodPost, "/", nil)
		request.Header[headerIdempotency] = []string{value}
		key, err := keyOf(request)
		if err != nil {
			return
		}
		must.Eq(t, value, key)
		must.Between(t, 1, len(key), maxKeyLength)
		must.Eq(t, -1, strings.IndexFunc(key, func(r rune) bool { return r < ' ' || r > '~' }))
	})
}
