package contract

import (
	"context"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/hedge"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// NameHedging offers Hedging.
const NameHedging kernel.Name = "traffic.hedging"

// HedgeRequest asks for a hedge of a request.
type HedgeRequest struct {
	Key       hedge.Key
	Workspace structs.WorkspaceName
	// Zone is the zone of the server that was asked first.
	Zone structs.ZoneName
}

// Hedging keeps hedged requests within the limit that operators set. Its methods may be
// called from any goroutine.
type Hedging interface {
	// IsLimited reports whether operators have set a limit. Without one the other methods
	// must not be called.
	IsLimited() bool
	// Begin counts a request and returns the delay after which it is slow. While too few
	// responses of its kind are known, that is the given fallback.
	Begin(request HedgeRequest, fallback time.Duration) time.Duration
	// Answered records the time that a response of a server in the request's zone took.
	Answered(request HedgeRequest, latency time.Duration)
	// Allow decides whether a slow request is hedged, and waits for other daemons if they
	// have to decide.
	Allow(ctx context.Context, request HedgeRequest) hedge.Refusal
	// IsZoneSlow reports whether many requests to a service's servers in a zone are slow.
	IsZoneSlow(service structs.ServiceName, zone structs.ZoneName) bool
}
