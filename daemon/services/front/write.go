package front

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/outside"
)

const (
	headerCode          = "Flamingobeam-Code"
	headerOutcome       = "Flamingobeam-Outcome"
	headerContentType   = "Content-Type"
	headerContentLength = "Content-Length"
	headerRetryAfter    = "Retry-After"
	contentTypeJSON     = "application/json"
	// minRetryAfter is the lower bound of the Retry-After header.
	minRetryAfter = time.Second
)

// writeError responds with the code, outcome and HTTP status of an error.
func writeError(w http.ResponseWriter, err error) {
	coded := &result.Error{Code: result.CodeOf(err)}
	if !errors.As(err, &coded) {
		coded.Detail = err.Error()
	}
	entry := coded.Entry()
	if entry.Status == http.StatusTooManyRequests || entry.Status == http.StatusServiceUnavailable {
		w.Header().Set(headerRetryAfter, formatRetryAfter(coded.RetryAfter))
	}
	writeJSON(w, entry, contract.ErrorBody{
		Code: int(entry.Code), Name: entry.Name, Outcome: string(entry.Outcome), Message: coded.Error(), Detail: coded.Detail,
	})
}

// formatRetryAfter formats a delay in whole seconds, rounded up.
func formatRetryAfter(delay time.Duration) string {
	return strconv.Itoa(int(math.Ceil(max(delay, minRetryAfter).Seconds())))
}

// writeJSON responds with a JSON body.
func writeJSON(w http.ResponseWriter, entry result.Entry, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeBody(w, entry, entry.Status, contentTypeJSON, encoded)
}

// writeServiceResponse relays the response of a plain service.
func writeServiceResponse(w http.ResponseWriter, code result.Code, response outside.ServiceResponse) {
	entry, _ := result.Lookup(code)
	writeBody(w, entry, response.Status, response.ContentType, response.Body)
}

func writeBody(w http.ResponseWriter, entry result.Entry, status int, contentType string, body []byte) {
	header := w.Header()
	header.Set(headerCode, strconv.Itoa(int(entry.Code)))
	header.Set(headerOutcome, string(entry.Outcome))
	header.Set(headerContentType, contentType)
	header.Set(headerContentLength, strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
