package gate

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/daemon/transport"
	"github.com/flamingobeam/flamingobeam/platform"
)

// boundHandler refuses a request for which the daemon has no room.
func (s *service) boundHandler(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		holding := contract.HoldingOf(r.Context())
		defer holding.End()
		if err := holding.Begin(); err != nil {
			s.refuseUnread(w, r, platform.DecodeRequestHeaders(r), err)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// unreadTimeout is how long the rest of a body that is not used may still arrive. A
// connection that is closed while the client sends is reset, and the response may be lost.
const unreadTimeout = 500 * time.Millisecond

// refuseUnread refuses a request whose body has not been read to its end, and closes its
// connection, as the client may never send the rest.
func (s *service) refuseUnread(w http.ResponseWriter, r *http.Request, headers platform.RequestHeaders, err error) {
	if r.Body != http.NoBody {
		w.Header().Set("Connection", "close")
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadTimeout))
	}
	s.writeError(w, r, headers, err)
}

// readBody reads the body of a request until a deadline. It fails with code BodyTooLarge
// if the body exceeds maxBytes or, if that is zero, the operator's limit; with code
// DueTimePassed if it has not arrived by the deadline, with code Overloaded if there is no
// room for it, and with code Stopping if it has not arrived when requests in flight are
// ended at a planned stop. Nothing of the request has run in any of these cases.
func (s *service) readBody(w http.ResponseWriter, r *http.Request, maxBytes int64, deadline time.Time) (structs.Payload, error) {
	if r.Body == http.NoBody {
		return nil, nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(deadline)
	defer context.AfterFunc(s.drainCtx, func() { _ = control.SetReadDeadline(time.Now()) })()
	holding := contract.HoldingOf(r.Context())
	limited := http.MaxBytesReader(w, r.Body, maxBytes)
	var body structs.Payload
	var err error
	if r.ContentLength > maxBytes {
		// The client has to get the response, after which it does not try again.
		_, err = io.Copy(io.Discard, limited)
	} else {
		body, err = transport.ReadPayload(limited, r.ContentLength, holding.Claim)
	}
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, result.New(result.BodyTooLarge, "over %d bytes", maxBytes)
	case result.CodeOf(err) == result.Overloaded:
		return nil, err
	case holding.Err() != nil:
		return nil, holding.Err()
	case s.drainCtx.Err() != nil:
		return nil, result.New(result.Stopping, "its body has not arrived: %v", err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, result.New(result.DueTimePassed, "its body has not arrived")
	}
	return nil, result.Wrap(result.BadRequest, err)
}

// maxBodyBytes returns the operator's limit of a body.
func maxBodyBytes(limits catalog.Limits) int64 {
	if limits.BodyBytes <= 0 {
		return defaultMaxBodyBytes
	}
	return limits.BodyBytes
}

const (
	// itemBytes is the memory of a decoded item of a batch job besides its text, of its
	// headers and of its reward call, each of which is an object of the job's JSON.
	itemBytes = 512
	// jobCopies is how often the text of a job is held while it is submitted: decoded, and
	// encoded for another daemon and for the store, which takes a third more.
	jobCopies = 6
	// resultCopies is how often the text of results is held: read, encoded by itself and
	// in its page.
	resultCopies = 3
)

// jobBytes returns the memory that it takes to decode and submit a job, in bytes. A brace
// in a text counts as an object too.
func jobBytes(source []byte) int64 {
	return int64(jobCopies*len(source) + itemBytes*bytes.Count(source, []byte{'{'}))
}

// resultsBytes returns the memory of a page of results while it is encoded and written.
func resultsBytes(results []batch.Result) int64 {
	length := 0
	for _, r := range results {
		length += len(r.Output)
	}
	return int64(resultCopies * length)
}
