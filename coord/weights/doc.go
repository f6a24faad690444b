// Package weights decides how the collector of an availability zone rolls
// weight versions out to the zone's model engines.
//
// Rules:
//
//   - Orders go out in waves: so many at once, and so many a second, because
//     each makes an engine read the rate-limited weight store. Engines with
//     the oldest weights come first.
//   - Each order bears the collector's term as its fencing number. An engine
//     that checks it is given an order in every term, even for the version
//     that it runs, so that a former collector's late orders are refused from
//     then on. One that refuses this term is left to the newer collector.
//   - An engine that ignores terms may carry out a late order at any time. It
//     is read back soon after each order, then after twice as long each time
//     up to a longest span, and ordered again when it went back.
//   - Only an answered order counts as done. One that failed, or whose answer
//     was lost, may have stopped halfway, so that it is given again without
//     asking what the engine reports. It may also be carried out late, so that
//     the engine is read back soon after the next order, even if it checks
//     terms.
//   - A newer version supersedes an unfinished one: engines that wait are
//     ordered straight to it, and those with an order under way get the next
//     one after its answer.
package weights

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Limits bounds the calls of a collector to its engines.
type Limits struct {
	// MaxConcurrentOrders and MaxConcurrentReads are how many calls may be under way at once.
	MaxConcurrentOrders, MaxConcurrentReads int
	// OrdersPerSecond and ReadsPerSecond are how many may begin in a second,
	// after a first burst of as many as begin in a quarter of one.
	OrdersPerSecond, ReadsPerSecond float64
	// RetryDelay is the pause after a failed call; it doubles up to MaxRetryDelay.
	RetryDelay, MaxRetryDelay time.Duration
	// ReadBackDelay is the time from an order to the first read-back. It should be
	// longer than the lag of an engine's report.
	ReadBackDelay time.Duration
	// MaxReadBackInterval is the longest time between two read-backs of an engine.
	MaxReadBackInterval time.Duration
}

// Engine is a model engine of the zone.
type Engine struct {
	Name  structs.HostName
	Model structs.ServiceName
	// EnforcesFencing says that the engine refuses an order with an old term.
	EnforcesFencing bool
}

// ActionKind says what to do with an engine.
type ActionKind uint8

// The kinds of actions.
const (
	// ActionOrder gives an order.
	ActionOrder ActionKind = iota + 1
	// ActionRead asks which version runs.
	ActionRead
)

// Action is a call to begin. Its outcome is told by RecordOrder or RecordRead.
type Action struct {
	Kind   ActionKind
	Engine structs.HostName
	Model  structs.ServiceName
	// Version is the one to order.
	Version structs.WeightVersion
	Term    structs.Term
}

// OrderOutcome is how an order ended.
type OrderOutcome struct {
	// RunningVersion is the version that the engine says it runs, when it answered.
	RunningVersion structs.WeightVersion
	// Refused says that the engine has seen a newer term.
	Refused bool
	// Failed says that the order failed or that its answer was lost.
	Failed bool
}

// Progress says how far a model's newest version has come in the zone.
type Progress struct {
	// Engines counts the model's engines, and Current those that run the
	// newest version or a later one.
	Engines, Current int
}
