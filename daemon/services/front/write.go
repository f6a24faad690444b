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
	headerCode    = "Flamingobeam-Code"
	headerOutcome = "Flamingobeam-Outcome"
	headerType    = "Content-Type"
	headerLength  = "Content-Length"
	headerRetry   = "Retry-After"
	typeJSON      = "application/json"
	// minRetryAfter is the least that a caller that was refused for load is
	// told.
	minRetryAfter = time.Second
)

// writeError answers with the code of an error.
func writeError(w http.ResponseWriter, err error) {
	coded := &result.Error{Code: result.CodeOf(err)}
	if !errors.As(err, &coded) {
		coded.Detail = err.Error()
	}
	entry := coded.Entry()
	if entry.Status == http.StatusTooManyRequests || entry.Status == http.StatusServiceUnavailable {
		w.Header().Set(headerRetry, retryAfter(coded.RetryAfter))
	}
	writeJSON(w, entry, contract.ErrorBody{
		Code: int(entry.Code), Name: entry.Name, Outcome: string(entry.Outcome), Message: coded.Error(), Detail: coded.Detail,
	})
}

// retryAfter writes a time as whole seconds, rounded up.
func retryAfter(span time.Duration) string {
	return strconv.Itoa(int(math.Ceil(max(span, minRetryAfter).Seconds())))
}

// writeJSON answers with a whole JSON body and its length.
func writeJSON(w http.ResponseWriter, entry result.Entry, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeBody(w, entry, entry.Status, typeJSON, encoded)
}

// writeAnswer relays a backend server's answer with its status and length.
func writeAnswer(w http.ResponseWriter, code result.Code, answer outside.ServiceResponse) {
	entry, _ := result.Lookup(code)
	writeBody(w, entry, answer.Status, answer.ContentType, answer.Body)
}

func writeBody(w http.ResponseWriter, entry result.Entry, status int, contentType string, body []byte) {
	header := w.Header()
	header.Set(headerCode, strconv.Itoa(int(entry.Code)))
	header.Set(headerOutcome, string(entry.Outcome))
	header.Set(headerType, contentType)
	header.Set(headerLength, strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
