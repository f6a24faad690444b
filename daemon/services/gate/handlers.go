package gate

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/platform"
)

const (
	// defaultPatience holds for a caller that does not say how long it waits.
	defaultPatience = 30 * time.Second
	// defaultBody bounds a body where the operator sets no limit, in bytes.
	defaultBody = 32 << 20
	// comeBack is when a refused caller may try again: a server that was full
	// has room again after a request or two.
	comeBack = 250 * time.Millisecond
	// longestWait bounds the wait of a read of results for news.
	longestWait = 2 * time.Second
	// acceptWithin is how long a submission may wait for the store.
	acceptWithin = 4 * time.Second
	// answerSlack is kept back from the caller's patience for the way back.
	answerSlack = 30 * time.Millisecond
	// jsonType is the type of bodies of our own.
	jsonType = "application/json"
)

// refuse answers with an error of our own.
func (s *service) refuse(w http.ResponseWriter, r *http.Request, asked platform.RequestHeaders, err error) {
	var coded *result.Error
	if !errors.As(err, &coded) {
		coded = result.Wrap(result.OutcomeUnknown, err)
	}
	entry := coded.Entry()
	status := entry.Status
	after := coded.RetryAfter
	if entry.Outcome == result.NotRun && status >= http.StatusInternalServerError {
		status = http.StatusServiceUnavailable
	}
	if entry.Outcome == result.MayHaveRun && status != http.StatusGatewayTimeout {
		status = http.StatusBadGateway
	}
	if after == 0 && status == http.StatusServiceUnavailable {
		after = comeBack
	}
	s.metrics.Count("gate.refused."+entry.Name, 1)
	s.log.WithFields(logrus.Fields{
		"request": asked.AttemptID, "host": r.Host, "path": r.URL.Path, "code": int(coded.Code), "status": status,
		"outcome": entry.Outcome, "why": coded.Detail,
	}).Info("A request was not answered by a server.")
	platform.SetResponseHeaders(w.Header(), asked.AttemptID, after)
	w.Header().Set("Content-Type", jsonType)
	w.WriteHeader(status)
	if _, err := io.WriteString(w, `{"code":`+strconv.Itoa(int(coded.Code))+`}`); err != nil {
		s.log.WithError(err).WithField("request", asked.AttemptID).Debug("A refusal did not reach its caller.")
	}
}

// readBody reads a whole body within the operator's limit.
func readBody(w http.ResponseWriter, r *http.Request, limits catalog.Limits) ([]byte, error) {
	most := limits.BodyBytes
	if most <= 0 {
		most = defaultBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, result.New(result.BodyTooLarge, "over %d bytes", most)
	}
	if err != nil {
		return nil, result.Wrap(result.BadRequest, err)
	}
	return body, nil
}

// dueOf is when a request must be answered: before its caller gives up and
// within the route's timeout.
func dueOf(started time.Time, asked platform.RequestHeaders, route *catalog.Route) time.Time {
	patience := asked.Timeout
	if patience == 0 {
		patience = defaultPatience
	}
	if route.Timeout > 0 {
		patience = min(patience, route.Timeout)
	}
	return started.Add(patience)
}

// forward sends a request to a server and passes the answer on.
func (s *service) forward(w http.ResponseWriter, r *http.Request, asked platform.RequestHeaders, route *catalog.Route, current *catalog.Catalog) {
	started := time.Now()
	body, err := readBody(w, r, current.Limits)
	if err != nil {
		s.refuse(w, r, asked, err)
		return
	}
	due := dueOf(started, asked, route)
	ctx, cancel := context.WithDeadline(r.Context(), due)
	defer cancel()
	forwarded, err := s.dispatch.Forward(ctx, contract.ForwardRequest{
		Route: route, ID: asked.AttemptID, Method: r.Method, Host: r.Host, Target: r.RequestURI,
		Header: r.Header, Body: body, Deadline: due,
	})
	if err != nil {
		if ctx.Err() != nil && result.OutcomeOf(err) == result.MayHaveRun {
			err = result.New(result.GroupUnfinished, "no answer in %v", time.Since(started))
		}
		s.refuse(w, r, asked, err)
		return
	}
	s.metrics.Time("gate.answered", time.Since(started))
	s.log.WithFields(logrus.Fields{
		"request": asked.AttemptID, "route": route.Name, "configuration": current.Version, "server": forwarded.Server,
		"servers_asked": forwarded.Attempts, "status": forwarded.Status, "ms": time.Since(started).Milliseconds(),
	}).Info("A request was answered.")
	platform.CopyResponseHeaders(w.Header(), forwarded.Header)
	if forwarded.Stream != nil {
		s.stream(w, asked, forwarded)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(forwarded.Body)))
	w.WriteHeader(forwarded.Status)
	if _, err := w.Write(forwarded.Body); err != nil {
		s.log.WithError(err).WithField("request", asked.AttemptID).Info("An answer did not reach its caller.")
	}
}

// streamBuffer is the size of the pieces in which a stream is passed on.
const streamBuffer = 16 << 10

// stream passes an answer on as it comes. One that breaks off is broken off
// towards the caller too, so that it does not look complete.
func (s *service) stream(w http.ResponseWriter, asked platform.RequestHeaders, forwarded contract.ForwardReply) {
	defer forwarded.Stream.Body.Close()
	if length := forwarded.Stream.ContentLength; length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(forwarded.Status)
	control := http.NewResponseController(w)
	buffer := make([]byte, streamBuffer)
	for {
		count, err := forwarded.Stream.Body.Read(buffer)
		if count > 0 {
			if _, err := w.Write(buffer[:count]); err != nil {
				return
			}
			if err := control.Flush(); err != nil {
				return
			}
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			s.log.WithError(err).WithField("request", asked.AttemptID).Info("A stream broke off.")
			panic(http.ErrAbortHandler)
		}
	}
}

// submit accepts a batch job.
func (s *service) submit(w http.ResponseWriter, r *http.Request, asked platform.RequestHeaders, route *catalog.Route, current *catalog.Catalog) {
	started := time.Now()
	body, err := readBody(w, r, current.Limits)
	if err != nil {
		s.refuse(w, r, asked, err)
		return
	}
	job, err := platform.DecodeJob(asked.AttemptID, r.Host, r.URL.EscapedPath(), body)
	if err != nil {
		s.refuse(w, r, asked, result.Wrap(result.BadRequest, err))
		return
	}
	patience := acceptWithin
	if asked.Timeout > 0 {
		patience = min(patience, asked.Timeout-answerSlack)
	}
	// The caller may leave; what was begun for it is followed up all the same.
	ctx, cancel := context.WithTimeout(r.Context(), patience)
	defer cancel()
	err = s.jobs.Submit(ctx, job, body)
	s.metrics.Time("gate.submit", time.Since(started))
	if err != nil {
		s.refuse(w, r, asked, err)
		return
	}
	platform.SetResponseHeaders(w.Header(), asked.AttemptID, 0)
	w.WriteHeader(http.StatusAccepted)
}

// results lists the results of a batch job.
func (s *service) results(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	asked := platform.DecodeRequestHeaders(r)
	after, err := strconv.Atoi(r.URL.Query().Get(platform.QueryAfter))
	if err != nil || after < 0 {
		after = 0
	}
	id := params.ByName(platform.ParamID)
	reply, err := s.jobs.Results(r.Context(), contract.ResultsRequest{ID: id, After: after, Wait: min(asked.Wait, longestWait)})
	if err != nil {
		s.refuse(w, r, asked, err)
		return
	}
	encoded, err := platform.EncodeResults(reply.Total, after, reply.Results)
	if err != nil {
		s.refuse(w, r, asked, result.Wrap(result.StoreUnavailable, err))
		return
	}
	s.write(w, jsonType, encoded)
}

func (s *service) write(w http.ResponseWriter, kind string, body []byte) {
	w.Header().Set("Content-Type", kind)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if _, err := w.Write(body); err != nil {
		s.log.WithError(err).Debug("An answer did not reach its caller.")
	}
}

// body returns the body of an item.
func (s *service) body(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	item := batch.ItemID(r.URL.Query().Get(platform.QueryItem))
	body, err := s.jobs.ItemBody(r.Context(), params.ByName(platform.ParamID), item)
	if err != nil {
		s.refuse(w, r, platform.DecodeRequestHeaders(r), err)
		return
	}
	s.write(w, "application/octet-stream", body)
}

// end ends a batch job.
func (s *service) end(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	ctx, cancel := context.WithTimeout(r.Context(), acceptWithin)
	defer cancel()
	if err := s.jobs.End(ctx, params.ByName(platform.ParamID)); err != nil {
		s.refuse(w, r, platform.DecodeRequestHeaders(r), err)
		return
	}
	w.WriteHeader(http.StatusOK)
}
