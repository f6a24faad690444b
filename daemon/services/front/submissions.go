package front

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	// maxKeyLength is the maximum length of an Idempotency-Key, in bytes.
	maxKeyLength = 128
)

// submissionRoutes has the route of submissions, the non-idempotent requests to
// plain services.
type submissionRoutes struct {
	maxBody int64
	journal contract.Journal
}

func (s *submissionRoutes) provision(ctx *kernel.Context) error {
	daemon, err := kernel.ConfigOf[config.Daemon](ctx)
	if err != nil {
		return err
	}
	s.maxBody = daemon.Limits.MaxBody
	s.journal, err = kernel.Find[contract.Journal](ctx, contract.NameJournal)
	return err
}

func (s *submissionRoutes) register(router *httprouter.Router) {
	router.POST(contract.PathService, s.submit)
}

func (s *submissionRoutes) submit(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	key, err := idempotencyKey(r)
	if err != nil {
		writeError(w, err)
		return
	}
	body, ok := readBody(w, r, s.maxBody)
	if !ok {
		return
	}
	reply, err := s.journal.Submit(r.Context(), contract.SubmitRequest{
		Workspace: structs.WorkspaceName(params.ByName("workspace")),
		Path:      params.ByName("path"),
		Key:       key,
		Body:      body,
	})
	if err != nil {
		writeError(w, err)
		return
	}
	code := result.OK
	if reply.Repeated {
		code = result.Repeated
	}
	writeServiceResponse(w, code, reply.Answer)
}

// idempotencyKey returns the Idempotency-Key of a request. It fails with code
// MissingKey, or BadRequest for several keys, or one that is too long or not
// printable ASCII.
func idempotencyKey(r *http.Request) (string, error) {
	keys := r.Header.Values(headerIdempotencyKey)
	if len(keys) == 0 || keys[0] == "" {
		return "", result.New(result.MissingKey, "")
	}
	if len(keys) > 1 || len(keys[0]) > maxKeyLength {
		return "", result.New(result.BadRequest, "give one Idempotency-Key of at most %d bytes", maxKeyLength)
	}
	for _, c := range []byte(keys[0]) {
		if c < ' ' || c > '~' {
			return "", result.New(result.BadRequest, "the Idempotency-Key is not printable ASCII")
		}
	}
	return keys[0], nil
}
