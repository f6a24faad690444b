package contract

import (
	"context"
	"net/http"

	"github.com/flamingobeam/flamingobeam/coord/reach"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// NameServerLinks offers ServerLinks.
const NameServerLinks kernel.Name = "traffic.links"

// Exchange is one request to one backend server.
type Exchange struct {
	Server  structs.HostName
	Address string
	// Kind is what the request is for.
	Kind ExchangeKind
	// Fresh asks for a connection of its own. A request without a body that is not
	// Repeatable gets one in any case.
	Fresh bool
	// Repeatable is set if the server may get the request a second time.
	Repeatable bool
	// Build returns a new copy of the request.
	Build func(ctx context.Context) (*http.Request, error)
}

// ExchangeKind is what a request to a server is for. It ends the name of a counter.
type ExchangeKind string

// The kinds of exchanges.
const (
	// ExchangeRequest is a caller's request, and ExchangeCall one on behalf of accepted
	// work.
	ExchangeRequest ExchangeKind = "request"
	ExchangeCall    ExchangeKind = "call"
	// ExchangeItem is the run of an item on an engine.
	ExchangeItem ExchangeKind = "item"
	// ExchangeRelayed is a request of another daemon.
	ExchangeRelayed ExchangeKind = "relayed"
)

// ServerLinksView is an immutable snapshot of a daemon's links to the backend servers.
type ServerLinksView struct {
	State reach.State
}

// ServerLinks sends requests to backend servers, through another daemon while this one is
// cut off from them.
type ServerLinks interface {
	// Do sends a request and returns the response, whose body the caller must close. For
	// an error transport.IsDialFailure reports whether the request was certainly not
	// sent.
	Do(ctx context.Context, exchange Exchange) (*http.Response, error)
	// View returns the snapshot. It may be called from any goroutine.
	View() *kernel.Snapshot[ServerLinksView]
}

// LinkFailures lets the balancer ignore failures of servers that are failures of this
// daemon's links. It is offered under NameBalance.
type LinkFailures interface {
	// SetLinksDown starts or ends a time in which failures are not held against servers.
	// At its start the recent ejections are revoked. It must be called on the control
	// goroutine.
	SetLinksDown(down bool)
}
