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
	headerIdempotency = "Idempotency-Key"
	// maxKeyLength bounds an Idempotency-Key, in bytes.
	maxKeyLength = 128
)

// submissions stands before the journal of non-idempotent requests.
type submissions struct {
	maxBody int64
	journal contract.Journal
}

func (s *submissions) provision(ctx *kernel.Context) error {
	daemon, err := kernel.ConfigOf[config.Daemon](ctx)
	if err != nil {
		return err
	}
	s.maxBody = daemon.Limits.MaxBody
	s.journal, err = kernel.Find[contract.Journal](ctx, contract.NameJournal)
	return err
}

func (s *submissions) routes(router *httprouter.Router) {
	router.POST(contract.PathService, s.submit)
}

func (s *submissions) submit(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	key, err := keyOf(r)
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
	writeAnswer(w, code, reply.Answer)
}

// keyOf returns the Idempotency-Key of a request. It fails with code
// MissingKey, or BadRequest for a key that is too long or not printable ASCII.
func keyOf(r *http.Request) (string, error) {
	keys := r.Header.Values(headerIdempotency)
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
