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
	// Transport opens the connections for direct exchanges. A request without a body
	// that is not Repeatable gets a connection of its own instead.
	Transport http.RoundTripper
	// Repeatable is set if the server may get the request a second time.
	Repeatable bool
	// Build returns a new copy of the request.
	Build func(ctx context.Context) (*http.Request, error)
}

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
