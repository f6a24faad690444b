package gate

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/access"
	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/platform"
)

// forecasters are the forecasts of the services that requests go through.
type forecasters struct {
	dispatch contract.DispatchForecaster
	jobs     contract.JobForecaster
}

var _ contract.RequestForecaster = (*service)(nil)

// Forecast implements contract.RequestForecaster. It takes the steps of serveRoute.
func (s *service) Forecast(ctx context.Context, question contract.RouteQuestion) (contract.RouteExplanation, error) {
	explanation := contract.RouteExplanation{Host: s.config.Host}
	err := s.forecast(ctx, question, &explanation)
	if ctx.Err() != nil {
		return explanation, ctx.Err()
	}
	if err != nil {
		explanation.Refusal = refusalOf(err)
	}
	return explanation, nil
}

// refusalOf returns the refusal that a caller gets for an error.
func refusalOf(err error) *contract.RefusalForecast {
	coded, status, retryAfter := responseTo(err)
	return &contract.RefusalForecast{
		Code: int(coded.Code), Name: coded.Entry().Name, Status: status, Why: coded.Detail, RetryAfterSeconds: retryAfter.Seconds(),
	}
}

func (s *service) forecast(ctx context.Context, question contract.RouteQuestion, explanation *contract.RouteExplanation) error {
	target, err := url.ParseRequestURI(question.Path)
	if err != nil {
		return result.Wrap(result.BadRequest, err)
	}
	current := s.catalog.Current().Load().Catalog
	if current == nil {
		return result.New(result.NoGrant, "no configuration is known yet")
	}
	explanation.ConfigurationVersion = uint64(current.Version)
	route := current.Match(question.Host, target.EscapedPath())
	if isJobPath(target.EscapedPath()) && question.Method != http.MethodPost {
		explanation.Notes = append(explanation.Notes, "if there is a batch job of this ID, its owner answers; that is not looked up")
		if route == nil {
			return nil
		}
	}
	if route == nil {
		return result.New(result.NotFound, "version %d has no route", current.Version)
	}
	explanation.Route = route.Name
	workspace, err := s.namedWorkspace(question.Workspace, route, current)
	if err != nil {
		return err
	}
	if workspace != nil {
		explanation.Workspace = workspace.Name
	}
	if route.Kind == catalog.KindBatch && question.Method == http.MethodPost {
		job := &batch.Job{Host: question.Host, Path: target.EscapedPath(), Model: question.Model, MinVersion: question.MinVersion, Workspace: explanation.Workspace}
		explanation.Notes = append(explanation.Notes, "the bytes of the job are not known: whether there is room for them is not judged")
		return s.forecasts.jobs.ForecastJob(ctx, job, explanation)
	}
	deadline := requestDeadline(time.Now(), platform.RequestHeaders{Timeout: question.Timeout}, route)
	if err := s.checkDrain(route, deadline); err != nil {
		return err
	}
	explanation.Notes = append(explanation.Notes, "quarantine is judged for a request without a body")
	return s.forecasts.dispatch.ForecastForward(ctx, contract.ForwardRequest{
		Route: route, Method: question.Method, Host: question.Host, Target: question.Path, Deadline: deadline, Workspace: workspace,
	}, explanation)
}

// isJobPath reports whether a path has the form of the batch job API.
func isJobPath(path string) bool {
	for _, pattern := range []string{platform.JobPath, platform.ItemPath} {
		id, ok := strings.CutPrefix(path, strings.TrimSuffix(pattern, ":"+platform.ParamID))
		if ok && id != "" && !strings.Contains(id, "/") {
			return true
		}
	}
	return false
}

// namedWorkspace returns what identifyCaller returns for a key of a workspace.
func (s *service) namedWorkspace(name structs.WorkspaceName, route *catalog.Route, current *catalog.Catalog) (*access.Workspace, error) {
	if !needsKey(route, current) {
		return nil, nil
	}
	workspace, ok := current.Access.Named(name)
	if !ok {
		return nil, result.New(result.Unauthorized, "version %d has no workspace %q", current.Version, name)
	}
	if err := s.checkRevocation(s.knowledge.Staleness(platform.OperatorPrefix)); err != nil {
		return nil, err
	}
	return &workspace, nil
}
