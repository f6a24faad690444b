package engine

import (
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/outside"
	"github.com/flamingobeam/flamingobeam/outside/httpclient"
)

// Paths by which tests and experiments control and inspect the emulator.
const (
	PathFaults  = "/emulate/faults"
	PathStreams = "/emulate/streams"
	PathOrders  = "/emulate/orders"
)

// maxRequestBytes is the largest request body that is read.
const maxRequestBytes = 64 << 20

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

// decodeRequest decodes a JSON body into target. When that fails, it responds
// with status 400 and returns false. A crashed engine aborts the connection.
func (e *Engine) decodeRequest(w http.ResponseWriter, r *http.Request, target any) bool {
	e.mu.Lock()
	crashed := e.crashed
	e.mu.Unlock()
	if crashed {
		panic(http.ErrAbortHandler)
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(target); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// serveGenerate streams the chunks as newline-delimited JSON. A stream that
// fails aborts its connection, so that a client cannot mistake it for a complete
// one.
func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request outside.GenerateRequest
	if !e.decodeRequest(w, r, &request) {
		return
	}
	headerSet := false
	lines, control := json.NewEncoder(w), http.NewResponseController(w)
	err := e.Generate(r.Context(), request, func(chunk outside.Chunk) error {
		if !headerSet {
			w.Header().Set("Content-Type", "application/x-ndjson")
			headerSet = true
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
	if !e.decodeRequest(w, r, &request) {
		return
	}
	e.Cancel(request.ID)
	writeJSON(w, struct{}{})
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if !e.decodeRequest(w, r, &struct{}{}) {
		return
	}
	writeJSON(w, e.Load())
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var order outside.Order
	if !e.decodeRequest(w, r, &order) {
		return
	}
	version, err := e.Order(r.Context(), order)
	switch {
	case err == nil:
		writeJSON(w, httpclient.OrderReply{Version: version})
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
	if !e.decodeRequest(w, r, &faults) {
		return
	}
	e.SetFaults(faults)
	writeJSON(w, struct{}{})
}

func (e *Engine) serveStreams(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, e.Records())
}

func (e *Engine) serveOrders(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, e.Orders())
}
