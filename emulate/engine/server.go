package engine

import (
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/outside"
	"github.com/flamingobeam/flamingobeam/outside/httpclient"
)

// Paths by which experiments steer the stand-in.
const (
	PathFaults  = "/emulate/faults"
	PathStreams = "/emulate/streams"
	PathOrders  = "/emulate/orders"
)

// maxRequest is the largest request body, in bytes.
const maxRequest = 64 << 20

// Handler serves the engine over HTTP.
func (e *Engine) Handler() http.Handler {
	router := httprouter.New()
	router.POST(httpclient.PathGenerate, e.serveGenerate)
	router.POST(httpclient.PathCancel, e.serveCancel)
	router.POST(httpclient.PathLoad, e.serveLoad)
	router.POST(httpclient.PathOrder, e.serveOrder)
	router.POST(PathFaults, e.serveFaults)
	router.GET(PathStreams, e.serveStreams)
	router.GET(PathOrders, e.serveOrders)
	return router
}

// decode reads a JSON body; it answers and reports false when it cannot. A
// crashed engine cuts the connection.
func (e *Engine) decode(w http.ResponseWriter, r *http.Request, into any) bool {
	e.mu.Lock()
	crashed := e.crashed
	e.mu.Unlock()
	if crashed {
		panic(http.ErrAbortHandler)
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequest)).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// serveGenerate streams a line of JSON for each chunk. A stream that breaks
// ends its connection, so that it cannot be taken for a whole one.
func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var generation outside.GenerateRequest
	if !e.decode(w, r, &generation) {
		return
	}
	begun := false
	lines, control := json.NewEncoder(w), http.NewResponseController(w)
	err := e.Generate(r.Context(), generation, func(chunk outside.Chunk) error {
		if !begun {
			w.Header().Set("Content-Type", "application/x-ndjson")
			begun = true
		}
		if err := lines.Encode(chunk); err != nil {
			return err
		}
		return control.Flush()
	})
	switch {
	case err == nil:
	case errors.Is(err, ErrLeaving):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case errors.Is(err, ErrBadGeneration):
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request httpclient.CancelRequest
	if !e.decode(w, r, &request) {
		return
	}
	e.Cancel(request.ID)
	reply(w, struct{}{})
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if !e.decode(w, r, &struct{}{}) {
		return
	}
	reply(w, e.Load())
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var order outside.Order
	if !e.decode(w, r, &order) {
		return
	}
	version, err := e.Order(r.Context(), order)
	switch {
	case err == nil:
		reply(w, httpclient.OrderReply{Version: version})
	case errors.Is(err, outside.ErrFenced):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case errors.Is(err, ErrHalfSwapped):
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var faults Faults
	if !e.decode(w, r, &faults) {
		return
	}
	e.SetFaults(faults)
	reply(w, struct{}{})
}

func (e *Engine) serveStreams(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	reply(w, e.Records())
}

func (e *Engine) serveOrders(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	reply(w, e.Orders())
}
