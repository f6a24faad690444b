package links

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/intake"
	"github.com/flamingobeam/flamingobeam/coord/reach"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/daemon/transport"
	"github.com/flamingobeam/flamingobeam/platform"
)

const (
	// maxHelped bounds the requests of other daemons in progress, so that a helper
	// keeps most of its host for its own callers.
	maxHelped = 128
	// maxRelayedBody bounds the body of a relayed request, in bytes.
	maxRelayedBody = 32 << 20
	// relayHeaderTimeout bounds the time to read the headers of a relayed request.
	relayHeaderTimeout = 5 * time.Second
	// relayBodyTimeout bounds the time in which the body of a request arrives that has no
	// timeout of its own, as the item of a batch job.
	relayBodyTimeout = 30 * time.Second
)

// startRelayServer listens for requests of other daemons.
func (s *service) startRelayServer() error {
	if s.config.Listen.Relay == "" {
		return nil
	}
	listener, err := net.Listen("tcp", s.config.Listen.Relay)
	if err != nil {
		return result.Wrap(result.AddressTaken, err)
	}
	listener = s.intake.Guard(intake.DoorRelay, listener)
	router := httprouter.New()
	router.HandleMethodNotAllowed, router.HandleOPTIONS = false, false
	router.NotFound = http.HandlerFunc(s.serveRelayed)
	s.relayServer = &http.Server{Handler: router, ReadHeaderTimeout: relayHeaderTimeout, IdleTimeout: 2 * helperIdleTimeout}
	s.intake.Track(s.relayServer)
	s.log.WithField("address", s.config.Listen.Relay).Info("Listening for requests of other daemons.")
	s.goroutines.Go(func() {
		if err := s.relayServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.log.WithError(err).Error("Listener failed.")
		}
	})
	return nil
}

func (s *service) stopRelayServer(ctx context.Context) error {
	if s.relayServer == nil {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, s.shutdown.Schedule().CloseAt)
	defer cancel()
	if s.relayServer.Shutdown(ctx) == nil {
		return nil
	}
	return s.relayServer.Close()
}

// serveRelayed sends a request of another daemon to its server. It never passes a
// request on to a third daemon.
func (s *service) serveRelayed(w http.ResponseWriter, r *http.Request) {
	defer func() {
		if value := recover(); value != nil {
			if value != http.ErrAbortHandler {
				s.guard.Record("a relayed request", value)
			}
			panic(http.ErrAbortHandler)
		}
	}()
	if s.view.Load().State != reach.Reachable {
		refuseRelayed(w, refusalCutOff)
		return
	}
	if !s.helped.begin() {
		refuseRelayed(w, refusalBusy)
		return
	}
	defer s.helped.end()
	if s.isStopping.Load() {
		// Otherwise the other daemon could send its next request on this connection just
		// as it is closed.
		w.Header().Set("Connection", "close")
		timeout := platform.DecodeRequestHeaders(r).Timeout
		if timeout == 0 || s.shutdown.Schedule().MayOutlast(time.Now().Add(timeout)) {
			refuseRelayed(w, refusalStopping)
			return
		}
	}
	holding := contract.HoldingOf(r.Context())
	defer holding.End()
	if err := holding.Begin(); err != nil {
		s.log.WithError(err).Info("A relayed request is refused.")
		refuseRelayed(w, refusalBusy)
		return
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(cmp.Or(platform.DecodeRequestHeaders(r).Timeout, relayBodyTimeout)))
	request, err := s.decodeRelayed(r)
	if result.CodeOf(err) == result.Overloaded || holding.Err() != nil {
		s.log.WithError(err).Info("A relayed request is refused.")
		refuseRelayed(w, refusalBusy)
		return
	}
	if err != nil {
		s.log.WithError(err).Info("A relayed request is refused.")
		refuseRelayed(w, refusalUnknown)
		return
	}
	_ = control.SetReadDeadline(time.Time{})
	holding.Pass()
	e, response, err := s.exchangeDirectly(r.Context(), request)
	if err != nil {
		s.refuseFailed(w, r, e, err)
		return
	}
	defer response.Body.Close()
	s.metrics.Count("links.helped", 1)
	passBack(w, response)
}

// refuseFailed answers a relayed request that has no response.
func (s *service) refuseFailed(w http.ResponseWriter, r *http.Request, e *exchange, err error) {
	isUnsent := !e.isConnected.Load()
	s.log.WithError(err).WithFields(logrus.Fields{"server": e.Server, "sent": !isUnsent}).Info("A relayed request failed.")
	isCutOff := r.Context().Err() == nil && s.reportFailure(r.Context(), e.Server) == reach.CutOff
	switch {
	case isUnsent && isCutOff:
		refuseRelayed(w, refusalCutOff)
	case isUnsent:
		refuseRelayed(w, refusalUnreachable)
	default:
		refuseRelayed(w, refusalBroken)
	}
}

func refuseRelayed(w http.ResponseWriter, why refusal) {
	w.Header().Set(headerRefusal, string(why))
	w.WriteHeader(http.StatusBadGateway)
}

var (
	errUnknownServer = errors.New("links: the server is not listed")
	errBodyTooLong   = errors.New("links: the body of a relayed request is too long")
)

// decodeRelayed returns the exchange that a request of another daemon asks for. It fails
// unless a listed server has the address.
func (s *service) decodeRelayed(r *http.Request) (contract.Exchange, error) {
	server := structs.HostName(r.Header.Get(headerServer))
	address, target := r.Header.Get(headerAddress), r.Header.Get(headerTarget)
	listed, ok := s.servers.Entries().Load().All[server]
	if !ok || listed.Address != address {
		return contract.Exchange{}, errors.Wrapf(errUnknownServer, "%s at %q", server, address)
	}
	body, err := transport.ReadPayload(io.LimitReader(r.Body, maxRelayedBody+1), r.ContentLength, contract.HoldingOf(r.Context()).Claim)
	if err != nil {
		return contract.Exchange{}, errors.WithStack(err)
	}
	if body.Len() > maxRelayedBody {
		return contract.Exchange{}, errBodyTooLong
	}
	repeatable := r.Header.Get(headerRepeatable) != ""
	for _, name := range []string{headerServer, headerAddress, headerTarget, headerRepeatable} {
		r.Header.Del(name)
	}
	return contract.Exchange{
		Server: server, Address: address, Kind: contract.ExchangeRelayed, Repeatable: repeatable,
		Build: func(ctx context.Context) (*http.Request, error) {
			return buildRelayed(ctx, r, address, target, body), nil
		},
	}, nil
}

// buildRelayed returns the request that another daemon has built, for its server.
func buildRelayed(ctx context.Context, r *http.Request, address, target string, body structs.Payload) *http.Request {
	outgoing := &http.Request{
		Method: r.Method, URL: &url.URL{Scheme: "http", Host: address, Opaque: target}, Host: r.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: r.Header.Clone(),
	}
	if length := body.Len(); length > 0 {
		outgoing.Body, outgoing.ContentLength = platform.NewBody(body), int64(length)
	}
	// A nil value prevents net/http from adding its default User-Agent.
	if _, ok := outgoing.Header["User-Agent"]; !ok {
		outgoing.Header["User-Agent"] = nil
	}
	return outgoing.WithContext(ctx)
}

// passBack copies a response to the daemon that asked for it and flushes each piece. It
// breaks off where the server did.
func passBack(w http.ResponseWriter, response *http.Response) {
	platform.CopyResponseHeaders(w.Header(), response.Header)
	w.Header().Del(headerRefusal)
	if response.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	w.WriteHeader(response.StatusCode)
	if err := transport.Stream(w, response.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
