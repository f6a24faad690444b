// Package gate is the service "http.gate", the HTTP front end on a managed platform.
// It serves requests of callers, batch jobs and the load balancer's readiness probes.
package gate

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/flamingobeam/flamingobeam/coord/access"
	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/intake"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/platform"
)

func init() {
	kernel.Register(contract.NameManagedFront, func() kernel.Service { return &service{} })
}

const (
	// jobLookupTimeout bounds the lookup of a batch job whose path an ordinary route
	// takes as well.
	jobLookupTimeout = 500 * time.Millisecond
	// headerTimeout and idleTimeout are longer than the operator's limits, so that
	// the server closes no connection on which a request within these limits is
	// arriving.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes is the maximum size of a request's headers.
	maxHeaderBytes = 64 << 10
)

type service struct {
	kernel.Base
	config  config.Daemon
	catalog contract.Catalog
	// knowledge tells how old the configuration may be.
	knowledge contract.StoreKnowledge
	guard     *kernel.Guard
	table     contract.ServerTable
	dispatch  contract.Dispatch
	jobs      contract.Jobs
	forecasts forecasters
	shutdown  contract.Shutdown
	metrics   contract.Metrics
	intake    contract.Intake
	log       *logrus.Entry
	loop      *kernel.Loop
	workers   *kernel.Workers

	// workspaces counts requests by workspace.
	workspaces workspaceCounts

	callerServer    *http.Server
	readinessServer *http.Server
	goroutines      conc.WaitGroup
	stopping        atomic.Bool
	wasReady        atomic.Bool
	// endRequests cancels drainCtx when the drain of a planned stop ends.
	drainCtx    context.Context
	endRequests context.CancelFunc
}

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	var err error
	if s.config, err = kernel.ConfigOf[config.Daemon](ctx); err != nil {
		return err
	}
	s.log, s.loop, s.workers, s.guard = ctx.Log(), ctx.Loop(), ctx.Workers(), ctx.Guard()
	err = kernel.FindAll(ctx,
		kernel.Bind(&s.catalog, contract.NameCatalog),
		kernel.Bind(&s.knowledge, contract.NameTransactionalStore),
		kernel.Bind(&s.table, contract.NameBalance),
		kernel.Bind(&s.dispatch, contract.NameDispatch),
		kernel.Bind(&s.forecasts.dispatch, contract.NameDispatch),
		kernel.Bind(&s.forecasts.jobs, contract.NameJobs),
		kernel.Bind(&s.jobs, contract.NameJobs),
		kernel.Bind(&s.shutdown, contract.NameShutdown),
		kernel.Bind(&s.metrics, contract.NameMetrics),
		kernel.Bind(&s.intake, contract.NameIntake),
	)
	s.workspaces = workspaceCounts{metrics: s.metrics, counted: make(map[structs.WorkspaceName]bool)}
	return err
}

// Start implements kernel.Service.
func (s *service) Start() error {
	s.drainCtx, s.endRequests = context.WithCancel(context.Background())
	router := httprouter.New()
	// All paths belong to callers, so the router must not clean or redirect them or
	// respond to OPTIONS or other methods itself.
	router.RedirectTrailingSlash, router.RedirectFixedPath = false, false
	router.HandleMethodNotAllowed, router.HandleOPTIONS = false, false
	router.GET(platform.JobPath, s.jobHandler(s.listResults))
	router.DELETE(platform.JobPath, s.jobHandler(s.endJob))
	router.GET(platform.ItemPath, s.jobHandler(s.serveItemBody))
	router.NotFound = http.HandlerFunc(s.serveRoute)
	s.callerServer = &http.Server{
		Handler: s.guardHandler(s.boundHandler(router)), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	probes := httprouter.New()
	probes.GET(platform.ReadinessPath, s.serveReadiness)
	s.readinessServer = &http.Server{Handler: probes, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	if err := s.serve(s.callerServer, intake.DoorCallers, s.config.Listen.Callers); err != nil {
		return err
	}
	return s.serve(s.readinessServer, intake.DoorProbes, s.config.Platform.Readiness)
}

// guardHandler ends a panic of a handler, which costs its request alone: the
// connection is closed, since a part of the response may have been sent. While the
// daemon stops it also closes each connection after its response.
func (s *service) guardHandler(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			value := recover()
			if value == nil {
				return
			}
			if value != http.ErrAbortHandler {
				s.guard.Record("request "+platform.DecodeRequestHeaders(r).AttemptID, value)
			}
			panic(http.ErrAbortHandler)
		}()
		if s.stopping.Load() {
			// The caller's next request needs another daemon. Without this the
			// connection would be closed later, when a request may be on its way.
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

func (s *service) serve(server *http.Server, door intake.Door, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return result.Wrap(result.AddressTaken, err)
	}
	listener = s.intake.Guard(door, listener)
	s.intake.Track(server)
	s.log.WithField("address", address).Info("Listening.")
	s.goroutines.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.log.WithError(err).Error("Listener failed.")
		}
	})
	return nil
}

// serveReadiness responds to the load balancer's probes. The daemon is ready if it has
// loaded the routes and the servers, even while the store is unreachable, and is not
// stopping.
func (s *service) serveReadiness(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	isReady := !s.stopping.Load() && s.catalog.Current().Load().Catalog != nil && s.table.Loaded()
	if s.wasReady.Swap(isReady) != isReady {
		s.log.WithField("ready", isReady).Info("Readiness changed.")
	}
	if !isReady {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// jobHandler wraps a handler of the batch job API. A job outlives its route, so the
// configuration does not decide whether there is one. If a route also takes the path, a
// request that does not concern a job is served as an ordinary one.
func (s *service) jobHandler(handle func(http.ResponseWriter, *http.Request, jobCall)) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		headers := platform.DecodeRequestHeaders(r)
		current := s.catalog.Current().Load().Catalog
		scope, err := s.jobScope(r.Host, headers.Key, current)
		if current != nil && current.Match(r.Host, r.URL.EscapedPath()) != nil && (err != nil || !s.concernsJob(r, scope, params.ByName(platform.ParamID), current)) {
			s.serveRoute(w, r)
			return
		}
		if err != nil {
			s.writeError(w, r, headers, err)
			return
		}
		handle(w, r, jobCall{id: params.ByName(platform.ParamID), headers: headers, scope: scope})
	}
}

// concernsJob reports whether a request of which the path has the form of the batch job
// API is for a job. While the store does not answer, that depends on whether jobs are
// submitted to the host.
func (s *service) concernsJob(r *http.Request, scope access.Scope, id string, current *catalog.Catalog) bool {
	ctx, release := s.withDrain(r.Context())
	defer release()
	ctx, cancel := context.WithTimeout(ctx, jobLookupTimeout)
	defer cancel()
	exists, err := s.jobs.Exists(ctx, scope, id)
	if err != nil {
		return current.HasBatchRoute(r.Host)
	}
	return exists
}

// serveRoute serves a request by its route: it submits a batch job or forwards the
// request to a server.
func (s *service) serveRoute(w http.ResponseWriter, r *http.Request) {
	headers := platform.DecodeRequestHeaders(r)
	current := s.catalog.Current().Load().Catalog
	if current == nil {
		s.writeError(w, r, headers, result.New(result.NoGrant, "no configuration is known yet"))
		return
	}
	route := current.Match(r.Host, r.URL.EscapedPath())
	if route == nil {
		s.writeError(w, r, headers, result.New(result.NotFound, "version %d has no route", current.Version))
		return
	}
	workspace, err := s.identifyCaller(r.Header, headers.Key, route, current)
	if err != nil {
		s.writeError(w, r, headers, err)
		return
	}
	s.workspaces.add(workspace, "asked")
	call := routeCall{headers: headers, route: route, catalog: current, workspace: workspace}
	if route.Kind == catalog.KindBatch && r.Method == http.MethodPost {
		s.submitJob(w, r, call)
		return
	}
	s.forward(w, r, call)
}

// Drain implements kernel.Drainer. It continues to serve until the load balancer has
// detected that this daemon is not ready, and then waits for the requests in flight.
func (s *service) Drain(ctx context.Context) error {
	schedule := s.shutdown.Schedule()
	defer time.AfterFunc(time.Until(schedule.DrainEnd), s.endRequests).Stop()
	s.stopping.Store(true)
	s.jobs.Quiesce()
	s.log.Info("Stopping; no longer ready.")
	ctx, cancel := context.WithDeadline(ctx, schedule.CloseAt)
	defer cancel()
	var requests conc.WaitGroup
	requests.Go(func() { s.awaitRequests(ctx, schedule.UnreadyEnd) })
	waitUntil(ctx, schedule.HandoverAt)
	s.handOverJobs(ctx)
	requests.Wait()
	if ctx.Err() == nil {
		// Submissions that were in flight may have been accepted meanwhile.
		s.handOverJobs(ctx)
	}
	return nil
}

// awaitRequests serves new requests until a time, and then waits until those in flight
// have ended.
func (s *service) awaitRequests(ctx context.Context, unreadyEnd time.Time) {
	waitUntil(ctx, unreadyEnd)
	if err := s.callerServer.Shutdown(ctx); err != nil {
		s.log.WithError(err).Warn("Drain timed out; closing connections in use.")
	}
}

func (s *service) handOverJobs(ctx context.Context) {
	if err := s.jobs.HandOver(ctx); err != nil {
		s.log.WithError(err).Warn("Could not hand over the batch jobs; trying again later.")
	}
}

// waitUntil waits until a time or until ctx is done.
func waitUntil(ctx context.Context, at time.Time) {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Stop implements kernel.Service.
func (s *service) Stop(context.Context) error {
	s.endRequests()
	err := s.callerServer.Close()
	if closeErr := s.readinessServer.Close(); err == nil {
		err = closeErr
	}
	s.goroutines.Wait()
	return err
}
