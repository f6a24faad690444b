package front

import (
	"context"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// rolloutRoutes has the routes of rollouts and Drafts.
type rolloutRoutes struct {
	config       config.Daemon
	rollouts     contract.Rollouts
	longRequests *longRequests
}

func (ro *rolloutRoutes) provision(ctx *kernel.Context) error {
	var err error
	if ro.config, err = kernel.ConfigOf[config.Daemon](ctx); err != nil {
		return err
	}
	ro.rollouts, err = kernel.Find[contract.Rollouts](ctx, contract.NameRollout)
	return err
}

func (ro *rolloutRoutes) register(router *httprouter.Router) {
	router.POST(contract.PathRollouts, longHandler(ro, structs.ClassRollout, ro.rollouts.Rollout))
	router.POST(contract.PathDrafts, longHandler(ro, structs.ClassDraft, ro.rollouts.Draft))
}

// longHandler decodes a request and responds with the result of generate. A daemon
// that is stopping cancels the request.
func longHandler[T any](ro *rolloutRoutes, class structs.Class, generate func(context.Context, contract.RolloutRequest) (T, error)) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		request, ok := ro.decodeRequest(w, r, params, class)
		if !ok {
			return
		}
		ctx, release, err := ro.longRequests.newContext(r.Context())
		if err != nil {
			writeError(w, err)
			return
		}
		defer release()
		reply, err := generate(ctx, request)
		if err != nil {
			writeError(w, err)
			return
		}
		writeOK(w, reply)
	}
}

// decodeRequest decodes a request. The workspace comes from the path, and the class
// is defaultClass unless the body has one.
func (ro *rolloutRoutes) decodeRequest(w http.ResponseWriter, r *http.Request, params httprouter.Params, defaultClass structs.Class) (contract.RolloutRequest, bool) {
	request := contract.RolloutRequest{Class: defaultClass}
	if !decode(w, r, ro.config.Limits.MaxBody, &request) {
		return request, false
	}
	request.Workspace = structs.WorkspaceName(params.ByName("workspace"))
	return request, true
}
