package engine

import (
	"context"
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/outside"
)

// weights are what the engine runs.
type weights struct {
	version structs.WeightVersion
	// half is the version that every second stream runs after a swap that
	// stopped halfway, or zero.
	half structs.WeightVersion
	// term is the highest fencing number seen.
	term structs.Term
}

// OrderRecord is the engine's own record of an order.
type OrderRecord struct {
	Order outside.Order `json:"order"`
	// Refused says that the term was too old.
	Refused bool `json:"refused"`
	// Ran is the version that ran after the order.
	Ran structs.WeightVersion `json:"ran"`
}

// Orders returns the orders that have ended, in order.
func (e *Engine) Orders() []OrderRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// Order swaps the weights and returns the version that runs afterwards. It
// fails with outside.ErrFenced, ErrHalfSwapped, ErrCrashed or the error of
// ctx, in which case the swap goes on.
func (e *Engine) Order(ctx context.Context, order outside.Order) (structs.WeightVersion, error) {
	if !e.accept(order) {
		return 0, outside.ErrFenced
	}
	e.mu.Lock()
	delay := e.faults.SwapDelay
	e.mu.Unlock()
	done := make(chan error, 1)
	time.AfterFunc(delay, func() { done <- e.swap(order) })
	select {
	case err := <-done:
		return order.Version, err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// accept checks an order's term.
func (e *Engine) accept(order outside.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.Fenced && order.Term < e.weights.term {
		e.orders = append(e.orders, OrderRecord{Order: order, Refused: true, Ran: e.weights.version})
		return false
	}
	e.weights.term = max(e.weights.term, order.Term)
	return true
}

// swap puts an order's weights in place, or half of them.
func (e *Engine) swap(order outside.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return ErrCrashed
	}
	if e.options.Fenced && order.Term < e.weights.term {
		// A newer order came while this one was being carried out.
		e.orders = append(e.orders, OrderRecord{Order: order, Refused: true, Ran: e.weights.version})
		return outside.ErrFenced
	}
	if e.faults.HalfSwap {
		e.weights.half = order.Version
		e.orders = append(e.orders, OrderRecord{Order: order, Ran: e.weights.version})
		return ErrHalfSwapped
	}
	e.weights.version, e.weights.half = order.Version, 0
	e.orders = append(e.orders, OrderRecord{Order: order, Ran: order.Version})
	return nil
}
