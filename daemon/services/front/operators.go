package front

import (
	"net/http"
	"slices"

	"github.com/julienschmidt/httprouter"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// queryDocument asks for the whole document with the status.
const queryDocument = "document"

func (s *service) status(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	view, standing := s.settings.View().Load(), s.zone.Standing().Load()
	status := contract.Status{
		Host:      s.config.Host,
		Place:     s.config.Place,
		Revision:  view.Revision,
		Collector: standing.Collector,
		Term:      standing.Term,
		Collects:  standing.Collects,
		Granted:   s.clock.Now().Before(view.GrantEnds),
	}
	for workspace := range view.InDoubt {
		status.InDoubt = append(status.InDoubt, string(workspace))
	}
	slices.Sort(status.InDoubt)
	for _, member := range standing.Roster {
		status.Roster = append(status.Roster, member.Host)
	}
	if r.URL.Query().Has(queryDocument) {
		status.Document = view.Document
	}
	writeOK(w, status)
}

func (s *service) create(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var document settings.Document
	if !s.decode(w, r, &document) {
		return
	}
	if err := s.operator.Create(r.Context(), &document); err != nil {
		writeError(w, err)
		return
	}
	writeOK(w, struct{}{})
}

func (s *service) apply(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var change settings.Change
	if !s.decode(w, r, &change) {
		return
	}
	outcome, err := s.operator.Apply(r.Context(), change)
	if err != nil {
		writeError(w, err)
		return
	}
	writeOK(w, outcome)
}

func (s *service) suspend(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var suspension contract.Suspension
	if !s.decode(w, r, &suspension) {
		return
	}
	if err := s.operator.Suspend(r.Context(), suspension.Zone, suspension.Stopped); err != nil {
		writeError(w, err)
		return
	}
	writeOK(w, suspension)
}

// decode reads a JSON body strictly; it answers and reports false when it
// cannot.
func (s *service) decode(w http.ResponseWriter, r *http.Request, into any) bool {
	body, ok := s.body(w, r)
	if !ok {
		return false
	}
	if err := decodeStrict(body, into); err != nil {
		writeError(w, result.Wrap(result.BadRequest, err))
		return false
	}
	return true
}

func writeOK(w http.ResponseWriter, body any) {
	entry, _ := result.Lookup(result.OK)
	writeJSON(w, entry, body)
}
