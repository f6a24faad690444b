// Package weights decides how the collector of an availability zone rolls
// weight versions out to the zone's model engines.
//
// Rules:
//
//   - The number of orders in flight and the rate of orders are limited,
//     because each order makes an engine read the rate-limited weight store.
//     Engines with the oldest weights come first.
//   - Each order carries the collector's term as its fencing token. An engine
//     that enforces fencing gets an order in every term, even for the version
//     that it runs, so that it refuses late orders of a former collector from
//     then on. An engine that refuses this term is not ordered again, because a
//     newer collector controls it.
//   - An engine that ignores terms may carry out a late order at any time. It
//     is read back soon after each order, then at intervals that double up to
//     MaxReadBackInterval, and ordered again if it returned to an older version.
//   - Only an order with a response counts as done. One that failed, or whose
//     response was lost, may have stopped in the middle of the weight swap, so
//     it is repeated whatever version the engine reports. It may also be
//     carried out late, so the engine is read back soon after the next order,
//     even if it enforces fencing.
//   - A newer version supersedes an unfinished rollout: waiting engines are
//     ordered to the newer version directly, and those with an order in flight
//     get the next order after its response.
package weights

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Limits bounds the calls of a collector to its engines.
type Limits struct {
	// MaxConcurrentOrders and MaxConcurrentReads bound the calls in flight.
	MaxConcurrentOrders, MaxConcurrentReads int
	// OrdersPerSecond and ReadsPerSecond bound the rate at which calls begin.
	// A burst is as many calls as the rate allows in a quarter of a second.
	OrdersPerSecond, ReadsPerSecond float64
	// RetryDelay is the delay after the first failed call; it doubles with each
	// further failure up to MaxRetryDelay.
	RetryDelay, MaxRetryDelay time.Duration
	// ReadBackDelay is the time from an order to the first read-back. It should
	// be longer than an engine's report of its version lags behind.
	ReadBackDelay time.Duration
	// MaxReadBackInterval is the longest time between two read-backs of an engine.
	MaxReadBackInterval time.Duration
}

// Engine is a model engine of the zone.
type Engine struct {
	Name  structs.HostName
	Model structs.ServiceName
	// EnforcesFencing reports that the engine refuses an order with an old term.
	EnforcesFencing bool
}

// ActionKind is the kind of a call to an engine.
type ActionKind uint8

// The kinds of actions.
const (
	// ActionOrder orders the engine to install a version.
	ActionOrder ActionKind = iota + 1
	// ActionRead reads the version that the engine runs.
	ActionRead
)

// Action is a call to begin. The caller passes its outcome to RecordOrder or
// RecordRead.
type Action struct {
	Kind   ActionKind
	Engine structs.HostName
	Model  structs.ServiceName
	// Version is the version to install, for ActionOrder only.
	Version structs.WeightVersion
	Term    structs.Term
}

// OrderOutcome is the outcome of an order.
type OrderOutcome struct {
	// RunningVersion is the version that the engine reports in its response.
	RunningVersion structs.WeightVersion
	// Refused reports that the engine has seen a newer term.
	Refused bool
	// Failed reports that the order failed or that its response was lost.
	Failed bool
}

// Progress is the state of the rollout of a model's target version in the zone.
type Progress struct {
	// Engines counts the model's engines, and Current those that run the
	// target version or a later one.
	Engines, Current int
}
