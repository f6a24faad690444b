package links

import (
	"cmp"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/placement"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/daemon/transport"
)

// singleUseReason returns why a request needs a connection for itself alone, and "" if it
// needs none: it asks for one, net/http might repeat it on a kept one, or this daemon has its
// part of the server's connections, all of them in use.
func (s *service) singleUseReason(request contract.Exchange, outgoing *http.Request) transport.OpenReason {
	if request.Fresh || !request.Repeatable && transport.MayReplay(outgoing) {
		return transport.OpenedSingleUse
	}
	if s.connections.Idle(request.Address) == 0 && s.connections.Open(request.Address) >= s.connectionPart(request) {
		return transport.OpenedBeyondPart
	}
	return ""
}

// connectionPart returns how many connections to the server of an exchange this daemon may
// keep.
func (s *service) connectionPart(request contract.Exchange) int {
	view := s.catalog.Current().Load()
	if view.Catalog == nil {
		return maxIdlePerServer
	}
	service := s.servers.Entries().Load().All[request.Server].Service
	return placement.ConnectionPart(view.Catalog.Services[service], len(s.session.View().Load().Live), request.Kind == contract.ExchangeItem)
}

// countConnection counts and logs the connection that was opened for an exchange.
func (s *service) countConnection(e *exchange, use *transport.Use, singleUse transport.OpenReason) {
	s.metrics.Count("links.exchanges."+string(e.Kind), 1)
	if !use.IsNew {
		return
	}
	reason := cmp.Or(singleUse, use.Reason)
	s.metrics.Count("links.opened."+string(e.Kind)+"."+string(reason), 1)
	s.log.WithFields(logrus.Fields{
		"server": e.Server, "kind": e.Kind, "reason": reason, "last_idle_ms": use.LastIdle.Milliseconds(), "connections": s.connections.Total(),
	}).Info("A connection to a server was opened.")
}
