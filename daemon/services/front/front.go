// Package front is the service "http.front": the HTTP interface towards
// callers, trainers and operators. It translates between HTTP and the
// services that decide; it decides nothing itself.
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

// endpoint is a group of paths that stands before some of the services.
type endpoint interface {
	// provision finds the services by name.
	provision(ctx *kernel.Context) error
	// routes adds the paths.
	routes(router *httprouter.Router)
}

type service struct {
	kernel.Base
	config    config.Daemon
	log       *logrus.Entry
	clock     clockwork.Clock
	trust     contract.Trust
	endpoints []endpoint
	server    *http.Server
	group     conc.WaitGroup
	leaving   atomic.Bool
	long      *breakOff
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
	s.log, s.clock = ctx.Log(), ctx.Clock()
	s.long = newBreakOff()
	s.endpoints = []endpoint{
		&lookups{},
		&submissions{},
		&operators{},
		&steps{long: s.long},
		&metrics{},
		&rollouts{long: s.long},
	}
	for _, each := range s.endpoints {
		if err := each.provision(ctx); err != nil {
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
	if settings := s.trust.CallerServerTLS(); settings != nil {
		listener = tls.NewListener(listener, settings)
	}
	s.server = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
	s.log.Infof("Listening for callers on %s.", listener.Addr())
	s.group.Go(func() { _ = s.server.Serve(listener) })
	return nil
}

// Stop implements kernel.Service: the daemon reports itself unready, goes on
// serving until the balancer can have seen that, and then waits for the
// requests in flight. Long ones are broken off after a part of the time.
func (s *service) Stop(ctx context.Context) error {
	s.leaving.Store(true)
	timer := s.clock.AfterFunc(longSpan(time.Duration(s.config.Limits.StopWithin)), s.long.now)
	defer timer.Stop()
	s.server.SetKeepAlivesEnabled(false)
	s.awaitBalancer(ctx)
	err := s.server.Shutdown(ctx)
	if err != nil {
		s.log.WithError(err).Warn("Requests were still in flight when the time to stop was up.")
	}
	s.group.Wait()
	return err
}

func (s *service) awaitBalancer(ctx context.Context) {
	timer := s.clock.NewTimer(time.Duration(s.config.Limits.UnreadyFor))
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

func (s *service) routes() http.Handler {
	router := httprouter.New()
	router.NotFound = refuse(result.NotFound)
	router.MethodNotAllowed = refuse(result.MethodNotAllowed)
	router.GET("/healthz/live", s.live)
	router.GET("/healthz/ready", s.ready)
	for _, each := range s.endpoints {
		each.routes(router)
	}
	return router
}

func refuse(code result.Code) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, result.New(code, "%s %s", r.Method, r.URL.Path))
	})
}

func (s *service) live(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.WriteHeader(http.StatusOK)
}

func (s *service) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if s.leaving.Load() {
		writeError(w, result.New(result.Stopping, ""))
		return
	}
	w.WriteHeader(http.StatusOK)
}
