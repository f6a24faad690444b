package front

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/result"
)

// readBody reads a request's whole body within a limit in bytes; it answers
// and reports false when it cannot.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, true
	case errors.As(err, &tooLarge):
		writeError(w, result.New(result.BodyTooLarge, "the limit is %d bytes", tooLarge.Limit))
	default:
		writeError(w, result.Wrap(result.BadRequest, err))
	}
	return nil, false
}

// decodeStrict decodes one JSON value and refuses unknown fields and what
// follows the value.
func decodeStrict(body []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one value")
	}
	return nil
}

// decode reads a JSON body strictly, within a limit in bytes; it answers and
// reports false when it cannot.
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
