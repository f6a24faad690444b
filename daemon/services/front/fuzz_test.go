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

// FuzzDocument checks that an accepted document is valid JSON, has the same meaning
// after encoding and decoding, and resolves every workspace.
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
			original, ok := document.Resolve(workspace.Name)
			must.True(t, ok)
			must.Positive(t, original.Share)
			reread, _ := again.Resolve(workspace.Name)
			must.Eq(t, original, reread)
		}
	})
}

// FuzzChange checks that an applied change leaves a valid document.
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

// FuzzRollout checks that a request reaches the service only if it is a single JSON
// value with a known class, and that its workspace is that of the path.
func FuzzRollout(f *testing.F) {
	f.Add([]byte(`{"group":"g","prompt":"p","max_tokens":8}`))
	f.Add([]byte(`{"workspace":"other","class":"draft"} `))
	f.Add([]byte(`{"class":"nobody"}}`))
	fake := &fakeRollouts{}
	router := httprouter.New()
	(&rolloutRoutes{config: config.Default(), rollouts: fake, longRequests: newLongRequests()}).register(router)
	f.Fuzz(func(t *testing.T, body []byte) {
		fake.request = contract.RolloutRequest{}
		response := post(t, router, "/v1/workspaces/audit/rollouts", string(body))
		if response.Code != http.StatusOK {
			must.Eq(t, http.StatusBadRequest, response.Code)
			must.Eq(t, "", fake.request.Workspace)
			return
		}
		must.True(t, json.Valid(body))
		must.Eq(t, "audit", fake.request.Workspace)
		must.Less(t, structs.ClassCount, int(fake.request.Class))
	})
}

// fakeSteps records the last request and the time until its deadline.
type fakeSteps struct {
	request contract.StepRequest
	wait    time.Duration
}

func (s *fakeSteps) Add(context.Context, []structs.Sample) error { return nil }

func (s *fakeSteps) Step(ctx context.Context, request contract.StepRequest) (contract.StepReply, error) {
	s.request = request
	deadline, _ := ctx.Deadline()
	s.wait = time.Until(deadline)
	return contract.StepReply{Step: request.Step}, nil
}

// allowAll authorizes every caller.
type allowAll struct{ contract.Trust }

func (allowAll) Authorize(config.Role, string, time.Time) error { return nil }

// FuzzStep checks that the time to wait for a step is at most maxStepWait.
func FuzzStep(f *testing.F) {
	f.Add("7", "5s", []byte(`{"holds":3}`))
	f.Add("-1", "1h", []byte(`{}`))
	f.Add("18446744073709551616", "-1s", []byte(`{"holds":-3}{}`))
	fake := &fakeSteps{}
	router := httprouter.New()
	auth := authorizer{trust: allowAll{}, clock: clockwork.NewFakeClock()}
	(&stepRoutes{config: config.Default(), steps: fake, longRequests: newLongRequests(), auth: auth}).register(router)
	f.Fuzz(func(t *testing.T, step, wait string, body []byte) {
		*fake = fakeSteps{}
		path := "/v1/workspaces/audit/steps/" + url.PathEscape("s" + step)[1:] + "?wait=" + url.QueryEscape(wait)
		response := post(t, router, path, string(body))
		if response.Code != http.StatusOK {
			must.Eq(t, "", fake.request.Workspace)
			return
		}
		must.True(t, json.Valid(body))
		must.LessEq(t, maxStepWait, fake.wait)
	})
}

// FuzzKeyOf checks that an accepted Idempotency-Key is printable ASCII of at most
// maxKeyLength bytes.
func FuzzKeyOf(f *testing.F) {
	f.Add("0190d3a0-0000-7000-8000-000000000000")
	f.Add("")
	f.Add(strings.Repeat("k", maxKeyLength+1))
	f.Add("line\nbreak")
	f.Fuzz(func(t *testing.T, value string) {
		request := httptest.NewRequest(http.MethodPost, "/", nil)
		request.Header[headerIdempotencyKey] = []string{value}
		key, err := idempotencyKey(request)
		if err != nil {
			return
		}
		must.Eq(t, value, key)
		must.Between(t, 1, len(key), maxKeyLength)
		must.Eq(t, -1, strings.IndexFunc(key, func(r rune) bool { return r < ' ' || r > '~' }))
	})
}
