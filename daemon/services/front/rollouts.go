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

// rollouts stands before the making of samples and Drafts.
type rollouts struct {
	config   config.Daemon
	rollouts contract.Rollouts
	long     *breakOff
}

func (ro *rollouts) provision(ctx *kernel.Context) error {
	var err error
	if ro.config, err = kernel.ConfigOf[config.Daemon](ctx); err != nil {
		return err
	}
	ro.rollouts, err = kernel.Find[contract.Rollouts](ctx, contract.NameRollout)
	return err
}

func (ro *rollouts) routes(router *httprouter.Router) {
	router.POST(contract.PathRollouts, long(ro, structs.ClassRollout, ro.rollouts.Rollout))
	router.POST(contract.PathDrafts, long(ro, structs.ClassDraft, ro.rollouts.Draft))
}

// long reads a request of a class and answers with what produce returns. A
// daemon that stops breaks it off.
func long[T any](ro *rollouts, class structs.Class, produce func(context.Context, contract.RolloutRequest) (T, error)) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		request, ok := ro.read(w, r, params, class)
		if !ok {
			return
		}
		ctx, free, err := ro.long.bind(r.Context())
		if err != nil {
			writeError(w, err)
			return
		}
		defer free()
		made, err := produce(ctx, request)
		if err != nil {
			writeError(w, err)
			return
		}
		writeOK(w, made)
	}
}

// read decodes a request. The path names its workspace, and its class is the
// fallback unless the body names one.
func (ro *rollouts) read(w http.ResponseWriter, r *http.Request, params httprouter.Params, fallback structs.Class) (contract.RolloutRequest, bool) {
	request := contract.RolloutRequest{Class: fallback}
	if !decode(w, r, ro.config.Limits.MaxBody, &request) {
		return request, false
	}
	request.Workspace = structs.WorkspaceName(params.ByName("workspace"))
	return request, true
}
