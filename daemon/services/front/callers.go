package front

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// queryClass names the class of a request; look-ups are the default.
const queryClass = "class"

func (s *service) lookup(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	class, err := classOf(r, structs.ClassLookup)
	if err != nil {
		writeError(w, err)
		return
	}
	answer, err := s.plain.Lookup(r.Context(), contract.LookupRequest{
		Workspace: structs.WorkspaceName(params.ByName("workspace")),
		Class:     class,
		Path:      params.ByName("path"),
	})
	if err != nil {
		writeError(w, err)
		return
	}
	writeAnswer(w, result.OK, answer)
}

func classOf(r *http.Request, fallback structs.Class) (structs.Class, error) {
	name := r.URL.Query().Get(queryClass)
	if name == "" {
		return fallback, nil
	}
	var class structs.Class
	if err := class.UnmarshalText([]byte(name)); err != nil {
		return 0, result.Wrap(result.BadClass, err)
	}
	return class, nil
}
