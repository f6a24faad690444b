// Package front is the service "http.front", the HTTP API for callers, trainers and
// operators. It translates between HTTP and the daemon's other services, which make
// all decisions.
package front

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/julienschmidt/httprouter"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/flamingobeam/flamingobeam/coord/intake"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

func init() {
	kernel.Register(contract.NameFront, func() kernel.Service { return &service{} })
}

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = time.Minute
)

// routeGroup is a set of HTTP routes for one subject.
type routeGroup interface {
	// provision finds the services that the routes use.
	provision(ctx *kernel.Context) error
	// register adds the routes to a router.
	register(router *httprouter.Router)
}

type service struct {
	kernel.Base
	config       config.Daemon
	log          *logrus.Entry
	clock        clockwork.Clock
	trust        contract.Trust
	intake       contract.Intake
	routeGroups  []routeGroup
	server       *http.Server
	goroutines   conc.WaitGroup
	draining     atomic.Bool
	longRequests *longRequests
}

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	var err error
	if s.config, err = kernel.ConfigOf[config.Daemon](ctx); err != nil {
		return err
	}
	if s.trust, err = kernel.Find[contract.Trust](ctx, contract.NameTrust); err != nil {
		return err
	}
	if s.intake, err = kernel.Find[contract.Intake](ctx, contract.NameIntake); err != nil {
		return err
	}
	s.log, s.clock = ctx.Log(), ctx.Clock()
	s.longRequests = newLongRequests()
	s.routeGroups = []routeGroup{
		&lookupRoutes{},
		&submissionRoutes{},
		&operatorRoutes{},
		&stepRoutes{longRequests: s.longRequests},
		&metricsRoutes{},
		&rolloutRoutes{longRequests: s.longRequests},
	}
	for _, group := range s.routeGroups {
		if err := group.provision(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Start implements kernel.Service.
func (s *service) Start() error {
	listener, err := net.Listen("tcp", s.config.Listen.Callers)
	if err != nil {
		return result.Wrap(result.AddressTaken, err)
	}
	listener = s.intake.Guard(intake.DoorCallers, listener)
	if settings := s.trust.CallerServerTLS(); settings != nil {
		listener = tls.NewListener(listener, settings)
	}
	s.server = &http.Server{
		Handler:           boundHandler(s.newHandler()),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
	s.intake.Track(s.server)
	s.log.Infof("Listening for callers on %s.", listener.Addr())
	s.goroutines.Go(func() { _ = s.server.Serve(listener) })
	return nil
}

// Stop implements kernel.Service. The daemon reports that it is not ready, continues
// to serve for the time UnreadyFor, so that the load balancer can detect that, and
// then waits for the requests in flight. Long requests are canceled after a fraction
// of the time.
func (s *service) Stop(ctx context.Context) error {
	s.draining.Store(true)
	timer := s.clock.AfterFunc(longRequestTimeout(time.Duration(s.config.Limits.StopWithin)), s.longRequests.cancelAll)
	defer timer.Stop()
	s.server.SetKeepAlivesEnabled(false)
	ctx, cancel := withDrainDeadline(ctx)
	defer cancel()
	s.awaitUnreadyPeriod(ctx)
	err := s.server.Shutdown(ctx)
	if err != nil {
		s.log.WithError(err).Warn("Shutdown timed out with requests in flight.")
	}
	s.goroutines.Wait()
	return err
}

// withDrainDeadline returns a context that ends at drainFraction of the time that is left
// until the deadline of ctx.
func withDrainDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(drainFraction*float64(time.Until(deadline))))
}

func (s *service) awaitUnreadyPeriod(ctx context.Context) {
	timer := s.clock.NewTimer(time.Duration(s.config.Limits.UnreadyFor))
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

func (s *service) newHandler() http.Handler {
	router := httprouter.New()
	router.NotFound = errorHandler(result.NotFound)
	router.MethodNotAllowed = errorHandler(result.MethodNotAllowed)
	router.GET("/healthz/live", s.serveLive)
	router.GET("/healthz/ready", s.serveReady)
	for _, group := range s.routeGroups {
		group.register(router)
	}
	return router
}

func errorHandler(code result.Code) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, result.New(code, "%s %s", r.Method, r.URL.Path))
	})
}

func (s *service) serveLive(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.WriteHeader(http.StatusOK)
}

func (s *service) serveReady(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if s.draining.Load() {
		writeError(w, result.New(result.Stopping, ""))
		return
	}
	w.WriteHeader(http.StatusOK)
}
