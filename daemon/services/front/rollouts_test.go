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

// echo answers with what it was asked.
type echo struct{ asked contract.RolloutRequest }

func (e *echo) Rollout(_ context.Context, request contract.RolloutRequest) (contract.RolloutReply, error) {
	e.asked = request
	return contract.RolloutReply{Samples: []structs.Sample{{Group: request.Group}}}, nil
}

func (e *echo) Draft(_ context.Context, request contract.RolloutRequest) (structs.Sample, error) {
	e.asked = request
	return structs.Sample{}, result.New(result.GroupUnfinished, "")
}

func post(t *testing.T, handler http.Handler, path, body string) *httptest.ResponseRecorder {
	t.Helper()
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	return recorder
}

func TestRollouts_PathAndBodyBecomeTheRequest(t *testing.T) {
	asked := &echo{}
	router := httprouter.New()
	(&rollouts{config: config.Default(), rollouts: asked, long: newBreakOff()}).routes(router)

	answer := post(t, router, "/v1/workspaces/audit/rollouts", `{"group":"g","prompt":"p","max_tokens":8}`)
	must.Eq(t, http.StatusOK, answer.Code)
	want := contract.RolloutRequest{Workspace: "audit", Class: structs.ClassRollout, Group: "g", Prompt: "p", MaxTokens: 8}
	must.Eq(t, want, asked.asked)
	var reply contract.RolloutReply
	must.NoError(t, json.Unmarshal(answer.Body.Bytes(), &reply))
	must.Eq(t, "g", reply.Samples[0].Group)

	answer = post(t, router, "/v1/workspaces/audit/drafts", `{"prompt":"p","max_tokens":8}`)
	must.Eq(t, http.StatusGatewayTimeout, answer.Code)
	must.Eq(t, string(result.MayHaveRun), answer.Header().Get(headerOutcome))
	must.Eq(t, structs.ClassDraft, asked.asked.Class)

	answer = post(t, router, "/v1/workspaces/audit/drafts", `{"prompt":"p","class":"nobody"}`)
	must.Eq(t, http.StatusBadRequest, answer.Code)
}
