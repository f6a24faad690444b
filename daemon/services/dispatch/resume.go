package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/resume"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// resumePosition returns the position in a stream that a caller resumes, or the zero
// value for any other request. A stream of unknown origin cannot be resumed.
func (s *service) resumePosition(ctx context.Context, request contract.ForwardRequest) (resume.Position, error) {
	if request.ResumeAfter == 0 {
		return resume.Position{}, nil
	}
	origin, err := s.origins.Lookup(ctx, request.ResumedAttempt)
	if err != nil {
		s.metrics.Count("dispatch.streams_unknown", 1)
		return resume.Position{}, result.New(result.StreamNotResumable, "origin of stream %q: %v", request.ResumedAttempt, err)
	}
	return resume.Position{Last: request.ResumeAfter, Origin: origin}, nil
}

// pickService returns the service of a request: that which began the stream if it resumes
// one, and otherwise one of the route's by their weights.
func pickService(route *catalog.Route, position resume.Position) (structs.ServiceName, error) {
	if position.Last == 0 {
		target, ok := route.PickService(rand.Float64())
		if !ok {
			return "", result.New(result.NoBackend, "route %s has no service", route.Name)
		}
		return target, nil
	}
	service := position.Origin.Service
	if !slices.ContainsFunc(route.Targets, func(target catalog.Target) bool { return target.Service == service }) {
		return "", result.New(result.StreamNotResumable, "route %s no longer leads to service %s", route.Name, service)
	}
	return service, nil
}

// recordTakeUp logs and counts the outcome of resuming a stream.
func (s *service) recordTakeUp(request contract.ForwardRequest, position resume.Position, reply contract.ForwardReply, err error) {
	entry := s.log.WithFields(logrus.Fields{
		"request": request.ID, "stream": request.ResumedAttempt, "after": position.Last, "software": position.Origin.Software,
		"server": reply.Server, "status": reply.Status,
	})
	if err != nil {
		s.metrics.Count("dispatch.streams_not_resumed", 1)
		entry.WithError(err).Info("A stream was not resumed.")
		return
	}
	s.metrics.Count("dispatch.streams_resumed", 1)
	entry.Info("A stream was resumed.")
}

// recordOrigin records where a new stream that a caller may resume begins.
func (s *service) recordOrigin(ctx context.Context, request contract.ForwardRequest, origin resume.Origin, reply contract.ForwardReply) {
	if request.Route.Resumable && request.ResumeAfter == 0 && request.ID != "" && reply.Stream != nil && reply.Status == http.StatusOK {
		s.origins.Record(ctx, request.ID, origin)
	}
}
