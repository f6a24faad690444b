// Package expose implements the service "http.metrics", the operators' HTTP interface on a
// managed platform. It serves the metrics as text, one value per line, and what other
// services add.
package expose

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/flamingobeam/flamingobeam/coord/intake"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

func init() {
	kernel.Register(contract.NameMetricsHTTP, func() kernel.Service { return &service{} })
}

const (
	// metricsPath is the URL path of the metrics.
	metricsPath = "/metrics"
	// readHeaderTimeout bounds the time to read the headers of a request.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = time.Minute
)

type service struct {
	kernel.Base
	address string
	metrics contract.MetricsReader
	log     *logrus.Entry
	intake  contract.Intake
	router  *httprouter.Router
	server  *http.Server
	serving conc.WaitGroup
}

var _ contract.OperatorHTTP = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	daemon, err := kernel.ConfigOf[config.Daemon](ctx)
	if err != nil {
		return err
	}
	s.address, s.log, s.router = daemon.Platform.Metrics, ctx.Log(), httprouter.New()
	if s.metrics, err = kernel.Find[contract.MetricsReader](ctx, contract.NameMetrics); err != nil {
		return err
	}
	s.intake, err = kernel.Find[contract.Intake](ctx, contract.NameIntake)
	return err
}

// HandleGet implements contract.OperatorHTTP.
func (s *service) HandleGet(path string, handle http.HandlerFunc) {
	s.router.HandlerFunc(http.MethodGet, path, handle)
}

// Start implements kernel.Service.
func (s *service) Start() error {
	s.router.GET(metricsPath, s.serveMetrics)
	s.server = &http.Server{Handler: s.router, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	s.intake.Track(s.server)
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return result.Wrap(result.AddressTaken, err)
	}
	listener = s.intake.Guard(intake.DoorMetrics, listener)
	s.serving.Go(func() {
		if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.log.WithError(err).Error("Metrics server failed.")
		}
	})
	return nil
}

func (s *service) serveMetrics(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	all := s.metrics.All()
	var lines []string
	for name, values := range all {
		for kind, value := range values {
			lines = append(lines, fmt.Sprintf("%s.%s %v\n", name, kind, value))
		}
	}
	slices.Sort(lines)
	for _, line := range lines {
		if _, err := fmt.Fprint(w, line); err != nil {
			return
		}
	}
}

// Stop implements kernel.Service.
func (s *service) Stop(context.Context) error {
	err := s.server.Close()
	s.serving.Wait()
	return err
}
