package front

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/julienschmidt/httprouter"
	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// fakeRollouts records the last request. Rollouts return a sample of the request's
// group, and Drafts fail.
type fakeRollouts struct{ request contract.RolloutRequest }

func (f *fakeRollouts) Rollout(_ context.Context, request contract.RolloutRequest) (contract.RolloutReply, error) {
	f.request = request
	return contract.RolloutReply{Samples: []structs.Sample{{Group: request.Group}}}, nil
}

func (f *fakeRollouts) Draft(_ context.Context, request contract.RolloutRequest) (structs.Sample, error) {
	f.request = request
	return structs.Sample{}, result.New(result.GroupUnfinished, "")
}

func post(t *testing.T, handler http.Handler, path, body string) *httptest.ResponseRecorder {
	t.Helper()
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	return recorder
}

func TestRollouts_RequestDecoding(t *testing.T) {
	fake := &fakeRollouts{}
	router := httprouter.New()
	(&rolloutRoutes{config: config.Default(), rollouts: fake, longRequests: newLongRequests()}).register(router)

	response := post(t, router, "/v1/workspaces/audit/rollouts", `{"group":"g","prompt":"p","max_tokens":8}`)
	must.Eq(t, http.StatusOK, response.Code)
	want := contract.RolloutRequest{Workspace: "audit", Class: structs.ClassRollout, Group: "g", Prompt: "p", MaxTokens: 8}
	must.Eq(t, want, fake.request)
	var reply contract.RolloutReply
	must.NoError(t, json.Unmarshal(response.Body.Bytes(), &reply))
	must.Eq(t, "g", reply.Samples[0].Group)

	response = post(t, router, "/v1/workspaces/audit/drafts", `{"prompt":"p","max_tokens":8}`)
	must.Eq(t, http.StatusGatewayTimeout, response.Code)
	must.Eq(t, string(result.MayHaveRun), response.Header().Get(headerOutcome))
	must.Eq(t, structs.ClassDraft, fake.request.Class)

	response = post(t, router, "/v1/workspaces/audit/drafts", `{"prompt":"p","class":"nobody"}`)
	must.Eq(t, http.StatusBadRequest, response.Code)
}
