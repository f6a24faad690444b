package front

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/daemon/transport"
)

// bodyTimeout bounds the time in which a body arrives.
const bodyTimeout = time.Minute

// boundHandler refuses a request for which the daemon has no room.
func boundHandler(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		holding := contract.HoldingOf(r.Context())
		defer holding.End()
		if err := holding.Begin(); err != nil {
			writeError(w, err)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// readBody reads the body of a request up to a limit in bytes. If that fails, it
// writes an error response and returns false.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	holding := contract.HoldingOf(r.Context())
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := transport.ReadPayload(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, holding.Claim)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		holding.Pass()
		return body.Bytes(), true
	case result.CodeOf(err) == result.Overloaded:
		writeError(w, err)
	case holding.Err() != nil:
		writeError(w, holding.Err())
	case errors.As(err, &tooLarge):
		writeError(w, result.New(result.BodyTooLarge, "the limit is %d bytes", tooLarge.Limit))
	default:
		writeError(w, result.Wrap(result.BadRequest, err))
	}
	return nil, false
}

// decodeStrict decodes a single JSON value. It fails on unknown fields and on data
// after the value.
func decodeStrict(body []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("body has data after the JSON value")
	}
	return nil
}

// decode decodes a JSON body of up to limit bytes with decodeStrict. If that fails, it
// writes an error response and returns false.
func decode(w http.ResponseWriter, r *http.Request, limit int64, into any) bool {
	body, ok := readBody(w, r, limit)
	if !ok {
		return false
	}
	if err := decodeStrict(body, into); err != nil {
		writeError(w, result.Wrap(result.BadRequest, err))
		return false
	}
	return true
}
