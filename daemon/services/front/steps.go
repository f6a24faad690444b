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
	// queryWait is how long a trainer waits for a step that is not ready.
	queryWait       = "wait"
	defaultStepWait = 10 * time.Second
	maxStepWait     = 30 * time.Second
)

// steps stands before the steps of trainers.
type steps struct {
	config config.Daemon
	steps  contract.Steps
	long   *breakOff
	guard  guard
}

func (st *steps) provision(ctx *kernel.Context) error {
	var err error
	if st.config, err = kernel.ConfigOf[config.Daemon](ctx); err != nil {
		return err
	}
	if st.steps, err = kernel.Find[contract.Steps](ctx, contract.NameSteps); err != nil {
		return err
	}
	return st.guard.provision(ctx)
}

func (st *steps) routes(router *httprouter.Router) {
	router.POST(contract.PathSteps, st.guard.only(config.RoleTrainer, st.step))
}

func (st *steps) step(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	number, err := strconv.ParseUint(params.ByName("step"), 10, 64)
	if err != nil {
		writeError(w, result.Wrap(result.BadRequest, err))
		return
	}
	wait, err := waitOf(r)
	if err != nil {
		writeError(w, err)
		return
	}
	var body contract.StepBody
	if !decode(w, r, st.config.Limits.MaxBody, &body) {
		return
	}
	ctx, free, err := st.long.bind(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	defer free()
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

// waitOf reads how long a trainer waits, at most maxStepWait.
func waitOf(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get(queryWait)
	if text == "" {
		return defaultStepWait, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 {
		return 0, result.New(result.BadRequest, "the wait %q is not a span", text)
	}
	return min(wait, maxStepWait), nil
}
