package contract

import (
	"context"
	"net"
	"net/http"

	"github.com/flamingobeam/flamingobeam/coord/intake"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// NameIntake offers Intake.
const NameIntake kernel.Name = "traffic.intake"

// Intake accounts for all that a daemon holds for its clients, over all its doors. Its
// methods may be called from any goroutine.
type Intake interface {
	// Guard returns a listener that counts the connections of a door and, when the
	// door has no more, closes one to accept another.
	Guard(door intake.Door, listener net.Listener) net.Listener
	// Track makes a server account for the heads that it reads and gives the contexts of
	// its requests a Holding. It is called before the server serves a listener of Guard.
	Track(server *http.Server)
	// OfConn returns the holding of a connection that a listener of Guard accepted.
	OfConn(conn net.Conn) Holding
	// AdmitsWork reports whether batch jobs that take further bytes of memory may be
	// accepted.
	AdmitsWork(bytes int64) bool
	// HoldWork accounts for accepted work, also beyond what is admitted. A negative number
	// gives bytes back.
	HoldWork(bytes int64)
}

// Holding is what is held for one connection. Its methods may be called from any
// goroutine.
type Holding interface {
	// Begin accounts for a request whose head has been read. It fails with code
	// Overloaded if there is no room. End must follow in either case.
	Begin() error
	// Claim accounts for further bytes of the request and waits briefly if there is no
	// room. It fails with code Overloaded and without effect if there still is none, or
	// if the client has to end for others.
	Claim(bytes int64) error
	// TryClaim is Claim without the wait, and reports whether there is room.
	TryClaim(bytes int64) bool
	// Release gives bytes back before the request ends.
	Release(bytes int64)
	// Pass marks that the request may run from now on, so that it cannot be refused.
	Pass()
	// Err is the error, of code Overloaded, of a request that had to end for others
	// while it was arriving, and nil otherwise.
	Err() error
	// End gives back all bytes of the request.
	End()
}

type holdingKey struct{}

// WithHolding returns a context of requests of a connection.
func WithHolding(ctx context.Context, holding Holding) context.Context {
	return context.WithValue(ctx, holdingKey{}, holding)
}

// HoldingOf returns the holding of a request. A context without one has one that is never
// refused, as for requests of the daemon itself.
func HoldingOf(ctx context.Context) Holding {
	if holding, ok := ctx.Value(holdingKey{}).(Holding); ok {
		return holding
	}
	return unbounded{}
}

type unbounded struct{}

func (unbounded) Begin() error        { return nil }
func (unbounded) Claim(int64) error   { return nil }
func (unbounded) TryClaim(int64) bool { return true }
func (unbounded) Release(int64)       {}
func (unbounded) Pass()               {}
func (unbounded) Err() error          { return nil }
func (unbounded) End()                {}
