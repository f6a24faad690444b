package front

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/julienschmidt/httprouter"
	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/outside"
)

// fakeJournal responds to each submission with its own body.
type fakeJournal struct{ repeated bool }

func (j *fakeJournal) Submit(_ context.Context, request contract.SubmitRequest) (contract.SubmitReply, error) {
	answer := outside.ServiceResponse{Status: http.StatusCreated, ContentType: "text/plain", Body: request.Body}
	return contract.SubmitReply{Answer: answer, Repeated: j.repeated}, nil
}

func TestSubmissions_Codes(t *testing.T) {
	const limit = 8
	cases := []struct {
		name, body string
		keys       []string
		repeated   bool
		code       result.Code
		status     int
	}{
		{"answered", "claim", []string{"k"}, false, result.OK, http.StatusCreated},
		{"repeated", "claim", []string{"k"}, true, result.Repeated, http.StatusCreated},
		{"no key", "claim", nil, false, result.MissingKey, http.StatusBadRequest},
		{"two keys", "claim", []string{"k", "l"}, false, result.BadRequest, http.StatusBadRequest},
		{"long key", "claim", []string{strings.Repeat("k", maxKeyLength+1)}, false, result.BadRequest, http.StatusBadRequest},
		{"key not printable", "claim", []string{"k\x80"}, false, result.BadRequest, http.StatusBadRequest},
		{"large body", "over the limit", []string{"k"}, false, result.BodyTooLarge, http.StatusRequestEntityTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			router := httprouter.New()
			(&submissionRoutes{maxBody: limit, journal: &fakeJournal{repeated: c.repeated}}).register(router)
			request := httptest.NewRequest(http.MethodPost, "/v1/workspaces/w/service/submissions", strings.NewReader(c.body))
			request.Header[headerIdempotencyKey] = c.keys
			recorder := httptest.NewRecorder()
			router.ServeHTTP(recorder, request)
			must.Eq(t, c.status, recorder.Code)
			must.Eq(t, strconv.Itoa(int(c.code)), recorder.Header().Get(headerCode))
		})
	}
}
