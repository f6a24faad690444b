package front

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

const (
	// queryWait is the query parameter with the time to wait for a step that is
	// not ready.
	queryWait       = "wait"
	defaultStepWait = 10 * time.Second
	maxStepWait     = 30 * time.Second
)

// stepRoutes has the trainers' route for the samples of a step.
type stepRoutes struct {
	config       config.Daemon
	steps        contract.Steps
	longRequests *longRequests
	auth         authorizer
}

func (st *stepRoutes) provision(ctx *kernel.Context) error {
	var err error
	if st.config, err = kernel.ConfigOf[config.Daemon](ctx); err != nil {
		return err
	}
	if st.steps, err = kernel.Find[contract.Steps](ctx, contract.NameSteps); err != nil {
		return err
	}
	return st.auth.provision(ctx)
}

func (st *stepRoutes) register(router *httprouter.Router) {
	router.POST(contract.PathSteps, st.auth.require(config.RoleTrainer, st.serveStep))
}

func (st *stepRoutes) serveStep(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	number, err := strconv.ParseUint(params.ByName("step"), 10, 64)
	if err != nil {
		writeError(w, result.Wrap(result.BadRequest, err))
		return
	}
	wait, err := parseWait(r)
	if err != nil {
		writeError(w, err)
		return
	}
	var body contract.StepBody
	if !decode(w, r, st.config.Limits.MaxBody, &body) {
		return
	}
	ctx, release, err := st.longRequests.newContext(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	defer release()
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	reply, err := st.steps.Step(ctx, contract.StepRequest{
		Workspace:   structs.WorkspaceName(params.ByName("workspace")),
		Step:        number,
		HeldVersion: body.HeldVersion,
	})
	if err != nil {
		writeError(w, err)
		return
	}
	entry, _ := result.Lookup(result.OK)
	writeJSON(w, entry, reply)
}

// parseWait returns the time to wait for a step, at most maxStepWait.
func parseWait(r *http.Request) (time.Duration, error) {
	value := r.URL.Query().Get(queryWait)
	if value == "" {
		return defaultStepWait, nil
	}
	wait, err := time.ParseDuration(value)
	if err != nil || wait < 0 {
		return 0, result.New(result.BadRequest, "the wait %q is not a span", value)
	}
	return min(wait, maxStepWait), nil
}
