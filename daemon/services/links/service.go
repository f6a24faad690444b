// Package links is the service "traffic.links". It sends requests to backend
// servers. While this daemon is cut off from all of them, it passes requests on through
// another daemon that reaches them. It also takes such requests from other daemons.
//
// The control goroutine owns the evidence about the links and publishes the state. The
// exchanges run on goroutines of traffic, which a mutex that is held only for short
// calculations registers.
package links

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/flamingobeam/flamingobeam/coord/reach"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/daemon/transport"
	"github.com/flamingobeam/flamingobeam/kernel"
)

func init() {
	kernel.Register(contract.NameServerLinks, func() kernel.Service {
		return &service{open: make(map[*exchange]bool), avoidedHelpers: make(map[string]time.Time)}
	})
}

const (
	// mailboxCapacity bounds the queued messages of each kind.
	mailboxCapacity = 1024
	// verdictPatience is how long a request that could not be sent waits for the
	// probes that show whether the links are down.
	verdictPatience = 600 * time.Millisecond
	// serverDialTimeout bounds a connection to a server: a round trip between regions
	// takes 60 ms, and a lost packet costs a second.
	serverDialTimeout = 700 * time.Millisecond
	// serverIdleTimeout is how long an idle connection is kept, unless the server closes
	// it before.
	serverIdleTimeout = 60 * time.Second
	// maxIdlePerServer bounds the idle connections to one server: about as many as an
	// engine runs requests.
	maxIdlePerServer = 16
)

type service struct {
	kernel.Base
	config       config.Daemon
	servers      contract.Servers
	catalog      contract.Catalog
	session      contract.Session
	intake       contract.Intake
	linkFailures contract.LinkFailures
	shutdown     contract.Shutdown
	metrics      contract.Metrics
	log          *logrus.Entry
	loop         *kernel.Loop
	workers      *kernel.Workers
	executor     *kernel.LoopExecutor
	guard        *kernel.Guard
	view         *kernel.Snapshot[contract.ServerLinksView]
	probeRounds  *kernel.Mailbox[kernel.AsyncResult[probeRound]]
	checks       *kernel.CoalescingMailbox[struct{}, struct{}]
	reached      *kernel.CoalescingMailbox[struct{}, struct{}]
	failures     *kernel.Mailbox[structs.HostName]

	// The following fields belong to the control goroutine.
	detector reach.Detector
	cutOffAt time.Time

	// lastReceived is when the last byte of any server arrived, in Unix nanoseconds.
	lastReceived atomic.Int64
	// isChecking is set while the control goroutine looks at the open exchanges.
	isChecking atomic.Bool
	mu         sync.Mutex
	open       map[*exchange]bool
	// avoidedHelpers maps the relay addresses that passed no request on to the time until
	// which others are preferred.
	avoidedHelpers map[string]time.Time

	relayTransport *http.Transport
	// helpTransport opens the connections for requests of other daemons, which have lost
	// time already and give up sooner.
	helpTransport *http.Transport
	// serverTransport keeps the connections to the servers, and connections the account of
	// them.
	serverTransport *http.Transport
	connections     *transport.Connections
	// singleUseTransport and singleUseRelayTransport send the requests that need a
	// connection for themselves, as those that net/http might otherwise repeat by itself.
	singleUseTransport      *http.Transport
	singleUseRelayTransport *http.Transport

	relayServer *http.Server
	helped      helpedRequests
	// isStopping is set when a planned stop begins.
	isStopping atomic.Bool
	goroutines conc.WaitGroup
}

var _ contract.ServerLinks = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	var err error
	if s.config, err = kernel.ConfigOf[config.Daemon](ctx); err != nil {
		return err
	}
	s.log, s.loop, s.workers, s.guard = ctx.Log(), ctx.Loop(), ctx.Workers(), ctx.Guard()
	s.executor = kernel.NewLoopExecutor(s.loop)
	s.view = kernel.NewSnapshot(&contract.ServerLinksView{})
	s.probeRounds = kernel.NewMailbox(s.loop, mailboxCapacity, s.handleProbes)
	s.checks = kernel.NewCoalescingMailbox(s.loop, 1, func(struct{}, struct{}) { s.scheduleCheck() })
	s.failures = kernel.NewMailbox(s.loop, mailboxCapacity, s.recordFailure)
	s.reached = kernel.NewCoalescingMailbox(s.loop, 1, func(struct{}, struct{}) { s.detector.RecordReached() })
	s.relayTransport = transport.New(transport.Options{DialTimeout: helperDialTimeout, IdleTimeout: helperIdleTimeout, MaxIdlePerHost: maxIdlePerHelper})
	s.connections = transport.NewConnections()
	s.serverTransport = transport.New(transport.Options{
		DialTimeout: serverDialTimeout, IdleTimeout: serverIdleTimeout, MaxIdlePerHost: maxIdlePerServer, Dial: s.config.Platform.DialServer, Account: s.connections,
	})
	s.helpTransport = transport.New(transport.Options{
		DialTimeout: helperDialTimeout, IdleTimeout: helperIdleTimeout, MaxIdlePerHost: maxIdlePerHelper, Dial: s.config.Platform.DialServer, Account: s.connections,
	})
	s.singleUseTransport = transport.New(transport.Options{
		DialTimeout: serverDialTimeout, SingleUse: true, Dial: s.config.Platform.DialServer, Account: s.connections,
	})
	s.singleUseRelayTransport = transport.New(transport.Options{DialTimeout: helperDialTimeout, SingleUse: true})
	return kernel.FindAll(ctx,
		kernel.Bind(&s.servers, contract.NameServers),
		kernel.Bind(&s.catalog, contract.NameCatalog),
		kernel.Bind(&s.session, contract.NameSession),
		kernel.Bind(&s.linkFailures, contract.NameBalance),
		kernel.Bind(&s.shutdown, contract.NameShutdown),
		kernel.Bind(&s.metrics, contract.NameMetrics),
		kernel.Bind(&s.intake, contract.NameIntake),
	)
}

// Start implements kernel.Service.
func (s *service) Start() error { return s.startRelayServer() }

// Drain implements kernel.Drainer. It waits for the requests in flight of other daemons.
func (s *service) Drain(ctx context.Context) error {
	schedule := s.shutdown.Schedule()
	s.isStopping.Store(true)
	ctx, cancel := context.WithDeadline(ctx, schedule.DrainEnd)
	defer cancel()
	if count := s.helped.awaitNone(ctx); count > 0 {
		s.log.WithField("requests", count).Warn("Requests of other daemons have not ended in time.")
	}
	return nil
}

// Stop implements kernel.Service.
func (s *service) Stop(ctx context.Context) error {
	err := s.stopRelayServer(ctx)
	s.relayTransport.CloseIdleConnections()
	s.helpTransport.CloseIdleConnections()
	s.serverTransport.CloseIdleConnections()
	s.goroutines.Wait()
	return err
}

// View implements contract.ServerLinks.
func (s *service) View() *kernel.Snapshot[contract.ServerLinksView] { return s.view }

// Do implements contract.ServerLinks.
func (s *service) Do(ctx context.Context, request contract.Exchange) (*http.Response, error) {
	if s.view.Load().State == reach.CutOff {
		return s.relay(ctx, request)
	}
	e, response, err := s.exchangeDirectly(ctx, request)
	if err == nil {
		return response, nil
	}
	if ctx.Err() != nil {
		return nil, err
	}
	if e.isConnected.Load() && !request.Repeatable {
		// The request may have run, whatever the state of the links.
		if err := s.failures.Post(request.Server); err != nil {
			s.log.WithError(err).Debug("Dropped a failure of a server.")
		}
		return nil, err
	}
	if s.reportFailure(ctx, request.Server) != reach.CutOff {
		return nil, err
	}
	response, relayErr := s.relay(ctx, request)
	if e.isConnected.Load() && transport.IsDialFailure(relayErr) {
		// The request was not relayed, but the direct exchange may have run it.
		return nil, err
	}
	return response, relayErr
}

// reportFailure records that a server failed, and returns the state of the links. It
// waits for the probes if they are in progress.
func (s *service) reportFailure(ctx context.Context, server structs.HostName) reach.State {
	if err := s.executor.Do(ctx, func() { s.recordFailure(server) }); err != nil {
		return reach.Reachable
	}
	timer := time.NewTimer(verdictPatience)
	defer timer.Stop()
	for {
		view, replaced := s.view.Watch()
		if view.State != reach.Suspected {
			return view.State
		}
		select {
		case <-replaced:
		case <-timer.C:
			return reach.Suspected
		case <-ctx.Done():
			return reach.Suspected
		}
	}
}

// dialError returns an error for a request that was certainly not sent.
func dialError(err error) error { return &net.OpError{Op: "dial", Net: "tcp", Err: err} }

// errCutOff ends exchanges that are silent when the links are found to be down.
var errCutOff = errors.New("links: this daemon is cut off from the servers")
