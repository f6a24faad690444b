package front

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// queryClass is the query parameter with the class of a lookup. The default is
// ClassLookup.
const queryClass = "class"

// lookupRoutes has the route of lookups on plain services.
type lookupRoutes struct{ lookups contract.Lookups }

func (l *lookupRoutes) provision(ctx *kernel.Context) error {
	var err error
	l.lookups, err = kernel.Find[contract.Lookups](ctx, contract.NameLookups)
	return err
}

func (l *lookupRoutes) register(router *httprouter.Router) {
	router.GET(contract.PathService, l.lookup)
}

func (l *lookupRoutes) lookup(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	class, err := requestClass(r, structs.ClassLookup)
	if err != nil {
		writeError(w, err)
		return
	}
	response, err := l.lookups.Lookup(r.Context(), contract.LookupRequest{
		Workspace: structs.WorkspaceName(params.ByName("workspace")),
		Class:     class,
		Path:      params.ByName("path"),
	})
	if err != nil {
		writeError(w, err)
		return
	}
	writeServiceResponse(w, result.OK, response)
}

func requestClass(r *http.Request, defaultClass structs.Class) (structs.Class, error) {
	name := r.URL.Query().Get(queryClass)
	if name == "" {
		return defaultClass, nil
	}
	var class structs.Class
	if err := class.UnmarshalText([]byte(name)); err != nil {
		return 0, result.Wrap(result.BadClass, err)
	}
	return class, nil
}
