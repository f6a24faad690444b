package front

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/result"
)

// readBody reads the body of a request up to a limit in bytes. If that fails, it
// writes an error response and returns false.
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
