package links

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/daemon/transport"
)

// exchange is a direct exchange with a server that is in progress.
type exchange struct {
	contract.Exchange
	service *service
	cancel  context.CancelCauseFunc
	// lastReceived is when the last byte of the server arrived, or else when the exchange
	// began, in Unix nanoseconds.
	lastReceived atomic.Int64
	// isConnected is set once the request has a connection, so that it may be sent.
	isConnected atomic.Bool
}

// exchangeDirectly sends a request to its server.
func (s *service) exchangeDirectly(ctx context.Context, request contract.Exchange) (*exchange, *http.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	e := &exchange{Exchange: request, service: s, cancel: cancel}
	e.lastReceived.Store(time.Now().UnixNano())
	use := &transport.Use{}
	trace := &httptrace.ClientTrace{PutIdleConn: use.PutIdle, GotConn: func(info httptrace.GotConnInfo) {
		e.isConnected.Store(true)
		use.GotConn(info)
	}}
	outgoing, err := request.Build(httptrace.WithClientTrace(ctx, trace))
	if err != nil {
		cancel(nil)
		return e, nil, err
	}
	s.register(e)
	roundTripper, singleUse := s.serverTransport, s.singleUseReason(request, outgoing)
	switch {
	case singleUse != "":
		roundTripper = s.singleUseTransport
	case request.Kind == contract.ExchangeRelayed:
		roundTripper = s.helpTransport
	}
	response, err := roundTripper.RoundTrip(outgoing)
	s.countConnection(e, use, singleUse)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		e.end()
		return e, nil, err
	}
	e.recordReceived()
	if use.IsNew {
		s.reportReached()
	}
	if response.Close {
		use.AnnouncedClose()
	}
	response.Body = &watchedBody{body: response.Body, exchange: e}
	return e, response, nil
}

func (s *service) register(e *exchange) {
	s.mu.Lock()
	s.open[e] = true
	s.mu.Unlock()
	if !s.isChecking.Swap(true) {
		_ = s.checks.Post(struct{}{}, struct{}{})
	}
}

// recordReceived records that a byte of the server arrived.
func (e *exchange) recordReceived() {
	now := time.Now().UnixNano()
	e.lastReceived.Store(now)
	e.service.lastReceived.Store(now)
}

func (e *exchange) end() {
	e.service.mu.Lock()
	delete(e.service.open, e)
	e.service.mu.Unlock()
	e.cancel(nil)
}

// openExchanges returns the exchanges in progress.
func (s *service) openExchanges() []*exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*exchange, 0, len(s.open))
	for e := range s.open {
		all = append(all, e)
	}
	return all
}

// watchedBody records when bytes of a response arrive.
type watchedBody struct {
	body     io.ReadCloser
	exchange *exchange
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	count, err := b.body.Read(p)
	if count > 0 {
		b.exchange.recordReceived()
	}
	return count, err
}

// Close implements io.Closer.
func (b *watchedBody) Close() error {
	err := b.body.Close()
	b.exchange.end()
	return err
}
