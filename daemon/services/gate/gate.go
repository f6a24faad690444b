// Package gate is the service "http.gate": the HTTP front end on a managed
// platform, for callers' requests, batch jobs and the balancer's probes.
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

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/platform"
)

func init() {
	kernel.Register(contract.NameManagedFront, func() kernel.Service { return &service{} })
}

const (
	// unreadyFor is how long a daemon that stops serves on before it takes no
	// new connections: the balancer asks once a second and wants two misses.
	unreadyFor = 3 * time.Second
	// drainWithin is how long requests in flight may take after that.
	drainWithin = 2800 * time.Millisecond
	// headerTimeout and idleTimeout are longer than the operator's limits, so
	// that no request of a caller within them crosses a close.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// headerBytes bounds the headers of a request.
	headerBytes = 64 << 10
)

type service struct {
	kernel.Base
	config   config.Daemon
	catalog  contract.Catalog
	servers  contract.Servers
	dispatch contract.Dispatch
	jobs     contract.Jobs
	metrics  contract.Metrics
	log      *logrus.Entry
	loop     *kernel.Loop
	workers  *kernel.Workers

	callers   *http.Server
	readiness *http.Server
	group     conc.WaitGroup
	stopping  atomic.Bool
	wasReady  atomic.Bool
}

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	var err error
	if s.config, err = kernel.ConfigOf[config.Daemon](ctx); err != nil {
		return err
	}
	s.log, s.loop, s.workers = ctx.Log(), ctx.Loop(), ctx.Workers()
	return kernel.FindAll(ctx,
		kernel.Bind(&s.catalog, contract.NameCatalog),
		kernel.Bind(&s.servers, contract.NameServers),
		kernel.Bind(&s.dispatch, contract.NameDispatch),
		kernel.Bind(&s.jobs, contract.NameJobs),
		kernel.Bind(&s.metrics, contract.NameMetrics),
	)
}

// Start implements kernel.Service.
func (s *service) Start() error {
	router := httprouter.New()
	// Paths belong to the callers: none is cleaned, redirected or answered for.
	router.RedirectTrailingSlash, router.RedirectFixedPath = false, false
	router.HandleMethodNotAllowed, router.HandleOPTIONS = false, false
	router.GET(platform.JobPath, s.owned(s.results))
	router.DELETE(platform.JobPath, s.owned(s.end))
	router.GET(platform.ItemPath, s.owned(s.body))
	router.NotFound = http.HandlerFunc(s.request)
	s.callers = &http.Server{
		Handler: router, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
	}
	probes := httprouter.New()
	probes.GET(platform.ReadinessPath, s.ready)
	s.readiness = &http.Server{Handler: probes, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	if err := s.serve(s.callers, s.config.Listen.Callers); err != nil {
		return err
	}
	return s.serve(s.readiness, s.config.Platform.Readiness)
}

func (s *service) serve(server *http.Server, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return result.Wrap(result.AddressTaken, err)
	}
	s.log.WithField("address", address).Info("Listening.")
	s.group.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.log.WithError(err).Error("The listener has ended.")
		}
	})
	return nil
}

// ready answers the balancer: this daemon is ready once it knows the routes and
// the servers, also while the store is away, and not once it stops.
func (s *service) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	isReady := !s.stopping.Load() && s.catalog.Current().Load().Catalog != nil && s.servers.Entries().Load().Loaded
	if s.wasReady.Swap(isReady) != isReady {
		s.log.WithField("ready", isReady).Info("The readiness has changed.")
	}
	if !isReady {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// owned serves a call about a batch job if its host has a route and its path
// is no route of its own.
func (s *service) owned(handle httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		current := s.catalog.Current().Load().Catalog
		if current != nil && (!current.HasHost(r.Host) || current.Match(r.Host, r.URL.Path) != nil) {
			s.request(w, r)
			return
		}
		handle(w, r, params)
	}
}

// request serves everything that has a route.
func (s *service) request(w http.ResponseWriter, r *http.Request) {
	asked := platform.DecodeRequestHeaders(r)
	current := s.catalog.Current().Load().Catalog
	if current == nil {
		s.refuse(w, r, asked, result.New(result.NoGrant, "no configuration is known yet"))
		return
	}
	route := current.Match(r.Host, r.URL.EscapedPath())
	switch {
	case route == nil:
		s.refuse(w, r, asked, result.New(result.NotFound, "version %d has no route", current.Version))
	case route.Kind == catalog.KindBatch && r.Method == http.MethodPost:
		s.submit(w, r, asked, route, current)
	default:
		s.forward(w, r, asked, route, current)
	}
}

// Stop implements kernel.Service. It serves on until the balancer has seen that
// this daemon is not ready, then lets the requests in flight end.
func (s *service) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	s.jobs.Quiesce()
	s.log.Info("Not ready any more.")
	select {
	case <-time.After(unreadyFor):
	case <-ctx.Done():
	}
	ctx, cancel := context.WithTimeout(ctx, drainWithin)
	defer cancel()
	err := s.callers.Shutdown(ctx)
	if err != nil {
		s.log.WithError(err).Warn("Requests in flight were cut off.")
		err = s.callers.Close()
	}
	if closeErr := s.readiness.Close(); err == nil {
		err = closeErr
	}
	s.group.Wait()
	return err
}
