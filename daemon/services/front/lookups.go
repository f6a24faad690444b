package front

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// queryClass names the class of a request; look-ups are the default.
const queryClass = "class"

// lookups stands before the look-ups on plain services.
type lookups struct{ plain contract.Lookups }

func (l *lookups) provision(ctx *kernel.Context) error {
	var err error
	l.plain, err = kernel.Find[contract.Lookups](ctx, contract.NameLookups)
	return err
}

func (l *lookups) routes(router *httprouter.Router) {
	router.GET(contract.PathService, l.lookup)
}

func (l *lookups) lookup(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	class, err := classOf(r, structs.ClassLookup)
	if err != nil {
		writeError(w, err)
		return
	}
	answer, err := l.plain.Lookup(r.Context(), contract.LookupRequest{
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
