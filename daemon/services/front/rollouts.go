package front

import (
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
	router.POST(contract.PathRollouts, ro.rollout)
	router.POST(contract.PathDrafts, ro.draft)
}

func (ro *rollouts) rollout(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	request, ok := ro.read(w, r, params, structs.ClassRollout)
	if !ok {
		return
	}
	ctx, free, err := ro.long.bind(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	defer free()
	reply, err := ro.rollouts.Rollout(ctx, request)
	if err != nil {
		writeError(w, err)
		return
	}
	writeOK(w, reply)
}

func (ro *rollouts) draft(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	request, ok := ro.read(w, r, params, structs.ClassDraft)
	if !ok {
		return
	}
	ctx, free, err := ro.long.bind(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	defer free()
	sample, err := ro.rollouts.Draft(ctx, request)
	if err != nil {
		writeError(w, err)
		return
	}
	writeOK(w, sample)
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
