package explain

import (
	"context"
	"net/http"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// serveRoute answers where a request would go. A refusal that the request would get is part
// of the answer and no error of the question.
func (s *service) serveRoute(w http.ResponseWriter, r *http.Request) {
	question, err := contract.ParseRouteQuestion(r.URL.Query())
	if err != nil {
		s.writeError(w, result.Wrap(result.BadRequest, err))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), reportTimeout)
	defer cancel()
	explanation, err := s.requests.Forecast(ctx, question)
	if err != nil {
		s.writeError(w, result.Wrap(result.DueTimePassed, err))
		return
	}
	s.write(w, http.StatusOK, explanation)
}

func (s *service) writeError(w http.ResponseWriter, err *result.Error) {
	entry := err.Entry()
	s.write(w, entry.Status, contract.ErrorBody{
		Code: int(err.Code), Name: entry.Name, Outcome: string(entry.Outcome), Message: err.Error(), Detail: err.Detail,
	})
}
